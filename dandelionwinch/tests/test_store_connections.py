"""Connections to the platform's store on which an answer was lost."""

import asyncio
import contextlib

from dandelionwinch import control
from dandelionwinch import gateway
from dandelionwinch.gateway import _connection
from dandelionwinch.platform import _store
from dandelionwinch.tests import recorder
from dandelionwinch.tests import test_late_duplicates
from dandelionwinch.tests import virtual

LISTED = test_late_duplicates.response(
    items=[], hasMore=False, storeRevision=7
)
CALLS = 3


class _Server:
    """Answers all requests, but closes a connection at its second one.

    Attributes:
        connections: Number of connections that were opened.
    """

    def __init__(self):
        self.connections = 0
        self._all_sent = asyncio.Event()
        self._requests = 0
        self.tasks = []

    async def serve(self, reader, writer):
        """Serves a connection."""
        self.tasks.append(asyncio.current_task())
        self.connections += 1
        with contextlib.closing(writer):
            await reader.readuntil(b'\r\n\r\n')
            self._requests += 1
            if self._requests >= CALLS:
                self._all_sent.set()
            # So that each of the first calls has a connection of its own.
            await self._all_sent.wait()
            writer.write(LISTED)
            await reader.readuntil(b'\r\n\r\n')


async def _call(store):
    try:
        await store.list('k/')
    except control.StoreFailed:
        return False
    return True


def test_after_a_lost_answer_no_old_connection_is_used():
    """Each of several silent connections cost one more hung call."""

    async def scenario():
        server = _Server()
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        host, port = listener.sockets[0].getsockname()
        store = _store.Store(asyncio.get_running_loop(), f'{host}:{port}')
        with contextlib.closing(store), contextlib.closing(listener):
            async with asyncio.timeout(recorder.TIMEOUT_S):
                calls = [_call(store) for _ in range(CALLS)]
                before = await asyncio.gather(*calls)
                opened = server.connections
                after = [await _call(store) for _ in range(2)]
        await asyncio.gather(*server.tasks, return_exceptions=True)
        return before, opened, after, server.connections

    before, opened, after, connections = asyncio.run(scenario())
    assert (before, opened) == ([True] * CALLS, CALLS)
    assert after == [False, True]
    assert connections == CALLS + 1


class _SlowPool:
    """Gives a connection after some seconds, on which no answer comes."""

    class Conn:
        """A connection that is not used yet."""

        written_bytes = 0

        def send(self, data):
            """Sends a request."""

    def __init__(self, wait_s):
        self._wait_s = wait_s

    async def acquire(self, _timeout_s, *, new):
        """Returns a connection."""
        await asyncio.sleep(self._wait_s)
        return self.Conn()

    def discard(self, conn):
        """Closes a connection."""

    def close_idle(self):
        """Closes idle connections."""


def test_the_time_of_a_call_includes_that_for_its_connection(monkeypatch):
    """A call took twice its time where all connections were in use."""

    async def silence(_conn, timeout_s, **_more):
        await asyncio.sleep(timeout_s)
        cause = _connection.LossCause.TIMEOUT
        raise gateway.ConnectionLost(cause, 'no answer')

    async def scenario():
        loop = asyncio.get_running_loop()
        store = _store.Store(loop, '127.0.0.1:1')
        store._pool = _SlowPool(1.0)
        assert not await _call(store)
        return loop.time()

    monkeypatch.setattr(gateway, 'read_response', silence)
    assert virtual.run(scenario()) == control.CALL_TIMEOUT_S
