"""HTTP/1.1 client connection with one request in flight."""

import asyncio
import collections
import enum
import socket
import struct
import typing

import attrs

from dandelionwinch.gateway import _codec
from dandelionwinch.gateway import _read_ahead
from dandelionwinch.gateway import _surplus
from dandelionwinch.gateway import _unread

MAX_HEAD_BYTES = 65536
# Subtracted from the keep-alive timeout that the server states, so that no
# request is sent on a connection that the server is about to close.
KEEP_ALIVE_MARGIN_S = 0.3
# Keep-alive timeout of a connection to a server that states none or a
# longer one.
MAX_KEEP_ALIVE_S = 4.0
MAX_READ_AHEAD_BYTES = 1 << 18
# Memory of a queued item beside its bytes, which counts as read ahead too.
ITEM_BYTES = 128
NO_BODY_STATUSES = (204, 304)
# Value of SO_LINGER by which a close resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class LossCause(enum.Enum):
    """Why a connection delivered no complete response."""

    CLOSED = 'closed'
    PROTOCOL_ERROR = 'garbled'
    TIMEOUT = 'silent'
    STALLED = 'stalled'


class ConnectionLost(Exception):
    """The connection failed before the response was complete.

    Attributes:
        cause: LossCause of the failure.
    """

    def __init__(self, cause, reason):
        super().__init__(reason)
        self.cause = cause


@attrs.frozen
class Data:
    """Bytes of the body of a response."""

    data: bytes

    @property
    def size(self):
        """Returns the number of bytes."""
        return len(self.data)


@attrs.frozen
class End:
    """End of a complete response."""

    size: typing.ClassVar[int] = 0


class Connection(asyncio.Protocol):
    """A reusable connection to an upstream or to the store.

    Parsed responses are queued as items (Head, Data, End). Reading from
    the socket pauses while too many bytes of them are queued.

    Args:
        loop: Event loop.
        observe_head: Called with the head of each response as it arrives,
            whether it is read or not; must not fail.
        check_end: Called when a body without a length has ended with the
            connection; returns a future of the Ending. None for no check.

    Attributes:
        busy: Whether a request is in flight.
        ending: What `check_end` returned for the current response, or None.
        read_ahead: ReadAhead of the queued items.
        reusable_until: Loop time at which the keep-alive timeout ends.
        written_bytes: Bytes of all requests that were sent.
    """

    __slots__ = (
        '_body_until_close',
        '_check_end',
        '_exc',
        '_interim',
        '_items',
        '_keep_alive',
        '_loop',
        '_no_reuse',
        '_observe_head',
        '_parser',
        '_surplus',
        '_transport',
        '_waiter',
        'busy',
        'ending',
        'read_ahead',
        'reusable_until',
        'written_bytes',
    )

    def __init__(self, loop, observe_head=None, check_end=None):
        self._loop = loop
        self._observe_head = observe_head
        self._check_end = check_end
        self._transport = None
        self._parser = _codec.ResponseParser(self, MAX_HEAD_BYTES)
        self._items = collections.deque()
        self._waiter = None
        self._exc = None
        self._keep_alive = False
        self._interim = False
        self._surplus = _surplus.Surplus()
        self._no_reuse = False
        self._body_until_close = False
        self.busy = False
        self.ending = None
        self.read_ahead = _read_ahead.ReadAhead(MAX_READ_AHEAD_BYTES)
        self.reusable_until = 0.0
        self.written_bytes = 0

    def connection_made(self, transport):
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data):
        """Parses received bytes; fails if no request is in flight."""
        if not self.busy:
            self._fail(LossCause.PROTOCOL_ERROR, 'bytes without a request')
            return
        try:
            self._parser.feed(data)
        except _codec.BadMessage as exc:
            self._fail(LossCause.PROTOCOL_ERROR, exc.message)

    def on_head(self, head):
        """Queues the head of a response; skips interim (1xx) responses."""
        if self._observe_head is not None:
            self._observe_head(head)
        self._interim = head.status < 200
        if self._interim:
            self._surplus.add_interim(head)
            return
        if not self.busy:
            self._fail(
                LossCause.PROTOCOL_ERROR, 'a second response to one request'
            )
            return
        self._keep_alive = head.keep_alive
        has_end = head.framed or head.status in NO_BODY_STATUSES
        self._body_until_close = not has_end
        self._set_reusable_until(head)
        self._queue_item(head)

    def _set_reusable_until(self, head):
        keep_alive_s = MAX_KEEP_ALIVE_S
        for item in head.header('keep-alive').split(','):
            name, _, value = item.strip().partition('=')
            if name.lower() == 'timeout' and value.isdecimal():
                keep_alive_s = min(
                    keep_alive_s, max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
                )
        self.reusable_until = self._loop.time() + keep_alive_s

    def on_body(self, data):
        """Queues bytes of a body."""
        self._queue_item(Data(data))

    def on_end(self):
        """Queues the end of a response."""
        if self.busy and not self._interim:
            self._queue_item(End())

    def eof_received(self):
        """Completes a body without a length, which ends with the stream.

        It is not complete if it stood still: a peer that gives up an unread
        response closes the connection in the same way.
        """
        complete = self._body_until_close and not self.read_ahead.stood_still
        if self.busy and complete:
            self._body_until_close = False
            self._keep_alive = False
            if self._check_end is not None:
                self.ending = self._check_end()
            self._queue_item(End())
        self._fail(LossCause.CLOSED, 'the peer closed the connection')

    def connection_lost(self, exc):
        """Fails a response that is still awaited."""
        self._fail(LossCause.CLOSED, str(exc or 'the connection is closed'))

    def _queue_item(self, item):
        """Queues an item; pauses reading if the queue is full."""
        self._items.append(item)
        if self.read_ahead.add(item.size + ITEM_BYTES, self._loop.time()):
            if not self._transport.is_closing():
                self._transport.pause_reading()
        self._wake()

    def _fail(self, cause, reason):
        if self._exc is None:
            self._exc = ConnectionLost(cause, reason)
        self._wake()
        self.abort()

    def _wake(self):
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    @property
    def usable(self):
        """Tells whether the connection is open and has not failed."""
        return self._exc is None and not self._transport.is_closing()

    @property
    def heard(self):
        """Tells whether items wait to be read, or the connection failed."""
        return bool(self._items) or not self.usable

    @property
    def quiet(self):
        """Tells whether nothing arrived that the event loop has not read."""
        return not _unread.waiting_bytes(self._transport)

    def send(self, data):
        """Sends a request.

        Args:
            data: Bytes of the complete request.
        """
        self.busy = True
        self._keep_alive = False
        self._body_until_close = False
        self.ending = None
        self._surplus.clear()
        self.read_ahead.stood_still = False
        self.written_bytes += len(data)
        self._transport.write(data)

    @property
    def unsent(self):
        """Tells whether a part of the request was not sent yet."""
        return bool(self._transport.get_write_buffer_size())

    @property
    def unread_bytes(self):
        """Returns the bytes of requests that the peer has not accepted."""
        return _unread.unread_bytes(self._transport)

    @property
    def closed_by_peer(self):
        """Tells whether the peer has closed or reset the connection."""
        return self._exc is not None and self._exc.cause is LossCause.CLOSED

    def fail_stalled(self, reason):
        """Fails the request, as the peer does not read it.

        What was not sent is dropped with the connection.
        """
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._fail(LossCause.STALLED, reason)

    def limit_delivery(self, timeout_s):
        """Drops sent bytes that the peer does not acknowledge in time.

        Without this, the system may deliver them long after they were sent,
        once the network works again, also after `abort`.

        Args:
            timeout_s: Time after which the connection fails.
        """
        sock = self._transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1e3)
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def next_item(self, timeout_s):
        """Returns the next Head, Data or End of the response.

        Raises:
            ConnectionLost: If the connection failed, or no item arrived
                within `timeout_s`.
        """
        while not self._items:
            if self._exc is not None:
                raise self._exc
            await self._wait(timeout_s)
        item = self._items.popleft()
        if self.read_ahead.remove(item.size + ITEM_BYTES, self._loop.time()):
            if not self._transport.is_closing():
                self._transport.resume_reading()
        return item

    def skip(self, item):
        """Counts an item of a response to another request.

        Raises:
            ConnectionLost: If too much was skipped for this request; the
                connection is closed.
        """
        self._no_reuse = True
        if self._surplus.add_skipped(item):
            self._items.clear()
            self._fail(
                LossCause.PROTOCOL_ERROR, 'too many responses to others'
            )
            raise self._exc

    async def _wait(self, timeout_s):
        if timeout_s <= 0:
            raise ConnectionLost(LossCause.TIMEOUT, 'no time is left')
        self._waiter = self._loop.create_future()
        handle = self._loop.call_later(timeout_s, self._expire, self._waiter)
        try:
            await self._waiter
        finally:
            handle.cancel()

    def _expire(self, waiter):
        """Ends a wait, unless bytes have arrived that were not read yet.

        After a stall of this process, timers run before sockets are read:
        the second step comes after a look at them.
        """
        self._loop.call_soon(
            self._loop.call_soon, self._expire_unheard, waiter
        )

    @staticmethod
    def _expire_unheard(waiter):
        if not waiter.done():
            exc = ConnectionLost(LossCause.TIMEOUT, 'the peer has gone silent')
            waiter.set_exception(exc)

    def forbid_reuse(self):
        """Prevents reuse for another request."""
        self._no_reuse = True

    def finish(self):
        """Ends the request; tells whether the connection is reusable."""
        self.busy = False
        if (
            self._items
            or self._no_reuse
            or not (self._keep_alive and self.usable)
        ):
            self.abort()
            return False
        return True

    def abort(self):
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()
