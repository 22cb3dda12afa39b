"""Connections to one address: reused, limited, and waited for."""

import asyncio
import collections

from dandelionwinch.gateway import _connection

CONNECT_TIMEOUT_S = 0.4


class NotConnected(Exception):
    """No connection could be made; nothing was sent."""


class PoolBusy(NotConnected):
    """All connections that are allowed carry requests."""


class Pool:
    """Connections to one address, up to a limit."""

    __slots__ = ('_address', '_idle', '_loop', '_waiters', 'limit', 'open')

    def __init__(self, loop, address, limit):
        self._loop = loop
        self._address = address
        self._idle = collections.deque()
        self._waiters = collections.deque()
        self.limit = limit
        self.open = 0

    async def acquire(self, timeout_s, *, fresh_s=0.0):
        """Returns a connection that carries no request.

        Args:
            timeout_s: Longest wait for one.
            fresh_s: Seconds of idleness that must be left to it.

        Raises:
            NotConnected: If there is none in time.
        """
        deadline = self._loop.time() + timeout_s
        while True:
            conn = self._reuse(fresh_s)
            if conn is not None:
                return conn
            if self.open < self.limit:
                return await self._connect(deadline - self._loop.time())
            await self._free(deadline)

    def _reuse(self, fresh_s):
        now = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and conn.idle_until - fresh_s > now:
                return conn
            self._drop(conn)
        return None

    async def _connect(self, left_s):
        host, _, port = self._address.rpartition(':')
        timeout_s = min(CONNECT_TIMEOUT_S, left_s)
        self.open += 1
        try:
            async with asyncio.timeout(timeout_s):
                _transport, conn = await self._loop.create_connection(
                    lambda: _connection.Connection(self._loop), host, int(port)
                )
            return conn
        except (OSError, ValueError) as exc:
            self._closed_one()
            raise NotConnected(
                f'no connection to "{self._address}": {exc or "timeout"}'
            ) from exc
        except BaseException:
            self._closed_one()
            raise

    async def _free(self, deadline):
        left_s = deadline - self._loop.time()
        if left_s <= 0:
            raise PoolBusy(f'all connections to "{self._address}" work')
        fut = self._loop.create_future()
        self._waiters.append(fut)
        try:
            async with asyncio.timeout(left_s):
                await fut
        except TimeoutError as exc:
            raise PoolBusy(
                f'all connections to "{self._address}" work'
            ) from exc

    def release(self, conn):
        """Takes back a connection after its exchange."""
        if conn.finish() and self.open <= self.limit:
            self._idle.append(conn)
            self._wake_one()
        else:
            self._drop(conn)

    def release_unused(self, conn):
        """Takes back a connection that was not used."""
        self._idle.append(conn)
        self._wake_one()

    def discard(self, conn):
        """Closes a connection in the middle of its exchange."""
        self._drop(conn)

    def _drop(self, conn):
        conn.abort()
        self._closed_one()

    def _closed_one(self):
        self.open -= 1
        self._wake_one()

    def _wake_one(self):
        while self._waiters:
            fut = self._waiters.popleft()
            if not fut.done():
                fut.set_result(None)
                return

    def sweep(self):
        """Closes connections that were idle for too long."""
        now = self._loop.time()
        keep = collections.deque()
        for conn in self._idle:
            if conn.usable and conn.idle_until > now:
                keep.append(conn)
            else:
                self._drop(conn)
        self._idle = keep

    @property
    def idle(self):
        """Returns the number of idle connections."""
        return len(self._idle)

    def close(self):
        """Closes idle connections."""
        while self._idle:
            self._drop(self._idle.pop())
