"""Entries that vanish: leaving upstreams, or a store that forgot them."""

RETURN_S = 2.2
SUSPECT_S = 1.0
LEAST_MASS = 3
MASS_SHARE = 0.5


class DeregistrationGuard:
    """Decides when a vanished entry means that its upstream is gone.

    While the store is away, entries lapse of upstreams that live; those
    are back soon after its return. In calm an entry that vanishes means
    an upstream that leaves, and it gets no more requests at once.
    """

    __slots__ = ('_back_at', '_held', '_known')

    def __init__(self):
        self._back_at = float('-inf')
        self._held = {}
        self._known = 0

    def store_failed(self, now):
        """Notes a failed call of the store."""
        self._back_at = now

    def deregistered(self, upstream_ids, known, now):
        """Takes entries that vanished together.

        Args:
            upstream_ids: Their ids.
            known: Number of entries before that.
            now: Time in seconds.

        Returns:
            Ids of those that are gone now; the others are held.
        """
        until = self._back_at + RETURN_S
        if len(upstream_ids) >= max(LEAST_MASS, MASS_SHARE * known):
            until = now + RETURN_S
        if until <= now:
            return list(upstream_ids)
        for upstream_id in upstream_ids:
            self._held.setdefault(upstream_id, until)
        return []

    def next_due_s(self, now):
        """Returns the seconds until an entry is due, None without any."""
        if not self._held:
            return None
        return max(0.0, min(self._held.values()) - now)

    def registered(self, upstream_id):
        """Notes that an entry is there."""
        self._held.pop(upstream_id, None)

    def due(self, now):
        """Returns ids whose time to come back is over."""
        over = [key for key, until in self._held.items() if until <= now]
        for upstream_id in over:
            del self._held[upstream_id]
        return over
