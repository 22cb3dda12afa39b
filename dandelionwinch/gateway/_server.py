"""HTTP/1.1 server for callers."""

from dandelionwinch.gateway import _caller_connection
from dandelionwinch.gateway import _incoming_request
from dandelionwinch.gateway import _team_bytes

SWEEP_INTERVAL_S = 0.5
LISTEN_BACKLOG = 1024


class Server:
    """Listens on one address and serves its connections.

    Args:
        loop: The event loop.
        handler: Coroutine function of an IncomingRequest and its
            CallerConnection.
        limits: Limits of requests; may be replaced while it serves.
        on_rejected: Function of a status and a reason, called for each
            request that is rejected before it was complete.
        max_held_bytes: Bytes of bodies and of unread responses that are held
            for all callers together, None for any number.
        on_stalled: Function of a number of bytes, called for each connection
            that is aborted as its caller does not read them.

    Attributes:
        sheds_largest: Whether the largest body that still arrives is refused
            before a smaller one.
    """

    __slots__ = (
        '_held_bytes',
        '_listener',
        '_max_held_bytes',
        '_on_rejected',
        '_on_stalled',
        '_sweep_timer',
        '_team_bytes',
        'connections',
        'draining',
        'finishing',
        'handler',
        'limits',
        'loop',
        'sheds_largest',
    )

    def __init__(
        self,
        loop,
        handler,
        limits,
        on_rejected=None,
        max_held_bytes=None,
        on_stalled=None,
    ):
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.connections = set()
        self.draining = False
        self.finishing = False
        self.sheds_largest = False
        self._on_rejected = on_rejected
        self._on_stalled = on_stalled
        self._max_held_bytes = max_held_bytes
        # As of the last sum, with all that arrived since.
        self._held_bytes = 0
        self._team_bytes = _team_bytes.TeamBytes(self, max_held_bytes)
        self._listener = None
        self._sweep_timer = None

    async def start(self, address):
        """Binds the address, given as IP:PORT."""
        host, _, port = address.rpartition(':')
        self._listener = await self.loop.create_server(
            lambda: _caller_connection.CallerConnection(self),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._sweep()

    @property
    def port(self):
        """Returns the port that is bound."""
        return self._listener.sockets[0].getsockname()[1]

    def report_rejection(self, status, reason):
        """Reports a request that was rejected before it was complete."""
        if self._on_rejected is not None:
            self._on_rejected(status, reason)

    def report_stalled(self, unread_bytes):
        """Reports a connection that is aborted with unread bytes."""
        if self._on_stalled is not None:
            self._on_stalled(unread_bytes)

    def count_held(self, more_bytes):
        """Counts bytes that were written for a caller."""
        self._held_bytes += more_bytes

    def check_held(self, more_bytes, caller):
        """Counts bytes of a body that were received.

        Callers that read slowly lose their connections first, those with
        most bytes before the others.

        Args:
            more_bytes: Number of bytes.
            caller: The CallerConnection that received them.

        Raises:
            TooManyBytes: If a bound is exceeded nevertheless.
        """
        self._held_bytes += more_bytes
        limit = self._max_held_bytes
        if limit is None:
            return
        if caller.team and self._held_bytes > limit // 2:
            self._team_bytes.check(caller.team, self._held_bytes)
        if self._held_bytes <= limit:
            return
        self._sum_held()
        self._abort_unread()
        if self._held_bytes > limit and self.sheds_largest:
            self._refuse_largest(caller.arriving_bytes)
        if self._held_bytes > limit:
            raise _incoming_request.TooManyBytes(
                f'the instance holds over {limit} bytes'
            )

    def _refuse_largest(self, size):
        """Refuses the largest body that still arrives, if above a size.

        Else slow senders of large bodies would have all small ones refused.
        """
        largest = max(self.connections, key=lambda conn: conn.arriving_bytes)
        arriving = largest.arriving_bytes
        if arriving > size:
            self._held_bytes -= arriving
            largest.reject(503, 'the instance holds too many bytes')

    def held(self):
        """Returns the bytes of bodies and those of unread responses."""
        bodies = sum(conn.body_bytes for conn in self.connections)
        unread = sum(conn.unread_bytes for conn in self.connections)
        return bodies, unread

    def abort_unread(self, connections, excess):
        """Aborts connections with unread bytes, those with most first.

        Args:
            connections: The connections.
            excess: Bytes that are to be freed.

        Returns:
            The bytes that were freed.
        """
        freed = 0
        ranked = sorted(
            connections, key=lambda conn: conn.unread_bytes, reverse=True
        )
        for conn in ranked:
            unread = conn.unread_bytes
            if not unread or freed >= excess:
                break
            freed += unread
            self.report_stalled(unread)
            conn.abort()
        self._held_bytes -= freed
        return freed

    def _sum_held(self):
        self._held_bytes = sum(conn.held_bytes for conn in self.connections)

    def _abort_unread(self):
        """Aborts connections with unread bytes while too many are held."""
        limit = self._max_held_bytes
        if limit is not None and self._held_bytes > limit:
            self.abort_unread(self.connections, self._held_bytes - limit)

    def _sweep(self):
        now = self.loop.time()
        self._sum_held()
        self._team_bytes.enforce()
        self._abort_unread()
        for conn in list(self.connections):
            conn.sweep(now)
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def drain(self):
        """Closes idle connections, and the others after their responses."""
        self.draining = True

    @property
    def busy(self):
        """Tells whether a request is being received or served."""
        return any(conn.busy for conn in self.connections)

    def finish(self):
        """Stops listening; closes each connection after its responses."""
        self.draining = self.finishing = True
        if self._listener is not None:
            # Connections may wait to be accepted, and timers run before
            # that. The second step comes after a look at them; asyncio's own
            # loop needs a third to accept what it found.
            call_soon = self.loop.call_soon
            call_soon(call_soon, call_soon, self._listener.close)
        for conn in list(self.connections):
            conn.finish()

    def close(self):
        """Stops listening and aborts all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for conn in list(self.connections):
            conn.abort()
