"""Requests that one instance has in flight at each engine."""

import math

from dandelionwinch.dispatch import _prompts

PEAK_DECAY_S = 6.0


class InFlight:
    """Decodes and background prompts by engine, and the peak of decodes.

    A decode is a request of the class ANSWER. Requests of the class URGENT
    are not counted.
    """

    __slots__ = ('_background', '_decodes', '_peak', '_peak_at')

    def __init__(self):
        self._decodes = {}
        self._background = {}
        self._peak = 0.0
        self._peak_at = 0.0

    def decodes(self, upstream_id):
        """Returns the number of decodes at an engine."""
        return self._decodes.get(upstream_id, 0)

    def background(self, upstream_id):
        """Returns the number of background prompts at an engine."""
        return self._background.get(upstream_id, 0)

    def peak_decodes(self, now):
        """Returns the recent peak of decodes at all engines.

        The peak decays exponentially with the time constant PEAK_DECAY_S.
        """
        decayed = self._peak * math.exp((self._peak_at - now) / PEAK_DECAY_S)
        return max(sum(self._decodes.values()), decayed)

    def sent(self, placement, now):
        """Counts a request that is sent to an engine."""
        self._add(placement, 1)
        if placement.priority_class is _prompts.PriorityClass.ANSWER:
            self._peak = self.peak_decodes(now)
            self._peak_at = now

    def ended(self, placement):
        """Removes a request that an engine no longer has."""
        self._add(placement, -1)

    def _add(self, placement, change):
        match placement.priority_class:
            case _prompts.PriorityClass.ANSWER:
                counts = self._decodes
            case _prompts.PriorityClass.BACKGROUND:
                counts = self._background
            case _:
                return
        upstream_id = placement.prefill_engine.entry.id
        left = counts.get(upstream_id, 0) + change
        if left:
            counts[upstream_id] = left
        else:
            counts.pop(upstream_id, None)
