"""Estimates which prefix blocks each engine has in its cache."""

# Time for which a sent block counts as cached.
BLOCK_TTL_S = 8.0
MAX_BLOCKS = 20_000


class PrefixCache:
    """Prefix blocks by the engines that were recently sent them."""

    __slots__ = ('_sent_at',)

    def __init__(self):
        self._sent_at = {}

    def hit_tokens(self, prompt, upstream_id, now):
        """Returns the prompt tokens that an engine has probably cached."""
        hit = 0
        for block_id, tokens in prompt.shared_blocks:
            sent_at = self._sent_at.get(block_id, {}).get(upstream_id)
            if sent_at is None or now - sent_at > BLOCK_TTL_S:
                break
            hit += tokens
        return min(hit, prompt.tokens)

    def record(self, prompt, upstream_id, now):
        """Records the blocks of a prompt that is sent to an engine.

        Above MAX_BLOCKS the blocks that were sent least recently are dropped.
        """
        for block_id, _tokens in prompt.shared_blocks:
            engines = self._sent_at.pop(block_id, None) or {}
            engines[upstream_id] = now
            self._sent_at[block_id] = engines
        while len(self._sent_at) > MAX_BLOCKS:
            del self._sent_at[next(iter(self._sent_at))]

    def forget(self, upstream_id):
        """Drops the blocks of an engine, as after its restart."""
        for engines in self._sent_at.values():
            engines.pop(upstream_id, None)
