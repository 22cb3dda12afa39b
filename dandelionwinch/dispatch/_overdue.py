"""Prompts that have not shown a first sign when they should have.

Answers engines that fall behind between two samples: what a first token
tells comes late just when an engine is slow, but a prompt that is still
out after its time tells at once.
"""


class Overdue:
    """Prompts that are out, by engine and in the order they were sent."""

    __slots__ = ('_due_at',)

    def __init__(self):
        self._due_at = {}

    def sent(self, upstream_id, prompt_key, due_at):
        """Notes a prompt and the time by which its first sign is due."""
        self._due_at.setdefault(upstream_id, {})[prompt_key] = due_at

    def done(self, upstream_id, prompt_key):
        """Notes that a prompt is not out any more; may be called twice."""
        out = self._due_at.get(upstream_id, {})
        out.pop(prompt_key, None)
        if not out:
            self._due_at.pop(upstream_id, None)

    def overdue_s(self, upstream_id, now):
        """Returns for how long the engine's oldest prompt is overdue."""
        out = self._due_at.get(upstream_id)
        if not out:
            return 0.0
        return max(0.0, now - next(iter(out.values())))
