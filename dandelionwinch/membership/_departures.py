"""Tells which processes the platform has surely ended."""


class Departures:
    """Observes how long instances have been off the platform's list.

    Silence proves nothing: a paused process may wake up. The list
    lags, so a process counts as gone only after it was absent from
    every list read during ``margin_s`` seconds, a time that also
    covers the worst case of connections that it left behind.
    """

    __slots__ = ('_absent_since', '_incarnations', '_margin_s', '_names')

    def __init__(self, margin_s):
        self._margin_s = margin_s
        self._names = None
        self._absent_since = {}
        self._incarnations = {}

    def list_read(self, names):
        """Takes in a list that was read.

        Args:
            names: Names of the listed instances.
        """
        self._names = frozenset(names)
        for name in self._names:
            self._absent_since.pop(name, None)

    def list_unavailable(self):
        """Notes that the list was not reached, so nothing is proved."""
        self._names = None
        self._absent_since.clear()

    def saw_incarnation(self, name, incarnation):
        """Notes the incarnation that runs under a name."""
        held = self._incarnations.get(name, 0)
        self._incarnations[name] = max(held, incarnation)

    def is_gone(self, name, incarnation, now):
        """Tells whether a process is certainly not running.

        Args:
            name: Name of the instance.
            incarnation: Which process of that name is meant.
            now: Time in seconds.
        """
        if self._incarnations.get(name, 0) > incarnation:
            return True
        if self._names is None or name in self._names:
            return False
        since = self._absent_since.setdefault(name, now)
        return now - since >= self._margin_s

    def remaining(self, members, now):
        """Returns the members whose process is not certainly gone."""
        return [
            known
            for known in members
            if not self.is_gone(known.name, known.member.incarnation, now)
        ]


def populated_data_centres(members):
    """Returns the names of the data centres that have members."""
    return sorted({known.data_centre for known in members})
