"""What one instance has running at each engine, by lane."""

import math

from dandelionwinch.dispatch import _prompts

PEAK_KEEP_S = 6.0


class Running:
    """Answers and background prompts by engine, and the peak of answers."""

    __slots__ = ('_answers', '_background', '_peak', '_peak_at')

    def __init__(self):
        self._answers = {}
        self._background = {}
        self._peak = 0.0
        self._peak_at = 0.0

    def answers(self, upstream_id):
        """Returns the number of answers that an engine makes."""
        return self._answers.get(upstream_id, 0)

    def background(self, upstream_id):
        """Returns the number of prompts in the background at an engine."""
        return self._background.get(upstream_id, 0)

    def peak_of_answers(self, now):
        """Returns the recent peak of answers at all engines; it fades."""
        faded = self._peak * math.exp((self._peak_at - now) / PEAK_KEEP_S)
        return max(sum(self._answers.values()), faded)

    def sent(self, placement, now):
        """Notes that an engine gets a prompt."""
        self._add(placement, 1)
        if placement.priority_class is _prompts.PriorityClass.ANSWER:
            self._peak = self.peak_of_answers(now)
            self._peak_at = now

    def ended(self, placement):
        """Notes that an engine no longer has a prompt."""
        self._add(placement, -1)

    def _add(self, placement, change):
        match placement.priority_class:
            case _prompts.PriorityClass.ANSWER:
                counts = self._answers
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
