"""Tests of the callers' connections: when they are closed."""

import asyncio
import os
import socket

import attrs
import pytest
import uvloop

from dandelionwinch import gateway
from dandelionwinch.gateway import _caller_connection
from dandelionwinch.gateway import _server
from dandelionwinch import routes
from dandelionwinch.tests import recorder

REQUEST = b'GET /once/1 HTTP/1.1\r\nHost: desk\r\n\r\n'
PART = b'POST /once/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n\r\nab'


class _Clock:
    """The time of a server, which the test sets."""

    def __init__(self, loop):
        self._loop = loop
        self.now = 100.0

    def time(self):
        """Returns the time that was set."""
        return self.now

    def __getattr__(self, name):
        return getattr(self._loop, name)


class _Connected:
    """A server with one connection, whose sweeps the test makes."""

    def __init__(self, limits):
        self._limits = limits

    async def __aenter__(self):
        self.clock = _Clock(asyncio.get_running_loop())
        self.server = gateway.Server(self.clock, self._serve, self._limits)
        await self.server.start('127.0.0.1:0')
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )
        while not self.server.connections:
            await asyncio.sleep(0)
        (self.conn,) = self.server.connections
        return self

    async def __aexit__(self, *_exc):
        self.writer.close()
        self.server.close()

    @staticmethod
    async def _serve(_incoming, caller):
        caller.respond(200, (), b'')

    async def first_line(self):
        """Returns the first line of the response, b'' if there is none."""
        async with asyncio.timeout(recorder.TIMEOUT_S):
            try:
                return await self.reader.readline()
            except ConnectionError:
                return b''


@pytest.fixture(autouse=True)
def no_sweeps(monkeypatch):
    """Leaves the sweeps to the tests."""
    monkeypatch.setattr(_server, 'SWEEP_INTERVAL_S', 1000.0)


def _run(scenario, keep_alive_s=15.0):
    async def run():
        limits = routes.Limits(keep_alive_timeout_s=keep_alive_s)
        async with _Connected(limits) as connected:
            return await scenario(connected)

    return uvloop.run(run())


def _sent_before_a_look(connected):
    """Sends a request that the loop has not read yet."""
    sock = connected.writer.get_extra_info('socket')
    os.write(sock.fileno(), REQUEST)


@pytest.mark.parametrize('cause', ['idle', 'drain', 'finish'])
def test_a_request_that_waits_to_be_read_is_not_closed(cause):
    """Timers run before sockets are read; the caller saw a reset."""

    async def scenario(connected):
        connected.clock.now += 20.0
        if cause == 'drain':
            connected.server.drain()
        _sent_before_a_look(connected)
        if cause == 'finish':
            connected.server.finish()
        else:
            connected.conn.sweep(connected.clock.now)
        return await connected.first_line()

    assert _run(scenario).startswith(b'HTTP/1.1 200')


def test_an_idle_connection_keeps_the_limit_that_was_in_force():
    """A new, shorter limit closed connections that callers still used."""

    async def scenario(connected):
        connected.server.limits = routes.Limits(keep_alive_timeout_s=2.0)
        connected.clock.now += 10.0
        connected.conn.sweep(connected.clock.now)
        for _step in range(10):
            await asyncio.sleep(0)
        connected.writer.write(REQUEST)
        return await connected.first_line()

    assert _run(scenario).startswith(b'HTTP/1.1 200')


def test_an_idle_connection_is_closed_after_its_limit():
    async def scenario(connected):
        connected.clock.now += 16.0
        connected.conn.sweep(connected.clock.now)
        return await connected.first_line()

    assert _run(scenario) == b''


def test_a_new_connection_of_a_drain_has_time_for_its_request():
    async def scenario(connected):
        connected.server.drain()
        connected.clock.now += _caller_connection.DRAIN_IDLE_S / 2
        connected.conn.sweep(connected.clock.now)
        for _step in range(10):
            await asyncio.sleep(0)
        connected.writer.write(REQUEST)
        return await connected.first_line()

    assert _run(scenario).startswith(b'HTTP/1.1 200')


def test_a_request_that_has_arrived_in_part_is_refused_by_a_stop():
    async def scenario(connected):
        connected.writer.write(PART)
        while not connected.conn._incoming:
            await asyncio.sleep(0)
        connected.server.finish()
        return await connected.first_line()

    assert _run(scenario).startswith(b'HTTP/1.1 503')


@pytest.mark.parametrize(
    ('cause', 'status'),
    [('stop', 503), ('pipelining', 503), ('malformed', 400)],
)
def test_a_rejection_tells_when_to_retry_what_was_not_run(cause, status):
    """Callers repeated at once what was refused without Retry-After."""

    async def scenario(connected):
        data = {
            'stop': PART,
            'pipelining': REQUEST
            * (2 + _caller_connection.MAX_PIPELINED_REQUESTS),
            'malformed': b'x\r\n\r\n',
        }
        connected.writer.write(data[cause])
        if cause == 'stop':
            while not connected.conn._incoming:
                await asyncio.sleep(0)
            connected.server.finish()
        async with asyncio.timeout(recorder.TIMEOUT_S):
            return await connected.reader.read()

    *_served, last = _run(scenario).split(b'HTTP/1.1 ')
    assert last.startswith(b'%d' % status)
    assert (b'\r\nRetry-After: 0.20\r\n' in last) is (status == 503)


@pytest.mark.parametrize('cause', ['stop', 'length'])
def test_a_rejection_is_read_by_a_caller_that_still_sends(cause):
    """Its connection was reset as bytes arrived after the response."""
    length = 1 << 20

    async def scenario(connected):
        if cause == 'length':
            length_limit = length - 1
            connected.server.limits = attrs.evolve(
                connected.server.limits, max_body_bytes=length_limit
            )
        head = (
            f'POST /once/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: {length}'
        )
        connected.writer.write(head.encode() + b'\r\n\r\n')
        while not (connected.conn._incoming or connected.conn._rejection):
            await asyncio.sleep(0)
        connected.server.finish()
        connected.writer.write(b'x' * length)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            got = await connected.reader.read()
            connected.writer.close()
            while connected.server.connections:
                await asyncio.sleep(0)
        return got

    status = b'503' if cause == 'stop' else b'413'
    assert _run(scenario).startswith(b'HTTP/1.1 ' + status)


EXPECTING = (
    b'POST /once/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n'
    b'Expect: 100-continue\r\n\r\n'
)


def test_an_interim_response_waits_for_the_response_before_it():
    """It was written into the middle of a response."""

    async def scenario(connected):
        halfway = asyncio.get_running_loop().create_future()

        async def serve(_incoming, caller):
            caller.start_stream(200, ())
            await caller.send_chunk(b'one')
            await halfway
            await caller.send_chunk(b'two')
            caller.end_stream()

        connected.server.handler = serve
        connected.writer.write(REQUEST + EXPECTING)
        while connected.conn._incoming is None:
            await asyncio.sleep(0)
        halfway.set_result(None)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            first = await connected.reader.readuntil(b'0\r\n\r\n')
            interim = await connected.reader.readline()
        return first, interim

    first, interim = _run(scenario)
    assert b'100' not in first
    assert interim.startswith(b'HTTP/1.1 100')


@pytest.mark.parametrize('count', [1, 10])
def test_a_request_beyond_the_limit_of_pipelining_is_refused(count):
    """It was served and got a 400 besides."""
    # One is served while the others wait.
    limit = 1 + _caller_connection.MAX_PIPELINED_REQUESTS

    async def scenario(connected):
        connected.writer.write(REQUEST * (limit + count))
        async with asyncio.timeout(recorder.TIMEOUT_S):
            return await connected.reader.read()

    got = _run(scenario)
    assert got.count(b'HTTP/1.1 200') == limit
    assert got.count(b'HTTP/1.1 503') == 1
    assert got.count(b'HTTP/1.1') == limit + 1


@pytest.mark.parametrize('behind', [REQUEST, PART])
def test_a_drain_closes_after_the_last_request_that_has_begun(behind):
    """It was announced before, and a request in part was dropped."""

    async def scenario(connected):
        held = asyncio.get_running_loop().create_future()

        async def serve(_incoming, caller):
            await held
            caller.respond(200, (), b'')

        connected.server.handler = serve
        connected.writer.write(REQUEST + behind)
        while not (connected.conn._incoming or connected.conn._queue):
            await asyncio.sleep(0)
        connected.server.drain()
        held.set_result(None)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            first = await connected.reader.readuntil(b'\r\n\r\n')
            if behind == PART:
                connected.writer.write(b'cd')
            return first, await connected.reader.read()

    first, rest = _run(scenario)
    assert first.startswith(b'HTTP/1.1 200')
    assert b'Connection: close' not in first
    assert rest.startswith(b'HTTP/1.1 200')
    assert b'Connection: close' in rest


def test_a_drain_keeps_a_connection_for_a_head_that_has_begun():
    """Its first bytes came in one read with the end of the request before.

    The connection was closed after that one, and the request was cut.
    """

    async def scenario(connected):
        held = asyncio.get_running_loop().create_future()

        async def serve(_incoming, caller):
            await held
            caller.respond(200, (), b'')

        connected.server.handler = serve
        connected.server.drain()
        connected.writer.write(PART)
        while not connected.conn._incoming:
            await asyncio.sleep(0)
        connected.writer.write(b'cd' + REQUEST[:9])
        while connected.conn._incoming:
            await asyncio.sleep(0)
        held.set_result(None)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            first = await connected.reader.readuntil(b'\r\n\r\n')
            connected.writer.write(REQUEST[9:])
            return first, await connected.reader.read()

    first, rest = _run(scenario)
    assert first.startswith(b'HTTP/1.1 200')
    assert b'Connection: close' not in first
    assert rest.startswith(b'HTTP/1.1 200')
    assert b'Connection: close' in rest


@pytest.mark.parametrize('begun', [REQUEST[:9], REQUEST + REQUEST[:9], PART])
def test_a_stop_refuses_what_has_begun_behind_a_request(begun):
    """It had no response: its connection was aborted at the very end."""

    async def scenario(connected):
        held = asyncio.get_running_loop().create_future()

        async def serve(_incoming, caller):
            await held
            caller.respond(200, (), b'')

        connected.server.handler = serve
        connected.writer.write(REQUEST + begun)
        while connected.conn._task is None:
            await asyncio.sleep(0)
        connected.server.finish()
        held.set_result(None)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            return await connected.reader.read()

    statuses = [part[:3] for part in _run(scenario).split(b'HTTP/1.1 ')[1:]]
    served = 1 + begun.count(REQUEST)
    assert statuses == [b'200'] * served + [b'503']


def test_a_connection_that_waits_to_be_accepted_is_served_by_a_stop():
    """It came while the loop was held up, and was reset with its request."""

    async def scenario(connected):
        address = ('127.0.0.1', connected.server.port)
        sock = socket.create_connection(address)
        sock.sendall(REQUEST)
        connected.server.finish()
        reader, writer = await asyncio.open_connection(sock=sock)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            try:
                got = await reader.read()
            except ConnectionError:
                got = b''
        writer.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        return got

    got = _run(scenario)
    assert got.startswith(b'HTTP/1.1 200')
    assert b'Connection: close' in got


def test_a_server_that_never_listened_can_finish():
    """An instance may have no address for callers; its stop raised here."""

    async def scenario(connected):
        server = gateway.Server(connected.clock, None, routes.Limits())
        server.finish()
        server.close()
        return server.draining

    assert _run(scenario)
