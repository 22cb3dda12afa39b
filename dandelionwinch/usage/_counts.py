"""Counts of one instance, by window and team."""

import math

# Windows before the current one that are kept while no report of them is
# known, as without the store none is made.
KEPT_WINDOWS = 36
# Reported windows that are kept for operators.
SHOWN_WINDOWS = 12
# Requests that are kept while it is not known whether the clock is right.
MAX_EARLY = 10000


class WindowCounts:
    """The requests that one instance saw begin, by window and team.

    Counts only grow, so that of two totals of a window the larger one is the
    later one.

    Args:
        window_s: Length of a window in seconds.

    Attributes:
        reported: Number of the last window that is known to be reported.
        late: Requests that were seen after the report of their window.
        window_s: Length of a window in seconds.
    """

    __slots__ = ('_counts', '_early', 'late', 'reported', 'window_s')

    def __init__(self, window_s):
        self._counts = {}
        # Team and time of each request up to settle().
        self._early = []
        self.window_s = window_s
        self.reported = -1
        self.late = 0

    def window_of(self, at):
        """Returns the number of the window that contains a time."""
        return math.floor(at / self.window_s)

    def end_of(self, window):
        """Returns the time in seconds at which a window ends."""
        return (window + 1) * self.window_s

    def record(self, team, at):
        """Counts a request.

        Args:
            team: Name of its team.
            at: Time at which it began to run, in seconds since 1970.

        Returns:
            Whether it counts; its window may be reported already.
        """
        if self._early is not None and len(self._early) < MAX_EARLY:
            self._early.append((team, at))
            return True
        window = self.window_of(at)
        if window <= self.reported:
            self.late += 1
            return False
        counts = self._counts.setdefault(window, {})
        counts[team] = counts.get(team, 0) + 1
        return True

    def settle(self, offset_s):
        """Records that the clock is right from now on.

        Args:
            offset_s: Seconds that were added to it just now.
        """
        early, self._early = self._early or [], None
        for team, at in early:
            self.record(team, at + offset_s)

    def counts(self, window):
        """Returns the number of requests by team, of a window."""
        return self._counts.get(window, {})

    def set_reported(self, window):
        """Records that the windows up to one are reported."""
        self.reported = max(self.reported, window)
        self._drop(self.reported - SHOWN_WINDOWS)

    def windows(self):
        """Returns the numbers of the windows with counts, in their order."""
        return sorted(self._counts)

    def forget(self, now):
        """Drops windows whose report nobody has seen for very long."""
        self._drop(self.window_of(now) - KEPT_WINDOWS)

    def _drop(self, last):
        for window in [w for w in self._counts if w <= last]:
            del self._counts[window]
