"""Requests that one instance has in flight at each engine."""

import math

from dandelionwinch.dispatch import _prompts

# Time constant with which the peak decays.
PEAK_DECAY_S = 6.0
# Gain of the moving average of the sizes of long prompts.
MEAN_GAIN = 0.05


class InFlight:
    """Counts of decodes and background prompts by engine, and their peak.

    A decode is a request of the class ANSWER: a short prompt, most of whose
    work is to decode the answer. The class URGENT is not counted. The peak
    is that of decodes at all engines. An engine is reading while a long
    prompt has no first token at an engine that also decodes it.

    Attributes:
        mean_tokens: Average size of long prompts without cached tokens,
            infinite before the first one.
    """

    __slots__ = (
        '_background',
        '_background_tokens',
        '_decodes',
        '_peak',
        '_peak_at',
        '_reading',
        'mean_tokens',
    )

    def __init__(self):
        self._decodes = {}
        self._background = {}
        self._background_tokens = {}
        self._reading = {}
        self.mean_tokens = math.inf
        self._peak = 0.0
        self._peak_at = 0.0

    def decodes(self, upstream_id):
        """Returns the number of decodes at an engine."""
        return self._decodes.get(upstream_id, 0)

    def background(self, upstream_id):
        """Returns the number of background prompts at an engine."""
        return self._background.get(upstream_id, 0)

    def background_tokens(self, upstream_id):
        """Returns the uncached tokens of background prompts at an engine."""
        return self._background_tokens.get(upstream_id, 0)

    def is_reading(self, upstream_id):
        """Tells whether an engine that decodes also reads a long prompt."""
        return bool(self._reading.get(upstream_id))

    def begin_reading(self, placement):
        """Records that an engine that decodes begins to read a prompt."""
        if placement.priority_class is not _prompts.PriorityClass.ANSWER:
            engine_id = placement.decode.entry.id
            self._reading.setdefault(engine_id, set()).add(placement)

    def end_reading(self, placement):
        """Records the first token or the end of a request."""
        engine_id = placement.decode.entry.id
        reading = self._reading.get(engine_id)
        if reading is not None:
            reading.discard(placement)
            if not reading:
                del self._reading[engine_id]

    def peak_decodes(self, now):
        """Returns the recent peak of decodes at all engines.

        The peak decays exponentially.
        """
        decayed = self._peak * math.exp((self._peak_at - now) / PEAK_DECAY_S)
        return max(sum(self._decodes.values()), decayed)

    def add(self, placement, now):
        """Counts a request that is sent to an engine."""
        self._count(placement, 1)
        if placement.priority_class is not _prompts.PriorityClass.ANSWER:
            tokens = placement.uncached_tokens
            if math.isinf(self.mean_tokens):
                self.mean_tokens = tokens
            self.mean_tokens += MEAN_GAIN * (tokens - self.mean_tokens)
        if placement.prefill is None:
            self.begin_reading(placement)
        if placement.priority_class is _prompts.PriorityClass.ANSWER:
            self._peak = self.peak_decodes(now)
            self._peak_at = now

    def remove(self, placement):
        """Removes a request that has ended."""
        self._count(placement, -1)
        self.end_reading(placement)

    def _count(self, placement, delta):
        match placement.priority_class:
            case _prompts.PriorityClass.ANSWER:
                counts = self._decodes
            case _prompts.PriorityClass.BACKGROUND:
                counts = self._background
            case _:
                return
        upstream_id = placement.prefill_engine.entry.id
        _add(counts, upstream_id, delta)
        if counts is self._background:
            tokens = delta * placement.uncached_tokens
            _add(self._background_tokens, upstream_id, tokens)


def _add(counts, key, delta):
    """Adds to a count, and drops it at zero."""
    count = counts.get(key, 0) + delta
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)
