"""Index of the upstreams that probably have a prompt prefix cached."""

import collections

import attrs

# Age at which the information on a cached prefix is dropped.
PREFIX_TTL_S = 120.0
MAX_PREFIXES = 8192
MAX_UPSTREAMS_PER_PREFIX = 4


@attrs.frozen
class _Hit:
    upstream: str
    tokens: float
    at: float


class PrefixIndex:
    """Upstreams by cached prefix, with the age of each piece of information.

    Cache events arrive late and with gaps, and engines evict without an
    event. So the expected number of cached tokens declines with the age
    from half of PREFIX_TTL_S on, and is dropped after PREFIX_TTL_S.
    """

    __slots__ = ('_hits',)

    def __init__(self):
        self._hits = collections.OrderedDict()

    def record(self, prefix, upstream, tokens, now):
        """Records that an upstream caches a prefix of some tokens."""
        hits = self._hits.pop(prefix, ())
        kept = [hit for hit in hits if hit.upstream != upstream]
        kept.insert(0, _Hit(upstream, tokens, now))
        self._hits[prefix] = tuple(kept[:MAX_UPSTREAMS_PER_PREFIX])
        while len(self._hits) > MAX_PREFIXES:
            self._hits.popitem(last=False)

    def forget(self, prefix, upstream):
        """Records that an upstream no longer caches a prefix."""
        hits = self._hits.get(prefix, ())
        kept = tuple(hit for hit in hits if hit.upstream != upstream)
        self._hits[prefix] = kept

    def lookup(self, prefix, now):
        """Returns the expected number of cached tokens by upstream."""
        expected = {}
        for hit in self._hits.get(prefix, ()):
            freshness = 1 - (now - hit.at) / PREFIX_TTL_S
            if freshness > 0:
                expected[hit.upstream] = hit.tokens * min(1.0, 0.5 + freshness)
        return expected
