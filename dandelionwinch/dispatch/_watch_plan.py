"""Decides how often one instance asks the engines for cache events.

Each call has its price, and an instance gains from it by the prompts that it
places. So the calls of all instances together follow the prompts, whatever
the number of instances; where an instance places too few prompts, events
would be too old, and it follows none.
"""

from dandelionwinch import averages

# Calls for each prompt that is placed.
CALLS_PER_PROMPT = 1.0
# Shortest and longest time between two calls to one engine.
MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 2.0
# Time constant of the average rate of prompts.
RATE_SPAN_S = 3.0


class WatchPlan:
    """The rate of prompts that one instance places, and what follows."""

    __slots__ = ('_prompts',)

    def __init__(self):
        self._prompts = averages.DecayingRate(RATE_SPAN_S)

    def record_prompt(self, now):
        """Records that a prompt is placed."""
        self._prompts.record(now)

    def interval_s(self, engine_count, now):
        """Returns the time between two calls to one engine.

        Args:
            engine_count: Number of engines whose events are wanted.
            now: Time in seconds.

        Returns:
            Seconds, or None if the events are not worth their price.
        """
        calls_per_s = CALLS_PER_PROMPT * self._prompts.per_s(now)
        if not engine_count or engine_count > MAX_INTERVAL_S * calls_per_s:
            return None
        return max(MIN_INTERVAL_S, engine_count / calls_per_s)
