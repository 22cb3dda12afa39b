"""Admission control by team, fair shares, bytes held, retry budgets."""

from dandelionwinch.limits._admission import Admission
from dandelionwinch.limits._body_bounds import BodiesInFlight
from dandelionwinch.limits._body_bounds import BytesBound
from dandelionwinch.limits._body_bounds import most_bytes
from dandelionwinch.limits._body_bounds import team_above_half
from dandelionwinch.limits._fair_shares import Excess
from dandelionwinch.limits._fair_shares import find_excesses
from dandelionwinch.limits._fair_shares import MAX_EXCESSES
from dandelionwinch.limits._fair_shares import TeamLoad
from dandelionwinch.limits._fair_shares import YieldingTeams
from dandelionwinch.limits._retry_budget import RetryBudget
from dandelionwinch.limits._stall_watch import Sample
from dandelionwinch.limits._stall_watch import StallWatch

__all__ = [
    'Admission',
    'BodiesInFlight',
    'BytesBound',
    'Excess',
    'MAX_EXCESSES',
    'RetryBudget',
    'Sample',
    'StallWatch',
    'TeamLoad',
    'YieldingTeams',
    'find_excesses',
    'most_bytes',
    'team_above_half',
]
