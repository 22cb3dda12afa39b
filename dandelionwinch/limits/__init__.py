"""Admission control by team, fair shares, and retry budgets."""

from dandelionwinch.limits._admission import Admission
from dandelionwinch.limits._fair_shares import Excess
from dandelionwinch.limits._fair_shares import find_excesses
from dandelionwinch.limits._fair_shares import MAX_EXCESSES
from dandelionwinch.limits._fair_shares import TeamLoad
from dandelionwinch.limits._fair_shares import YieldingTeams
from dandelionwinch.limits._retry_budget import RetryBudget

__all__ = [
    'Admission',
    'Excess',
    'MAX_EXCESSES',
    'RetryBudget',
    'TeamLoad',
    'YieldingTeams',
    'find_excesses',
]
