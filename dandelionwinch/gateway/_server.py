"""Connections of callers: requests in, whole answers out, in order."""

import asyncio
import collections

import attrs

from dandelionwinch.gateway import _codec

MAX_PIPELINED = 8
SWEEP_S = 0.5
BODY_TIMEOUT_S = 20.0
BACKLOG = 1024


@attrs.define
class Incoming:
    """A request as it comes in."""

    head: _codec.Head
    body: bytearray
    at: float


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; serves its requests one by one.

    The handler is a coroutine function called with the request and this
    connection. It is cancelled when the caller leaves.
    """

    __slots__ = (
        '_began_at',
        '_closing',
        '_closing_after',
        '_current',
        '_drained',
        '_idle_since',
        '_parser',
        '_paused',
        '_queue',
        '_server',
        '_task',
        '_transport',
    )

    def __init__(self, server):
        self._server = server
        self._transport = None
        limit = server.limits.max_header_bytes
        self._parser = _codec.RequestParser(self, limit)
        self._queue = collections.deque()
        self._current = None
        self._task = None
        self._closing = False
        self._closing_after = False
        self._paused = False
        self._drained = None
        self._began_at = None
        self._idle_since = server.loop.time()

    def connection_made(self, transport):
        """Joins the server's connections."""
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc):
        """Cancels the work of a caller who has left."""
        self._server.connections.discard(self)
        self._leave()

    def eof_received(self):
        """A caller who closes its side has left."""
        self._leave()
        return False

    def _leave(self):
        self._closing = True
        self._queue.clear()
        if self._task is not None:
            self._task.cancel('the caller has left')
        self.resume_writing()

    def data_received(self, data):
        """Parses bytes of requests."""
        if self._closing:
            return
        if self._began_at is None:
            self._began_at = self._server.loop.time()
        try:
            self._parser.feed(data)
        except _codec.BadMessage as exc:
            self._refuse(exc.status, exc.message)

    def on_head(self, head):
        """Checks the head of a request."""
        limits = self._server.limits
        self._parser.max_head_bytes = limits.max_header_bytes
        length = head.header('content-length')
        if length.isdigit() and int(length) > limits.max_body_bytes:
            raise _codec.BodyTooLarge(
                f'the body is over {limits.max_body_bytes} bytes'
            )
        if sum(1 for name, _value in head.headers if name == 'host') != 1:
            raise _codec.BadMessage('not one header "Host"')
        at = self._began_at or self._server.loop.time()
        self._current = Incoming(head, bytearray(), at)
        if head.header('expect').lower() == '100-continue':
            self._transport.write(_codec.response_head(100, ()))

    def on_body(self, data):
        """Collects the body of a request."""
        self._current.body += data
        limit = self._server.limits.max_body_bytes
        if len(self._current.body) > limit:
            raise _codec.BodyTooLarge(f'the body is over {limit} bytes')

    def on_end(self):
        """Serves a whole request, or queues it behind the present one."""
        self._queue.append(self._current)
        self._current = None
        self._began_at = None
        if len(self._queue) > MAX_PIPELINED:
            raise _codec.BadMessage('too many requests at once')
        if self._task is None:
            self._next()

    def _next(self):
        if not self._queue or self._closing:
            self._idle_since = self._server.loop.time()
            return
        incoming = self._queue.popleft()
        if not incoming.head.keep_alive or self._server.draining:
            self._closing_after = True
        self._task = self._server.loop.create_task(self._serve(incoming))

    async def _serve(self, incoming):
        try:
            await self._server.handler(incoming, self)
        finally:
            self._task = None
            if self._closing_after and not self._queue:
                self._close()
            else:
                self._next()

    def _refuse(self, status, reason):
        self._server.refused(status, reason)
        self._closing = True
        if self._task is not None:
            self._closing_after = True
            return
        self.respond(status, (), reason.encode(), close=True)
        self._close()

    @property
    def closing_after(self):
        """Tells whether the connection ends with the present answer."""
        return self._closing_after or self._server.draining

    def respond(self, status, headers, body, *, close=False):
        """Writes a whole answer."""
        pairs = list(headers)
        pairs.append(('Content-Length', str(len(body))))
        if close or self.closing_after:
            self._closing_after = True
            pairs.append(('Connection', 'close'))
        head = _codec.response_head(status, pairs)
        self._transport.write(head + body)

    def begin_stream(self, status, headers):
        """Writes the head of a streamed answer."""
        pairs = list(headers)
        pairs.append(('Transfer-Encoding', 'chunked'))
        if self.closing_after:
            self._closing_after = True
            pairs.append(('Connection', 'close'))
        self._transport.write(_codec.response_head(status, pairs))

    async def send(self, data):
        """Writes a piece of a stream; waits while the caller is slow."""
        self._transport.write(_codec.chunk(data))
        if self._paused:
            self._drained = self._server.loop.create_future()
            await self._drained

    def end_stream(self):
        """Writes the end of a stream."""
        self._transport.write(_codec.LAST_CHUNK)

    def cut(self):
        """Ends the connection so that the answer is seen to be cut."""
        self._closing = True
        self._transport.abort()

    def pause_writing(self):
        """The caller reads more slowly than its answer comes."""
        self._paused = True

    def resume_writing(self):
        """The caller has read on."""
        self._paused = False
        drained, self._drained = self._drained, None
        if drained is not None and not drained.done():
            drained.set_result(None)

    def _close(self):
        self._closing = True
        if not self._transport.is_closing():
            self._transport.close()

    def sweep(self, now):
        """Closes a connection that is idle or slow beyond its limits."""
        if self._task is not None:
            return
        limits = self._server.limits
        if self._began_at is None:
            idle_s = now - self._idle_since
            if idle_s > limits.idle_timeout_s or self._server.draining:
                self._close()
            return
        limit_s = limits.header_timeout_s
        if self._current is not None:
            limit_s = BODY_TIMEOUT_S
        if now - self._began_at > limit_s:
            self._refuse(408, 'the request took too long to arrive')


class Server:
    """Listens at one address and serves its connections."""

    __slots__ = (
        '_listener',
        '_refusals',
        '_sweeper',
        'connections',
        'draining',
        'handler',
        'limits',
        'loop',
    )

    def __init__(self, loop, handler, limits, refused=None):
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.connections = set()
        self.draining = False
        self._refusals = refused
        self._listener = None
        self._sweeper = None

    async def start(self, address):
        """Binds the address, given as IP:PORT."""
        host, _, port = address.rpartition(':')
        self._listener = await self.loop.create_server(
            lambda: CallerConnection(self),
            host,
            int(port),
            backlog=BACKLOG,
            reuse_address=True,
        )
        self._sweep()

    @property
    def port(self):
        """Returns the port that is bound."""
        return self._listener.sockets[0].getsockname()[1]

    def refused(self, status, reason):
        """Notes a request that was refused before it was whole."""
        if self._refusals is not None:
            self._refusals(status, reason)

    def _sweep(self):
        now = self.loop.time()
        for conn in list(self.connections):
            conn.sweep(now)
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def drain(self):
        """Ends connections after their present answers."""
        self.draining = True

    def close(self):
        """Stops listening and cuts what is left."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._listener is not None:
            self._listener.close()
        for conn in list(self.connections):
            conn.cut()
