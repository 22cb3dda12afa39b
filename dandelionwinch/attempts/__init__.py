"""What follows an attempt: another one, or a truthful final answer."""

from dandelionwinch.attempts._budget import SharedBudget
from dandelionwinch.attempts._verdict import AttemptOutcome
from dandelionwinch.attempts._verdict import Final
from dandelionwinch.attempts._verdict import final_of
from dandelionwinch.attempts._verdict import may_repeat

__all__ = ['AttemptOutcome', 'Final', 'SharedBudget', 'final_of', 'may_repeat']
