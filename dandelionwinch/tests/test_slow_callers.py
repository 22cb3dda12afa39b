"""Tests of callers that read slowly, and of what is held for them."""

import asyncio
import contextlib

import pytest
import uvloop

from dandelionwinch import gateway
from dandelionwinch.gateway import _caller_writer
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
        self._writer_of = {}

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
        self._writer_of[reader] = writer
        writer.write(data)
        return reader

    def send(self, reader, data):
        """Sends more bytes on the connection of a reader."""
        self._writer_of[reader].write(data)

    async def unread_connection(self, team=''):
        """Returns the reader and the connection of a large response.

        Args:
            team: Team to which the connection is counted, or ''.
        """
        before = set(self.server.connections)
        reader = await self.connect(test_server.REQUEST)
        while not (new := self.server.connections - before):
            await asyncio.sleep(0)
        (conn,) = new
        while not conn.unread_bytes:
            await asyncio.sleep(0)
        conn.team = team
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
        site.sweep(int(_caller_writer.UNREAD_TIMEOUT_S) + 2)
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


def test_a_suspended_instance_disconnects_no_reader():
    """Its timers run before it sees what was read in the meantime."""

    async def scenario(site):
        _reader, conn = await site.unread_connection()
        site.sweep(1)
        site.clock.now += 60.0
        conn.sweep(site.clock.now)
        return site.stalled

    assert _run(scenario) == []


def test_slow_readers_of_a_team_above_half_are_disconnected():
    """They took the room of the other teams' callers."""

    async def scenario(site):
        conns = []
        for team in ('large', 'large', 'small'):
            _reader, conn = await site.unread_connection(team)
            conns.append(conn)
        site.server._sweep()
        site.server._sweep_timer.cancel()
        return [conn.closed for conn in conns]

    *large, small = _run(scenario, max_held_bytes=44 << 20)
    assert sorted(large) == [False, True]
    assert not small


def test_a_team_alone_may_hold_all():
    async def scenario(site):
        conns = []
        for _number in range(2):
            _reader, conn = await site.unread_connection('large')
            conns.append(conn)
        site.server._sweep()
        site.server._sweep_timer.cancel()
        return [conn.closed for conn in conns]

    assert _run(scenario, max_held_bytes=44 << 20) == [False, False]


def test_a_body_of_a_team_above_half_is_refused_as_not_run():
    """Bodies of a burst can't be dropped any more once they were sent."""

    async def scenario(site):
        held, conns = [], []
        for team in ('small', 'large', 'large'):
            before = set(site.server.connections)
            held.append(await site.connect(POST % 5000 + b'b' * 100))
            while not (new := site.server.connections - before):
                await asyncio.sleep(0)
            (conn,) = new
            while not conn.body_bytes:
                await asyncio.sleep(0)
            conn.team = team
            conns.append(conn)
        site.send(held[1], b'b' * 2500)
        while conns[1].body_bytes < 2600:
            await asyncio.sleep(0)
        site.send(held[2], b'b' * 2500)
        line = await held[2].readline()
        return line, [reader.at_eof() for reader in held[:2]], site.served

    line, ended, served = _run(scenario, max_held_bytes=8000)
    assert line.startswith(b'HTTP/1.1 503')
    assert (ended, served) == ([False, False], 0)


def test_a_stream_whose_reader_is_disconnected_does_not_look_complete():
    """Its end was written already and waited behind what is unread."""

    async def scenario(site):
        async def stream(_incoming, caller):
            caller.start_stream(200, ())
            asyncio.get_running_loop().call_soon(caller.resume_writing)
            await caller.send_chunk(LARGE)
            caller.end_stream()

        site.server.handler = stream
        reader, _conn = await site.unread_connection()
        site.sweep(int(_caller_writer.UNREAD_TIMEOUT_S) + 2)
        data = b''
        with contextlib.suppress(ConnectionError):
            while received := await reader.read(1 << 20):
                data += received
        return len(site.stalled), data

    stalled, data = _run(scenario)
    assert stalled == 1
    assert 0 < len(data) < len(LARGE)
    assert not data.endswith(b'0\r\n\r\n')


def test_the_largest_arriving_body_gives_way_to_a_small_one():
    """Slow senders of large bodies had the calls of all others refused."""

    async def scenario(site):
        site.server.sheds_largest = True
        large = await site.connect(POST % 5000 + b'b' * 3900)
        while sum(c.body_bytes for c in site.server.connections) < 3900:
            await asyncio.sleep(0)
        small = await site.connect(POST % 200 + b'b' * 200)
        return await small.readline(), await large.readline()

    small, large = _run(scenario, max_held_bytes=4000)
    assert small.startswith(b'HTTP/1.1 200')
    assert large.startswith(b'HTTP/1.1 503')
