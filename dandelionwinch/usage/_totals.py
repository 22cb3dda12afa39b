"""Running totals of all instances, as they were received."""

import math

import attrs

# Windows that are kept for a report. At the design size (390 processes, some
# 40 teams of each in a window) they take some 50 MB if no report is made.
KEPT_WINDOWS = 36
# Windows that a total may lie ahead of the receiver's time.
MAX_WINDOWS_AHEAD = 2
# Processes that are kept, and the teams of each in a window.
MAX_SOURCES = 2048
MAX_TEAMS = 4096
# Counts of teams that are kept in all, as forged totals of many processes
# would take any memory. The design size needs 562,000 if no report is made.
MAX_COUNTS = 700_000
# An instance that has unsent counts sends them within a second. One that sent
# nothing for this long has none, or has ended.
SILENT_S = 2.0
# The entry of an instance that is silent for 3 s may lapse meanwhile, so that
# one that is not registered is awaited for longer. It sends its total again
# within MIN_REPEAT_S of gateway._usage_sharing.
AWAITED_S = 5.0


@attrs.frozen
class RunningTotal:
    """A part of what one process has counted in one window.

    Attributes:
        name: Name of the instance.
        incarnation: Start of its process, in ms since the start of 1970.
        window: Number of the window.
        final: Whether the window has ended and nothing is awaited.
        total: Its requests of all teams, of which `rows` may be a part.
        rows: Pairs of a team and its number of requests.
    """

    name: str
    incarnation: int
    window: int
    final: bool
    total: int
    rows: tuple[tuple[str, int], ...]


@attrs.define
class _Window:
    """What is known of a window of one process.

    Attributes:
        counts: Number of requests by team.
        final_total: Sum of the final counts, None if it is not known.
    """

    counts: dict = attrs.Factory(dict)
    final_total: int | None = None

    @property
    def final(self):
        """Whether all pieces of the final total have arrived."""
        if self.final_total is None:
            return False
        return sum(self.counts.values()) >= self.final_total


@attrs.define
class _Source:
    """What is known of one process.

    Attributes:
        heard_at: Time of its last datagram in seconds.
        windows: The _Window items by number.
    """

    heard_at: float
    windows: dict = attrs.Factory(dict)


class Totals:
    """Merges the running totals of all processes.

    Counts only grow. So each total counts with its largest value, whatever
    the order of the datagrams, and a final total is whole once the merged
    counts reach its sum.

    Args:
        window_s: Length of a window in seconds.

    Attributes:
        window_s: Length of a window in seconds.
    """

    __slots__ = ('_kept_counts', '_reported', '_sources', 'window_s')

    def __init__(self, window_s):
        self.window_s = window_s
        self._sources = {}
        self._reported = -1
        self._kept_counts = 0

    def take(self, total, now, *, relayed=False):
        """Merges a RunningTotal.

        Args:
            total: RunningTotal.
            now: Time in seconds since 1970.
            relayed: Whether another instance sent it on.
        """
        if not self._kept(total.window, now):
            return
        key = (total.name, total.incarnation)
        source = self._sources.get(key)
        if source is None:
            if len(self._sources) >= MAX_SOURCES:
                return
            source = self._sources[key] = _Source(float('-inf'))
        if not relayed:
            source.heard_at = now
        known = source.windows.setdefault(total.window, _Window())
        for team, count in total.rows:
            if self._has_room(known, team):
                known.counts[team] = max(count, known.counts.get(team, 0))
        if total.final:
            known.final_total = max(total.total, known.final_total or 0)

    def _has_room(self, known, team):
        """Tells whether a team's count is kept, and counts a new one."""
        if team in known.counts:
            return True
        if len(known.counts) >= MAX_TEAMS or self._kept_counts >= MAX_COUNTS:
            return False
        self._kept_counts += 1
        return True

    def _kept(self, window, now):
        current = math.floor(now / self.window_s)
        first = max(self._reported + 1, current - KEPT_WINDOWS)
        return first <= window <= current + MAX_WINDOWS_AHEAD

    def counts(self, window):
        """Returns the requests by team of all processes, in a window."""
        merged = {}
        for source in self._sources.values():
            if window in source.windows:
                counts = source.windows[window].counts
                for team, count in counts.items():
                    merged[team] = merged.get(team, 0) + count
        return {team: count for team, count in merged.items() if count}

    def missing(self, window, names, now):
        """Returns the instances whose final total is awaited.

        An instance that stops sends its final totals. One that is no longer
        registered and did not send them is awaited for AWAITED_S, as it may
        only have been silent. One that started after the end of the window
        has no total of it.

        Args:
            window: Number of the window.
            names: Names of the registered instances.
            now: Time in seconds since 1970.

        Returns:
            A set of names.
        """
        end_ms = (window + 1) * self.window_s * 1e3
        done, awaited = set(), set()
        for (name, incarnation), source in self._sources.items():
            known = source.windows.get(window)
            if incarnation >= end_ms or (known is not None and known.final):
                done.add(name)
            elif now - source.heard_at <= AWAITED_S:
                awaited.add(name)
        return awaited | {name for name in names if name not in done}

    def first_full_window(self):
        """Returns the first window that a known process saw in full.

        Returns:
            The number of the window, or None if no process is known.
        """
        starts_ms = [incarnation for _name, incarnation in self._sources]
        if not starts_ms:
            return None
        return math.floor(min(starts_ms) / 1e3 / self.window_s) + 1

    def of_silent(self, now, besides):
        """Returns the totals of processes that may no longer answer.

        Args:
            now: Time in seconds since 1970.
            besides: Name of an instance whose totals are left out.

        Returns:
            RunningTotal items.
        """
        return [
            RunningTotal(
                name,
                incarnation,
                window,
                known.final,
                sum(known.counts.values()),
                tuple(known.counts.items()),
            )
            for (name, incarnation), source in self._sources.items()
            if name != besides and now - source.heard_at > SILENT_S
            for window, known in source.windows.items()
            if known.counts or known.final
        ]

    def forget(self, reported, now):
        """Drops what no report needs any more.

        Args:
            reported: Number of the last window that is reported.
            now: Time in seconds since 1970.
        """
        self._reported = max(self._reported, reported)
        for key, source in list(self._sources.items()):
            for window in list(source.windows):
                if not self._kept(window, now):
                    dropped = source.windows.pop(window)
                    self._kept_counts -= len(dropped.counts)
            silent_s = now - source.heard_at
            if not source.windows and silent_s > KEPT_WINDOWS * self.window_s:
                del self._sources[key]
