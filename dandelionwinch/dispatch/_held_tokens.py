"""Keeps what the engines hold below their memory.

An engine crashes if the prompts and answers that it holds exceed its memory.
It serves as many requests at a time as it has slots. Requests of at most the
memory of one slot can't exceed it together. Larger ones may, and the
instances don't see each other's requests. So an engine takes a number of
large requests at a time that fits in what usual ones leave, and the instances
share this number: each has its rank at the engine by rendezvous hashing of
the names, and those of the first ranks may have one there.
"""

import collections
import math

import attrs

from dandelionwinch import utils

# Gain of the averages of what usual requests hold and of their size.
MEAN_GAIN = 0.02
# Standard deviations of what usual requests hold that are left free beside
# its average.
SPARE_DEVIATIONS = 3.0
# Time for which the largest request that was seen sets the size of a part.
LARGEST_S = 60.0


@attrs.define(eq=False)
class Claim:
    """The memory that one request takes at its engines.

    Attributes:
        tokens: Tokens of its prompt and its answer.
        is_large: Whether it takes more than the memory of a slot.
        upstream_ids: Ids of the engines that hold it.
    """

    tokens: int
    is_large: bool
    upstream_ids: set = attrs.Factory(set)


class HeldTokens:
    """What this instance has in flight at each engine.

    Attributes:
        name: Name of this instance.
        names: Names of all instances, empty if they are not known.
    """

    __slots__ = (
        '_claims',
        '_largest',
        '_ranks',
        '_ranks_of',
        '_usual_held',
        '_usual_size',
        'name',
        'names',
    )

    def __init__(self):
        self.name = ''
        self.names = frozenset()
        # Sets of Claims by engine.
        self._claims = {}
        # Average tokens of usual requests at all engines, and of one.
        self._usual_held = 0.0
        self._usual_size = 0.0
        # Sizes of large requests with their time, each larger than those
        # after it.
        self._largest = collections.deque()
        # Rank of this instance at each engine, for the names it was found.
        self._ranks = {}
        self._ranks_of = frozenset()

    def add(self, claim, upstream_id):
        """Records that an engine holds a request from now on."""
        if not claim.is_large:
            # What requests find in flight is the average over time.
            held = sum(
                other.tokens
                for claims in self._claims.values()
                for other in claims
                if not other.is_large
            )
            self._usual_held += MEAN_GAIN * (held - self._usual_held)
            size = self._usual_size or claim.tokens
            self._usual_size = size + MEAN_GAIN * (claim.tokens - size)
        claim.upstream_ids.add(upstream_id)
        self._claims.setdefault(upstream_id, set()).add(claim)

    def remove(self, claim):
        """Records that a request has ended, at all of its engines."""
        for upstream_id in claim.upstream_ids:
            claims = self._claims[upstream_id]
            claims.discard(claim)
            if not claims:
                del self._claims[upstream_id]
        claim.upstream_ids.clear()

    def tokens(self, upstream_id):
        """Returns the tokens that an engine holds for this instance."""
        return sum(c.tokens for c in self._claims.get(upstream_id, ()))

    def _note_size(self, tokens, now):
        while self._largest and self._largest[-1][0] <= tokens:
            self._largest.pop()
        self._largest.append((tokens, now))
        while now - self._largest[0][1] > LARGEST_S:
            self._largest.popleft()

    def filter(self, claim, engines, memory, ratio, now):
        """Returns a function that tells whether an engine has room.

        Args:
            claim: Claim of the request.
            engines: Upstreams of the service that accept requests.
            memory: Tokens that fit in an engine, None for no limit.
            ratio: Capacity of all instances over this instance's.
            now: Time in seconds.
        """
        if memory is None or claim.tokens <= memory and not claim.is_large:
            return _takes_all
        if claim.tokens > memory:
            return _takes_none
        self._note_size(claim.tokens, now)
        part = max(claim.tokens, self._largest[0][0])
        free = memory - self._usual_tokens(ratio, len(engines))
        parts = max(0, math.floor(free / part))

        def takes(engine):
            return self._has_part(engine, parts, ratio)

        return takes

    def _has_part(self, engine, parts, ratio):
        """Tells whether a part of an engine is free for this instance."""
        large = sum(c.is_large for c in self._claims.get(engine.entry.id, ()))
        return large < self._own_parts(engine.entry.id, parts, ratio)

    def _usual_tokens(self, ratio, engine_count):
        """Returns what the usual requests of all hold at an engine at most."""
        average = self._usual_held * ratio / max(1, engine_count)
        # The number of independent requests has its mean as its variance.
        deviation = math.sqrt(average * self._usual_size)
        return average + SPARE_DEVIATIONS * deviation

    def _own_parts(self, upstream_id, parts, ratio):
        """Returns how many of an engine's parts this instance may use."""
        names = self.names | {self.name}
        count = max(len(names), math.ceil(ratio))
        each, rest = divmod(parts, count)
        if len(names) < count:
            # Not all names are known: its place among them is likely the
            # one that its hash has among all hashes.
            own = utils.stable_hash(upstream_id, self.name) / 2.0**64
            return each + (own * count + 1.0 <= rest)
        return each + (self._rank(upstream_id, names) < rest)

    def _rank(self, upstream_id, names):
        """Returns how many instances go before this one at an engine."""
        if names != self._ranks_of:
            self._ranks_of = names
            self._ranks.clear()
        if upstream_id not in self._ranks:
            own = utils.stable_hash(upstream_id, self.name)
            self._ranks[upstream_id] = sum(
                utils.stable_hash(upstream_id, name) > own for name in names
            )
        return self._ranks[upstream_id]


def make_claim(prompt, engines, memory):
    """Returns the Claim of a prompt and its answer.

    Args:
        prompt: The Prompt.
        engines: Upstreams that accept requests.
        memory: Tokens that fit in an engine, None for no limit.
    """
    tokens = prompt.tokens + prompt.output_tokens
    slots = max((e.entry.slots for e in engines), default=1)
    is_large = memory is not None and tokens > memory / slots
    return Claim(tokens, is_large)


def _takes_all(_engine):
    return True


def _takes_none(_engine):
    return False
