"""The typical time of one engine for a unit of work, by recent samples.

An engine reads one prompt after the other, so the time that it took for one
begins with the response before it, or with the request if it was idle. This
leaves the waits out, which would make a busy engine seem slow.

Short spells of slowness make single times longer, and cached tokens that were
not known make them shorter. Both change single quartiles of the times, while
the speed of the engine changes all of them alike.
"""

import bisect
import collections
import itertools
import math
import statistics

import attrs

# Samples that are kept, their greatest age, and the least that count.
MAX_SAMPLES = 256
MAX_AGE_S = 30.0
MIN_SAMPLES = 8
# Time within which the reports of all instances arrive, which they send each
# quarter of a second.
REPORT_DELAY_S = 0.4
# Time over which an engine must be slow to count as slow now. Spells of up to
# half of it leave the lower quartile of its gaps as it was, and the reading in
# one of its halves.
RECENT_S = 1.0
# Samples in it that are needed, or part of it in which the engine read.
MIN_RECENT_SAMPLES = 5
MIN_RECENT_RATIO = 0.5
# Standard error of a median as a multiple of the standard deviation over the
# root of the number of samples, for a normal distribution.
MEDIAN_ERROR_FACTOR = 1.25
# Distance of the quartiles of a normal distribution in standard deviations.
QUARTILE_DISTANCE = 1.35


@attrs.frozen
class Typical:
    """Typical times.

    Attributes:
        quartiles: Logarithms to base 2 of the three quartiles.
        error: Standard error of the second one, in octaves.
    """

    quartiles: tuple[float, float, float]
    error: float


class SpeedWindow:
    """The recent times of one engine for units of work."""

    __slots__ = ('_samples',)

    def __init__(self):
        self._samples = collections.deque(maxlen=MAX_SAMPLES)

    def add(self, ended_at, units, taken_s):
        """Adds the time in seconds that some units of work took."""
        octaves = math.log2(taken_s / units)
        self._samples.append((ended_at, octaves, units, taken_s))

    def _since(self, at):
        """Returns the samples from a time on, the latest one first."""
        later = itertools.takewhile(
            lambda sample: sample[0] >= at, reversed(self._samples)
        )
        return list(later)

    def recent_quartile(self, now):
        """Returns the lower quartile of the latest times, or None."""
        recent = self._since(now - RECENT_S - REPORT_DELAY_S)
        if len(recent) < MIN_RECENT_SAMPLES:
            return None
        values = [octaves for _at, octaves, _units, _s in recent]
        return statistics.quantiles(values, n=4)[0]

    def recent_mean(self, now):
        """Returns the time of a unit in the latest second, or None.

        It is the logarithm to base 2 of the seconds of all work over its
        units, so that a few long prompts suffice, and the lesser one of both
        halves of the second, so that the engine was slow in all of it.
        """
        begun_at = now - RECENT_S - REPORT_DELAY_S
        middle = begun_at + RECENT_S / 2
        recent = self._since(begun_at)
        total_s = sum(taken_s for _at, _octaves, _units, taken_s in recent)
        if (
            len(recent) < MIN_RECENT_SAMPLES
            and total_s < MIN_RECENT_RATIO * RECENT_S
        ):
            return None
        early = [sample for sample in recent if sample[0] < middle]
        late = recent[: len(recent) - len(early)]
        if not early or not late:
            return None
        return min(_mean(early), _mean(late))

    def typical(self, now):
        """Returns the Typical times, or None if too few samples are recent."""
        while self._samples and now - self._samples[0][0] > MAX_AGE_S:
            self._samples.popleft()
        count = len(self._samples)
        if count < MIN_SAMPLES:
            return None
        values = [octaves for _at, octaves, _units, _s in self._samples]
        low, median, high = statistics.quantiles(values, n=4)
        deviation = (high - low) / QUARTILE_DISTANCE
        error = MEDIAN_ERROR_FACTOR * deviation / math.sqrt(count)
        return Typical((low, median, high), error)


def _mean(samples):
    """Returns the time of a unit as a logarithm to base 2."""
    units = sum(units for _at, _octaves, units, _s in samples)
    return math.log2(sum(s for _at, _octaves, _units, s in samples) / units)


class ReadTimes:
    """Turns the responses of one engine into times without waits."""

    __slots__ = ('_last_end', '_pending')

    def __init__(self):
        self._last_end = float('-inf')
        # Ends of responses with their tokens and latencies, in order.
        self._pending = []

    def add(self, ended_at, tokens, taken_s):
        """Adds a response; one that is reported too late is left out."""
        if ended_at > self._last_end:
            bisect.insort(self._pending, (ended_at, tokens, taken_s))

    def take(self, now):
        """Returns what all instances have reported.

        Returns:
            List of the time of a response, its tokens and its seconds.
        """
        taken = []
        while self._pending and now - self._pending[0][0] > REPORT_DELAY_S:
            ended_at, tokens, latency_s = self._pending.pop(0)
            begun_at = max(ended_at - latency_s, self._last_end)
            if ended_at > begun_at:
                taken.append((ended_at, tokens, ended_at - begun_at))
            self._last_end = ended_at
        return taken
