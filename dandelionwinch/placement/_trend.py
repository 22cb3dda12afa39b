"""Demand of a pool, averaged over a short and a long time span."""

import math

import attrs

# Time constant of the short average.
SHORT_SPAN_S = 10.0


@attrs.define
class Average:
    """An exponentially decaying average of a rate.

    Attributes:
        span_s: Time constant of the decay.
    """

    span_s: float
    value: float = 0.0
    at: float | None = None

    def add(self, amount, now):
        """Adds an amount that arrives now."""
        self.value = self.read(now) + amount / self.span_s
        self.at = now

    def read(self, now):
        """Returns the average amount per second."""
        if self.at is None:
            self.at = now
            return 0.0
        age_s = max(0.0, now - self.at)
        return self.value * math.exp(-age_s / self.span_s)


class Trend:
    """Demand in prompt and output tokens per second.

    A plan must hold under the short and the long average, so that a short
    peak alone does not count as lasting demand.
    """

    __slots__ = ('_decode', '_prefill')

    def __init__(self, long_span_s):
        spans = (SHORT_SPAN_S, long_span_s)
        self._prefill = [Average(span) for span in spans]
        self._decode = [Average(span) for span in spans]

    def add(self, prefill_tokens, decode_tokens, now):
        """Adds the demand of a job."""
        for average in self._prefill:
            average.add(prefill_tokens, now)
        for average in self._decode:
            average.add(decode_tokens, now)

    def rates(self, now):
        """Returns (prefill, decode) rates of the short and the long span."""
        return [
            (prefill.read(now), decode.read(now))
            for prefill, decode in zip(
                self._prefill, self._decode, strict=True
            )
        ]
