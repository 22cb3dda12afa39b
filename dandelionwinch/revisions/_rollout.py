"""When a committed change may be called accepted."""

import attrs

CLOCK_DRIFT_RATIO = 1.1


@attrs.frozen
class RolloutStatus:
    """How far a committed revision has come.

    Attributes:
        accepted: Whether no instance takes work under an older one.
        missing: Instances that have not confirmed it.
        reason: Why it is not accepted yet, or empty.
    """

    accepted: bool
    unconfirmed: tuple[str, ...]
    reason: str


class RolloutTracker:
    """Watches one committed revision until it is accepted.

    It is accepted once a majority of data centres hold it as a whole for
    longer than an instance may go without contact. From then on an
    instance with an older revision has either met one of them, and so
    fetched the revision, or refuses new work by itself. This covers
    instances that are cut off and such as nobody here knows yet.

    Args:
        revision: The committed revision.
        data_centres: Names of all data centres.
        cut_off_s: Seconds after which an instance without contact
            refuses new work.
    """

    __slots__ = ('_cut_off_s', '_data_centres', '_revision', '_whole_since')

    def __init__(self, revision, data_centres, cut_off_s):
        self._revision = revision
        self._data_centres = tuple(data_centres)
        self._cut_off_s = cut_off_s
        self._whole_since = None

    def observe(self, members, now):
        """Judges the present state.

        Args:
            members: Known instances that are not certainly gone.
            now: Time in seconds.

        Returns:
            An Acceptance.
        """
        unconfirmed = [k for k in members if k.revision < self._revision]
        names = tuple(known.name for known in unconfirmed)
        lacking = {known.data_centre for known in unconfirmed}
        met = {known.data_centre for known in members} - lacking
        whole = [
            data_centre
            for data_centre in self._data_centres
            if data_centre in met
        ]
        if 2 * len(whole) <= len(self._data_centres):
            self._whole_since = None
            return RolloutStatus(
                False, names, 'no majority of data_centres holds it'
            )
        if self._whole_since is None:
            self._whole_since = now
        waited_s = now - self._whole_since
        if waited_s <= self._cut_off_s * CLOCK_DRIFT_RATIO:
            return RolloutStatus(
                False, names, 'unreached instances may still take work'
            )
        return RolloutStatus(True, names, '')
