"""Prefill rates of engines, estimated from their first tokens."""

from dandelionwinch import upstreams

# Assumed until the first samples.
DECODE_ENGINE_TOKENS_PER_S = 200_000.0
PREFILL_ENGINE_TOKENS_PER_S = 400_000.0
MIN_TOKENS_PER_S = 1000.0
# A fast sample raises a rate by more than a slow one lowers it, since slow
# samples are mostly due to queueing.
INCREASE_GAIN = 0.05
DECREASE_GAIN = 0.005
# A sample counts as at most this multiple of the present rate.
MAX_SAMPLE_RATIO = 4.0
# Smaller prompts yield no sample.
MIN_SAMPLE_TOKENS = 1000


class PrefillRates:
    """Prompt tokens per second, by service and role."""

    __slots__ = ('_by_service_and_role',)

    def __init__(self):
        self._by_service_and_role = {}

    def get(self, entry):
        """Returns the prefill rate of an upstream, by its entry."""
        found = self._by_service_and_role.get((entry.service, entry.role))
        if found is not None:
            return found
        if entry.role is upstreams.Role.PREFILL:
            return PREFILL_ENGINE_TOKENS_PER_S
        return DECODE_ENGINE_TOKENS_PER_S

    def observe(self, entry, tokens, taken_s):
        """Updates a rate with one sample.

        Args:
            entry: Entry of the upstream that prefilled a prompt.
            tokens: Size of the prompt without its cached tokens.
            taken_s: Duration of the prefill without the round trip.
        """
        if tokens < MIN_SAMPLE_TOKENS or taken_s <= 0:
            return
        sample = tokens / taken_s
        rate = self.get(entry)
        gain = INCREASE_GAIN if sample > rate else DECREASE_GAIN
        rate += gain * (min(sample, MAX_SAMPLE_RATIO * rate) - rate)
        key = (entry.service, entry.role)
        self._by_service_and_role[key] = max(MIN_TOKENS_PER_S, rate)
