"""What follows an attempt: another one, or a truthful final answer."""

from dandelionwinch.attempts._budget import SharedRetryBudget
from dandelionwinch.attempts._verdict import AttemptOutcome
from dandelionwinch.attempts._verdict import final_status
from dandelionwinch.attempts._verdict import FinalStatus
from dandelionwinch.attempts._verdict import may_retry

__all__ = [
    'AttemptOutcome',
    'FinalStatus',
    'SharedRetryBudget',
    'final_status',
    'may_retry',
]
