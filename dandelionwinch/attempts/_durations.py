"""How long requests take, to tell which ones end before a stop."""

import attrs

WINDOW_S = 20.0
# A request may take longer than the longest one that was seen, and a sound
# upstream may be silent for about a second meanwhile.
MARGIN = 1.5
SILENCE_RESERVE_S = 1.5
# Fewer requests say too little about the longest one.
MIN_SAMPLES = 3


@attrs.define
class _Longest:
    """The longest times of one route in one window.

    Attributes:
        count: Number of requests.
        first_s: Longest time to the first event, or to the response.
        step_s: Longest mean time between two tokens of an answer.
    """

    count: int = 0
    first_s: float = 0.0
    step_s: float = 0.0


class LongestDurations:
    """The longest recent durations of requests, by route.

    A duration is a time to the first event and a time for each token after
    it, as the answers of one route differ in length. It counts for one to
    two windows of WINDOW_S.
    """

    __slots__ = ('_current', '_previous', '_window')

    def __init__(self):
        self._current = {}
        self._previous = {}
        self._window = 0

    def record(self, route_name, tokens, first_s, duration_s, now):
        """Records a request that got a whole response.

        Args:
            route_name: Name of its route.
            tokens: Tokens of its answer, 0 for a call.
            first_s: Seconds from its arrival to the first event, or to the
                response of a call.
            duration_s: Seconds from its arrival to the end.
            now: Time in seconds.
        """
        self._rotate(now)
        longest = self._current.setdefault(route_name, _Longest())
        longest.count += 1
        longest.first_s = max(longest.first_s, first_s)
        if tokens:
            step_s = (duration_s - first_s) / tokens
            longest.step_s = max(longest.step_s, step_s)

    def expected_s(self, route_name, tokens, now):
        """Returns the seconds within which a request should end.

        Args:
            route_name: Name of its route.
            tokens: Tokens of its answer, 0 for a call.
            now: Time in seconds.

        Returns:
            Seconds, infinite if too few requests of the route were seen.
        """
        self._rotate(now)
        seen = [
            window.get(route_name, _Longest())
            for window in (self._current, self._previous)
        ]
        if sum(longest.count for longest in seen) < MIN_SAMPLES:
            return float('inf')
        first_s = max(longest.first_s for longest in seen)
        step_s = max(longest.step_s for longest in seen)
        return MARGIN * (first_s + tokens * step_s) + SILENCE_RESERVE_S

    def _rotate(self, now):
        window = int(now / WINDOW_S)
        if window == self._window:
            return
        adjacent = window == self._window + 1
        self._previous = self._current if adjacent else {}
        self._current = {}
        self._window = window


def ends_in_time(limit_s, expected_s, left_s):
    """Tells whether a request that arrives during a stop ends before it.

    During a rolling restart callers connect to instances that are already
    stopping, as their addresses are older. A request that cannot end is
    better served elsewhere, and nobody has worked on it yet.

    Args:
        limit_s: Time until the deadline of the request.
        expected_s: Seconds within which it should end.
        left_s: Time until the instance stops.
    """
    return min(limit_s, expected_s) <= left_s
