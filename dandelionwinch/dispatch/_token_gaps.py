"""Predicts the gaps of answers beside which prompts are read.

A prompt that is read between the tokens of answers delays them. So an engine
that decodes may read only while the gaps of its answers, which grow with
their number, leave room below the allowed ones.
"""

import attrs

# Part of the gaps that are at most as long as the estimate.
QUANTILE = 0.97
GAIN = 0.1
# Part of the allowed gap up to which gaps beside a reading may come.
MAX_GAP_RATIO = 0.7
# Gaps after which an estimate counts.
MIN_SAMPLES = 10
# Factor by which gaps are assumed to grow with reading, until it is learnt.
READ_SLOWDOWN_FACTOR = 2.5
# Time for which gaps beside a reading count.
MEMORY_S = 5.0


@attrs.define
class _Estimate:
    """A high quantile of gaps, as parts of the allowed ones."""

    value: float = 0.0
    samples: int = 0
    updated_at: float = float('-inf')

    def observe(self, ratio, now):
        self.samples += 1
        self.updated_at = now
        if self.samples == 1:
            self.value = ratio
            return
        self.value *= 1 + GAIN * (QUANTILE - (ratio < self.value))

    def is_known(self):
        return self.samples >= MIN_SAMPLES


class TokenGaps:
    """Gaps of the answers of each service, with and without reading."""

    __slots__ = ('_calm', '_reading')

    def __init__(self):
        self._calm = {}
        self._reading = {}

    def observe(self, service, gap_ratio, now, *, reading):
        """Records a gap.

        Args:
            service: Name of the service.
            gap_ratio: Gap as a part of the allowed one.
            now: Time in seconds.
            reading: Whether the engine is reading a long prompt of this
                instance.
        """
        estimates = self._reading if reading else self._calm
        estimates.setdefault(service, _Estimate()).observe(gap_ratio, now)

    def calm_ratio(self, service):
        """Returns a long gap without reading as a part of the allowed one.

        It is 0.0 until it is known.
        """
        calm = self._calm.get(service)
        return calm.value if calm is not None and calm.is_known() else 0.0

    def leave_room(self, service, now):
        """Tells whether a prompt can be read beside answers in time."""
        calm = self._calm.get(service)
        if calm is None or not calm.is_known():
            return False
        reading = self._reading.get(service)
        if (
            reading is not None
            and reading.is_known()
            and now - reading.updated_at <= MEMORY_S
        ):
            return reading.value <= MAX_GAP_RATIO
        return calm.value * READ_SLOWDOWN_FACTOR <= 1.0
