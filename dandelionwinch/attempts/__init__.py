"""Decides on retries and on the final status of a request."""

from dandelionwinch.attempts._outcome import AttemptOutcome
from dandelionwinch.attempts._outcome import final_status
from dandelionwinch.attempts._outcome import FinalStatus
from dandelionwinch.attempts._outcome import may_retry
from dandelionwinch.attempts._retry_budget import SharedRetryBudget

__all__ = [
    'AttemptOutcome',
    'FinalStatus',
    'SharedRetryBudget',
    'final_status',
    'may_retry',
]
