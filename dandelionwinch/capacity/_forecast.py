"""Forecasts how many upstreams a service needs, by demand and by price.

The headroom follows from prices: capacity is added until the expected worth
of the work that it would serve is its price. With an exponential tail of the
demand above its mean, the demand exceeds the mean by the ratio x with the
probability exp(-x / spread). An upstream of price p that is used with that
probability pays if WORTH_OF_WORK * exp(-x / spread) > p, that is up to
x = spread * ln(WORTH_OF_WORK / p). Cheap capacity gets more headroom.
"""

import collections
import math

import attrs

# What a served engine second is worth, in prices of an ordinary upstream's
# second. A day that earns 0.8 pays 0.235 for upstreams that are half used.
WORTH_OF_WORK = 6.0
# Time over which demand is remembered: two or three periods of its waves.
WINDOW_S = 40.0
# Time over which the present demand is averaged.
PRESENT_S = 3.0
# Number of samples after which the demand counts for ordinary upstreams too;
# a single one may be far off, and they are dear.
MIN_SAMPLES = 5
# Observed time after which the demand may lower the number at the start.
KNOWN_AFTER_S = 30.0
# Bounds of the mean excess of the demand over its mean, as a ratio. Bursts
# come without a sign, so the spread is never taken as smaller.
MIN_SPREAD = 0.15
MAX_SPREAD = 0.6
# Part of an upstream's time that is used if no work is to wait, before it
# was observed, and its bounds. They are wide, as the learnt times of engines
# may be off by a factor.
USE_RATIO = 0.65
MIN_USE_RATIO = 0.05
MAX_USE_RATIO = 3.0
# Part of the work that is refused or late, above which the use at that time
# is what the upstreams can bear.
SHORTAGE_RATIO = 0.05
# Gains a second of the moving average of that use, and of its return.
USE_GAIN = 0.1
USE_RETURN_GAIN = 0.002
# Refused work that counts, as a multiple of the work done; callers retry.
MAX_SHORT_RATIO = 1.0
# Part of the work that is urgent, and the quantile of the demand that is its
# smallest usual one.
URGENT_RATIO = 0.35
LEAST_QUANTILE = 0.1
# Smallest usual demand as a part of the number at the start, before any
# demand is known.
START_LEAST_RATIO = 0.4
# Part of the number at the start below which no need sinks. Reclaimable ones
# cost little, and the work may be measured as too little by a factor: without
# this, a fourth of the real work let 1.3 to 2.3 % be refused.
FLOOR_RATIO = 0.75
# A lower need counts after this time, and by one such step at a time.
SHRINK_AFTER_S = 10.0
SHRINK_RATIO = 0.75


@attrs.frozen
class Need:
    """Numbers of upstreams that a service needs.

    Attributes:
        cheap: With the headroom that reclaimable ones are worth.
        dear: With the headroom that ordinary ones are worth.
        urgent: For the urgent part of the smallest usual demand.
        present: For the present demand, without a forecast.
        demand: Present demand in engine seconds a second, None if unknown.
        forecast: Forecast peak in the same unit, None if unknown.
        use_ratio: Part of an upstream's time that the plan uses.
    """

    cheap: float
    dear: float
    urgent: float
    present: float
    demand: float | None
    forecast: float | None
    use_ratio: float


class _SteadyLevel:
    """A level that rises at once and sinks in steps after some time."""

    __slots__ = ('_highest', '_since', 'value')

    def __init__(self, value):
        self.value = value
        self._since = None
        self._highest = 0.0

    def update(self, level, now, shrink):
        """Follows a level; it sinks only if `shrink` allows it."""
        if level >= self.value or not shrink:
            self.value = max(level, self.value)
            self._since = None
            return
        if self._since is None:
            self._since, self._highest = now, 0.0
        self._highest = max(self._highest, level)
        if now - self._since >= SHRINK_AFTER_S:
            self.value = max(self._highest, SHRINK_RATIO * self.value)
            self._since = None


class Forecast:
    """The demand of one service, as observed, and the need that follows.

    Args:
        start: Number of upstreams that stand before any demand is known.
        cheap_price: Price of a reclaimable upstream over an ordinary one.
        most: Largest number of upstreams in all data centres.
    """

    __slots__ = (
        '_cheap',
        '_cheap_price',
        '_dear',
        '_floor',
        '_most',
        '_samples',
        '_since',
        '_urgent',
        '_use_ratio',
    )

    def __init__(self, start, cheap_price, most):
        self._cheap_price = cheap_price
        self._most = most
        self._floor = FLOOR_RATIO * start
        self._cheap = _SteadyLevel(start)
        self._dear = _SteadyLevel(start)
        self._urgent = _SteadyLevel(URGENT_RATIO * START_LEAST_RATIO * start)
        # Time and total of each sample.
        self._samples = collections.deque()
        self._since = None
        self._use_ratio = USE_RATIO

    def raise_start(self, start):
        """Raises the number at the start while no demand is known.

        The upstreams of the start become known one after the other.

        Args:
            start: Number of upstreams that stand now.
        """
        if self._samples:
            return
        self._floor = max(self._floor, FLOOR_RATIO * start)
        urgent = URGENT_RATIO * START_LEAST_RATIO * start
        for level, count in (
            (self._cheap, start),
            (self._dear, start),
            (self._urgent, urgent),
        ):
            level.value = max(level.value, count)

    def observe(self, demand, serving, now):
        """Adds a sample of the demand.

        Samples before the first work are none, as callers come later than
        the instances.

        Args:
            demand: Demand, or None if it is unknown.
            serving: Number of upstreams that serve.
            now: Time in seconds.
        """
        if demand is None or not (demand.total or self._samples):
            return
        if self._since is None:
            self._since = now
        total = demand.done + min(
            demand.short, MAX_SHORT_RATIO * max(demand.done, 1.0)
        )
        self._samples.append((now, total))
        while self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()
        self._learn_use(demand, serving)
        self._update_levels(now)
        if _is_shortage(demand):
            # Whatever the work is measured as, these are too few.
            level = serving * (1.0 + demand.short / demand.total)
            self._cheap.update(min(self._most, level), now, False)

    def need(self):
        """Returns the Need."""
        demand = forecast = None
        present = self._dear.value
        if len(self._samples) >= MIN_SAMPLES:
            present = min(present, self._present_need())
        if self._samples:
            demand = self._present(self._samples[-1][0])
            forecast = self._peak(self._cheap_price)
        return Need(
            self._cheap.value,
            self._dear.value,
            self._urgent.value,
            present,
            demand,
            forecast,
            self._use_ratio,
        )

    def _learn_use(self, demand, serving):
        """Learns which use the upstreams bear without a shortage."""
        if not serving or not demand.total:
            return
        use = demand.done / serving
        ratio = self._use_ratio
        if _is_shortage(demand):
            if use < ratio:
                ratio += USE_GAIN * (use - ratio)
        else:
            ratio = max(ratio, use)
            ratio += USE_RETURN_GAIN * (USE_RATIO - ratio)
        self._use_ratio = min(MAX_USE_RATIO, max(MIN_USE_RATIO, ratio))

    def _update_levels(self, now):
        known = now - self._since >= KNOWN_AFTER_S

        def update(level, work, use_ratio, floor=0.0):
            count = min(self._most, work / use_ratio)
            level.update(max(floor, count), now, known)

        cheap = self._peak(self._cheap_price)
        update(self._cheap, cheap, self._use_ratio, self._floor)
        if len(self._samples) >= MIN_SAMPLES:
            # Work may be late for other reasons than a lack of upstreams, so
            # a low use adds cheap ones only.
            use_ratio = max(USE_RATIO, self._use_ratio)
            update(self._dear, self._peak(1.0), use_ratio)
            update(self._urgent, URGENT_RATIO * self._least(), use_ratio)

    def _present_need(self):
        work = self._present(self._samples[-1][0]) * (1.0 + MIN_SPREAD)
        return work / max(USE_RATIO, self._use_ratio)

    def _peak(self, price):
        """Returns the demand up to which capacity of a price pays."""
        mean, spread = self._distribution()
        usual = mean * (1.0 + spread * _reach(price))
        present = self._present(self._samples[-1][0])
        return max(usual, present * (1.0 + MIN_SPREAD))

    def _distribution(self):
        """Returns the mean and the mean excess as a ratio of the mean."""
        totals = [total for _at, total in self._samples]
        mean = sum(totals) / len(totals)
        if not mean:
            return 0.0, MIN_SPREAD
        excess = sum(max(0.0, total - mean) for total in totals)
        spread = excess / len(totals) / mean
        return mean, min(MAX_SPREAD, max(MIN_SPREAD, spread))

    def _present(self, now):
        recent = [total for at, total in self._samples if at > now - PRESENT_S]
        return sum(recent) / len(recent)

    def _least(self):
        totals = sorted(total for _at, total in self._samples)
        return totals[int(LEAST_QUANTILE * (len(totals) - 1))]


def _reach(price):
    """Returns the excess over the mean that pays, in spreads."""
    return math.log(max(1.0, WORTH_OF_WORK / max(price, 1e-3)))


def _is_shortage(demand):
    return demand.short > SHORTAGE_RATIO * demand.total
