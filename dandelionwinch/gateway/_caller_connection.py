"""A caller's connection; responses in the order of its requests."""

import asyncio
import collections

from dandelionwinch.gateway import _caller_writer
from dandelionwinch.gateway import _codec
from dandelionwinch.gateway import _incoming_request
from dandelionwinch.gateway import _reader_watch

MAX_PIPELINED_REQUESTS = 8
# Maximum time from the first bytes of a request to the end of its body.
BODY_TIMEOUT_S = 20.0
# Time without a request after which a draining server closes a connection;
# a new one needs it until its first request has arrived.
DRAIN_IDLE_S = 0.25
# Time after which a caller may repeat a request that was not run, as another
# instance serves it or the requests before it have ended.
REJECTED_RETRY_AFTER_S = 0.2
# Time for which bytes are read and dropped after a rejection. A caller that
# still sends would else get a reset in place of the response.
LINGER_S = 2.0
_UNAVAILABLE = 503


class CallerConnection(asyncio.Protocol):
    """Connection of a caller; serves its requests one after the other.

    The server's handler is a coroutine function that is called with an
    IncomingRequest and this connection. It is cancelled when the caller
    disconnects.

    Attributes:
        server: The Server.
        team: Name of the team of its last request, '' if it is not known or
            nothing is counted by team.
    """

    __slots__ = (
        '_close_after_response',
        '_closing',
        '_continue_due',
        '_idle_limit_s',
        '_idle_since',
        '_incoming',
        '_parser',
        '_queue',
        '_rejection',
        '_request_started_at',
        '_responded',
        '_serving',
        '_task',
        '_transport',
        '_writer',
        'server',
        'team',
    )

    def __init__(self, server):
        self.server = server
        self.team = ''
        self._transport = None
        self._writer = _caller_writer.CallerWriter(server)
        limit = server.limits.max_header_bytes
        self._parser = _codec.RequestParser(self, limit)
        self._queue = collections.deque()
        self._incoming = None
        self._rejection = None
        self._task = None
        self._closing = False
        self._close_after_response = False
        self._continue_due = False
        self._request_started_at = None
        self._responded = False
        # Request that is being served, whose body is held.
        self._serving = None
        self._idle_since = 0.0
        self._idle_limit_s = 0.0
        self._begin_idle()

    @property
    def address(self):
        """Returns the IP address of the caller, '' if it is not known."""
        peer = self._transport.get_extra_info('peername')
        return peer[0] if peer else ''

    def connection_made(self, transport):
        """Registers the connection with the server."""
        self._transport = self._writer.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc):
        """Cancels the handler."""
        self.server.connections.discard(self)
        self._cancel()

    def eof_received(self):
        """Cancels the handler; a half-closed connection is not served."""
        self._cancel()
        return False

    @property
    def unread_bytes(self):
        """Returns the bytes that were written and the caller has not read."""
        return self._writer.unread_bytes

    @property
    def body_bytes(self):
        """Returns the bytes held of the bodies of its requests."""
        requests = [*self._queue, self._incoming, self._serving]
        return sum(len(item.body) for item in requests if item is not None)

    @property
    def arriving_bytes(self):
        """Returns the bytes of a body that arrives and may be refused."""
        busy = self._task is not None or self._rejection is not None
        return 0 if busy or not self._incoming else len(self._incoming.body)

    @property
    def held_bytes(self):
        """Returns the bytes held for the caller, of requests and responses."""
        return self.body_bytes + self.unread_bytes

    def assign(self, team):
        """Counts what is held to a team; raises TooManyBytes if too much."""
        self.team = team
        _reader_watch.limit_buffer(self._transport)
        self.server.check_held(0, self)

    def _check_reader(self, now):
        """Aborts the connection of a caller that has stopped to read."""
        if self._writer.has_stalled(now):
            self.server.report_stalled(self.unread_bytes)
            self.abort()

    def _cancel(self):
        self._closing = True
        self._queue.clear()
        if self._task is not None:
            self._task.cancel('the caller has left')
        # The write buffer of a lost connection never drains, so nothing
        # may wait for it.
        self.resume_writing()

    def data_received(self, data):
        """Parses received bytes."""
        if self._closing or self._rejection is not None:
            return
        if self._request_started_at is None:
            self._request_started_at = self.server.loop.time()
        try:
            self._parser.feed(data)
        except _codec.BadMessage as exc:
            self.reject(exc.status, exc.message)
            return
        if self._parser.in_message and self._request_started_at is None:
            # Its first bytes came with the end of the request before it.
            self._request_started_at = self.server.loop.time()

    def on_head(self, head):
        """Checks the head of a request; sends 100 Continue if expected.

        It is sent after the responses to the requests before.
        """
        limits = self.server.limits
        self._parser.max_head_bytes = limits.max_header_bytes
        _incoming_request.check_head(head, limits)
        if self._request_started_at is None:
            # It came with the end of the request before it.
            self._request_started_at = self.server.loop.time()
        self._incoming = _incoming_request.IncomingRequest(
            head, bytearray(), self._request_started_at
        )
        self._continue_due = head.header('expect').lower() == '100-continue'
        if self._task is None:
            self._send_continue()

    def _send_continue(self):
        due, self._continue_due = self._continue_due, False
        if due:
            self._writer.write(_codec.response_head(100, ()))

    def on_body(self, data):
        """Collects the body of a request."""
        self._incoming.body += data
        limit = self.server.limits.max_body_bytes
        if len(self._incoming.body) > limit:
            raise _codec.BodyTooLarge(f'the body is over {limit} bytes')
        self.server.check_held(len(data), self)

    def on_end(self):
        """Serves a complete request, or queues it behind the current one."""
        self._queue.append(self._incoming)
        self._incoming = None
        self._continue_due = False
        self._request_started_at = None
        if len(self._queue) > MAX_PIPELINED_REQUESTS:
            self._queue.pop()
            raise _incoming_request.TooManyRequests(
                'too many requests at once'
            )
        if self._task is None:
            self._serve_next()

    @property
    def _awaits_reader(self):
        """Whether requests wait until the responses before them are read."""
        return self._writer.paused and bool(self._queue)

    def _serve_next(self):
        if self._awaits_reader and not self._closing:
            return
        if not self._queue and self._rejection is not None:
            self._respond_rejection()
        if not self._queue or self._closing:
            self._begin_idle()
            if not self._closing and self.server.finishing:
                self.finish()
            elif not self._closing:
                self._send_continue()
            return
        incoming = self._serving = self._queue.popleft()
        self._responded = False
        if not incoming.head.keep_alive:
            self._close_after_response = True
        self._task = self.server.loop.create_task(self._serve(incoming))

    async def _serve(self, incoming):
        try:
            await self.server.handler(incoming, self)
        finally:
            self._task = None
            self._serving = None
            if self._close_after_response and not self._queue:
                self._close()
            else:
                self._serve_next()

    def reject(self, status, reason):
        """Answers a bad request after those before it, then closes."""
        self.server.report_rejection(status, reason)
        self._rejection = (status, reason)
        if self._task is None and not self._queue:
            self._respond_rejection()

    def _respond_rejection(self):
        status, reason = self._rejection
        headers = ()
        if status == _UNAVAILABLE:
            headers = [('Retry-After', f'{REJECTED_RETRY_AFTER_S:.2f}')]
        self.respond(status, headers, reason.encode(), close=True)
        self._linger()

    def _linger(self):
        """Ends the responses, and closes once the caller has or in time."""
        self._closing = True
        self._incoming = self._request_started_at = None
        if self._transport.is_closing():
            return
        self._transport.write_eof()
        self.server.loop.call_later(LINGER_S, self._close)

    @property
    def responded(self):
        """Tells whether the response to the current request has begun."""
        return self._responded

    @property
    def closed(self):
        """Tells whether no response can be written any more."""
        return self._closing

    @property
    def closes_after_response(self):
        """Tells whether the connection closes after this response.

        In a drain it stays open for requests that have begun to arrive: a
        caller expects no more responses after `Connection: close`.
        """
        more = (
            self._queue
            or self._rejection is not None
            or self._request_started_at is not None
        )
        return self._close_after_response or (
            self.server.draining and not more
        )

    def respond(self, status, headers, body, *, close=False):
        """Writes a complete response."""
        self._responded = True
        pairs = list(headers)
        pairs.append(('Content-Length', str(len(body))))
        if close or self.closes_after_response:
            self._close_after_response = True
            pairs.append(('Connection', 'close'))
        head = _codec.response_head(status, pairs)
        self._writer.write(head + body)

    def start_stream(self, status, headers):
        """Writes the head of a chunked response."""
        self._responded = True
        pairs = list(headers)
        pairs.append(('Transfer-Encoding', 'chunked'))
        if self.closes_after_response:
            self._close_after_response = True
            pairs.append(('Connection', 'close'))
        self._writer.write(_codec.response_head(status, pairs))

    async def send_chunk(self, data):
        """Writes a chunk; waits while the write buffer is full."""
        await self._writer.write_chunk(data)

    def end_stream(self):
        """Writes the end of a chunked response."""
        self._writer.write(_codec.LAST_CHUNK)

    def abort(self):
        """Aborts the connection, so that the response is seen truncated."""
        self._closing = True
        self._transport.abort()

    def pause_writing(self):
        """Blocks `send_chunk`, as the write buffer is full."""
        self._writer.pause()

    def resume_writing(self):
        """Unblocks `send_chunk`."""
        idle = self._writer.resume() and self._task is None
        if idle and self._queue:
            self._serve_next()

    def _close(self):
        self._closing = True
        if not self._transport.is_closing():
            self._transport.close()

    def _begin_idle(self):
        # A later, shorter limit does not hold for this idle time, as the
        # caller may rely on the one that was in force.
        self._idle_since = self.server.loop.time()
        self._idle_limit_s = self.server.limits.keep_alive_timeout_s

    @property
    def busy(self):
        """Tells whether a request is being received or served."""
        return (
            self._task is not None
            or self._request_started_at is not None
            or bool(self._queue)
        )

    def finish(self):
        """Closes the connection once the requests received are answered.

        A request that has arrived in part is refused.
        """
        if self._task is not None or self._rejection is not None:
            return
        if self._awaits_reader:
            return
        if self._request_started_at is not None:
            self.reject(503, 'the instance stops')
        else:
            self._close_if_silent()

    def _close_if_silent(self):
        """Closes the connection unless a request is waiting to be read.

        A request may have arrived while the loop was held up, and timers run
        before sockets are read: the second step comes after a look at them.
        """
        loop = self.server.loop
        loop.call_soon(loop.call_soon, self._close_if_idle)

    def _close_if_idle(self):
        if not self.busy:
            self._close()
        elif self.server.finishing:
            self.finish()

    def sweep(self, now):
        """Closes the connection if it is idle or slow beyond the limits."""
        self._check_reader(now)
        if self._task is not None or self._queue or self._closing:
            return
        limits = self.server.limits
        if self._request_started_at is None:
            if now - self._idle_since > self._max_idle_s():
                self._close_if_silent()
            return
        limit_s = limits.header_timeout_s
        if self._incoming is not None:
            limit_s = BODY_TIMEOUT_S
        if now - self._request_started_at > limit_s:
            self.reject(408, 'the request took too long to arrive')

    def _max_idle_s(self):
        if self.server.draining:
            return DRAIN_IDLE_S
        limit_s = self.server.limits.keep_alive_timeout_s
        return max(limit_s, self._idle_limit_s)
