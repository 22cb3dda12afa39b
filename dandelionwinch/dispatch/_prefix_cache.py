"""Estimates which prefix blocks each engine has in its cache.

An engine tells which blocks it keeps by cache events, which come late and
of which a few are lost. The blocks that this instance sent itself bridge
the delay, and stand alone for an engine whose events are not followed.
"""

import attrs

# Time for which a sent block counts as cached without events of its engine.
BLOCK_TTL_S = 8.0
MAX_BLOCKS = 20_000
# Time within which the events of a sent block arrive.
EVENT_DELAY_S = 1.5
# Age of the last events from which they no longer count.
MAX_EVENT_AGE_S = 4.0


@attrs.frozen
class CacheEvents:
    """Changes of the cache of one engine.

    Attributes:
        epoch: Number that changes when the engine restarts.
        position: Position after the last change, from which to go on.
        lost: Whether changes before these are missing.
        changes: Id and kept tokens of each block, in order; None for one
            that was evicted.
    """

    epoch: int
    position: int
    lost: bool
    changes: tuple


@attrs.define
class _Contents:
    """What one engine keeps, by its events."""

    epoch: int
    updated_at: float
    blocks: dict = attrs.Factory(dict)


class PrefixCache:
    """Prefix blocks by engine, as reported and as recently sent."""

    __slots__ = ('_contents', '_sent_at')

    def __init__(self):
        self._contents = {}
        self._sent_at = {}

    def follows(self, upstream_id, now):
        """Tells whether recent events of an engine are known."""
        contents = self._contents.get(upstream_id)
        if contents is None:
            return False
        return now - contents.updated_at <= MAX_EVENT_AGE_S

    def hit_tokens(self, prompt, upstream_id, now):
        """Returns the prompt tokens that an engine has probably cached."""
        blocks, ttl_s = {}, BLOCK_TTL_S
        if self.follows(upstream_id, now):
            blocks, ttl_s = self._contents[upstream_id].blocks, EVENT_DELAY_S
        hit = 0
        for block_id, tokens in prompt.shared_blocks:
            if block_id not in blocks:
                sent_at = self._sent_at.get(block_id, {}).get(upstream_id)
                if sent_at is None or now - sent_at > ttl_s:
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

    def record_events(self, upstream_id, events, now):
        """Records the CacheEvents of an engine.

        After a restart or a gap nothing that was known before counts.
        """
        contents = self._contents.get(upstream_id)
        if contents is None or contents.epoch != events.epoch or events.lost:
            contents = _Contents(events.epoch, now)
            self._contents[upstream_id] = contents
        contents.updated_at = now
        for block_id, tokens in events.changes:
            if tokens is None:
                contents.blocks.pop(block_id, None)
            else:
                contents.blocks[block_id] = tokens

    def forget(self, upstream_id):
        """Drops the blocks of an engine, as after its restart."""
        self._contents.pop(upstream_id, None)
        for engines in self._sent_at.values():
            engines.pop(upstream_id, None)
