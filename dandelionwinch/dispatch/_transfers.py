"""Whether the KV caches of engines get through to those that answer.

Answers links that carry KV caches one by one: more of them than a link
carries wait for each other until they are refused, and what is refused
never shows how late it was.
"""

from dandelionwinch.dispatch import _overdue

# Delays of KV caches from which on a reader is taken to be stuck: those
# that go far take ten times as long and give way first.
NEAR_DELAY_S = 0.15
FAR_DELAY_S = 0.05
# How long an engine whose KV caches were late is taken to be stuck.
STUCK_KEEP_S = 1.0


class Transfers:
    """KV caches on their way, by the engine that read the prompt."""

    __slots__ = ('_overdue', '_stuck_until')

    def __init__(self):
        self._overdue = _overdue.Overdue()
        self._stuck_until = {}

    def sent(self, placement, due_at):
        """Notes that an answer is due by a time."""
        self._overdue.sent(
            placement.prefill_engine.entry.id, placement, due_at
        )

    def done(self, placement):
        """Notes the first sign of an answer, or that none will come."""
        self._overdue.done(placement.prefill_engine.entry.id, placement)

    def overdue_s(self, reader, now):
        """Returns for how long an engine's oldest KV cache is overdue."""
        return self._overdue.overdue_s(reader.entry.id, now)

    def is_stuck(self, reader, near, now):
        """Tells whether KV caches of an engine take, or took, too long.

        Args:
            reader: Belief of the engine.
            near: Whether one in its data centre makes answers.
            now: Time in seconds.
        """
        allowed_s = NEAR_DELAY_S if near else FAR_DELAY_S
        reader_id = reader.entry.id
        if self.overdue_s(reader, now) > allowed_s:
            self._stuck_until[reader_id] = now + STUCK_KEEP_S
        return now < self._stuck_until.get(reader_id, 0.0)

    def forget(self, upstream_id):
        """Drops what is known of an engine, as after its restart."""
        self._stuck_until.pop(upstream_id, None)
