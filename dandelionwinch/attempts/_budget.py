"""A retry budget that instances share without asking each other."""

import collections

BUCKETS = 10
RATIO_SHARE = 0.85
SLACK_SHARE = 0.7


class SharedRetryBudget:
    """One instance's part of the retry budget of all services.

    Each instance earns the allowed ratio of the requests it received
    itself, and a part of the fixed slack. The parts add up to
    less than the whole, which covers instances not yet known. The slack
    comes in over the first window: right after a common restart no
    instance knows how many there are.
    """

    __slots__ = (
        '_began_at',
        '_ratio',
        '_requests',
        '_retries',
        '_slack',
        '_span_s',
    )

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._span_s = window_s / BUCKETS
        self._began_at = None
        self._requests = {}
        self._retries = {}

    def record_request(self, service, now):
        """Notes a caller's request for a service."""
        self._add(self._requests, service, now)
        self._grown(now)

    def spend(self, service, parts, now):
        """Takes one retry and tells whether the budget allowed it.

        Args:
            service: Name of the service.
            parts: Parts like the own that the slack is believed to be in.
            now: Time in seconds.
        """
        requests = self._count(self._requests, service, now)
        retries = self._count(self._retries, service, now)
        slack = self._slack * self._grown(now) / parts
        allowed = self._ratio * requests + slack
        if retries + 1 > allowed:
            return False
        self._add(self._retries, service, now)
        return True

    def _grown(self, now):
        """Returns the share of the slack that has come in by now."""
        if self._began_at is None:
            self._began_at = now
        return min(1.0, (now - self._began_at) / (BUCKETS * self._span_s))

    def _add(self, counts, service, now):
        buckets = counts.setdefault(service, collections.deque())
        index = int(now / self._span_s)
        if buckets and buckets[-1][0] == index:
            buckets[-1][1] += 1
            return
        buckets.append([index, 1])
        while buckets[0][0] <= index - BUCKETS:
            buckets.popleft()

    def _count(self, counts, service, now):
        oldest = int(now / self._span_s) - BUCKETS
        buckets = counts.get(service, ())
        return sum(count for index, count in buckets if index > oldest)
