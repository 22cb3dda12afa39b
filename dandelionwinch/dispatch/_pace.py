"""How fast one instance may give an engine prompts in the urgent lane.

Answers overload by many instances that do not see each other: the queue
of an engine is known only from how late its first tokens come. Each
instance lowers its own rate while they are late and raises it while they
are early, so that the rates of all come to share the engine.
"""

import math

# Delays of first tokens that lower and raise a rate, of the objective.
HIGH_SHARE = 0.22
LOW_SHARE = 0.11
DECREASE = 0.85
INCREASE = 0.04
STEP_S = 0.08
LEAST_SHARE = 0.15
MOST_SHARE = 1.0
FIRST_SHARE = 1.5
UNTOUCHED_SHARE = 0.9
BURST_S = 0.05
MEAN_SHARE = 0.05
FIRST_MEAN = 3000.0
SMALL_OCTAVES = 2.0
LARGE_OCTAVES = 0.8
OCTAVE_S = 0.03


class RateLimiter:
    """A token bucket whose rate follows the delay of first tokens.

    Rates are prompt tokens per second. A prompt is admitted while the
    balance is above zero, whatever its size, and may overdraw it.
    """

    __slots__ = (
        '_balance',
        '_changed_at',
        '_instance_count',
        '_limited',
        '_mean',
        '_rate',
        '_read_at',
        '_speed',
    )

    def __init__(self, speed, instance_count, now):
        self._speed = speed
        self._instance_count = instance_count
        self._rate = min(speed, FIRST_SHARE * speed / instance_count)
        self._balance = self._rate * BURST_S
        self._read_at = now
        self._changed_at = now
        self._limited = False
        self._mean = FIRST_MEAN

    def admit(self, tokens, now):
        """Takes a prompt's tokens; tells whether there was balance."""
        self._refill(now)
        if self._balance <= self._threshold(tokens):
            self._limited = True
            return False
        self._balance -= tokens
        return True

    def _threshold(self, tokens):
        """Returns the balance that a prompt needs, by its size.

        Small prompts may overdraw the balance: many of them are served
        in the time of one large one, which waits for some balance.
        """
        tokens = max(1, tokens)
        octaves = math.log2(tokens / self._mean)
        self._mean += MEAN_SHARE * (tokens - self._mean)
        bounded = max(-SMALL_OCTAVES, min(LARGE_OCTAVES, octaves))
        return bounded * OCTAVE_S * self._rate

    def _refill(self, now):
        earned = (now - self._read_at) * self._rate
        most = self._rate * BURST_S
        self._balance = min(most, self._balance + earned)
        self._read_at = now

    def observe(self, excess_s, objective_s, speed, instance_count, now):
        """Adjusts the rate by one first token.

        Args:
            excess_s: Delay beyond what the prompt itself should take.
            objective_s: Latency objective of the first token.
            speed: Believed prompt speed of the engine.
            parts: Parts like the own that the engine is shared in.
            now: Time in seconds.
        """
        self._speed = speed
        self._instance_count = instance_count
        if excess_s > HIGH_SHARE * objective_s:
            self.slow_down(now)
        elif excess_s < LOW_SHARE * objective_s and self._limited:
            self._limited = False
            self._change(self._rate + INCREASE * speed, now)

    def slow_down(self, now):
        """Lowers the rate by one step."""
        self._change(self._rate * DECREASE, now)

    def _change(self, rate, now):
        if now - self._changed_at < STEP_S:
            return
        self._refill(now)
        least = LEAST_SHARE * self._speed / self._instance_count
        self._rate = max(least, min(MOST_SHARE * self._speed, rate))
        self._changed_at = now

    def is_untouched(self):
        """Tells whether no delay has lowered the rate."""
        first = FIRST_SHARE * self._speed / self._instance_count
        return self._rate >= min(self._speed, first) * UNTOUCHED_SHARE

    @property
    def rate(self):
        """Returns the present rate."""
        return self._rate
