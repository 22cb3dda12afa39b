"""Rollout of a committed configuration revision to all instances."""

import attrs

# Lengthens the wait, as the clocks of instances may run at other rates.
CLOCK_DRIFT_RATIO = 1.1


@attrs.frozen
class RolloutStatus:
    """Rollout status of a committed revision.

    Attributes:
        accepted: Whether the revision is rolled out: no instance admits
            work under an older one any more.
        unconfirmed: Names of the known instances that still have an older
            revision.
        reason: Why it is not accepted yet, or empty.
    """

    accepted: bool
    unconfirmed: tuple[str, ...]
    reason: str


class RolloutTracker:
    """Tracks one committed revision until it is rolled out.

    A revision is rolled out once a majority of data centres, each with
    all its instances, has held it for longer than an instance may go
    without contact. By then every instance with an older revision has either
    been in contact with one of them, and so fetched the revision, or
    refuses new work by itself. This also covers instances that are
    partitioned and instances that are not known here yet.

    Args:
        revision: The committed revision.
        data_centres: Names of all data centres.
        cut_off_s: Seconds after which an instance without contact
            refuses new work.
    """

    __slots__ = (
        '_cut_off_s',
        '_data_centres',
        '_majority_since',
        '_revision',
    )

    def __init__(self, revision, data_centres, cut_off_s):
        self._revision = revision
        self._data_centres = tuple(data_centres)
        self._cut_off_s = cut_off_s
        self._majority_since = None

    @property
    def min_wait_s(self):
        """Shortest time in seconds in which a revision can be rolled out."""
        return self._cut_off_s * CLOCK_DRIFT_RATIO

    def observe(self, members, now):
        """Updates the rollout from the known instances.

        Args:
            members: PeerStates of instances that are not certainly gone.
            now: Monotonic time in seconds.

        Returns:
            A RolloutStatus.
        """
        unconfirmed = [m for m in members if m.revision < self._revision]
        names = tuple(member.name for member in unconfirmed)
        outdated = {member.data_centre for member in unconfirmed}
        updated = {member.data_centre for member in members} - outdated
        updated_data_centres = [
            data_centre
            for data_centre in self._data_centres
            if data_centre in updated
        ]
        if 2 * len(updated_data_centres) <= len(self._data_centres):
            self._majority_since = None
            return RolloutStatus(
                False, names, 'no majority of data_centres holds it'
            )
        if self._majority_since is None:
            self._majority_since = now
        waited_s = now - self._majority_since
        if waited_s <= self.min_wait_s:
            return RolloutStatus(
                False, names, 'unreached instances may still take work'
            )
        return RolloutStatus(True, names, '')
