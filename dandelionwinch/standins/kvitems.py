"""State of the platform's key-value store: items, history and leases."""

import enum

import attrs

FIRST_REVISION = 1
FIRST_LEASE = 101
FIRST_EPOCH = 1


class Rejection(enum.Enum):
    """Why a commit was rejected."""

    CONDITION = 'condition'
    LEASE = 'lease'


@attrs.frozen
class KvItem:
    """The state of a key after a change.

    Attributes:
        value: Bytes, or None if the key was deleted.
        revision: Revision of the change.
        created: Revision at which the key was created.
        lease: Id of the lease that the key is attached to, or 0.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0
    lease: int = 0


@attrs.frozen
class Snapshot:
    """A copy of the state of a KvItems."""

    items: dict
    history: list
    compacted_revision: int
    leases: dict
    next_lease: int
    revision: int


class KvItems:
    """Items with revisions, and leases.

    Args named `now` are times in seconds.

    Attributes:
        epoch: Number that increases with each restored snapshot.
        revision: Revision of the last change.
    """

    __slots__ = (
        '_compacted_revision',
        '_history',
        '_items',
        '_leases',
        '_next_lease',
        'epoch',
        'revision',
    )

    def __init__(self):
        self._items = {}
        self._history = []
        self._compacted_revision = 0
        self._leases = {}
        self._next_lease = FIRST_LEASE
        self.epoch = FIRST_EPOCH
        self.revision = FIRST_REVISION

    def snapshot(self):
        """Returns a Snapshot of the current state."""
        return Snapshot(
            dict(self._items),
            list(self._history),
            self._compacted_revision,
            dict(self._leases),
            self._next_lease,
            self.revision,
        )

    def restore(self, snapshot):
        """Returns to the state of a snapshot, in a new epoch.

        Later changes and leases are lost, and their revisions and ids are
        assigned again.
        """
        self._items = dict(snapshot.items)
        self._history = list(snapshot.history)
        self._compacted_revision = snapshot.compacted_revision
        self._leases = dict(snapshot.leases)
        self._next_lease = snapshot.next_lease
        self.revision = snapshot.revision
        self.epoch += 1

    def get(self, key):
        """Returns a KvItem or None."""
        return self._items.get(key)

    def put(self, key, value, lease=0):
        """Sets a key, attached to a lease unless that is 0."""
        self.revision += 1
        old = self._items.get(key)
        created = old.created if old else self.revision
        item = KvItem(key, value, self.revision, created, lease)
        self._items[key] = item
        self._history.append(item)

    def remove(self, key):
        """Deletes a key if it exists."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._history.append(KvItem(key, None, self.revision))

    def page(self, prefix, after, limit):
        """Returns up to `limit` items after a key, and whether more exist."""
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        return [self._items[key] for key in keys[:limit]], len(keys) > limit

    def changes(self, prefix, after):
        """Returns the changes after a revision.

        Returns None if they were compacted, or if the revision does not
        exist.
        """
        if not self._compacted_revision <= after <= self.revision:
            return None
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]

    def compact(self):
        """Drops the history of changes up to the current revision."""
        self._history.clear()
        self._compacted_revision = self.revision

    def grant(self, ttl_s, now):
        """Grants a lease and returns its id."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (now + ttl_s, ttl_s)
        return lease

    def renew(self, lease, now):
        """Renews a lease and returns whether it existed."""
        if lease not in self._leases:
            return False
        _expires_at, ttl_s = self._leases[lease]
        self._leases[lease] = (now + ttl_s, ttl_s)
        return True

    def revoke(self, lease):
        """Revokes a lease and deletes its keys."""
        self._leases.pop(lease, None)
        keys = [k for k, item in self._items.items() if item.lease == lease]
        for key in keys:
            self.remove(key)

    def expire(self, now):
        """Revokes the leases whose time to live has passed."""
        for lease, (expires_at, _ttl_s) in list(self._leases.items()):
            if expires_at < now:
                self.revoke(lease)

    def revoke_all(self):
        """Revokes all leases and deletes their keys."""
        for lease in list(self._leases):
            self.revoke(lease)

    def commit(self, conditions, puts, removed):
        """Makes all changes, or none if a condition or lease fails.

        Args:
            conditions: Pairs of key and expected revision; 0 if the key
                must not exist.
            puts: Triples of key, value and lease.
            removed: Keys to delete.

        Returns:
            The new revision, or a Rejection.
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
