"""Pool of client connections to one address."""

import asyncio
import collections

from dandelionwinch.gateway import _connection

CONNECT_TIMEOUT_S = 0.4
# Lateness of a timer from which this process has stalled.
MIN_STALL_S = 0.05


class NotConnected(Exception):
    """No connection could be established; nothing was sent."""


class PoolBusy(NotConnected):
    """All permitted connections are in use; nothing was sent."""


class NoRoom(PoolBusy):
    """The address holds or leaves unread too many bytes already."""


class Guard:
    """Observes the requests of a pool; this one admits all of them."""

    __slots__ = ()

    async def await_room(self, size, timeout_s):
        """Waits for room for a body, where there may be some soon.

        Args:
            size: Bytes of the body.
            timeout_s: Longest wait in seconds.
        """

    def reserve(self, size):
        """Returns a reservation for a body, or raises NoRoom.

        Args:
            size: Bytes of the body.
        """

    def await_release(self, reservation, waiter):
        """Records that a reservation waits for a connection.

        Args:
            reservation: What `reserve` returned.
            waiter: Future, which may be ended with NoRoom.
        """

    def bind(self, reservation, conn):
        """Binds a reservation to its connection, or raises NoRoom."""

    def cancel(self, reservation):
        """Ends a reservation that got no connection."""

    def end(self, conn):
        """Ends the reservation of a connection."""

    def close(self):
        """Ends the observation of an address that is not used any more."""


class Pool:
    """Reuses connections to one address, up to a limit.

    Args:
        loop: Event loop.
        address: The address, as host:port.
        limit: Maximum number of open connections.
        observe_head: Called with the head of each response, or None.
        guard: Guard that admits the requests, None for one that admits all.
        check_end: As for Connection.

    Attributes:
        limit: Maximum number of open connections.
        open: Number of open connections, idle ones included.
    """

    __slots__ = (
        '_address',
        '_check_end',
        '_guard',
        '_idle',
        '_loop',
        '_observe_head',
        '_waiters',
        'limit',
        'open',
    )

    def __init__(
        self,
        loop,
        address,
        limit,
        observe_head=None,
        guard=None,
        check_end=None,
    ):
        self._loop = loop
        self._observe_head = observe_head
        self._check_end = check_end
        self._address = address
        self._guard = guard or Guard()
        self._idle = collections.deque()
        self._waiters = collections.deque()
        self.limit = limit
        self.open = 0

    async def acquire(
        self, timeout_s, *, min_keep_alive_s=0.0, new=False, body_bytes=0
    ):
        """Returns an idle or a new connection.

        Args:
            timeout_s: Maximum wait, including that for a release.
            min_keep_alive_s: Minimum seconds before the keep-alive timeout
                of a reused connection.
            new: Whether the connection must be a new one. A response without
                a request id can't be told from a late duplicate of an earlier
                one, which only a used connection can carry.
            body_bytes: Size of the body that is to be sent.

        Raises:
            PoolBusy: If none was released in time, or the guard does not
                admit the body.
            NotConnected: If a new one could not be established.
        """
        deadline = self._loop.time() + timeout_s
        await self._guard.await_room(body_bytes, timeout_s)
        reservation = self._guard.reserve(body_bytes)
        try:
            conn = await self._take(
                deadline, min_keep_alive_s, new, reservation
            )
        except BaseException:
            self._guard.cancel(reservation)
            raise
        try:
            self._guard.bind(reservation, conn)
        except NoRoom:
            self.release_unused(conn)
            raise
        return conn

    async def _take(self, deadline, min_keep_alive_s, new, reservation):
        while True:
            conn = None if new else self._pop_idle(min_keep_alive_s)
            if conn is not None:
                return conn
            if new and self._idle and self.open >= self.limit:
                self._close(self._idle.popleft())
            if self.open < self.limit:
                return await self._connect(deadline - self._loop.time())
            await self._wait_for_release(deadline, reservation)

    def _pop_idle(self, min_keep_alive_s):
        now = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            lasts = conn.reusable_until - min_keep_alive_s > now
            # Bytes that came while it was idle may be a late copy of an
            # answer, which would be taken for that to the next request.
            if conn.usable and lasts and conn.quiet:
                return conn
            self._close(conn)
        return None

    async def _connect(self, left_s):
        host, _, port = self._address.rpartition(':')
        timeout_s = min(CONNECT_TIMEOUT_S, left_s)
        self.open += 1
        try:
            began = self._loop.time()
            try:
                return await self._open(host, int(port), timeout_s)
            except TimeoutError:
                # After a stall of this process, timers run before sockets
                # are looked at: the connection may have been established.
                if self._loop.time() - began < timeout_s + MIN_STALL_S:
                    raise
            return await self._open(host, int(port), timeout_s)
        except (OSError, ValueError) as exc:
            self._free_slot()
            raise NotConnected(
                f'no connection to "{self._address}": {exc or "timeout"}'
            ) from exc
        except BaseException:
            self._free_slot()
            raise

    async def _open(self, host, port, timeout_s):
        async with asyncio.timeout(timeout_s):
            _transport, conn = await self._loop.create_connection(
                self._new_connection, host, port
            )
        return conn

    def _new_connection(self):
        return _connection.Connection(
            self._loop, self._observe_head, self._check_end
        )

    async def _wait_for_release(self, deadline, reservation):
        left_s = deadline - self._loop.time()
        if left_s <= 0:
            raise PoolBusy(f'all connections to "{self._address}" work')
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        self._guard.await_release(reservation, waiter)
        try:
            async with asyncio.timeout(left_s):
                await waiter
        except BaseException as exc:
            # Woken up and stopped at once: the next one takes its turn.
            if waiter.done() and not waiter.cancelled():
                self._wake_waiter()
            if not isinstance(exc, TimeoutError):
                raise
            raise PoolBusy(
                f'all connections to "{self._address}" work'
            ) from exc

    def release(self, conn):
        """Returns a connection to the pool after a complete response."""
        self._guard.end(conn)
        if conn.finish() and self.open <= self.limit:
            self._idle.append(conn)
            self._wake_waiter()
        else:
            self._close(conn)

    def release_unused(self, conn):
        """Returns a connection to the pool on which nothing was sent."""
        self._guard.end(conn)
        self._idle.append(conn)
        self._wake_waiter()

    def discard(self, conn):
        """Closes a connection whose response is incomplete."""
        self._guard.end(conn)
        self._close(conn)

    def _close(self, conn):
        conn.abort()
        self._free_slot()

    def _free_slot(self):
        self.open -= 1
        self._wake_waiter()

    def _wake_waiter(self):
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def turn_away(self):
        """Ends all waits in `acquire`, as nothing may be sent for now."""
        waiters, self._waiters = self._waiters, collections.deque()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_exception(
                    PoolBusy(f'nothing may be sent to "{self._address}"')
                )

    def sweep(self):
        """Closes connections that failed or whose keep-alive time ended."""
        now = self._loop.time()
        keep = collections.deque()
        for conn in self._idle:
            if conn.usable and conn.reusable_until > now:
                keep.append(conn)
            else:
                self._close(conn)
        self._idle = keep

    def close_idle(self):
        """Closes idle connections; the next request gets a new one."""
        while self._idle:
            self._close(self._idle.pop())

    def close(self):
        """Closes idle connections and ends the observation of requests."""
        self._guard.close()
        self.close_idle()
