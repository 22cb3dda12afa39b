"""How fast engines read prompts, learnt from their first tokens."""

from dandelionwinch import upstreams

# Prompt tokens per second, until own answers tell more.
DECODE_SPEED = 200_000.0
PREFILL_SPEED = 400_000.0
LEAST_SPEED = 1000.0
# A fast sample raises a speed by more than a slow one lowers it: slow ones
# mostly come from queues.
SPEED_GAIN = 0.05
SPEED_LOSS = 0.005
SPEED_GROWTH = 4.0
LEAST_SAMPLE_TOKENS = 1000


class Speeds:
    """Prompt speeds by service and role, in tokens per second."""

    __slots__ = ('_by_kind',)

    def __init__(self):
        self._by_kind = {}

    def of(self, entry):
        """Returns the speed of an upstream, by its entry."""
        found = self._by_kind.get((entry.service, entry.role))
        if found is not None:
            return found
        if entry.role is upstreams.Role.PREFILL:
            return PREFILL_SPEED
        return DECODE_SPEED

    def learn(self, entry, tokens, taken_s):
        """Takes a sample.

        Args:
            entry: Entry of the upstream that read a prompt.
            tokens: Its size without what was cached.
            taken_s: Seconds that reading it took, without distance.
        """
        if tokens < LEAST_SAMPLE_TOKENS or taken_s <= 0:
            return
        sample = tokens / taken_s
        speed = self.of(entry)
        gain = SPEED_GAIN if sample > speed else SPEED_LOSS
        speed += gain * (min(sample, SPEED_GROWTH * speed) - speed)
        kind = (entry.service, entry.role)
        self._by_kind[kind] = max(LEAST_SPEED, speed)
