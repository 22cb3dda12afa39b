"""Decides on retries, on what a stop takes, and on final statuses."""

from dandelionwinch.attempts._durations import ends_in_time
from dandelionwinch.attempts._durations import LongestDurations
from dandelionwinch.attempts._outcome import AttemptOutcome
from dandelionwinch.attempts._outcome import final_status
from dandelionwinch.attempts._outcome import FinalStatus
from dandelionwinch.attempts._outcome import may_retry
from dandelionwinch.attempts._retry_budget import SharedRetryBudget

__all__ = [
    'AttemptOutcome',
    'FinalStatus',
    'LongestDurations',
    'SharedRetryBudget',
    'ends_in_time',
    'final_status',
    'may_retry',
]
