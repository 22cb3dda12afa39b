"""What one instance may send to an upstream that states a rate limit.

Without a limit anything may be sent. With one, the instance has a share of
it for some time, and a token bucket that fills at this share of the limit. The
bucket starts empty, or many instances would each send a request at once.
"""

from dandelionwinch import averages
from dandelionwinch.ratelimits import _statement

# Lowest rate that all instances together use, so that an upstream that takes
# nothing can still state that its limit has ended.
MIN_RATE_PER_S = 0.25
# Size of the bucket: one request, and so many seconds of the instance's rate.
BUCKET_S = 0.5
# Time constant of the average of the requests that the instance wants to send.
DEMAND_SPAN_S = 2.0
# Time after which a request is expected to be admitted by an instance that
# has no share yet.
NO_SHARE_WAIT_S = 0.5


class Allowance:
    """One instance's share of the rate limit of an upstream.

    Attributes:
        statement: What the upstream states.
    """

    __slots__ = (
        '_balance',
        '_demand',
        '_refilled_at',
        '_share',
        '_share_until',
        'statement',
    )

    def __init__(self):
        self.statement = _statement.Statement()
        self._demand = averages.DecayingRate(DEMAND_SPAN_S)
        self._share = 0.0
        self._share_until = 0.0
        self._balance = 0.0
        self._refilled_at = 0.0

    @property
    def in_force(self):
        """Tells whether the upstream states a limit."""
        return self.statement.rate_per_s is not None

    def update(self, statement, now):
        """Takes over a newer Statement; a new limit begins without a share.

        Returns:
            Whether the limit is another one than before.
        """
        before = self.statement
        if statement.rate_per_s is not None and not self.in_force:
            self._share = 0.0
            self._balance = 0.0
            self._refilled_at = now
        self._refill(now)
        self.statement = statement
        return statement.rate_per_s != before.rate_per_s

    def limit_per_s(self):
        """Returns the requests a second that all instances may send."""
        return max(MIN_RATE_PER_S, self.statement.rate_per_s)

    def grant(self, share, until, now):
        """Sets the share of the limit, 0 to 1, and the time of its end."""
        self._refill(now)
        self._share = share
        self._share_until = until

    def share(self, now):
        """Returns the share of the limit that this instance has, 0 to 1."""
        return self._share if self._share_until > now else 0.0

    def share_left_s(self, now):
        """Returns the seconds for which it has this share."""
        return max(0.0, self._share_until - now)

    def demand_per_s(self, now):
        """Returns the requests a second that it sends or would send."""
        return self._demand.per_s(now)

    def record_refused(self, weight, now):
        """Records a request that it might have sent here without the limit.

        Args:
            weight: Probability that the request would have been sent here.
            now: Time in seconds.
        """
        self._demand.record(now, weight)

    def admits(self, now):
        """Tells whether a request may be sent."""
        if not self.in_force:
            return True
        self._refill(now)
        return self._balance >= 1.0

    def take(self, now):
        """Takes the token for one request; tells whether there was one."""
        if not self.admits(now):
            return False
        self._demand.record(now)
        if self.in_force:
            self._balance -= 1.0
        return True

    def give_back(self, now):
        """Returns the token of a request that was not sent."""
        if self.in_force:
            self._balance += 1.0
            self._refill(now)

    def rate_per_s(self, now):
        """Returns the requests a second that this instance may send."""
        return self.share(now) * self.limit_per_s()

    def wait_s(self, now):
        """Returns the seconds until a request may be sent."""
        if self.admits(now):
            return 0.0
        rate_per_s = self.rate_per_s(now)
        if not rate_per_s:
            return NO_SHARE_WAIT_S
        return (1.0 - self._balance) / rate_per_s

    def _refill(self, now):
        if not self.in_force:
            return
        earning_s = min(now, self._share_until) - self._refilled_at
        self._refilled_at = now
        rate_per_s = self._share * self.limit_per_s()
        size = 1.0 + BUCKET_S * rate_per_s
        earned = max(0.0, earning_s) * rate_per_s
        self._balance = min(size, self._balance + earned)
        if now >= self._share_until:
            # Others have the share by now, and fill a bucket of their own.
            self._balance = 0.0
