"""Divides a bound on the bytes at one upstream among the instances.

The shares are those of a Granter, with two differences. A body is sent whole,
so a share for less than a body is of no use: an instance gets room for the
body that waits, or none. And what an instance may have sent stays taken while
its lease is renewed or has ended a short while ago, as it can't be taken back.
"""

import attrs

from dandelionwinch.ratelimits import _granter

# Shortest time between two requests of an instance for a share.
MIN_INTERVAL_S = 0.25
# Requests that are answered in a second for one upstream.
ASKS_PER_S = 30.0
# Steps in which shares are told, times two.
SHARE_STEP = 2e-6
# Numbers of requests rise by one a millisecond. One that is behind by more is
# of an instance that has started again.
MAX_LATE_NUMBERS = 10000
# Part of the bound that is not granted, as the instances that ask for nothing
# use even parts of it.
EVEN_RATIO = 0.125
# Part of the room beyond what an instance needs that it may get with it, so
# that some is left for the next that asks.
SPARE_RATIO = 0.125
# Time for which the share of an instance that no longer asks stays taken: it
# may have sent that much just before its lease ended.
KEPT_S = 10.0


@attrs.frozen
class BytesRequest(_granter.Request):
    """A request for a share of a bound; its demand is in bytes.

    Attributes:
        held: Bytes of its bodies at the upstream.
        waits: Size of the largest body that waits for room, 0 for none.
    """

    held: int = 0
    waits: int = 0


@attrs.define
class _BytesUser(_granter.User):
    """What is known of an instance that asks.

    Attributes:
        held: Bytes of its bodies at the upstream.
        waits: Size of the largest body that waits for room, 0 for none.
        held_share: Bytes that it holds as a part of the bound.
        needed: Part of the bound with which it can send what waits, 0 if
            nothing waits.
        reported_at: Time of its last request.
    """

    held: int = 0
    waits: int = 0
    held_share: float = 0.0
    needed: float = 0.0
    reported_at: float = 0.0

    def set_bound(self, bound):
        """Expresses what it holds and needs as parts of a bound in bytes."""
        self.held_share = self.held / bound
        self.needed = 0.0
        if self.waits:
            needed = (self.held + self.waits) / bound
            # A share is rounded down on its way.
            rounded = min(1.0, needed + SHARE_STEP)
            self.needed = max(needed, rounded)

    def taken(self, now):
        """Returns the part of the bound that nobody else can have."""
        kept_until = max(self.until, self.reported_at + KEPT_S)
        granted = self.share if kept_until > now else 0.0
        return max(granted, self.held_share)


class BytesGranter(_granter.Granter):
    """Grants the shares of the bound of one upstream.

    Args:
        now: Time in seconds from which no other instance grants them.
        warm_up_s: Time in seconds from then on in which only what an
            instance holds is granted, as shares may be in force that are not
            known here.
    """

    __slots__ = ('_numbers', '_warm_up_s')

    _user_class = _BytesUser

    def __init__(self, now, warm_up_s):
        super().__init__(now)
        self._warm_up_s = warm_up_s
        # Number of the last request of each instance.
        self._numbers = {}

    def is_late(self, name, number):
        """Tells whether this or a newer request of an instance came before.

        Args:
            name: Name of the instance.
            number: Number of the request.
        """
        behind = self._numbers.get(name, 0) - number
        if 0 <= behind <= MAX_LATE_NUMBERS:
            return True
        self._numbers[name] = number
        return False

    def grant(self, req, limit, instances, now):
        """Answers a request for a share, as the Granter does.

        An instance that wants nothing gives up its share.
        """
        grant = super().grant(req, limit, instances, now)
        if not req.demand:
            del self._users[req.instance]
        return grant

    def total(self, now):
        """Returns what all instances hold, as far as they have reported it.

        Args:
            now: Time in seconds.

        Returns:
            Bytes, and the age in seconds of the oldest of the reports.
        """
        holding = [user for user in self._users.values() if user.held]
        oldest = min((user.reported_at for user in holding), default=now)
        return sum(user.held for user in holding), now - oldest

    def keep_numbers(self, names):
        """Forgets the numbers of requests of instances that are gone.

        Args:
            names: Names of those that exist.
        """
        for name in self._numbers.keys() - set(names):
            del self._numbers[name]

    def _forget(self, now):
        over = [
            name
            for name, user in self._users.items()
            if user.forget_at <= now
            and not (user.taken(now) and now - user.reported_at < KEPT_S)
        ]
        for name in over:
            del self._users[name]

    def _record(self, req, now):
        user = super()._record(req, now)
        user.held = req.held
        user.waits = req.waits
        user.reported_at = now
        return user

    def _share(self, user, others, limit, instances, now):
        rest = self._others(user)
        for each in (user, *rest):
            each.set_bound(limit)
        taken = sum(u.taken(now) for u in rest)
        if now - self._began_at < self._warm_up_s:
            return max(0.0, min(user.held_share, 1.0 - taken))
        room = 1.0 - EVEN_RATIO - taken
        if not taken and not user.held and room < user.needed <= 1.0:
            # A single body may go to an upstream that holds nothing.
            return user.needed
        return self._share_of_room(user, rest, room, now)

    def _share_of_room(self, user, rest, room, now):
        """Returns a share of what no other instance has.

        Args:
            user: The _BytesUser that asks.
            rest: The other ones.
            room: Part of the bound that they don't have.
            now: Time in seconds.
        """
        room = max(0.0, room)
        if user.needed > room:
            return min(user.held_share, room)
        need = max(user.needed, user.held_share)
        if not user.demand:
            return min(need, room)
        wanted = self._wanted_share(user, rest, now)
        return min(
            room, max(need, min(wanted, need + SPARE_RATIO * (room - need)))
        )

    @staticmethod
    def _silent_s(user):
        """Returns 0, as its share stays taken for KEPT_S."""
        return 0.0

    def _next_s(self, user, others, share, now):
        users = 1 + len(others) if share else len(self._users)
        return max(MIN_INTERVAL_S, users / ASKS_PER_S)


def warm_up_s(instances):
    """Returns for how long a granting instance that takes over warms up.

    By then each instance with a share has asked once.

    Args:
        instances: Number of instances.
    """
    return max(_granter.WARM_UP_S, instances / ASKS_PER_S)
