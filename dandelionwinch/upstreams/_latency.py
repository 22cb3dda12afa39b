"""Mean latency of each service, to tell slow answers from usual ones."""

MEAN_GAIN = 0.02
# Answers differ in size, so only those far above the mean indicate a fault.
TOLERANCE_RATIO = 2.0


class LatencyBaseline:
    """Mean latency of each service, over all of its upstreams."""

    __slots__ = ('_by_service',)

    def __init__(self):
        self._by_service = {}

    def observe(self, service, taken_s):
        """Updates the mean; returns how far a latency is above its limit.

        Args:
            service: Name of the service.
            taken_s: Latency of one answer.

        Returns:
            Seconds above TOLERANCE_RATIO times the mean, 0.0 if below.
        """
        mean_s = self._by_service.get(service, taken_s)
        self._by_service[service] = mean_s + MEAN_GAIN * (taken_s - mean_s)
        return max(0.0, taken_s - TOLERANCE_RATIO * mean_s)
