"""Learns whether the callers of a session stay in one region.

If they do, an engine of their region keeps the blocks of the session just as
well as any other, and no request and no answer crosses regions. If callers of
several regions share a session, engines in each of them would read its blocks
again.

Instances tell each other which sessions they have seen lately. Two instances
of one region have some in common by chance, as each sees a part of the
sessions. If two instances of different regions have nearly as many, sessions
are shared by regions. What each instance has compared is told along, as one
alone would need a minute for a judgement.
"""

import collections

import attrs

from dandelionwinch import utils

# Time for which a session counts as seen, and most sessions remembered.
SEEN_S = 20.0
MAX_SESSIONS = 256
# Sessions told at a time, the latest ones.
TOLD_SESSIONS = 64
# Factor by which what was compared counts less with each comparison.
MEMORY_FACTOR = 0.98
# Common sessions within a region, and those between regions that are to be
# expected of shared ones, for a judgement. With fewer, chance alone could
# leave nearly none.
MIN_COMMON = 30.0
# Part of those up to which sessions are regional, and from which they are
# shared again.
REGIONAL_RATIO = 0.15
SHARED_RATIO = 0.4
# Instances whose comparisons are known.
MAX_SENDERS = 64
_HASH_BITS = 32


@attrs.frozen
class Counts:
    """What one instance has compared with others.

    Attributes:
        near_pairs: Pairs of sessions of two instances in one region.
        near_common: Those of them that were equal.
        far_pairs: Pairs of sessions of two instances in two regions.
        far_common: Those of them that were equal.
    """

    near_pairs: float = 0.0
    near_common: float = 0.0
    far_pairs: float = 0.0
    far_common: float = 0.0


class _Comparison:
    """Pairs of sessions that were compared, and those that were equal."""

    __slots__ = ('common', 'pairs')

    def __init__(self):
        self.common = 0.0
        self.pairs = 0.0

    def add(self, pairs, common):
        """Adds one comparison."""
        self.pairs = MEMORY_FACTOR * self.pairs + pairs
        self.common = MEMORY_FACTOR * self.common + common


class SessionRegions:
    """The sessions that one instance sees, compared with those of others.

    Attributes:
        regional: Whether sessions belong to regions.
    """

    __slots__ = ('_far', '_near', '_seen', '_told', 'regional')

    def __init__(self):
        # Time at which each session was seen, by the hash of its last block.
        self._seen = collections.OrderedDict()
        self._near = _Comparison()
        self._far = _Comparison()
        # Counts of other instances, by name.
        self._told = collections.OrderedDict()
        self.regional = False

    def record(self, prompt, now):
        """Records that a prompt of a session was placed."""
        if not prompt.shared_blocks:
            return
        key = utils.stable_hash(prompt.shared_blocks[-1][0])
        key >>= 64 - _HASH_BITS
        self._seen[key] = now
        self._seen.move_to_end(key)
        while len(self._seen) > MAX_SESSIONS:
            self._seen.popitem(last=False)

    def latest(self, now):
        """Returns the hashes of the sessions that were seen lately."""
        self._expire(now)
        return list(self._seen)[-TOLD_SESSIONS:]

    @property
    def counts(self):
        """Returns the Counts of this instance alone."""
        near, far = self._near, self._far
        return Counts(near.pairs, near.common, far.pairs, far.common)

    def take_counts(self, name, counts):
        """Takes in the Counts of another instance."""
        self._told[name] = counts
        self._told.move_to_end(name)
        if len(self._told) > MAX_SENDERS:
            self._told.popitem(last=False)

    def compare(self, sessions, near, now):
        """Compares the sessions of another instance with the own ones.

        Args:
            sessions: Hashes of the sessions that it has seen.
            near: Whether it is in this instance's region.
            now: Time in seconds.
        """
        self._expire(now)
        others = set(sessions)
        comparison = self._near if near else self._far
        comparison.add(
            len(others) * len(self._seen), len(others & self._seen.keys())
        )
        self._judge()

    def _judge(self):
        known = [self.counts, *self._told.values()]
        near_pairs = sum(counts.near_pairs for counts in known)
        if not near_pairs:
            return
        near_common = sum(counts.near_common for counts in known)
        near_rate = near_common / near_pairs
        # As many would be common if regions shared all sessions.
        expected = near_rate * sum(counts.far_pairs for counts in known)
        if min(near_common, expected) < MIN_COMMON:
            return
        common = sum(counts.far_common for counts in known)
        if common > SHARED_RATIO * expected:
            self.regional = False
        elif common + 1 < REGIONAL_RATIO * expected:
            self.regional = True

    def _expire(self, now):
        while self._seen:
            key, at = next(iter(self._seen.items()))
            if now - at <= SEEN_S:
                return
            del self._seen[key]
