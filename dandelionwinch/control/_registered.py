"""Registered instances, and the share of all limits that each one may use.

Shares are by capacity. If instances underestimated the capacity of the
others, together they would exceed a limit. So an instance whose entry is
gone still counts for some time, and an instance that has just started,
possibly together with all others, counts at least the total capacity that
the holder of the lease keeps in the store.
"""

from dandelionwinch.control import _config

# How long a removed entry still counts, and for how long after the start
# the stored capacity is a lower bound.
RETENTION_S = 20.0
SHRINK_RATIO = 0.8
# After a restore of the store the instances register again within a time
# that grows with their number. Their entries are kept longer by this.
HOLD_MARGIN_S = 2.0
WRITES_PER_REGISTRATION = 2
# Part of the store's write rate that registrations after a restore take.
REGISTRATION_WRITE_RATIO = 0.5


class RegisteredInstances:
    """The instances that have an entry in the store.

    Args:
        writes_per_s: Write calls that the store grants to all instances.

    Attributes:
        entries: Entry of each instance, by store key.
    """

    __slots__ = (
        '_began_at',
        '_capacity',
        '_held',
        '_held_until',
        '_seen_at',
        '_stored_capacity',
        '_writes_per_s',
        'entries',
    )

    def __init__(self, writes_per_s=_config.WRITES_PER_S):
        self._writes_per_s = writes_per_s
        self._held = set()
        self._held_until = float('-inf')
        self.entries = {}
        self._capacity = {}
        self._seen_at = {}
        self._stored_capacity = 0.0
        self._began_at = None

    def add(self, key, entry):
        """Adds or replaces an entry and returns whether it is new."""
        self._held.discard(key)
        new = key not in self.entries
        self.entries[key] = entry
        self._capacity[key] = entry.capacity
        return new

    def remove(self, key):
        """Removes an entry and returns whether there was one."""
        self._held.discard(key)
        return self.entries.pop(key, None) is not None

    def peers(self, port):
        """Returns IP and port for datagrams of each instance, by name.

        Args:
            port: Port of all instances, 0 for none.
        """
        if not port:
            return {}
        return {
            entry.name: (entry.address.rpartition(':')[0], port)
            for entry in self.entries.values()
        }

    def names_in(self, data_centre):
        """Returns the names of the instances of a data centre."""
        return [
            entry.name
            for entry in self.entries.values()
            if entry.data_centre == data_centre
        ]

    def registration_spread_s(self):
        """Returns the time over which all instances register again."""
        writes = WRITES_PER_REGISTRATION * len(self.entries)
        return writes / (REGISTRATION_WRITE_RATIO * self._writes_per_s)

    def hold(self, now):
        """Keeps entries that a restored store has lost for some time."""
        self._held_until = now + self.registration_spread_s() + HOLD_MARGIN_S

    def held(self, key, now):
        """Tells whether an entry that is not listed is to be kept."""
        if now >= self._held_until:
            return False
        self._held.add(key)
        return True

    def pop_due(self, now):
        """Removes and returns the keys whose hold has ended."""
        if now < self._held_until:
            return []
        due, self._held = list(self._held), set()
        return due

    def set_stored_capacity(self, capacity):
        """Sets the total capacity that the store keeps."""
        self._stored_capacity = capacity

    def capacity(self, now):
        """Returns the total capacity of the instances that share limits."""
        if self._began_at is None:
            self._began_at = now
        for key in self.entries:
            self._seen_at[key] = now
        self._seen_at = {
            key: at
            for key, at in self._seen_at.items()
            if now - at <= RETENTION_S
        }
        current = sum(self._capacity[key] for key in self._seen_at)
        if now - self._began_at <= RETENTION_S:
            return max(current, self._stored_capacity)
        return current

    def capacity_ratio(self, own_capacity, now):
        """Returns the total capacity over an instance's own.

        Args:
            own_capacity: Capacity of the instance.
            now: Time in seconds.

        Returns:
            At least 1; the inverse is the instance's share of all limits.
        """
        return max(1.0, self.capacity(now) / own_capacity)

    def should_store(self, capacity):
        """Returns whether this total capacity is to replace the stored one.

        Growth is stored at once, a decrease only if it is large.
        """
        shrunk = capacity < SHRINK_RATIO * self._stored_capacity
        return shrunk or capacity > self._stored_capacity
