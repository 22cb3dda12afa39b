"""Which parts of prompts each engine is believed to hold."""

KEEP_S = 8.0
MAX_PARTS = 20_000


class CachedParts:
    """Parts of prompts by the engines that were sent them of late."""

    __slots__ = ('_sent_at',)

    def __init__(self):
        self._sent_at = {}

    def hit(self, prompt, upstream_id, now):
        """Returns tokens of a prompt that an engine is believed to hold."""
        hit = 0
        for part_id, tokens in prompt.shared_blocks:
            sent_at = self._sent_at.get(part_id, {}).get(upstream_id)
            if sent_at is None or now - sent_at > KEEP_S:
                break
            hit += tokens
        return min(hit, prompt.tokens)

    def sent(self, prompt, upstream_id, now):
        """Notes that an engine gets a prompt; drops the oldest parts."""
        for part_id, _tokens in prompt.shared_blocks:
            engines = self._sent_at.pop(part_id, None) or {}
            engines[upstream_id] = now
            self._sent_at[part_id] = engines
        while len(self._sent_at) > MAX_PARTS:
            del self._sent_at[next(iter(self._sent_at))]

    def forget(self, upstream_id):
        """Drops what an engine held, as after its restart."""
        for engines in self._sent_at.values():
            engines.pop(upstream_id, None)
