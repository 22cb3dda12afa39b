"""The requests in flight at one upstream, as far as it has read them."""

from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _granting_instances
from dandelionwinch.gateway import _pool
from dandelionwinch import limits
from dandelionwinch import ratelimits

# Bytes that a caller must read before reading from its upstream resumes. A
# larger step would leave the upstream without progress for so long that it
# gives up a response which its caller reads slowly but steadily.
READ_STEP_BYTES = 1 << 14
# Age up to which what all instances held counts as held at a crash.
MAX_TOTAL_AGE_S = 2.0


class UpstreamBytes(_pool.Guard):
    """Admits bodies to one incarnation of an upstream.

    Args:
        loop: The event loop.
        entry: Entry of the upstream.
        owner: The ByteLimits.
        shares: ByteShares, None if no bound is ever divided.

    Attributes:
        allowance: Share of the bound that this instance has.
        entry: Entry of the upstream.
        key: Key of its incarnation in datagrams.
        watch: Its StallWatch.
    """

    __slots__ = (
        '_bodies',
        '_conns',
        '_loop',
        '_owner',
        '_shares',
        '_trial',
        '_waiters',
        'allowance',
        'entry',
        'key',
        'watch',
    )

    def __init__(self, loop, entry, owner, shares=None):
        self._loop = loop
        self._owner = owner
        self._shares = shares
        self._bodies = limits.BodiesInFlight()
        # The Body of each connection in use, and the waits for connections.
        self._conns = {}
        self._waiters = {}
        # The Body that was admitted as a trial while it is stalled.
        self._trial = None
        self.allowance = ratelimits.BytesAllowance()
        self.entry = entry
        self.key = _granting_instances.key_of(self)
        self.watch = limits.StallWatch()

    def admits(self):
        """Tells whether a request may be sent, whatever its size."""
        trial_in_flight = self._trial in self._bodies
        return self.watch.admits(trial_in_flight, self._loop.time())

    def has_room(self, size):
        """Tells whether a body of a size may be sent, or may be soon."""
        if self.fits(size):
            return True
        return self._divided and self._shares.may_have_room(self, size)

    def fits(self, size):
        """Tells whether a body of a size may be sent now."""
        return self._bodies.admits(size, self._bound(), self._divided)

    @property
    def held(self):
        """Bytes of the bodies of this instance that count to the bound."""
        return self._bodies.held

    @property
    def _divided(self):
        shares = self._shares
        return shares is not None and shares.divides(self.entry.service)

    def _bound(self):
        bound = self._owner.bound(self.entry.service)
        if not self._divided:
            return bound
        return min(bound, self._shares.limit(self))

    async def await_room(self, size, timeout_s):
        """Waits for room where the bound is divided among instances."""
        if self._divided and not self.fits(size):
            await self._shares.await_room(self, size, timeout_s)

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
        divided = self._divided
        body, displaced = self._bodies.admit(size, self._bound(), divided)
        if body is None:
            raise self._full()
        if divided and size > limits.FREE_BYTES:
            self._shares.sent(self)
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

    def known_total(self):
        """Returns the bytes that all instances held when last heard of."""
        age_s = self._loop.time() - self.allowance.total_at
        return self.allowance.total if age_s <= MAX_TOTAL_AGE_S else 0

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
