"""Prompts, their priorities, and the engines chosen for them."""

import bisect
import enum

import attrs

# A shorter prompt is prefilled in a few milliseconds.
SHORT_PROMPT_TOKENS = 1024


class PriorityClass(enum.Enum):
    """Class of a prompt from which its priority at the engine follows.

    ANSWER is a short prompt, most of whose work is to decode its answer.
    URGENT is a long prompt within the rate limit of its engine. BACKGROUND
    is a long prompt beyond that limit, or one that can no longer meet its
    latency objective.
    """

    ANSWER = 'answer'
    URGENT = 'urgent'
    BACKGROUND = 'background'


# Priorities at the engine, from 0 (first) to 9. A prompt that another engine
# has prefilled is the first of them, as it occupies its engine for the
# shortest time.
PREFILLED_PRIORITY = 1
# For teams that go before the usual ones, for usual ones, and for teams that
# go after them. All stay below LATE_PRIORITY.
PRIORITIES = {
    PriorityClass.ANSWER: (1, 2, 3),
    PriorityClass.URGENT: (4, 5, 5),
}
LATE_PRIORITY = 6
# Sizes that divide the other background prompts into the priorities 7 to 9.
BACKGROUND_SIZES_TOKENS = (1500, 4000)
# Part of the room for background prompts that those which give way may use,
# so that they are refused before others.
YIELDING_BACKGROUND_RATIO = 0.5
# What a prompt to which others give way may overdraw the rate limiter of an
# engine, in seconds of its rate. In simulations, 0.05 s starved small teams
# at one of many instances, and 0.2 s made more answers late.
PREFERRED_OVERDRAFT_S = 0.1


@attrs.frozen
class Prompt:
    """A prompt with the sizes of its parts and of its answer.

    Attributes:
        tokens: Size of the prompt.
        output_tokens: Size of the answer.
        prefix_blocks: Id and size in tokens of each of its blocks, in order.
            The last one belongs to this prompt alone.
    """

    tokens: int
    output_tokens: int
    prefix_blocks: tuple[tuple[str, int], ...] = ()

    @property
    def shared_blocks(self):
        """Returns the blocks that other prompts may have, too."""
        return self.prefix_blocks[:-1]

    @property
    def short(self):
        """Tells whether it is short enough for the class ANSWER."""
        return self.tokens < SHORT_PROMPT_TOKENS


@attrs.frozen
class Standing:
    """How the prompt of a team stands beside those of other teams.

    Attributes:
        urgency: -1 if it goes before usual prompts of its priority class, 1
            if it goes after them, else 0.
        yields: Whether it gives way where an engine is short of capacity,
            as its team wants more than its share.
        preferred: Whether others give way to it.
    """

    urgency: int = 0
    yields: bool = False
    preferred: bool = False

    @property
    def overdraft_s(self):
        """Returns how far it may overdraw a rate limiter, in seconds."""
        return PREFERRED_OVERDRAFT_S if self.preferred else 0.0

    @property
    def background_ratio(self):
        """Returns the part of the room for background prompts it may use."""
        return YIELDING_BACKGROUND_RATIO if self.yields else 1.0


NO_TEAM = Standing()


@attrs.frozen(eq=False)
class Placement:
    """The engines that prefill a prompt and decode its answer.

    Attributes:
        prefill: Upstream that only prefills, None if `decode` also
            prefills.
        decode: Upstream that decodes.
        late: Whether the latency objective can no longer be met.
        objective_s: Latency objective of the first token.
        uncached_tokens: Prompt tokens that are probably not cached.
        expected_s: Expected latency of the first token without queueing,
            with the round trip.
        terms: Description of the decision, for the log.
        urgency: Urgency of the Standing of its team.
    """

    prefill: object
    decode: object
    priority_class: PriorityClass
    late: bool
    objective_s: float
    uncached_tokens: int
    expected_s: float
    terms: str
    urgency: int = 0

    @property
    def priority(self):
        """Returns the priority at the engine, 0 (first) to 9.

        Late background prompts, such as retries, go before the others,
        since they are not retried again. Among the others small prompts go
        first, since many of them are served in the time of a large one. The
        urgency of a team counts within a class only.
        """
        if self.priority_class is not PriorityClass.BACKGROUND:
            return PRIORITIES[self.priority_class][self.urgency + 1]
        if self.late:
            return LATE_PRIORITY + max(0, self.urgency)
        sizes = bisect.bisect(BACKGROUND_SIZES_TOKENS, self.uncached_tokens)
        lowest = LATE_PRIORITY + 1 + len(BACKGROUND_SIZES_TOKENS)
        usual = LATE_PRIORITY + 1 + sizes
        return min(lowest, max(LATE_PRIORITY + 1, usual + self.urgency))

    @property
    def prefilled_priority(self):
        """Returns the priority once another engine has prefilled it."""
        return PREFILLED_PRIORITY + min(0, self.urgency)

    @property
    def prefill_engine(self):
        """Returns the Upstream that prefills the prompt."""
        return self.prefill or self.decode
