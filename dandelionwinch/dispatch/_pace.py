"""How fast one instance may give an engine prompts in the urgent lane.

Answers overload by many instances that do not see each other: the queue
of an engine is known only from how late its first tokens come. Each
instance lowers its own rate while they are late and raises it while they
are early, so that the rates of all come to share the engine.
"""

HIGH_S = 0.06
LOW_S = 0.03
DECREASE = 0.85
INCREASE = 0.04
STEP_S = 0.08
LEAST_SHARE = 0.15
MOST_SHARE = 1.0
FIRST_SHARE = 1.5
BURST_S = 0.05


class Pace:
    """A token bucket whose rate follows the delay of first tokens.

    Rates are prompt tokens per second. A prompt is admitted while the
    balance is above zero, whatever its size, and may overdraw it.
    """

    __slots__ = (
        '_balance',
        '_changed_at',
        '_instances',
        '_limited',
        '_rate',
        '_read_at',
        '_speed',
    )

    def __init__(self, speed, instances, now):
        self._speed = speed
        self._instances = instances
        self._rate = min(speed, FIRST_SHARE * speed / instances)
        self._balance = self._rate * BURST_S
        self._read_at = now
        self._changed_at = now
        self._limited = False

    def admit(self, tokens, now):
        """Takes a prompt's tokens; tells whether there was balance."""
        self._refill(now)
        if self._balance <= 0:
            self._limited = True
            return False
        self._balance -= tokens
        return True

    def _refill(self, now):
        earned = (now - self._read_at) * self._rate
        most = self._rate * BURST_S
        self._balance = min(most, self._balance + earned)
        self._read_at = now

    def observe(self, excess_s, speed, instances, now):
        """Adjusts the rate by one first token.

        Args:
            excess_s: Delay beyond what the prompt itself should take.
            speed: Believed prompt speed of the engine.
            instances: Instances that share the engine.
            now: Time in seconds.
        """
        self._speed = speed
        self._instances = instances
        if excess_s > HIGH_S:
            self.slow_down(now)
        elif excess_s < LOW_S and self._limited:
            self._limited = False
            self._change(self._rate + INCREASE * speed, now)

    def slow_down(self, now):
        """Lowers the rate by one step."""
        self._change(self._rate * DECREASE, now)

    def _change(self, rate, now):
        if now - self._changed_at < STEP_S:
            return
        self._refill(now)
        least = LEAST_SHARE * self._speed / self._instances
        self._rate = max(least, min(MOST_SHARE * self._speed, rate))
        self._changed_at = now

    @property
    def rate(self):
        """Returns the present rate."""
        return self._rate
