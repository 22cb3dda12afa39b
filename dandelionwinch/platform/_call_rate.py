"""Limits the rate of calls to the duty API."""

# Calls that may follow each other at once, in seconds of the rate.
BURST_S = 1.0
# Longest pause that one answer can ask for.
MAX_PAUSE_S = 2.0
# Shortest wait, so that rounding makes no busy loop.
MIN_WAIT_S = 0.001


class CallRate:
    """A token bucket. All times are in seconds of one clock.

    Args:
        calls_per_s: Rate at which it is refilled.
        now: Current time.
    """

    __slots__ = ('_calls', '_calls_per_s', '_limit', '_paused_until', '_seen')

    def __init__(self, calls_per_s, now):
        self._calls_per_s = calls_per_s
        self._limit = max(1.0, BURST_S * calls_per_s)
        self._calls = self._limit
        self._seen = now
        self._paused_until = now

    def take(self, now):
        """Takes one call; returns the wait before a new try, 0 if taken."""
        if now < self._paused_until:
            return self._paused_until - now
        gained = (now - self._seen) * self._calls_per_s
        self._calls = min(self._limit, self._calls + gained)
        self._seen = now
        if self._calls < 1.0:
            return max(MIN_WAIT_S, (1.0 - self._calls) / self._calls_per_s)
        self._calls -= 1.0
        return 0.0

    def throttled(self, now, wait_s):
        """Empties the bucket and begins a pause, of MAX_PAUSE_S at most."""
        pause_s = min(MAX_PAUSE_S, wait_s)
        self._paused_until = max(self._paused_until, now + pause_s)
        self._calls = 0.0
        self._seen = now
