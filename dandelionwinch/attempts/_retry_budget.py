"""A retry budget that instances share without coordination."""

import collections

WINDOW_BUCKETS = 10
# Parts of the ratio and of the slack that instances use; the rest is left
# for instances that are not known yet.
RATIO_FACTOR = 0.85
SLACK_FACTOR = 0.7


class SharedRetryBudget:
    """One instance's portion of the retry budgets of all services.

    For each service an instance may retry a ratio of the requests that
    it received itself in a sliding window. In addition it may use its
    portion of the slack, an allowance that does not depend on the number
    of requests. The portions of all known instances add up to less than
    the whole budget; the rest is left for instances not known yet. The
    slack grows linearly to its full size over the first window: right
    after a simultaneous restart no instance has counted the others yet.

    The budget for jobs of the entry daemon is `limits.RetryBudget`, which
    bounds the retries of one instance by its own successes.

    Args:
        ratio: Retries allowed for each request, for all instances.
        slack: Retries allowed in addition per window, for all instances.
        window_s: Length of the sliding window.
    """

    __slots__ = (
        '_bucket_s',
        '_ratio',
        '_requests',
        '_retries',
        '_slack',
        '_started_at',
    )

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio * RATIO_FACTOR
        self._slack = slack * SLACK_FACTOR
        self._bucket_s = window_s / WINDOW_BUCKETS
        self._started_at = None
        self._requests = {}
        self._retries = {}

    def record_request(self, service, now):
        """Records a caller's request for a service."""
        self._add(self._requests, service, now)
        # The slack grows from the first request on.
        self._slack_growth(now)

    def allows(self, service, capacity_ratio, now):
        """Tells whether the budget allows one more retry.

        Args:
            service: Name of the service.
            capacity_ratio: Capacity of all known instances over this
                instance's capacity; divides the slack.
            now: Time in seconds.
        """
        requests = self._count(self._requests, service, now)
        retries = self._count(self._retries, service, now)
        slack = self._slack * self._slack_growth(now) / capacity_ratio
        return retries + 1 <= self._ratio * requests + slack

    def spend(self, service, capacity_ratio, now):
        """Spends one retry if the budget allows it; tells whether it did.

        The arguments are those of `allows`.
        """
        if not self.allows(service, capacity_ratio, now):
            return False
        self._add(self._retries, service, now)
        return True

    def _slack_growth(self, now):
        """Returns the part of the slack that is available, 0 to 1.

        The first call sets the time from which the slack grows.
        """
        if self._started_at is None:
            self._started_at = now
        return min(
            1.0, (now - self._started_at) / (WINDOW_BUCKETS * self._bucket_s)
        )

    def _add(self, counts, service, now):
        buckets = counts.setdefault(service, collections.deque())
        index = int(now / self._bucket_s)
        if buckets and buckets[-1][0] == index:
            buckets[-1][1] += 1
            return
        buckets.append([index, 1])
        while buckets[0][0] <= index - WINDOW_BUCKETS:
            buckets.popleft()

    def _count(self, counts, service, now):
        oldest = int(now / self._bucket_s) - WINDOW_BUCKETS
        buckets = counts.get(service, ())
        return sum(count for index, count in buckets if index > oldest)
