"""Fair admission by team, and early refusal by deadline."""

from dandelionwinch.limits._admission import Admission
from dandelionwinch.limits._budget import RetryBudget

__all__ = ['Admission', 'RetryBudget']
