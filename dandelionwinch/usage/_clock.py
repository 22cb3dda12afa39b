"""Estimates the true time without following jumps of the wall clock."""

import statistics
import time

# Offset to other instances up to which the own clock is left as it is.
MIN_CORRECTION_S = 0.25


class TrueClock:
    """Wall time as it was at the start, plus the time that has passed since.

    Args:
        wall: Function that returns seconds since the start of 1970.
        steady: Function that returns seconds of a clock that keeps running
            while the machine is suspended.
    """

    __slots__ = ('_offset_s', '_steady')

    def __init__(self, wall, steady):
        self._steady = steady
        self._offset_s = wall() - steady()

    def now(self):
        """Returns the seconds since the start of 1970."""
        return self._steady() + self._offset_s

    def correct(self, offset_s):
        """Adds an offset, if the wall clock was wrong at the start."""
        self._offset_s += offset_s


def system_clock():
    """Returns the TrueClock of this machine.

    Only the windows of usage are in true time. No decision depends on it.
    """
    return TrueClock(time.time, _boot_time)


def _boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def median_offset(offsets_s):
    """Returns the correction of a clock, from its offsets to other clocks.

    Args:
        offsets_s: For each other instance, its time less the own one in
            seconds.

    Returns:
        Seconds to add, 0.0 if the own clock agrees with most.
    """
    median_s = statistics.median([0.0, *offsets_s])
    return median_s if abs(median_s) > MIN_CORRECTION_S else 0.0
