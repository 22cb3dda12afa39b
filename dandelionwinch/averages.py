"""Moving averages of the rates of events."""

import math


class DecayingRate:
    """The rate of events, averaged with weights that decay exponentially.

    Args:
        span_s: Time constant of the decay in seconds.
    """

    __slots__ = ('_recorded_at', '_span_s', '_weight')

    def __init__(self, span_s):
        self._span_s = span_s
        self._weight = 0.0
        self._recorded_at = 0.0

    def record(self, now, weight=1.0):
        """Records an event.

        Args:
            now: Time in seconds.
            weight: Number of events that it counts as.
        """
        self._weight = self._decayed(now) + weight
        self._recorded_at = now

    def per_s(self, now):
        """Returns the average number of events a second."""
        return self._decayed(now) / self._span_s

    def _decayed(self, now):
        age_s = max(0.0, now - self._recorded_at)
        return self._weight * math.exp(-age_s / self._span_s)
