"""Divides the rate limit of one upstream among the instances that ask.

One instance grants the shares of an upstream's limit. The shares in force
never add up to more than the limit. They are in proportion to the requests
that each instance wants to send, so that a request has the same chance at all
of them. Where even parts would be less than a request in some seconds, few
instances have a share. What an instance that starts to grant does not know is
bounded by even parts for some time.
"""

import attrs

# Instances with a share beyond one for each whole request a second: a bucket
# holds a request, so the number of shares counts like requests.
EXTRA_USERS = 2
# Shortest time between two requests for a share, and how many of them the
# granting instance answers in a second for one upstream.
MIN_INTERVAL_S = 0.4
ASKS_PER_S = 20.0
# Length of a share's lease in such intervals, so that one may be lost.
LEASE_INTERVALS = 3.0
# Time for which only even parts are granted, as other shares may be in force.
WARM_UP_S = 1.5
# Factor by which the demand of an instance must exceed that of one with a
# share to take its place, so that small differences change nothing.
REPLACE_FACTOR = 3.0
# Difference between the share that an instance has and the one that its
# demand calls for, as a part of the former, up to which it keeps it.
KEPT_DIFFERENCE = 0.25
# Time after which an instance that has not asked again when it should is taken
# for silent: that of a datagram and of the timers.
LATE_S = 0.15
# Time after the end of its lease for which a silent instance counts as using
# an even part, as one that gets no answers does.
SILENT_S = 10.0
# Last demand of an instance that has no more to send: an instance asks until
# its demand, which decays, is close to 0.
QUIET_DEMAND_PER_S = 0.05


@attrs.frozen
class Request:
    """An instance's request for a share.

    Attributes:
        instance: Name of the instance.
        demand: What it uses or would use, in the unit of the limit.
        share: Share that it has now, 0 to 1.
        share_left_s: Time in seconds for which it has it.
    """

    instance: str
    demand: float
    share: float
    share_left_s: float


@attrs.frozen
class Grant:
    """A share of a limit.

    Attributes:
        share: The share, 0 to 1.
        lease_s: Time in seconds for which it is granted.
        next_s: Time in seconds after which to ask again.
    """

    share: float
    lease_s: float
    next_s: float


@attrs.define
class User:
    """What is known of an instance that asks.

    Attributes:
        demand: Its demand.
        share: Share that it was granted.
        until: Time up to which it has the share.
        due_at: Time at which it should ask again.
        forget_at: Time from which it no longer counts at all.
        replaced: Whether its share goes to another instance.
    """

    demand: float = 0.0
    share: float = 0.0
    until: float = 0.0
    due_at: float = 0.0
    forget_at: float = 0.0
    replaced: bool = False

    def usable(self, even_part, now):
        """Returns the share that it may use."""
        share = self.share if self.until > now else 0.0
        if now <= self.due_at + LATE_S:
            return share
        return max(share, even_part)


class Granter:
    """Grants the shares of one upstream's limit.

    Args:
        now: Time in seconds.
    """

    __slots__ = ('_began_at', '_users')

    _user_class = User

    def __init__(self, now):
        self._began_at = now
        self._users = {}

    def grant(self, req, limit, instances, now):
        """Answers a request for a share.

        Args:
            req: Request.
            limit: The limit, in requests a second that all instances may
                send.
            instances: Number of instances.
            now: Time in seconds.

        Returns:
            A Grant.
        """
        self._forget(now)
        user = self._record(req, now)
        others = [u for u in self._others(user) if u.share and u.until > now]
        share = self._share(user, others, limit, instances, now)
        next_s = self._next_s(user, others, share, now)
        user.share = share
        user.replaced = False
        user.due_at = now + next_s
        user.until = now + LEASE_INTERVALS * next_s
        user.forget_at = user.until + self._silent_s(user)
        return Grant(share, LEASE_INTERVALS * next_s, next_s)

    def _others(self, user):
        return [other for other in self._users.values() if other is not user]

    @staticmethod
    def _silent_s(user):
        """Returns for how long one that falls silent counts after its lease.

        One that asked for close to nothing has no more to send.
        """
        return SILENT_S if user.demand > QUIET_DEMAND_PER_S else 0.0

    def _share(self, user, others, limit, instances, now):
        most_users = int(limit) + EXTRA_USERS
        if len(others) >= most_users or user.replaced:
            return 0.0
        wanted = self._wanted_share(user, others, now)
        if now - self._began_at < WARM_UP_S:
            wanted = 1.0 / min(instances, most_users)
        even_part = 1.0 / instances
        taken = sum(u.usable(even_part, now) for u in self._others(user))
        return max(0.0, min(wanted, 1.0 - taken))

    @staticmethod
    def _wanted_share(user, others, now):
        """Returns the share of an instance in proportion to its demand."""
        total = sum(u.demand for u in others) + user.demand
        if not total:
            return 1.0 / (1 + len(others))
        wanted = user.demand / total
        kept = user.share if user.until > now else 0.0
        if abs(wanted - kept) < KEPT_DIFFERENCE * kept:
            return kept
        return wanted

    def _next_s(self, user, others, share, now):
        """Returns when an instance should ask again.

        One that has much more demand than another with a share takes its
        place soon.
        """
        if share:
            return max(MIN_INTERVAL_S, (1 + len(others)) / ASKS_PER_S)
        if others:
            least = min(others, key=lambda u: u.demand)
            if user.demand > REPLACE_FACTOR * least.demand:
                least.replaced = True
                return MIN_INTERVAL_S
        asking = 1 + sum(u.until > now for u in self._others(user))
        return max(MIN_INTERVAL_S, asking / ASKS_PER_S)

    def _forget(self, now):
        over = [n for n, user in self._users.items() if user.forget_at <= now]
        for name in over:
            del self._users[name]

    def _record(self, req, now):
        user = self._users.get(req.instance)
        if user is None:
            until = now + req.share_left_s
            user = self._user_class(share=req.share, until=until)
            self._users[req.instance] = user
        user.demand = req.demand
        return user
