"""What part of all limits one instance has, also after a common restart.

Parts are by capacity. If an instance knew too little of the others, all
of them together would go over a limit. So one that vanished is counted
for some time yet; and one that starts counts at least what there was, by
a number that the holder of the orders keeps in the store.
"""

KEEP_S = 20.0
SHRUNK_SHARE = 0.8


class RegisteredInstances:
    """Instances by their entries in the store.

    Attributes:
        present: Presence of each instance, by key.
    """

    __slots__ = ('_began_at', '_capacity', '_noted', '_seen_at', 'present')

    def __init__(self):
        self.present = {}
        self._capacity = {}
        self._seen_at = {}
        self._noted = 0.0
        self._began_at = None

    def add(self, key, presence):
        """Takes an entry."""
        self.present[key] = presence
        self._capacity[key] = presence.capacity

    def remove(self, key):
        """Tells whether an entry was there until now."""
        return self.present.pop(key, None) is not None

    def note(self, capacity):
        """Takes the capacity of all that the store keeps."""
        self._noted = capacity

    def capacity(self, now):
        """Returns the capacity of all instances to share limits with."""
        if self._began_at is None:
            self._began_at = now
        for key in self.present:
            self._seen_at[key] = now
        self._seen_at = {
            key: at for key, at in self._seen_at.items() if now - at <= KEEP_S
        }
        known = sum(self._capacity[key] for key in self._seen_at)
        if now - self._began_at <= KEEP_S:
            return max(known, self._noted)
        return known

    def parts(self, own, now):
        """Returns how many parts like one's own there are, 1 at least."""
        return max(1.0, self.capacity(now) / own)

    def is_outdated(self, capacity):
        """Tells whether the store should keep this number instead."""
        shrunk = capacity < SHRUNK_SHARE * self._noted
        return shrunk or capacity > self._noted
