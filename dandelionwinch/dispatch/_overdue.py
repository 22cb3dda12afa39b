"""Requests whose first response is overdue.

Latency samples arrive only with responses, so they show a slowdown too
late. A request without a response at its due time shows it at once.
"""


class OverdueTracker:
    """Due times of outstanding requests by engine, in the order of sending."""

    __slots__ = ('_due_at',)

    def __init__(self):
        self._due_at = {}

    def add(self, upstream_id, request_key, due_at):
        """Adds a request with the time at which its first response is due."""
        self._due_at.setdefault(upstream_id, {})[request_key] = due_at

    def remove(self, upstream_id, request_key):
        """Removes a request; a second call for it has no effect."""
        outstanding = self._due_at.get(upstream_id, {})
        outstanding.pop(request_key, None)
        if not outstanding:
            self._due_at.pop(upstream_id, None)

    def overdue_s(self, upstream_id, now):
        """Returns how long an engine's oldest request is overdue, else 0.0."""
        outstanding = self._due_at.get(upstream_id)
        if not outstanding:
            return 0.0
        return max(0.0, now - next(iter(outstanding.values())))
