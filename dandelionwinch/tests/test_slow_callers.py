"""Tests of callers that read slowly, and of what is held for them."""

import asyncio

import pytest
import uvloop

from dandelionwinch import gateway
from dandelionwinch.gateway import _caller_connection
from dandelionwinch.gateway import _server
from dandelionwinch import routes
from dandelionwinch.tests import recorder
from dandelionwinch.tests import test_server

# More than the buffers of two sockets take.
LARGE = b'x' * (16 << 20)
POST = b'POST /once/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\n\r\n'


@pytest.fixture(autouse=True)
def no_sweeps(monkeypatch):
    """Leaves the sweeps to the tests."""
    monkeypatch.setattr(_server, 'SWEEP_INTERVAL_S', 1000.0)


class _Site:
    """A server of large responses to GET and small ones to POST."""

    def __init__(self, max_held_bytes=None):
        self._max_held_bytes = max_held_bytes
        self.stalled = []
        self.served = 0
        self._writers = []

    async def __aenter__(self):
        self.clock = test_server._Clock(asyncio.get_running_loop())
        self.server = gateway.Server(
            self.clock,
            self._serve,
            routes.Limits(),
            max_held_bytes=self._max_held_bytes,
            on_stalled=self.stalled.append,
        )
        await self.server.start('127.0.0.1:0')
        return self

    async def __aexit__(self, *_exc):
        for writer in self._writers:
            writer.close()
        self.server.close()

    async def _serve(self, incoming, caller):
        self.served += 1
        large = incoming.head.method == 'GET'
        caller.respond(200, (), LARGE if large else b'')

    async def connect(self, data):
        """Returns the reader of a new connection that sends bytes."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )
        self._writers.append(writer)
        writer.write(data)
        return reader

    async def unread_connection(self):
        """Returns the reader and the connection of a large response."""
        before = set(self.server.connections)
        reader = await self.connect(test_server.REQUEST)
        while not (new := self.server.connections - before):
            await asyncio.sleep(0)
        (conn,) = new
        while not conn.unread_bytes:
            await asyncio.sleep(0)
        return reader, conn

    def sweep(self, seconds):
        """Sweeps the connections once a second."""
        for _second in range(seconds):
            self.clock.now += 1.0
            for conn in list(self.server.connections):
                conn.sweep(self.clock.now)


def _run(scenario, max_held_bytes=None):
    async def run():
        async with _Site(max_held_bytes) as site:
            async with asyncio.timeout(recorder.TIMEOUT_S):
                return await scenario(site)

    return uvloop.run(run())


def test_a_caller_that_reads_nothing_is_disconnected():
    """What was written for it stayed in memory until it left."""

    async def scenario(site):
        await site.unread_connection()
        site.sweep(int(_caller_connection.UNREAD_TIMEOUT_S) + 2)
        await asyncio.sleep(0)
        return site.stalled, len(site.server.connections)

    stalled, left = _run(scenario)
    assert len(stalled) == 1
    assert left == 0


def test_a_caller_that_reads_slowly_gets_all():
    async def scenario(site):
        reader, conn = await site.unread_connection()
        head = await reader.readuntil(b'\r\n\r\n')
        got = 0
        while got < len(LARGE):
            before = conn.unread_bytes
            got += len(await reader.read(1 << 20))
            if before == conn.unread_bytes:
                continue
            site.sweep(2)
        return head, got, site.stalled

    head, got, stalled = _run(scenario)
    assert head.startswith(b'HTTP/1.1 200')
    assert (got, stalled) == (len(LARGE), [])


def test_pipelined_requests_wait_until_responses_are_read():
    """Each of them added a whole response to what was held."""

    async def scenario(site):
        await site.connect(4 * test_server.REQUEST)
        while not site.served:
            await asyncio.sleep(0)
        for _step in range(50):
            await asyncio.sleep(0)
        return site.served

    assert _run(scenario) == 1


@pytest.mark.parametrize('draining', [False, True])
@pytest.mark.parametrize(
    ('behind', 'status'),
    [(b'no request\r\n\r\n', b'400'), (16 * (POST % 0), b'503')],
)
def test_a_refusal_waits_for_the_requests_before_it(draining, behind, status):
    """It was sent at once, as the response to a request that waited.

    Requests wait for the reader of the response before them. Those in
    between were dropped.
    """

    async def scenario(site):
        reader, conn = await site.unread_connection()
        (writer,) = site._writers
        writer.write(2 * (POST % 0))
        while len(conn._queue) < 2:
            await asyncio.sleep(0)
        if draining:
            site.server.drain()
        writer.write(behind)
        while conn._rejection is None:
            await asyncio.sleep(0)
        data = await reader.read()
        return data[data.rindex(b'x') + 1 :]

    rest = _run(scenario)
    statuses = [part[:3] for part in rest.split(b'HTTP/1.1 ')[1:]]
    assert statuses[:2] == [b'200', b'200']
    assert statuses[-1] == status


def test_an_unread_response_yields_to_the_body_of_another_caller():
    async def scenario(site):
        _reader, conn = await site.unread_connection()
        reader = await site.connect(POST % 4096 + b'b' * 4096)
        line = await reader.readline()
        return line, conn.closed, len(site.stalled)

    line, closed, stalled = _run(scenario, max_held_bytes=1 << 20)
    assert line.startswith(b'HTTP/1.1 200')
    assert (closed, stalled) == (True, 1)


def test_bodies_beyond_the_bound_are_refused_as_not_run():
    async def scenario(site):
        held = await site.connect(POST % 5000 + b'b' * 3000)
        refused = await site.connect(POST % 5000 + b'b' * 3000)
        line = await refused.readline()
        return line, held.at_eof(), site.served

    line, ended, served = _run(scenario, max_held_bytes=4000)
    assert line.startswith(b'HTTP/1.1 503')
    assert (ended, served) == (False, 0)
