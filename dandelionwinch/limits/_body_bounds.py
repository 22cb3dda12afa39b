"""Bounds on the bytes of requests that are held at a time."""

import collections

import attrs

# The bodies in flight at one upstream are bounded by this many bodies of the
# largest permitted size, or MIN_MOST_BYTES if that is more.
MOST_BODIES = 4
MIN_MOST_BYTES = 1 << 24
# Smallest bound, and the bytes that a crashed upstream must have held for the
# crash to be put down to them.
MIN_BOUND_BYTES = 1 << 20
CRASH_BYTES = 1 << 20
RECOVERY_S = 60.0
# Connections lost within this time before a crash was noticed belong to it.
LOST_S = 1.0
# Bodies up to this part of the bound may use a reserve beyond the bound, of
# this part of it, so that no large body has small ones refused.
SMALL_DIVISOR = 64
RESERVE_DIVISOR = 16
# Bodies up to this size need no share of a divided bound: the slots of an
# upstream bound their number, and usual calls cause no datagram.
FREE_BYTES = 1 << 12


def most_bytes(max_body_bytes):
    """Returns the bound on the bodies in flight at a sound upstream.

    Args:
        max_body_bytes: Largest permitted size of a body.
    """
    return max(MOST_BODIES * max_body_bytes, MIN_MOST_BYTES)


class BytesBound:
    """The bound of one service; each crash under many bytes halves it."""

    __slots__ = ('_before', '_changed_at', '_reduced')

    def __init__(self):
        # The bound after a crash, None without one, and that before the
        # first crash.
        self._reduced = None
        self._before = 0
        self._changed_at = 0.0

    @property
    def learnt(self):
        """The bound after crashes in bytes, None without one."""
        return self._reduced

    def value(self, most):
        """Returns the bound in bytes.

        Args:
            most: The bound without crashes.
        """
        return most if self._reduced is None else min(most, self._reduced)

    def record_crash(self, held, most, now):
        """Halves the bound if the upstream held enough bytes.

        Args:
            held: Bytes of bodies that the upstream held. Before the first
                crash the instances together may have sent more than `most`.
            most: The bound of one instance without crashes.
            now: Time in seconds.

        Returns:
            Whether the bound has changed.
        """
        if held <= CRASH_BYTES:
            return False
        before = self._reduced
        if before is None:
            before = self._before = max(most, held)
        # An upstream that held more than the bound, which was not in force
        # there yet, does not show that the bound is too high.
        after = min(before, max(before, held) // 2)
        self._reduced = max(MIN_BOUND_BYTES, after)
        self._changed_at = now
        return self._reduced != before

    def recover(self, most, now):
        """Doubles the bound after each RECOVERY_S; returns whether it has."""
        recovered = False
        while (
            self._reduced is not None and now - self._changed_at >= RECOVERY_S
        ):
            recovered = True
            self._changed_at += RECOVERY_S
            self._reduced *= 2
            if self._reduced >= max(most, self._before):
                self._reduced = None
        return recovered


@attrs.define(eq=False)
class Body:
    """A body that is to be sent to an upstream, or was sent.

    Attributes:
        size: Its bytes.
        waiting: Whether none of it was sent yet.
        displaced: Whether it lost its place to a smaller one.
    """

    size: int
    waiting: bool = True
    displaced: bool = False


class BodiesInFlight:
    """The bodies of this instance at one upstream.

    Attributes:
        held: Bytes of all of them.
    """

    __slots__ = ('_bodies', '_lost', '_small', 'held')

    def __init__(self):
        self._bodies = set()
        # Time and size of bodies whose connections the upstream closed.
        self._lost = collections.deque()
        # Bytes of those that used the reserve.
        self._small = {}
        self.held = 0

    def __len__(self):
        return len(self._bodies)

    def __contains__(self, body):
        return body in self._bodies

    def fits(self, size, bound, divided=False):
        """Tells whether a body may be sent without displacing another.

        Where the bound is that of this instance alone, a single body is
        never refused. Those in the reserve don't count.

        Args:
            size: Its bytes.
            bound: The bound in bytes.
            divided: Whether it is a share of the bound of all instances.
        """
        if not self.held and not divided:
            return True
        return self.held + size <= bound

    def _fits_reserve(self, size, bound, divided):
        if divided:
            return size <= FREE_BYTES
        reserved = sum(self._small.values())
        return (
            size <= bound // SMALL_DIVISOR
            and reserved + size <= bound // RESERVE_DIVISOR
        )

    def admits(self, size, bound, divided=False):
        """Tells whether there is room for a body, or could be made."""
        return (
            self.fits(size, bound, divided)
            or self._fits_reserve(size, bound, divided)
            or bool(self._find_displaced(size, bound, divided))
        )

    def admit(self, size, bound, divided=False):
        """Takes a body in if there is room for it.

        Larger ones that wait lose their places to it, the largest first.

        Returns:
            The Body, None without room, and those that were displaced.
        """
        body = Body(size)
        displaced = []
        if not self.fits(size, bound, divided):
            if self._fits_reserve(size, bound, divided):
                self._small[body] = size
                self._bodies.add(body)
                return body, displaced
            displaced = self._find_displaced(size, bound, divided)
            if not displaced:
                return None, displaced
        for other in displaced:
            other.displaced = True
            self.remove(other)
        self._bodies.add(body)
        self.held += size
        return body, displaced

    def _find_displaced(self, size, bound, divided):
        """Returns the waiting bodies that give way, [] if all are too few."""
        larger = [b for b in self._bodies if b.waiting and b.size > size]
        larger.sort(key=lambda body: body.size, reverse=True)
        left, displaced = self.held, []
        for body in larger:
            displaced.append(body)
            left -= body.size
            fits = left + size <= bound
            if fits or (not left and not divided):
                return displaced
        return []

    def remove(self, body):
        """Removes a body that is no longer in flight."""
        if body not in self._bodies:
            return
        self._bodies.remove(body)
        if self._small.pop(body, None) is None:
            self.held -= body.size

    def record_lost(self, body, now):
        """Records that the upstream closed the connection of a body."""
        self._lost.append((now, body.size))
        self._drop_lost(now)

    def _drop_lost(self, now):
        while self._lost and now - self._lost[0][0] > LOST_S:
            self._lost.popleft()

    def held_at_crash(self, now):
        """Returns the bytes that the upstream held when it crashed.

        Args:
            now: Time at which the crash was noticed.
        """
        self._drop_lost(now)
        sent = [b.size for b in self._bodies if not b.waiting]
        return sum(sent) + sum(size for _at, size in self._lost)


def team_above_half(held_by_team, bound):
    """Returns the team that holds more than its part of the instance's bound.

    A team may hold half of it while others hold some.

    Args:
        held_by_team: Bytes by the name of the team; '' stands for callers
            whose team is not known, which are no team.
        bound: The bound of the instance in bytes.

    Returns:
        Its name, '' for none.
    """
    teams = {name: held for name, held in held_by_team.items() if name}
    if sum(1 for held in teams.values() if held) < 2:
        return ''
    name = max(teams, key=teams.get)
    return name if teams[name] > bound // 2 else ''
