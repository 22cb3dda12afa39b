"""Limits the rate of urgent prompts from one instance to one engine.

Instances that share an engine don't see each other's requests, so the
queue of the engine shows only in the delay of first tokens. Each instance
decreases its own rate by a factor while first tokens are late, and increases
it by a fixed step while they are early (AIMD), so that the rates converge to
shares of the engine.
"""

import math

# Delays of first tokens, as parts of the objective, above which the rate
# is decreased and below which it is increased.
DECREASE_DELAY_RATIO = 0.22
INCREASE_DELAY_RATIO = 0.11
DECREASE_FACTOR = 0.85
# Added to the rate at each increase, as a part of the engine's prefill rate.
INCREASE_RATIO = 0.04
# Minimum time between two changes of the rate.
MIN_STEP_INTERVAL_S = 0.08
# Rates as parts of the engine's prefill rate. The minimum and the initial rate
# are then divided by the number of instances. The maximum is not, and bounds
# the initial rate, too.
MIN_RATE_RATIO = 0.15
MAX_RATE_RATIO = 1.0
INITIAL_RATE_RATIO = 1.5
# Part of the initial rate from which a rate counts as not reduced.
UNREDUCED_RATIO = 0.9
# Size of the bucket in seconds of the rate.
BURST_S = 0.05
# Moving average of the size of prompts: its gain and its initial value.
MEAN_GAIN = 0.05
INITIAL_MEAN_TOKENS = 3000.0
# Bounds of the size of a prompt relative to the mean, in powers of two.
MAX_HALVINGS = 2.0
MAX_DOUBLINGS = 0.8
# Balance that a prompt needs for each doubling, in seconds of the rate.
BALANCE_PER_DOUBLING_S = 0.03


class RateLimiter:
    """A token bucket whose rate is adjusted by the delay of first tokens.

    Rates are prompt tokens per second. A prompt of mean size is admitted
    while the balance is above zero; a larger prompt needs a higher balance,
    a smaller one a lower balance. An admitted prompt may overdraw it.
    """

    __slots__ = (
        '_balance',
        '_changed_at',
        '_capacity_ratio',
        '_mean_tokens',
        '_prefill_rate',
        '_rate',
        '_refilled_at',
        '_refused',
    )

    def __init__(self, prefill_rate, capacity_ratio, now):
        self._prefill_rate = prefill_rate
        self._capacity_ratio = capacity_ratio
        self._rate = min(
            prefill_rate, INITIAL_RATE_RATIO * prefill_rate / capacity_ratio
        )
        self._balance = self._rate * BURST_S
        self._refilled_at = now
        self._changed_at = now
        self._refused = False
        self._mean_tokens = INITIAL_MEAN_TOKENS

    def admit(self, tokens, now, overdraft_s=0.0):
        """Spends a prompt's tokens if the balance allows it.

        Args:
            tokens: Size of the prompt.
            now: Time in seconds.
            overdraft_s: What the balance may be below that which others
                need, in seconds of the rate.

        Returns:
            Whether the prompt is admitted.
        """
        self._refill(now)
        required = self._update_required_balance(tokens)
        if self._balance <= required - overdraft_s * self._rate:
            self._refused = True
            return False
        self._balance -= tokens
        return True

    def _update_required_balance(self, tokens):
        """Returns the balance above which a prompt is admitted.

        It is negative for a prompt smaller than the mean, since many of
        them are served in the time of one large prompt, and positive for a
        larger prompt. The mean is updated with the size of the prompt.
        """
        tokens = max(1, tokens)
        doublings = math.log2(tokens / self._mean_tokens)
        self._mean_tokens += MEAN_GAIN * (tokens - self._mean_tokens)
        bounded = max(-MAX_HALVINGS, min(MAX_DOUBLINGS, doublings))
        return bounded * BALANCE_PER_DOUBLING_S * self._rate

    def _refill(self, now):
        earned = (now - self._refilled_at) * self._rate
        limit = self._rate * BURST_S
        self._balance = min(limit, self._balance + earned)
        self._refilled_at = now

    def observe(
        self, excess_s, objective_s, prefill_rate, capacity_ratio, now
    ):
        """Adjusts the rate to the delay of one first token.

        The rate is increased only if it has refused a prompt since the last
        increase: a rate that is not used up need not grow.

        Args:
            excess_s: Latency in excess of what the prompt itself needs.
            objective_s: Latency objective of the first token.
            prefill_rate: Estimated prefill rate of the engine.
            capacity_ratio: Capacity of all instances that share the engine
                over this instance's capacity.
            now: Time in seconds.
        """
        self._prefill_rate = prefill_rate
        self._capacity_ratio = capacity_ratio
        if excess_s > DECREASE_DELAY_RATIO * objective_s:
            self.decrease(now)
        elif excess_s < INCREASE_DELAY_RATIO * objective_s and self._refused:
            self._refused = False
            self._set_rate(self._rate + INCREASE_RATIO * prefill_rate, now)

    def decrease(self, now):
        """Decreases the rate, unless it changed within the step interval."""
        self._set_rate(self._rate * DECREASE_FACTOR, now)

    def _set_rate(self, rate, now):
        if now - self._changed_at < MIN_STEP_INTERVAL_S:
            return
        self._refill(now)
        least = MIN_RATE_RATIO * self._prefill_rate / self._capacity_ratio
        self._rate = max(least, min(MAX_RATE_RATIO * self._prefill_rate, rate))
        self._changed_at = now

    def is_unreduced(self):
        """Tells whether the rate is at least near its initial value."""
        initial = (
            INITIAL_RATE_RATIO * self._prefill_rate / self._capacity_ratio
        )
        return self._rate >= min(self._prefill_rate, initial) * UNREDUCED_RATIO

    @property
    def rate(self):
        """Returns the current rate in prompt tokens per second."""
        return self._rate
