"""Admission control by team, and retry budgets."""

from dandelionwinch.limits._admission import Admission
from dandelionwinch.limits._retry_budget import RetryBudget

__all__ = ['Admission', 'RetryBudget']
