"""Learns while serving in which time engines read prompts.

For each service and role, the time is a fixed one and one that grows with
the tokens. Both are fitted to the samples by weighted least squares, in which
a sample that is slower than expected counts for less, since it is mostly
due to waiting at the engine, and an older one for less than a newer one.

Without a sample of its own role, an engine that also decodes is taken to
read at half the rate of one that only reads, and any engine at
INITIAL_TOKENS_PER_S.
"""

from dandelionwinch import upstreams

INITIAL_TOKENS_PER_S = 400_000.0
# Part of its rate at which an engine reads while it also decodes.
DECODE_RATE_RATIO = 0.5
# Weight of a sample that is slower than expected, of a fast one 1.
SLOW_WEIGHT = 0.02
# Weight of what is assumed before the first sample.
PRIOR_WEIGHT = 0.01
# Factor by which the weight of a sample shrinks with each later one.
MEMORY_FACTOR = 0.99
# Size in which the weights of the two times are alike.
SCALE_TOKENS = 4000.0
MIN_SCALE_S = 0.0005


class _Times:
    """Times of one service and role, as weighted sums of its samples.

    Attributes:
        scale_s: Time in seconds for SCALE_TOKENS, without the fixed time.
        fixed_s: Fixed time in seconds.
    """

    __slots__ = (
        '_size_size',
        '_size_time',
        '_sizes',
        '_times',
        '_weights',
        'fixed_s',
        'scale_s',
    )

    def __init__(self, scale_s):
        self.scale_s = scale_s
        self.fixed_s = 0.0
        self._weights = PRIOR_WEIGHT
        self._sizes = 0.0
        self._size_size = PRIOR_WEIGHT
        self._times = 0.0
        self._size_time = PRIOR_WEIGHT * scale_s

    def read_s(self, tokens):
        """Returns the time for a number of tokens."""
        return self.fixed_s + self.scale_s * tokens / SCALE_TOKENS

    def observe(self, tokens, taken_s):
        """Adds a sample."""
        slower = taken_s > self.read_s(tokens)
        self._add(SLOW_WEIGHT if slower else 1.0, tokens, taken_s)
        self._fit()

    def _add(self, weight, tokens, taken_s):
        size = tokens / SCALE_TOKENS
        self._weights = MEMORY_FACTOR * self._weights + weight
        self._sizes = MEMORY_FACTOR * self._sizes + weight * size
        self._size_size = MEMORY_FACTOR * self._size_size + weight * size**2
        self._times = MEMORY_FACTOR * self._times + weight * taken_s
        self._size_time = (
            MEMORY_FACTOR * self._size_time + weight * size * taken_s
        )

    def _fit(self):
        """Solves the normal equations; neither time is negative."""
        spread = self._weights * self._size_size - self._sizes**2
        slope = self._weights * self._size_time - self._sizes * self._times
        self.scale_s = slope / spread if spread > 0 else 0.0
        self.fixed_s = (
            self._times - self.scale_s * self._sizes
        ) / self._weights
        if self.fixed_s < 0:
            self.fixed_s = 0.0
            self.scale_s = self._size_time / self._size_size
        if self.scale_s < MIN_SCALE_S:
            self.scale_s = MIN_SCALE_S
            spare_s = self._times - self.scale_s * self._sizes
            self.fixed_s = max(0.0, spare_s / self._weights)


class EngineModel:
    """Times in which the engines of each service and role read prompts."""

    __slots__ = ('_handovers', '_times')

    def __init__(self):
        self._handovers = {}
        self._times = {}

    def tokens_per_s(self, entry):
        """Returns the rate of an engine for a long prompt, by its entry."""
        return SCALE_TOKENS / self._get(entry).scale_s

    def read_s(self, entry, tokens):
        """Returns the time in which an engine reads tokens without a wait."""
        return self._get(entry).read_s(tokens)

    def observe(self, entry, tokens, taken_s):
        """Updates the times by one sample.

        Args:
            entry: Entry of the engine that read a prompt.
            tokens: Size of the prompt without its cached tokens.
            taken_s: Time until its response, without the round trip.
        """
        if taken_s <= 0:
            return
        times = self._get(entry)
        times.observe(tokens, taken_s)
        self._times[entry.service, entry.role] = times

    def _get(self, entry):
        times = self._times.get((entry.service, entry.role))
        return times or self._initial(entry)

    def _initial(self, entry):
        scale_s = SCALE_TOKENS / INITIAL_TOKENS_PER_S
        prefill = self._times.get((entry.service, upstreams.Role.PREFILL))
        if prefill is not None:
            scale_s = prefill.scale_s
        if entry.role is not upstreams.Role.PREFILL:
            scale_s /= DECODE_RATE_RATIO
        return _Times(scale_s)

    def handover_s(self, service):
        """Returns the time from a handover to the first token."""
        times = self._handovers.get(service)
        return times.fixed_s if times is not None else 0.0

    def observe_handover(self, service, taken_s):
        """Updates the time of a handover by one sample.

        Args:
            service: Name of the service.
            taken_s: Time from the request to the engine that decodes to its
                first token, without the round trip.
        """
        times = self._handovers.setdefault(service, _Times(MIN_SCALE_S))
        times.observe(0, taken_s)
