"""Prompts, their priorities, and the engines chosen for them."""

import bisect
import enum

import attrs

# A shorter prompt is prefilled in a few milliseconds.
SHORT_PROMPT_TOKENS = 1024


class PriorityClass(enum.Enum):
    """How urgent a prompt is at its engine.

    ANSWER is a short prompt, most of whose work is to decode its answer;
    URGENT a long prompt within the rate limit of its engine; BACKGROUND
    one beyond it, or one that misses its latency objective in any case.
    """

    ANSWER = 'answer'
    URGENT = 'urgent'
    BACKGROUND = 'background'


# Priorities at the engine, from 0 (first) to 9. A prompt that another
# engine has prefilled occupies its engine for the shortest time.
PREFILLED_PRIORITY = 1
PRIORITIES = {PriorityClass.ANSWER: 2, PriorityClass.URGENT: 5}
LATE_PRIORITY = 6
BACKGROUND_SIZES_TOKENS = (1500, 4000)


@attrs.frozen
class Prompt:
    """The work of a generation at an engine.

    Attributes:
        tokens: Size of the prompt.
        output_tokens: Size of the answer.
        prefix_blocks: Ids and sizes in tokens of its blocks, in order.
    """

    tokens: int
    output_tokens: int
    prefix_blocks: tuple[tuple[str, int], ...] = ()

    @property
    def shared_blocks(self):
        """Returns the blocks that other prompts may have too."""
        return self.prefix_blocks[:-1]

    @property
    def short(self):
        """Tells whether its prefill is little work."""
        return self.tokens < SHORT_PROMPT_TOKENS


@attrs.frozen(eq=False)
class Placement:
    """The engines that prefill a prompt and decode its answer.

    Attributes:
        prefill: Upstream that only prefills, None if `decode` does it.
        decode: Upstream that decodes.
        late: Whether its latency objective can no longer be met.
        objective_s: Latency objective of the first token.
        uncached_tokens: Prompt tokens that are probably not cached.
        expected_s: Latency without queueing, with the round trip.
        terms: The terms of the decision, for the log.
    """

    prefill: object
    decode: object
    priority_class: PriorityClass
    late: bool
    objective_s: float
    uncached_tokens: int
    expected_s: float
    terms: str

    @property
    def priority(self):
        """Returns the priority at the engine, 0 (first) to 9.

        Among background prompts small ones go first, since many of them
        are served in the time of a large one. Late ones, such as retries,
        go before all of these, since they are not retried again.
        """
        if self.priority_class is not PriorityClass.BACKGROUND:
            return PRIORITIES[self.priority_class]
        if self.late:
            return LATE_PRIORITY
        sizes = bisect.bisect(BACKGROUND_SIZES_TOKENS, self.uncached_tokens)
        return LATE_PRIORITY + 1 + sizes

    @property
    def prefill_engine(self):
        """Returns the Upstream that prefills the prompt."""
        return self.prefill or self.decode
