"""A client connection: one request at a time, answers as typed items."""

import asyncio
import collections
import enum

import attrs

from dandelionwinch.gateway import _codec

MAX_HEAD_BYTES = 65536
IDLE_MARGIN_S = 0.3
DEFAULT_IDLE_S = 4.0
READ_AHEAD_BYTES = 1 << 18
NO_BODY = (204, 304)


class Loss(enum.Enum):
    """Why a connection brought no whole response."""

    CLOSED = 'closed'
    GARBLED = 'garbled'
    SILENT = 'silent'


class ConnectionLost(Exception):
    """The response is not whole and never will be.

    Attributes:
        loss: How it was lost.
    """

    def __init__(self, loss, reason):
        super().__init__(reason)
        self.loss = loss


@attrs.frozen
class Data:
    """Bytes of a response's body."""

    data: bytes


@attrs.frozen
class End:
    """The response is whole."""


class Connection(asyncio.Protocol):
    """One connection to an upstream or to the store."""

    __slots__ = (
        '_buffered',
        '_exc',
        '_inbox',
        '_interim',
        '_keep',
        '_loop',
        '_paused',
        '_parser',
        '_spoiled',
        '_transport',
        '_until_close',
        '_waiter',
        'busy',
        'idle_until',
        'used',
    )

    def __init__(self, loop):
        self._loop = loop
        self._transport = None
        self._parser = _codec.ResponseParser(self, MAX_HEAD_BYTES)
        self._inbox = collections.deque()
        self._waiter = None
        self._exc = None
        self._keep = False
        self._interim = False
        self._spoiled = False
        self._until_close = False
        self._buffered = 0
        self._paused = False
        self.busy = False
        self.idle_until = 0.0
        self.used = 0

    def connection_made(self, transport):
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data):
        """Parses bytes; bytes that nobody asked for end the connection."""
        if not self.busy:
            self._fail(Loss.GARBLED, 'bytes without a request')
            return
        try:
            self._parser.feed(data)
        except _codec.BadMessage as exc:
            self._fail(Loss.GARBLED, exc.message)

    def on_head(self, head):
        """Takes the head of a response."""
        self._interim = head.status < 200
        if self._interim:
            return
        if not self.busy:
            self._fail(Loss.GARBLED, 'a second response to one request')
            return
        self._keep = head.keep_alive
        framed = (
            head.header('content-length')
            or head.header('transfer-encoding')
            or head.status in NO_BODY
        )
        self._until_close = not framed
        self._note_idle(head)
        self._put(head)

    def _note_idle(self, head):
        idle_s = DEFAULT_IDLE_S
        for item in head.header('keep-alive').split(','):
            name, _, value = item.strip().partition('=')
            if name.lower() == 'timeout' and value.isdigit():
                idle_s = min(idle_s, max(0.0, int(value) - IDLE_MARGIN_S))
        self.idle_until = self._loop.time() + idle_s

    def on_body(self, data):
        """Takes bytes of a body."""
        self._buffered += len(data)
        if self._buffered > READ_AHEAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._put(Data(data))

    def on_end(self):
        """Takes the end of a response."""
        if self.busy and not self._interim:
            self._put(End())

    def eof_received(self):
        """A clean end completes a body that has no length."""
        if self.busy and self._until_close:
            self._until_close = False
            self._keep = False
            self._put(End())
        self._fail(Loss.CLOSED, 'the peer closed the connection')

    def connection_lost(self, exc):
        """Fails what is still waited for."""
        self._fail(Loss.CLOSED, str(exc or 'the connection is closed'))

    def _put(self, item):
        self._inbox.append(item)
        self._wake()

    def _fail(self, loss, reason):
        if self._exc is None:
            self._exc = ConnectionLost(loss, reason)
        self._wake()
        self.abort()

    def _wake(self):
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    @property
    def usable(self):
        """Tells whether a further request may be sent on it."""
        return self._exc is None and not self._transport.is_closing()

    def send(self, data):
        """Sends a request.

        Args:
            data: The whole request.
        """
        self.busy = True
        self.used += 1
        self._keep = False
        self._until_close = False
        self._transport.write(data)

    async def next_item(self, timeout_s):
        """Returns the next Head, Data or End of the response.

        Raises:
            ConnectionLost: If the response broke off or time is over.
        """
        while not self._inbox:
            if self._exc is not None:
                raise self._exc
            await self._wait(timeout_s)
        item = self._inbox.popleft()
        if isinstance(item, Data):
            self._took(len(item.data))
        return item

    async def _wait(self, timeout_s):
        if timeout_s <= 0:
            raise ConnectionLost(Loss.SILENT, 'no time is left')
        self._waiter = self._loop.create_future()
        handle = self._loop.call_later(timeout_s, self._expire, self._waiter)
        try:
            await self._waiter
        finally:
            handle.cancel()

    def _expire(self, waiter):
        if not waiter.done():
            exc = ConnectionLost(Loss.SILENT, 'the peer has gone silent')
            waiter.set_exception(exc)

    def _took(self, size):
        self._buffered -= size
        if self._paused and self._buffered < READ_AHEAD_BYTES // 2:
            self._paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def spoil(self):
        """Keeps the connection from being used for another request."""
        self._spoiled = True

    def finish(self):
        """Ends the exchange; tells whether the connection may be reused."""
        self.busy = False
        if self._inbox or self._spoiled or not (self._keep and self.usable):
            self.abort()
            return False
        return True

    def abort(self):
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()


async def read_response(conn, timeout_s):
    """Returns head and body of the next answer on a connection.

    Raises:
        ConnectionLost: If it broke off or took longer than `timeout_s`.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    body = bytearray()
    head = await conn.next_item(timeout_s)
    while True:
        left_s = deadline - asyncio.get_running_loop().time()
        item = await conn.next_item(left_s)
        if isinstance(item, End):
            return head, bytes(body)
        body += item.data
