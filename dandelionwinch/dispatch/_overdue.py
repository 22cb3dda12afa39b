"""Requests whose first response is overdue.

Latency samples arrive only with responses, so they show a slowdown too
late. A request without a response after its expected time shows it at
once.
"""


class OverdueTracker:
    """Due times of outstanding requests, by engine, in sending order."""

    __slots__ = ('_due_at',)

    def __init__(self):
        self._due_at = {}

    def sent(self, upstream_id, request_key, due_at):
        """Records a request and the time its first response is due."""
        self._due_at.setdefault(upstream_id, {})[request_key] = due_at

    def done(self, upstream_id, request_key):
        """Removes a request; a second call for it has no effect."""
        outstanding = self._due_at.get(upstream_id, {})
        outstanding.pop(request_key, None)
        if not outstanding:
            self._due_at.pop(upstream_id, None)

    def overdue_s(self, upstream_id, now):
        """Returns how long an engine's oldest request is overdue."""
        outstanding = self._due_at.get(upstream_id)
        if not outstanding:
            return 0.0
        return max(0.0, now - next(iter(outstanding.values())))
