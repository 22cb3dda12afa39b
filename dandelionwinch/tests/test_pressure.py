"""Upstreams that stop to read, or hold too much, at a whole gateway.

The load is a burst of the largest bodies, 4 MiB each.
"""

import asyncio
import math

import attrs
import pytest
import uvloop

from dandelionwinch.gateway import _crash_probe
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _upstream_bytes
from dandelionwinch.platform import samples
from dandelionwinch.ratelimits import _granter
from dandelionwinch.standins import holding
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch import upstreams

MIB = 1 << 20
LARGEST = 4 * MIB
ON = gateway_harness.Config(limits_held_bytes=True)
OK = [[gateway_harness.response(b'other')]]
STEP_S = 0.25


class _Site:
    """A gateway with the upstream `h` that holds bodies, and scripted ones.

    Calls go to `h` as long as it is a candidate, whatever its latency.
    """

    def __init__(self, harness):
        self.harness = harness
        self.log = harness.log
        self.gateway = harness.gateway
        self.upstream = holding.HoldingUpstream(on_change=harness.log.notify)
        self._writers = []

    async def start(self):
        await self.upstream.start()
        registry = self.gateway.fleet.registry
        for other in registry:
            other.ejected_until = math.inf
        address, role = self.upstream.address, upstreams.Role.DECODE
        registry.apply(
            upstreams.Entry('h', 's', address, 'dc', 1, True, role, 4)
        )

    async def close(self):
        for writer in self._writers:
            writer.close()
        await self.upstream.close()

    @property
    def _guard(self):
        entry = self.gateway.fleet.registry.get('h').entry
        return self.gateway.fleet.byte_limits._guards[entry.incarnation]

    def stall(self):
        """Observes the upstream for 2.5 s of virtual time."""
        now = asyncio.get_running_loop().time()
        for step in range(11):
            self._guard.observe(now + step * STEP_S)

    async def send(self, path, request_id, size=LARGEST):
        """Sends a request with a body; returns the reader of its caller."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.harness.server.port
        )
        self._writers.append(writer)
        request = samples.request(path, request_id, timeout_ms=20000)
        head = request[:-2].replace(b'Length: 2', b'Length: %d' % size)
        writer.write(head + b'b' * size)
        return reader

    async def wait_begun(self, *request_ids):
        """Waits until requests have begun to arrive at `h`."""
        await self.log.wait_until(
            lambda: set(request_ids) <= set(self.upstream.begun)
        )

    def events(self, name):
        return [fields for event, fields in self.log.events if event == name]


async def _answer(reader):
    """Returns status, header names and body of a response."""
    async with asyncio.timeout(recorder.TIMEOUT_S):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        lines = head.strip().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in lines[1:])
        body = await reader.readexactly(int(headers['content-length']))
    return int(lines[0].split(' ')[1]), set(headers), body


def _run(scenario, others=1, cfg=ON):
    async def whole(harness):
        site = _Site(harness)
        await site.start()
        try:
            return await scenario(site)
        finally:
            await site.close()

    async def run():
        harness = gateway_harness.GatewayHarness([OK] * others, cfg=cfg)
        async with harness:
            return await whole(harness)

    return uvloop.run(run())


def test_a_call_leaves_an_upstream_that_has_stopped_to_read():
    """It stayed there until its deadline."""

    async def scenario(site):
        site.upstream.reading.clear()
        reader = await site.send('/safe/1', 'r1')
        await site.wait_begun('r1')
        site.stall()
        return await _answer(reader), site.events('upstream.stalled')

    (status, _headers, body), stalled = _run(scenario)
    assert (status, body) == (200, b'other')
    (event,) = stalled
    assert (event['upstream'], event['seconds']) == ('h', 2.0)
    assert event['unread_bytes'] > MIB


def test_a_call_that_may_run_once_and_was_sent_in_part_is_unknown():
    """It may run where it was sent, so it is not sent elsewhere."""

    async def scenario(site):
        site.upstream.reading.clear()
        reader = await site.send('/failover/1', 'r1')
        await site.wait_begun('r1')
        site.stall()
        answer = await _answer(reader)
        site.upstream.reading.set()
        await site.log.wait_until(lambda: site.upstream.broken_off)
        return answer, site.harness.requests, site.upstream.executed

    (status, headers, _body), elsewhere, executed = _run(scenario)
    assert status == 502
    assert 'retry-after' not in headers
    assert (elsewhere, executed) == ([], [])


def test_a_stalled_upstream_gets_nothing_until_it_reads():
    async def scenario(site):
        site.upstream.reading.clear()
        site.upstream.answering.clear()
        small = await site.send('/once/1', 'small', 2)
        await site.wait_begun('small')
        large = await site.send('/safe/1', 'large')
        await site.wait_begun('large')
        site.stall()
        await _answer(large)
        await _answer(await site.send('/safe/1', 'next', 2))
        begun = list(site.upstream.begun)
        site.upstream.reading.set()
        site.upstream.answering.set()
        await _answer(small)
        await _answer(await site.send('/safe/1', 'last', 2))
        return begun, site.upstream.begun, site.events('upstream.reads')

    begun, later, reads = _run(scenario)
    assert begun == ['small', 'large']
    assert later == ['small', 'large', 'last']
    assert reads == [{'upstream': 'h'}]


def test_what_exceeds_the_bound_goes_to_another_upstream():
    async def scenario(site):
        site.upstream.answering.clear()
        for number in range(4):
            await site.send('/once/1', f'r{number}')
        await site.wait_begun('r0', 'r1', 'r2', 'r3')
        answer = await _answer(await site.send('/once/1', 'r4'))
        small = await site.send('/once/1', 'small', 2)
        await site.wait_begun('small')
        site.upstream.answering.set()
        return answer, await _answer(small), site.upstream.begun

    answer, small, begun = _run(scenario)
    assert (answer[0], answer[2]) == (200, b'other')
    assert (small[0], small[2]) == (200, b'ok')
    assert 'r4' not in begun


def test_what_exceeds_the_bounds_of_all_is_refused_as_not_run():
    """An upstream that holds too much crashes, with all that it runs."""

    async def scenario(site):
        site.upstream.answering.clear()
        for number in range(4):
            await site.send('/safe/1', f'r{number}')
        await site.wait_begun('r0', 'r1', 'r2', 'r3')
        answer = await _answer(await site.send('/safe/1', 'r4'))
        return answer, site.upstream.begun

    (status, headers, _body), begun = _run(scenario, others=0)
    assert status == 503
    assert 'retry-after' in headers
    assert sorted(begun) == ['r0', 'r1', 'r2', 'r3']


def test_a_crash_under_many_bytes_halves_the_bound_of_the_service():
    async def scenario(site):
        site.upstream.answering.clear()
        readers = [await site.send('/once/1', f'r{n}') for n in range(2)]
        await site.wait_begun('r0', 'r1')
        await site.upstream.close()
        statuses = [(await _answer(reader))[0] for reader in readers]
        return statuses, site.events('upstream.bytes_bound')

    statuses, events = _run(scenario)
    assert statuses == [502, 502]
    (event,) = events
    assert (event['service'], event['bytes']) == ('s', 8 * MIB)
    assert (event['why'], event['held']) == ('crashed', 2 * LARGEST)


async def _connect(sites):
    """Connects the gateways of sites by datagrams."""
    peers = {}
    for number, site in enumerate(sites):
        link = site.gateway.peers
        await link.start('127.0.0.1', 0)
        peers[f'edge-{number}'] = link._transport.get_extra_info('sockname')
    for site in sites:
        site.gateway.peers.set_peers(peers)
        site.gateway.start()


def test_another_instance_learns_the_bound_and_sends_only_its_share(
    monkeypatch,
):
    """It learnt from a crash of its own, and kept a bound of its own."""
    # Nothing is granted, as after a change of the granting instance.
    monkeypatch.setattr(_granter, 'WARM_UP_S', 1e9)

    async def scenario(site):
        cfg = attrs.evolve(ON, instance='edge-1')
        async with gateway_harness.GatewayHarness([], cfg=cfg) as harness:
            other = _Site(harness)
            await other.start()
            await _connect([site, other])
            site.upstream.answering.clear()
            readers = [await site.send('/once/1', f'r{n}') for n in range(2)]
            await site.wait_begun('r0', 'r1')
            await site.upstream.close()
            for reader in readers:
                await _answer(reader)
            await other.log.wait_until(
                lambda: other.events('upstream.bytes_bound')
            )
            refused = await _answer(await other.send('/once/1', 'large'))
            small = await _answer(await other.send('/once/1', 'small', 2))
            (event,) = other.events('upstream.bytes_bound')
            await other.close()
            return event, refused, small, other.upstream.begun

    cfg = attrs.evolve(ON, instance='edge-0')
    event, refused, small, begun = _run(scenario, others=0, cfg=cfg)
    assert (event['bytes'], event['total']) == (8 * MIB, 2 * LARGEST)
    assert event['source'] == 'edge-0'
    assert (refused[0], 'retry-after' in refused[1]) == (503, True)
    assert (small[0], begun) == (200, ['small'])


def test_a_connection_with_an_unsent_rest_of_a_body_is_not_reused():
    """The rest would come before the next request."""

    async def scenario(site):
        site.upstream.reading.clear()
        reader = await site.send('/once/1', 'r1')
        await site.wait_begun('r1')
        guard = site._guard
        (conn,) = guard._conns
        head = samples.response_head('r1', 'Content-Length: 2')
        conn.data_received(head + b'ok')
        await _answer(reader)
        return conn.usable

    assert not _run(scenario)


class _Owner:
    """What a guard asks of ByteLimits, with a bound of 4 MiB."""

    def bound(self, _service):
        return LARGEST

    def activate(self, _guard):
        pass


def test_a_large_body_that_waits_gives_way_to_a_smaller_one():
    """Else it would hold the room of many callers while it waits."""

    async def scenario():
        loop = asyncio.get_running_loop()
        entry = upstreams.Entry(
            'h', 's', '', 'dc', 1, True, upstreams.Role.PLAIN, 4
        )
        guard = _upstream_bytes.UpstreamBytes(loop, entry, _Owner())
        pool = _pool.Pool(loop, '127.0.0.1:1', 1, guard=guard)
        pool.open = 1
        waits = [
            asyncio.create_task(pool.acquire(60.0, body_bytes=size))
            for size in (3 * MIB, 2 * MIB)
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        large, small = waits
        assert not small.done()
        small.cancel()
        await asyncio.wait([small])
        return large.exception(), guard.idle

    exc, idle = asyncio.run(scenario())
    assert isinstance(exc, _pool.NoRoom)
    assert idle


@pytest.mark.parametrize('path', ['/safe/1', '/once/1'])
def test_without_the_setting_nothing_is_bounded(path):
    async def scenario(site):
        site.upstream.answering.clear()
        readers = [await site.send(path, f'r{n}') for n in range(6)]
        await site.wait_begun(*[f'r{n}' for n in range(6)])
        site.upstream.answering.set()
        answers = [await _answer(reader) for reader in readers]
        text = site.gateway.metrics.text()
        fleet = site.gateway.fleet
        teams = {conn.team for conn in site.harness.server.connections}
        return answers, b'held_bytes' in text, fleet.byte_limits, teams

    answers, metric, byte_limits, teams = _run(
        scenario, cfg=gateway_harness.Config()
    )
    assert {(status, body) for status, _h, body in answers} == {(200, b'ok')}
    assert (metric, byte_limits, teams) == (False, None, {''})


@pytest.mark.parametrize('patient', [True, False])
def test_a_process_that_is_ending_has_crashed(monkeypatch, patient):
    """Its connections may be closed before its listening socket is."""
    monkeypatch.setattr(_crash_probe, 'CONFIRM_TIMEOUT_S', recorder.TIMEOUT_S)
    monkeypatch.setattr(_crash_probe, 'ENDING_S', recorder.TIMEOUT_S)

    async def scenario():
        def end(_reader, writer):
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(end, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        probe = _crash_probe.CrashProbe(
            loop, f'{host}:{port}', patient=patient
        )
        at_once = await probe.refuses()
        later = at_once or await probe.ends(recorder.TIMEOUT_S)
        probe.close()
        return at_once, later

    # One that does not wait may still meet the end at its first look.
    at_once, later = asyncio.run(scenario())
    assert at_once or not patient
    assert later
