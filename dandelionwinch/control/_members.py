"""How many instances share limits, also right after a common restart.

Shares are by the number of instances, so a number that is too small lets
all of them together go over a limit. An instance that vanished is counted
for some time yet; and one that starts counts at least as many as there
were, by a number that the holder of the orders keeps in the store.
"""

KEEP_S = 20.0
SHRUNK_SHARE = 0.8


class Members:
    """Instances by their entries in the store.

    Attributes:
        present: Presence of each instance, by key.
    """

    __slots__ = ('_began_at', '_noted', '_seen_at', 'present')

    def __init__(self):
        self.present = {}
        self._seen_at = {}
        self._noted = 0
        self._began_at = None

    def add(self, key, presence):
        """Takes an entry."""
        self.present[key] = presence

    def remove(self, key):
        """Tells whether an entry was there until now."""
        return self.present.pop(key, None) is not None

    def note(self, count):
        """Takes the number that the store keeps."""
        self._noted = count

    def count(self, now):
        """Returns the number of instances to share limits with."""
        if self._began_at is None:
            self._began_at = now
        for key in self.present:
            self._seen_at[key] = now
        self._seen_at = {
            key: at for key, at in self._seen_at.items() if now - at <= KEEP_S
        }
        count = max(1, len(self._seen_at))
        if now - self._began_at <= KEEP_S:
            return max(count, self._noted)
        return count

    def is_outdated(self, count):
        """Tells whether the store should keep this number instead."""
        return count > self._noted or count < SHRUNK_SHARE * self._noted
