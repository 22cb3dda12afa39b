"""Admission control by team, fair shares, call queues, retry budgets."""

from dandelionwinch.limits._admission import Admission
from dandelionwinch.limits._call_counts import CallCounts
from dandelionwinch.limits._call_counts import CallTotals
from dandelionwinch.limits._call_counts import SPAN_S
from dandelionwinch.limits._call_queue import CallQueue
from dandelionwinch.limits._call_queue import FairOrder
from dandelionwinch.limits._call_queue import in_flight_limit
from dandelionwinch.limits._call_queue import QueuedCall
from dandelionwinch.limits._call_queue import Refuse
from dandelionwinch.limits._call_queue import Send
from dandelionwinch.limits._call_queue import Wait
from dandelionwinch.limits._fair_shares import Excess
from dandelionwinch.limits._fair_shares import find_excesses
from dandelionwinch.limits._fair_shares import find_shares
from dandelionwinch.limits._fair_shares import MAX_EXCESSES
from dandelionwinch.limits._fair_shares import priority_weight
from dandelionwinch.limits._fair_shares import Shares
from dandelionwinch.limits._fair_shares import TeamLoad
from dandelionwinch.limits._fair_shares import YieldingTeams
from dandelionwinch.limits._retry_budget import RetryBudget

__all__ = [
    'Admission',
    'CallCounts',
    'CallQueue',
    'CallTotals',
    'Excess',
    'FairOrder',
    'MAX_EXCESSES',
    'QueuedCall',
    'Refuse',
    'RetryBudget',
    'SPAN_S',
    'Send',
    'Shares',
    'TeamLoad',
    'Wait',
    'YieldingTeams',
    'find_excesses',
    'find_shares',
    'in_flight_limit',
    'priority_weight',
]
