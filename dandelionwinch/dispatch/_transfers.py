"""Detects engines whose KV cache transfers are stalled.

A link carries KV caches one at a time. If they are sent faster than it
carries them, they queue until they are refused, and a refused transfer yields
no latency sample. So transfers in progress are timed as well.
"""

from dandelionwinch.dispatch import _overdue

# Overdue time above which the transfers of an engine count as stalled. Far
# transfers take ten times as long, so their limit is reached first.
NEAR_DELAY_S = 0.15
FAR_DELAY_S = 0.05
# How long an engine counts as stalled after its last overdue transfer.
STALL_HOLD_S = 1.0


class Transfers:
    """KV cache transfers, by the engine that prefilled the prompt."""

    __slots__ = ('_overdue', '_stalled_until')

    def __init__(self):
        self._overdue = _overdue.OverdueTracker()
        self._stalled_until = {}

    def add(self, placement, due_at):
        """Adds a transfer with the time at which the first token is due."""
        self._overdue.add(placement.prefill_engine.entry.id, placement, due_at)

    def remove(self, placement):
        """Removes a transfer at its first token or its failure."""
        self._overdue.remove(placement.prefill_engine.entry.id, placement)

    def overdue_s(self, engine, now):
        """Returns how long an engine's oldest transfer is overdue."""
        return self._overdue.overdue_s(engine.entry.id, now)

    def is_stalled(self, engine, near, now):
        """Tells whether transfers of an engine are or recently were overdue.

        Args:
            engine: The Upstream that prefills.
            near: Whether its data centre has an engine that decodes.
            now: Time in seconds.
        """
        allowed_s = NEAR_DELAY_S if near else FAR_DELAY_S
        engine_id = engine.entry.id
        if self.overdue_s(engine, now) > allowed_s:
            self._stalled_until[engine_id] = now + STALL_HOLD_S
        return now < self._stalled_until.get(engine_id, 0.0)

    def forget(self, upstream_id):
        """Drops the state of an engine, as after its restart."""
        self._stalled_until.pop(upstream_id, None)
