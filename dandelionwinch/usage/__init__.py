"""Counts the requests of teams by windows of time, for usage reports."""

from dandelionwinch.usage._begin import begin_of_answered
from dandelionwinch.usage._begin import begin_of_lost
from dandelionwinch.usage._begin import WorkTimes
from dandelionwinch.usage._clock import median_offset
from dandelionwinch.usage._clock import system_clock
from dandelionwinch.usage._clock import TrueClock
from dandelionwinch.usage._counts import KEPT_WINDOWS
from dandelionwinch.usage._counts import WindowCounts
from dandelionwinch.usage._report import Report
from dandelionwinch.usage._report import ReportInvalid
from dandelionwinch.usage._reporter import Read
from dandelionwinch.usage._reporter import Reporter
from dandelionwinch.usage._reporter import Send
from dandelionwinch.usage._reporter import Write
from dandelionwinch.usage._totals import RunningTotal
from dandelionwinch.usage._totals import Totals

__all__ = [
    'KEPT_WINDOWS',
    'Read',
    'Report',
    'ReportInvalid',
    'Reporter',
    'RunningTotal',
    'Send',
    'Totals',
    'TrueClock',
    'system_clock',
    'WindowCounts',
    'WorkTimes',
    'Write',
    'begin_of_answered',
    'begin_of_lost',
    'median_offset',
]
