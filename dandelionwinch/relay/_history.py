"""The changes of the store that an instance learned last."""

import collections

import attrs

# Time for which changes are kept, and their largest number.
KEPT_S = 60.0
MAX_KEPT = 1000


@attrs.frozen
class _Step:
    """Changes that were learned together, up to a revision."""

    at: float
    before: int
    number: int
    changes: tuple
    listed: bool


class History:
    """Gapless changes up to the revision of an instance's view.

    Attributes:
        learned_at: Time at which that revision was learned.
        number: Number of the revision that all changes lead to.
    """

    __slots__ = ('_count', '_floor', '_steps', 'learned_at', 'number')

    def __init__(self):
        self.restart(0, float('-inf'))

    def restart(self, number, now):
        """Begins anew at a revision, after a listing."""
        self.learned_at = now
        self._steps = collections.deque()
        self._count = 0
        self._floor = number
        self.number = number

    def add(self, changes, number, now, listed=False):
        """Adds changes that lead from the last revision to another one.

        Args:
            changes: Change items after the last revision, in their order.
            number: Number of the revision that they lead to.
            now: Time in seconds.
            listed: Whether they are the difference to a listing, which
                lacks what was written and deleted in between.
        """
        if number <= self.number:
            return
        # A later one is in the next answer of the store again.
        found = tuple(
            change
            for change in changes
            if self.number < change.revision <= number
        )
        self._steps.append(_Step(now, self.number, number, found, listed))
        self._count += len(found)
        self.number = number
        self.learned_at = now
        while self._steps and (
            self._count > MAX_KEPT or self._steps[0].at < now - KEPT_S
        ):
            step = self._steps.popleft()
            self._count -= len(step.changes)
            self._floor = step.number

    def number_at(self, time):
        """Returns the revision that was known at a time, if it is kept."""
        number = self._floor
        for step in self._steps:
            if step.at > time:
                break
            number = step.number
        return number

    def covers(self, number):
        """Tells whether all changes after a revision are kept."""
        return number >= self._floor and not any(
            step.listed and step.before < number < step.number
            for step in self._steps
        )

    def after(self, number):
        """Returns the changes after a revision that `covers` accepts.

        For an earlier one they begin at the earliest one that is kept.

        Returns:
            Number of the revision at which they begin, of the last listing
            among them, or that revision again, and the Change items.
        """
        base = max(self._floor, min(number, self.number))
        steps = [step for step in self._steps if step.number > base]
        listed = [step.number for step in steps if step.listed]
        changes = tuple(
            change
            for step in steps
            for change in step.changes
            if change.revision > base
        )
        return base, max(listed, default=base), changes
