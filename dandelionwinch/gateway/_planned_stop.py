"""Which requests can end before a planned stop of the instance."""

from dandelionwinch import attempts


class PlannedStop:
    """When the instance stops, and how long its requests take.

    Args:
        loop: The event loop.

    Attributes:
        ended: Whether all requests were given their final responses.
    """

    __slots__ = ('_began_at', '_durations', '_loop', '_stop_at', 'ended')

    def __init__(self, loop):
        self._loop = loop
        self._began_at = None
        self._stop_at = None
        self._durations = attempts.LongestDurations()
        self.ended = False

    def begin(self, stop_at):
        """Begins a stop.

        Args:
            stop_at: Loop time at which the instance stops.
        """
        self._began_at = self._loop.time()
        self._stop_at = stop_at

    def record(self, route_name, answer_tokens, first_s, elapsed_s):
        """Records how long a request took.

        Args:
            route_name: Name of its route.
            answer_tokens: Maximum number of tokens of its answer.
            first_s: Seconds until its first event.
            elapsed_s: Seconds until its end.
        """
        self._durations.record(
            route_name, answer_tokens, first_s, elapsed_s, self._loop.time()
        )

    def allows(self, route_name, answer_tokens, limit_s):
        """Tells whether a request can end before the instance stops.

        Args:
            route_name: Name of its route.
            answer_tokens: Maximum number of tokens of its answer.
            limit_s: Seconds until its deadline.
        """
        if self.ended:
            return False
        if self._stop_at is None:
            return True
        now = self._loop.time()
        expected_s = self._durations.expected_s(route_name, answer_tokens, now)
        return attempts.ends_in_time(limit_s, expected_s, self._stop_at - now)

    def lasted_s(self, received_at):
        """Returns how long a stop had lasted when a request arrived.

        Args:
            received_at: Loop time at which the request began to arrive.

        Returns:
            Seconds, or None if no stop had begun.
        """
        if self._began_at is None or received_at < self._began_at:
            return None
        return round(received_at - self._began_at, 3)
