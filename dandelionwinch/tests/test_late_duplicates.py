"""Late duplicates of responses that name no request.

Reports, orders, cache events and calls of duties have responses without a
request id. A late second copy of one, on a connection that was used again,
was taken for the response to the next request.
"""

import asyncio
import contextlib
import functools
import json
import math

import pytest

from dandelionwinch import control
from dandelionwinch.control import _order_sender
from dandelionwinch import dispatch
from dandelionwinch import gateway
from dandelionwinch.gateway import _cache_watch
from dandelionwinch.platform import _duty_api
from dandelionwinch.platform import _wire_codec
from dandelionwinch.tests import recorder
from dandelionwinch import upstreams

CODEC = _wire_codec.WireCodec()
CHANGE = dispatch.RoleChange('e1', upstreams.Role.PREFILL)
REPORT = control.UsageReport(7, {'team-1': 3})


def response(status='200 OK', **fields):
    """Returns a response with a JSON body."""
    body = json.dumps(fields).encode()
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class DuplicatingServer:
    """Repeats its last response on a connection before the next one.

    Attributes:
        bodies: Body of each request.
    """

    def __init__(self, responses):
        self._responses = list(responses)
        self.bodies = []

    async def start(self):
        """Starts to listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def close(self):
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        last = b''
        with contextlib.closing(writer):
            while True:
                try:
                    head = await reader.readuntil(b'\r\n\r\n')
                except (
                    asyncio.CancelledError,
                    asyncio.IncompleteReadError,
                    ConnectionError,
                ):
                    return
                length = 0
                for line in head.lower().split(b'\r\n'):
                    if line.startswith(b'content-length:'):
                        length = int(line.split(b':')[1])
                self.bodies.append(await reader.readexactly(length))
                writer.write(last)
                last = self._responses.pop(0)
                writer.write(last)


def run(responses, scenario):
    """Runs a scenario with a DuplicatingServer and its address."""

    async def with_server():
        server = DuplicatingServer(responses)
        address = await server.start()
        with contextlib.closing(server):
            async with asyncio.timeout(recorder.TIMEOUT_S):
                return await scenario(server, address)

    return asyncio.run(with_server())


def engine_scenario(scenario):
    """Adds a fleet with one engine to a scenario."""

    async def with_fleet(server, address):
        fleet = gateway.Fleet(asyncio.get_running_loop())
        fleet.registry.apply(
            upstreams.Entry(
                'e1', 's', address, 'dc', 1, True, upstreams.Role.DECODE, 4
            )
        )
        with contextlib.closing(fleet):
            return await scenario(server, fleet, fleet.registry.get('e1'))

    return with_fleet


async def use_connections(pool, count):
    """Leaves idle connections in a pool that have served a report."""
    request = gateway.request_bytes(*CODEC.report_request('e1'), b'')
    conns = [await pool.acquire(1.0) for _number in range(count)]
    for conn in conns:
        conn.send(request)
        await gateway.read_response(conn, 1.0)
    for conn in conns:
        pool.release(conn)


@pytest.mark.parametrize('used', [1, 2])
def test_an_order_gets_its_own_response(used):
    """One connection was used for the report, the other one for the order."""

    @engine_scenario
    async def scenario(server, fleet, engine):
        await use_connections(fleet.pool(engine), used)
        sender = _order_sender.OrderSender(fleet, CODEC, 'a')
        sent = await sender.send(engine, CHANGE, 1, lambda: True)
        return sent.status, json.loads(server.bodies[-1])['precondition']

    reports = [response(busy=False, sequence=n) for n in range(used + 1)]
    accepted = response('202 Accepted')
    assert run([*reports, accepted], scenario) == (202, used)


def test_a_full_pool_gives_an_idle_connection_up_for_a_new_one():
    @engine_scenario
    async def scenario(_server, fleet, engine):
        pool = fleet.pool(engine)
        pool.limit = 2
        await use_connections(pool, 2)
        await pool.acquire(1.0, new=True)
        opened = pool.open
        await pool.acquire(1.0)
        with pytest.raises(gateway.NotConnected):
            await pool.acquire(0.0, new=True)
        return opened, pool.open

    reports = [response(busy=False, sequence=n) for n in range(2)]
    assert run(reports, scenario) == (2, 2)


def test_late_cache_events_reach_no_request_and_undo_nothing():
    """The copy may come with the next call; its connection is dropped."""

    @engine_scenario
    async def scenario(_server, fleet, engine):
        loop = asyncio.get_running_loop()
        watch = _cache_watch.CacheWatch(
            loop, fleet, None, CODEC, recorder.Recorder()
        )
        pool = fleet.pool(engine)
        positions, idle = [], []
        for _number in range(3):
            events = await watch._fetch(engine, 0)
            positions.append(events.position)
            idle.append(len(pool._idle))
        opened = pool.open
        watch.close()
        return positions, idle, opened, pool.open

    bodies = [
        response(epoch=1, next=n, lost=False, events=[]) for n in (5, 9, 12)
    ]
    positions, idle, opened, left = run(bodies, scenario)
    assert positions == sorted(positions)
    assert positions[0] == 5
    assert positions[-1] >= 9
    # No connection is left to requests, nor after the end of the watch.
    assert (idle, opened, left) == ([0, 0, 0], 1, 0)


def test_a_small_pool_has_no_connection_to_spare_for_cache_events(
    monkeypatch,
):
    monkeypatch.setattr(_cache_watch, 'MIN_POOL_TO_KEEP', math.inf)

    @engine_scenario
    async def scenario(_server, fleet, engine):
        loop = asyncio.get_running_loop()
        watch = _cache_watch.CacheWatch(
            loop, fleet, None, CODEC, recorder.Recorder()
        )
        positions = []
        for _number in range(2):
            events = await watch._fetch(engine, 0)
            positions.append(events.position)
        return positions, fleet.pool(engine).open

    bodies = [response(epoch=1, next=n, lost=False, events=[]) for n in (5, 9)]
    assert run(bodies, scenario) == ([5, 9], 0)


def test_a_duty_gets_its_own_response():
    """A refused report was taken for accepted and never sent again."""

    async def scenario(_server, address):
        settings = control.DutySettings(
            address, frozenset(control.Duty), calls_per_s=50.0
        )
        client = _duty_api.DutyApi(asyncio.get_running_loop(), settings)
        report = functools.partial(client.report_usage, 'n1', 9, REPORT)
        with contextlib.closing(client):
            return [await report(lambda: True) for _number in range(2)]

    responses = [response(), response('409 Conflict')]
    results = run(responses, scenario)
    assert results == [control.Accepted(), control.Refused()]
