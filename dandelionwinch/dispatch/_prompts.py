"""Prompts, and where they are read and answered."""

import bisect
import enum

import attrs

# A prompt below this size is read in a few milliseconds.
SHORT_PROMPT_TOKENS = 1024


class PriorityClass(enum.Enum):
    """How urgent a prompt is at its engine."""

    ANSWER = 'answer'
    URGENT = 'urgent'
    BACKGROUND = 'background'


# A prompt that was read elsewhere needs its engine for the shortest time.
HANDOVER_PRIORITY = 1
URGENCY = {PriorityClass.ANSWER: 2, PriorityClass.URGENT: 5}
RETURNED_URGENCY = 6
BACKGROUND_SIZES = (1500, 4000)


@attrs.frozen
class Prompt:
    """What a generation asks of an engine.

    Attributes:
        parts: Ids and sizes of the prompt's parts, in order.
    """

    tokens: int
    output_tokens: int
    prefix_blocks: tuple[tuple[str, int], ...] = ()

    @property
    def shared_blocks(self):
        """Returns the parts that other requests may have too."""
        return self.prefix_blocks[:-1]

    @property
    def short(self):
        """Tells whether reading it is little work."""
        return self.tokens < SHORT_PROMPT_TOKENS


@attrs.frozen(eq=False)
class Placement:
    """Where a prompt is prefilled and where its answer is made.

    Attributes:
        prefill: Belief of the engine for the prompt, None for `decode`.
        late: Whether its latency objective cannot be met any more.
        objective_s: Latency objective of the first token.
        fresh_tokens: Prompt tokens not believed to be cached.
        work_s: Time that the prompt alone should take, with distance.
        terms: The terms that decided, for the log.
    """

    prefill: object
    decode: object
    priority_class: PriorityClass
    late: bool
    objective_s: float
    uncached_tokens: int
    work_s: float
    terms: str

    @property
    def priority(self):
        """Returns the urgency at the engine, 0 (first) to 9.

        In the background small prompts go first, as many of them are
        served for one large one; those that come back go before all,
        as they will not come a third time.
        """
        if self.priority_class is not PriorityClass.BACKGROUND:
            return URGENCY[self.priority_class]
        if self.late:
            return RETURNED_URGENCY
        sizes = bisect.bisect(BACKGROUND_SIZES, self.uncached_tokens)
        return RETURNED_URGENCY + 1 + sizes

    @property
    def prefill_engine(self):
        """Returns the belief of the engine that reads the prompt."""
        return self.prefill or self.decode
