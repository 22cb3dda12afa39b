"""What other instances reported of keys in newer versions."""

import attrs

# Changes and keys that are kept; more are ignored. They bound the memory
# that forged reports take.
MAX_CHANGES = 64
MAX_ROWS = 4096
# A version that an instance in contact with the store has not applied by
# then is not in the store: its report was forged, or the store was restored
# from a copy. `configApplyMs` is 4 s.
VALID_S = 10.0


@attrs.frozen
class KeyReport:
    """A part of the changes of keys that another instance has applied.

    Attributes:
        bases: Versions with the keys before the change.
        version: Version after the change.
        part: Number of this part, from 0.
        parts: Number of parts.
        rows: Pairs of a digest and its Team, None if it was removed.
    """

    bases: tuple[int, ...]
    version: int
    part: int
    parts: int
    rows: tuple


@attrs.define
class _Received:
    """What was received of one change.

    Attributes:
        at: Time of its first part.
        parts: Number of parts that it has.
        rows: Rows of the parts that were received, by their numbers.
    """

    at: float
    parts: int
    rows: dict = attrs.Factory(dict)

    @property
    def complete(self):
        """Tells whether all parts were received."""
        return len(self.rows) == self.parts

    @property
    def size(self):
        """Returns the number of rows that were received."""
        return sum(map(len, self.rows.values()))


@attrs.frozen
class ReportedKey:
    """What is reported of one key.

    Attributes:
        version: Version that changed it last.
        team: The Team that has it, None if it was removed.
    """

    version: int
    team: object


class KeyReports:
    """Changes of keys in versions that this instance does not have yet.

    A removed key must be refused as soon as one part of a change names it,
    so rows count before the changes that they belong to are complete. Once
    complete changes lead to a version, other changes up to it count no more:
    they may have been undone by one that was not received.
    """

    __slots__ = ('_changes', '_known', '_own', '_rows')

    def __init__(self):
        self._own = 0
        self._known = 0
        # The ReportedKey of each digest.
        self._rows = {}
        # What was received, by the versions of the change: the newer one,
        # and those from which it leads there. Instances that skipped a
        # version report others.
        self._changes = {}

    def apply(self, version):
        """Forgets what was reported up to a version that is in force now."""
        self._own = version
        self._forget([c for c in self._changes if c[0] <= version])
        self._rebuild()

    def take(self, report, now):
        """Takes in a KeyReport; one of a version in force is ignored.

        Returns:
            Whether it is the first one of its version.
        """
        if report.version <= self._own:
            return False
        new = all(version != report.version for version, _ in self._changes)
        key = (report.version, report.bases)
        received = self._changes.get(key)
        if received is None:
            if len(self._changes) >= MAX_CHANGES:
                return False
            received = _Received(now, report.parts)
            self._changes[key] = received
        # Of a part that does not fit nothing is kept, so that its change
        # counts as incomplete.
        if report.part in received.rows or report.parts != received.parts:
            return new
        size = sum(change.size for change in self._changes.values())
        if size + len(report.rows) <= MAX_ROWS:
            received.rows[report.part] = report.rows
            if received.complete:
                self._rebuild()
            elif report.version > self._known:
                self._add_rows(report.version, report.rows)
        return new

    def _add_rows(self, version, rows):
        for key_digest, team in rows:
            known = self._rows.get(key_digest)
            if known is None or known.version <= version:
                self._rows[key_digest] = ReportedKey(version, team)

    def _rebuild(self):
        """Finds the known version and the rows that count."""
        self._known = self._own
        leading = set()
        for change in sorted(self._changes):
            version, bases = change
            if self._changes[change].complete and self._known in bases:
                self._known = version
                leading.add(change)
        self._rows = {}
        for change, received in self._changes.items():
            if change in leading or change[0] > self._known:
                for rows in received.rows.values():
                    self._add_rows(change[0], rows)

    def find(self, key_digest):
        """Returns the ReportedKey of a digest, or None."""
        return self._rows.get(key_digest)

    def known_version(self):
        """Returns the version up to which all changes are known."""
        return self._known

    def expire(self, reached_at):
        """Forgets versions that are not in the store.

        Args:
            reached_at: Time at which the store last answered.
        """
        old = [
            change
            for change, received in self._changes.items()
            if reached_at - received.at > VALID_S
        ]
        if old:
            self._forget(old)
            self._rebuild()

    def _forget(self, changes):
        for change in changes:
            del self._changes[change]
