"""What an answer of a service takes on the whole."""

SHARE = 0.02
# Answers differ in size; only what is far above the mean tells of trouble.
TOLERANCE = 2.0


class LatencyBaseline:
    """Mean latency of each service, over all of its upstreams."""

    __slots__ = ('_by_service',)

    def __init__(self):
        self._by_service = {}

    def excess_s(self, service, taken_s):
        """Takes a latency; returns what it is far above the mean."""
        mean_s = self._by_service.get(service, taken_s)
        self._by_service[service] = mean_s + SHARE * (taken_s - mean_s)
        return max(0.0, taken_s - TOLERANCE * mean_s)
