"""Mean latency of each service, the baseline for slow responses."""

MEAN_GAIN = 0.02
# Responses differ in size, so only a latency far above the mean indicates a
# fault.
TOLERANCE_RATIO = 2.0


class LatencyBaseline:
    """Mean latency of each service, over all of its upstreams."""

    __slots__ = ('_by_service',)

    def __init__(self):
        self._by_service = {}

    def observe(self, service, taken_s):
        """Updates the mean and returns the excess of a latency.

        Args:
            service: Name of the service.
            taken_s: Latency of one response.

        Returns:
            Seconds above TOLERANCE_RATIO times the previous mean, 0.0 if
            below it.
        """
        mean_s = self._by_service.get(service, taken_s)
        self._by_service[service] = mean_s + MEAN_GAIN * (taken_s - mean_s)
        return max(0.0, taken_s - TOLERANCE_RATIO * mean_s)
