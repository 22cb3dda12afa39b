"""Where a prompt's beginning is probably cached."""

import collections

import attrs

BELIEF_LIFE_S = 120.0
PREFIXES_KEPT = 8192
UPSTREAMS_PER_PREFIX = 4


@attrs.frozen
class _Hit:
    upstream: str
    tokens: float
    at: float


class PrefixIndex:
    """Beliefs about cached prefixes, each with its age.

    Cache events come late and with gaps, and engines evict without a
    word, so a belief fades and is dropped after a time.
    """

    __slots__ = ('_hits',)

    def __init__(self):
        self._hits = collections.OrderedDict()

    def record(self, prefix, upstream, tokens, now):
        """Notes that an upstream holds a prefix of some tokens."""
        hits = self._hits.pop(prefix, ())
        kept = [hit for hit in hits if hit.upstream != upstream]
        kept.insert(0, _Hit(upstream, tokens, now))
        self._hits[prefix] = tuple(kept[:UPSTREAMS_PER_PREFIX])
        while len(self._hits) > PREFIXES_KEPT:
            self._hits.popitem(last=False)

    def forget(self, prefix, upstream):
        """Notes that an upstream no longer holds a prefix."""
        hits = self._hits.get(prefix, ())
        kept = tuple(hit for hit in hits if hit.upstream != upstream)
        self._hits[prefix] = kept

    def lookup(self, prefix, now):
        """Returns expected cached tokens by upstream."""
        expected = {}
        for hit in self._hits.get(prefix, ()):
            trust = 1 - (now - hit.at) / BELIEF_LIFE_S
            if trust > 0:
                expected[hit.upstream] = hit.tokens * min(1.0, 0.5 + trust)
        return expected
