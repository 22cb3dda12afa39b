"""Decides what the holder of the usage duty writes and sends next.

A report is written to the store before it is sent, and only what the store
holds is sent. A new holder first sends what it finds there once more. So a
window never has two different reports.

A restored store may have lost the last report. Each instance remembers the
last report that it saw in the store, and tells its window to a new holder.
Such a window is written again as it was, or skipped by a holder that does not
know its counts.
"""

import attrs

from dandelionwinch.usage import _report

# Time after the end of a window at which it is reported with what is known:
# this part of the time at which it is due, but not later than that.
REPORT_LATEST_RATIO = 0.45
REPORT_LATEST_S = 4.5
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 2.0
# Refusals of one report after which the next window is reported. A holder
# that lost its lease knows that after fewer.
MAX_REFUSALS = 5


@attrs.frozen
class Read:
    """Read the report in the store."""


@attrs.frozen
class Write:
    """Write a report to the store.

    Attributes:
        report: The Report.
        revision: Number of the revision that the key must have, 0 if it must
            not exist.
    """

    report: _report.Report
    revision: int


@attrs.frozen
class Send:
    """Send a report to the duty API."""

    report: _report.Report


class Reporter:
    """The reports of one holder, in the order of their windows.

    All times are in seconds since 1970.

    Args:
        window_s: Length of a window in seconds.
        due_s: Time after the end of a window at which its report is due.

    Attributes:
        awaited: Names of the instances whose final total of the next window
            is missing, empty before its end.
        last: Number of the last window that is reported or skipped, -1
            without one.
    """

    __slots__ = (
        '_holding_since',
        '_known',
        '_latest_s',
        '_paused_until',
        '_pause_s',
        '_read',
        '_refusals',
        '_revision',
        '_rewrite',
        '_sent',
        '_unsent',
        '_window_s',
        'awaited',
        'last',
    )

    def __init__(self, window_s, due_s):
        self._window_s = window_s
        self._latest_s = min(REPORT_LATEST_S, REPORT_LATEST_RATIO * due_s)
        # Latest report that was seen in the store, whatever its epoch.
        self._known = None
        self._sent = None
        self.awaited = set()
        self.last = -1
        self.begin(float('-inf'))

    def begin(self, now):
        """Starts anew, as the store may hold another report than known."""
        self._holding_since = now
        self.awaited = set()
        self._read = False
        self._revision = 0
        # Report that a restored store has lost.
        self._rewrite = None
        # Report in the store that is not known to be accepted.
        self._unsent = None
        self._refusals = 0
        self._pause_s = MIN_PAUSE_S
        self._paused_until = float('-inf')

    def saw(self, report):
        """Remembers a report that was seen in the store."""
        if self._known is None or report.window > self._known.window:
            self._known = report
            self.set_reported(report.window)

    @property
    def known_window(self):
        """Returns the window of the latest report seen, -1 without one."""
        return -1 if self._known is None else self._known.window

    def set_reported(self, window):
        """Records that windows up to one may be reported by others."""
        self.last = max(self.last, window)

    def next_step(self, totals, names, min_wait_s, now):
        """Returns a Read, Write or Send that is due, or None.

        Args:
            totals: Totals.
            names: Names of the registered instances.
            min_wait_s: Time in seconds in which the instances answer a new
                holder.
            now: Time.
        """
        if now < self._paused_until:
            return None
        if not self._read:
            return Read()
        if self._rewrite is not None:
            return Write(self._rewrite, self._revision)
        if self._unsent is not None:
            return Send(self._unsent)
        if now < self._holding_since + min_wait_s:
            return None
        report = self._next_report(totals, names, now)
        return None if report is None else Write(report, self._revision)

    def _next_report(self, totals, names, now):
        first = totals.first_full_window()
        if first is None:
            return None
        self.last = max(self.last, first - 1)
        while True:
            window = self.last + 1
            end_at = (window + 1) * self._window_s
            self.awaited = set()
            if now < end_at:
                return None
            self.awaited = totals.missing(window, names, now)
            if self.awaited and now < end_at + self._latest_s:
                return None
            counts = totals.counts(window)
            if counts:
                return _report.Report(window, counts)
            # No team had a request, or nobody knows of any.
            self.last = window

    def found(self, report, revision):
        """Records what the store holds.

        Args:
            report: Report, None if there is none.
            revision: Number of its revision, 0 if there is none.

        Returns:
            Whether it differs from what was known of its window.
        """
        self._read = True
        self._revision = revision
        self._rewrite = self._unsent = None
        known = self._known
        found_window = -1 if report is None else report.window
        if known is not None and known.window > found_window:
            if known.window >= self.last:
                self._rewrite = known
            return False
        differs = known is not None and known.window == found_window
        differs = differs and known != report
        if report is not None:
            self.saw(report)
            self.set_reported(report.window)
            if not differs and report != self._sent:
                self._unsent = report
        return differs

    def written(self, report, revision):
        """Records that a report was written, with a revision number."""
        self._revision = revision
        self._rewrite = None
        self.awaited = set()
        self.saw(report)
        if report != self._sent:
            self._unsent = report
        self._resume()

    def write_failed(self, now):
        """Records that it is not known whether a report was written."""
        self._read = False
        self._pause(now)

    def accepted(self, report):
        """Records that the duty API accepted a report."""
        self._sent = report
        self._unsent = None
        self._resume()

    def send_failed(self, now, wait_s=0.0):
        """Records that a report may not have been accepted.

        Args:
            now: Time.
            wait_s: Pause that the duty API asked for, in seconds.
        """
        self._pause(now)
        self._paused_until = max(self._paused_until, now + wait_s)

    def refused(self, now):
        """Records a refusal; tells whether the report is given up."""
        self._refusals += 1
        if self._refusals < MAX_REFUSALS:
            self._pause(now)
            return False
        self._unsent = None
        self._resume()
        return True

    def _pause(self, now):
        self._paused_until = now + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)

    def _resume(self):
        self._refusals = 0
        self._pause_s = MIN_PAUSE_S
        self._paused_until = float('-inf')
