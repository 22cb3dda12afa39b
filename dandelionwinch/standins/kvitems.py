"""The state of the users' store: items, history and leases; no sockets."""

import enum

import attrs

FIRST_REVISION = 1
FIRST_LEASE = 101


class Rejection(enum.Enum):
    """Why a change was not made."""

    CONDITION = 'condition'
    LEASE = 'lease'


@attrs.frozen
class KvItem:
    """A key as it stands, or one that was deleted (value None)."""

    key: str
    value: bytes | None
    revision: int
    created: int = 0
    lease: int = 0


class KvItems:
    """Items under revisions; times are given by the caller."""

    __slots__ = (
        '_dropped',
        '_history',
        '_items',
        '_leases',
        '_next_lease',
        'revision',
    )

    def __init__(self):
        self._items = {}
        self._history = []
        self._dropped = 0
        self._leases = {}
        self._next_lease = FIRST_LEASE
        self.revision = FIRST_REVISION

    def get(self, key):
        """Returns a KvItem or None."""
        return self._items.get(key)

    def put(self, key, value, lease=0):
        """Writes a key."""
        self.revision += 1
        old = self._items.get(key)
        created = old.created if old else self.revision
        item = KvItem(key, value, self.revision, created, lease)
        self._items[key] = item
        self._history.append(item)

    def remove(self, key):
        """Removes a key if it is there."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._history.append(KvItem(key, None, self.revision))

    def page(self, prefix, after, most):
        """Returns items after a key, and whether there are more."""
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        return [self._items[key] for key in keys[:most]], len(keys) > most

    def changes(self, prefix, after):
        """Returns changes after a revision; None if they are gone."""
        if after < self._dropped:
            return None
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]

    def compact(self):
        """Forgets all changes up to now."""
        self._history.clear()
        self._dropped = self.revision

    def grant(self, ttl_s, now):
        """Returns the id of a new lease."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (now + ttl_s, ttl_s)
        return lease

    def renew(self, lease, now):
        """Renews a lease; tells whether it was there."""
        if lease not in self._leases:
            return False
        _until, ttl_s = self._leases[lease]
        self._leases[lease] = (now + ttl_s, ttl_s)
        return True

    def revoke(self, lease):
        """Ends a lease and removes its keys."""
        self._leases.pop(lease, None)
        held = [k for k, item in self._items.items() if item.lease == lease]
        for key in held:
            self.remove(key)

    def expire(self, now):
        """Ends leases that were not renewed in time."""
        for lease, (until, _ttl_s) in list(self._leases.items()):
            if until < now:
                self.revoke(lease)

    def revoke_all(self):
        """Lets all leases lapse."""
        for lease in list(self._leases):
            self.revoke(lease)

    def commit(self, conditions, puts, removed):
        """Makes all changes or none.

        Args:
            conditions: Pairs of key and revision, 0 for no such key.
            puts: Triples of key, value and lease.
            removed: Keys.

        Returns:
            The revision, or Refused.
        """
        for key, revision in conditions:
            item = self._items.get(key)
            if (item.revision if item else 0) != revision:
                return Rejection.CONDITION
        if any(lease and lease not in self._leases for _k, _v, lease in puts):
            return Rejection.LEASE
        for key, value, lease in puts:
            self.put(key, value, lease)
        for key in removed:
            self.remove(key)
        return self.revision
