"""The requests in flight at one upstream, as far as it has read them."""

from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _pool
from dandelionwinch import limits

# Bytes that a caller must read before reading from its upstream resumes. A
# larger step would leave the upstream without progress for so long that it
# gives up a response which its caller reads slowly but steadily.
READ_STEP_BYTES = 1 << 14


class UpstreamBytes(_pool.Guard):
    """Admits bodies to one incarnation of an upstream.

    Args:
        loop: The event loop.
        entry: Entry of the upstream.
        owner: The ByteLimits.

    Attributes:
        entry: Entry of the upstream.
        watch: Its StallWatch.
    """

    __slots__ = (
        '_bodies',
        '_conns',
        '_loop',
        '_owner',
        '_trial',
        '_waiters',
        'entry',
        'watch',
    )

    def __init__(self, loop, entry, owner):
        self._loop = loop
        self._owner = owner
        self._bodies = limits.BodiesInFlight()
        # The Body of each connection in use, and the waits for connections.
        self._conns = {}
        self._waiters = {}
        # The Body that was admitted as a trial while it is stalled.
        self._trial = None
        self.entry = entry
        self.watch = limits.StallWatch()

    def admits(self):
        """Tells whether a request may be sent, whatever its size."""
        trial_in_flight = self._trial in self._bodies
        return self.watch.admits(trial_in_flight, self._loop.time())

    def has_room(self, size):
        """Tells whether a body of a size may be sent."""
        bound = self._owner.bound(self.entry.service)
        return self._bodies.admits(size, bound)

    @property
    def idle(self):
        """Tells whether there is nothing to observe."""
        return not (self._bodies or self.watch.stalled)

    def reserve(self, size):
        """Returns a reservation for a body.

        Raises:
            NoRoom: If the upstream has stopped to read, or holds too much.
        """
        if not self.admits():
            raise self._stopped()
        bound = self._owner.bound(self.entry.service)
        body, displaced = self._bodies.admit(size, bound)
        if body is None:
            raise self._full()
        if self.watch.stalled:
            self._trial = body
            self.watch.begin_trial(self._loop.time())
        for other in displaced:
            self._end_wait(other)
        self._owner.activate(self)
        return body

    def _stopped(self):
        return _pool.NoRoom(f'upstream "{self.entry.id}" has stopped to read')

    def _full(self):
        return _pool.NoRoom(f'upstream "{self.entry.id}" has too many bytes')

    def _end_wait(self, body):
        waiter = self._waiters.pop(body, None)
        if waiter is not None and not waiter.done():
            waiter.set_exception(self._full())

    def await_release(self, reservation, waiter):
        """Lets a reservation that is displaced end its wait."""
        self._waiters[reservation] = waiter
        if reservation.displaced:
            self._end_wait(reservation)

    def bind(self, reservation, conn):
        """Binds a reservation to its connection.

        Raises:
            NoRoom: If a smaller body took its place, or the upstream has
                stopped to read meanwhile.
        """
        if reservation.displaced:
            raise self._full()
        if self.watch.stalled and reservation is not self._trial:
            self.cancel(reservation)
            raise self._stopped()
        self._waiters.pop(reservation, None)
        reservation.waiting = False
        self._conns[conn] = reservation
        conn.read_ahead.resume_below = (
            _connection.MAX_READ_AHEAD_BYTES - READ_STEP_BYTES
        )

    def cancel(self, reservation):
        """Ends a reservation that got no connection."""
        self._waiters.pop(reservation, None)
        self._bodies.remove(reservation)

    def end(self, conn):
        """Ends the reservation of a connection."""
        body = self._conns.pop(conn, None)
        if body is None:
            return
        self._bodies.remove(body)
        if conn.closed_by_peer:
            self._bodies.record_lost(body, self._loop.time())
        elif conn.unsent:
            # The rest of the body would precede the next request.
            conn.forbid_reuse()

    def close(self):
        """Ends the observation once nothing is in flight."""
        if not self._bodies:
            self._owner.forget(self)

    def held_at_crash(self):
        """Returns the bytes of bodies that it held when it crashed."""
        return self._bodies.held_at_crash(self._loop.time())

    def record_response(self):
        """Records the head of a response, which shows that it reads."""
        if self.watch.record_response():
            self._owner.stall_changed(self)

    def observe(self, now):
        """Observes what the upstream has read.

        Requests that it has not read in full fail when it is stalled.

        Args:
            now: Loop time.
        """
        samples = {}
        for conn in self._conns:
            if conn.usable:
                unread = conn.unread_bytes
                accepted = conn.written_bytes - unread
                samples[conn] = limits.Sample(unread, accepted)
        if not self.watch.observe(samples, now):
            return
        self._owner.stall_changed(self)
        if self.watch.stalled:
            reason = f'upstream "{self.entry.id}" has stopped to read'
            for conn, sample in samples.items():
                if sample.unread:
                    conn.fail_stalled(reason)
