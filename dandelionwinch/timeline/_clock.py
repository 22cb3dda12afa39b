"""Hybrid logical clocks, after Kulkarni and others (2014)."""

import attrs


@attrs.frozen(order=True)
class Timestamp:
    """A time of a hybrid logical clock, ordered consistently with causality.

    Attributes:
        physical_us: Largest wall time seen, in microseconds.
        logical: Counter that orders equal physical times.
    """

    physical_us: int
    logical: int


class HybridClock:
    """Returns timestamps that increase with each event and each message.

    Args:
        wall_us: Function that returns the wall time in microseconds.
    """

    __slots__ = ('_last', '_wall_us')

    def __init__(self, wall_us):
        self._wall_us = wall_us
        self._last = Timestamp(0, 0)

    def now(self):
        """Returns the timestamp of a local event."""
        return self._advance(self._last)

    def update(self, timestamp):
        """Advances the clock past the timestamp of a received message."""
        return self._advance(max(self._last, timestamp))

    def _advance(self, last):
        wall = self._wall_us()
        if wall > last.physical_us:
            self._last = Timestamp(wall, 0)
        else:
            self._last = Timestamp(last.physical_us, last.logical + 1)
        return self._last
