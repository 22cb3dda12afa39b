"""Delays the removal of upstreams whose entries vanish from the store.

An entry vanishes because its upstream leaves, or because the store was
unavailable and the lease of a live upstream expired.
"""

# Live upstreams register again within this time after a store outage.
REREGISTER_S = 2.2
# A store outage is assumed if at least this number and this part of all
# entries vanish together.
MIN_MASS_COUNT = 3
MASS_RATIO = 0.5


class DeregistrationGuard:
    """Decides when a vanished entry means that its upstream is gone.

    While the store is unavailable the entries of live upstreams expire.
    The upstreams register again soon after it recovers, so their removal
    is held for REREGISTER_S. Without an outage an upstream whose entry
    vanishes is leaving, and gets no more requests from that moment.
    """

    __slots__ = ('_failed_at', '_held_until')

    def __init__(self):
        self._failed_at = float('-inf')
        self._held_until = {}

    def store_failed(self, now):
        """Records a failed call to the store, of this instance or another."""
        self._failed_at = max(self._failed_at, now)

    def deregistered(self, upstream_ids, count, now):
        """Decides on upstreams whose entries vanished together.

        Args:
            upstream_ids: Ids of the upstreams.
            count: Number of all entries before they vanished.
            now: Time in seconds.

        Returns:
            Ids of the upstreams that are gone now: all of them, or none if
            they are held.
        """
        until = self._failed_at + REREGISTER_S
        if len(upstream_ids) >= max(MIN_MASS_COUNT, MASS_RATIO * count):
            until = now + REREGISTER_S
        if until <= now:
            return list(upstream_ids)
        for upstream_id in upstream_ids:
            self._held_until.setdefault(upstream_id, until)
        return []

    def next_due_s(self, now):
        """Returns the time until the next hold ends, None without a hold."""
        if not self._held_until:
            return None
        return max(0.0, min(self._held_until.values()) - now)

    def registered(self, upstream_id):
        """Ends the hold of an upstream whose entry is in the store again."""
        self._held_until.pop(upstream_id, None)

    def pop_due(self, now):
        """Removes and returns the ids of upstreams whose hold has ended."""
        due = [key for key, at in self._held_until.items() if at <= now]
        for upstream_id in due:
            del self._held_until[upstream_id]
        return due
