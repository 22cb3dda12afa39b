"""Requests that one instance has in flight at each engine."""

import math

from dandelionwinch.dispatch import _prompts

# Time constant with which the peak decays.
PEAK_DECAY_S = 6.0


class InFlight:
    """Counts of decodes and background prompts by engine, and their peak.

    A decode is a request of the class ANSWER: a short prompt, most of whose
    work is to decode the answer. The class URGENT is not counted. The peak
    is that of decodes at all engines.
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

        The peak decays exponentially.
        """
        decayed = self._peak * math.exp((self._peak_at - now) / PEAK_DECAY_S)
        return max(sum(self._decodes.values()), decayed)

    def add(self, placement, now):
        """Counts a request that is sent to an engine."""
        self._count(placement, 1)
        if placement.priority_class is _prompts.PriorityClass.ANSWER:
            self._peak = self.peak_decodes(now)
            self._peak_at = now

    def remove(self, placement):
        """Removes a request that has ended."""
        self._count(placement, -1)

    def _count(self, placement, delta):
        match placement.priority_class:
            case _prompts.PriorityClass.ANSWER:
                counts = self._decodes
            case _prompts.PriorityClass.BACKGROUND:
                counts = self._background
            case _:
                return
        upstream_id = placement.prefill_engine.entry.id
        count = counts.get(upstream_id, 0) + delta
        if count:
            counts[upstream_id] = count
        else:
            counts.pop(upstream_id, None)
