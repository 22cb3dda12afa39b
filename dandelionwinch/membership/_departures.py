"""Decides which processes have certainly ended."""


class Departures:
    """Records how long instances have been absent from the platform's list.

    Missing heartbeats prove nothing, as a paused process can resume. The list
    lags, so a process counts as gone only after it was absent from every
    list read during ``margin_s`` seconds. The time runs from the first
    is_gone() that finds a name absent, and list_read() resets it. It also
    covers the longest life of connections that the process left open.
    """

    __slots__ = ('_absent_since', '_incarnations', '_margin_s', '_names')

    def __init__(self, margin_s):
        self._margin_s = margin_s
        self._names = None
        self._absent_since = {}
        self._incarnations = {}

    def list_read(self, names):
        """Records a list that was read.

        Args:
            names: Names of the listed instances.
        """
        self._names = frozenset(names)
        for name in self._names:
            self._absent_since.pop(name, None)

    def list_unavailable(self):
        """Records that the list could not be read, so proves no absence."""
        self._names = None
        self._absent_since.clear()

    def saw_incarnation(self, name, incarnation):
        """Records an incarnation that runs under a name."""
        highest = self._incarnations.get(name, 0)
        self._incarnations[name] = max(highest, incarnation)

    def is_gone(self, name, incarnation, now):
        """Returns whether a process is certainly not running.

        The first call for an absent name starts the time of its absence.

        Args:
            name: Name of the instance.
            incarnation: Incarnation of its process.
            now: Time in seconds.
        """
        if self._incarnations.get(name, 0) > incarnation:
            return True
        if self._names is None or name in self._names:
            return False
        since = self._absent_since.setdefault(name, now)
        return now - since >= self._margin_s

    def remaining(self, peers, now):
        """Returns the PeerStates whose process is not certainly gone."""
        return [
            peer
            for peer in peers
            if not self.is_gone(peer.name, peer.member.incarnation, now)
        ]


def populated_data_centres(peers):
    """Returns the sorted names of the data centres that have instances."""
    return sorted({peer.data_centre for peer in peers})
