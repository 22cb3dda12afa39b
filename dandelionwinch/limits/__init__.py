"""Admission control by team, fair shares, bytes held, retry budgets."""

from dandelionwinch.limits._admission import Admission
from dandelionwinch.limits._body_bounds import BodiesInFlight
from dandelionwinch.limits._body_bounds import BytesBound
from dandelionwinch.limits._body_bounds import CRASH_BYTES
from dandelionwinch.limits._body_bounds import FREE_BYTES
from dandelionwinch.limits._body_bounds import most_bytes
from dandelionwinch.limits._body_bounds import team_above_half
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
from dandelionwinch.limits._crash_log import CrashLog
from dandelionwinch.limits._crash_log import CrashReport
from dandelionwinch.limits._fair_shares import Excess
from dandelionwinch.limits._fair_shares import find_excesses
from dandelionwinch.limits._fair_shares import find_shares
from dandelionwinch.limits._fair_shares import MAX_EXCESSES
from dandelionwinch.limits._fair_shares import priority_weight
from dandelionwinch.limits._fair_shares import Shares
from dandelionwinch.limits._fair_shares import TeamLoad
from dandelionwinch.limits._fair_shares import YieldingTeams
from dandelionwinch.limits._retry_budget import RetryBudget
from dandelionwinch.limits._stall_watch import Sample
from dandelionwinch.limits._stall_watch import StallWatch

__all__ = [
    'Admission',
    'BodiesInFlight',
    'BytesBound',
    'CRASH_BYTES',
    'CallCounts',
    'CallQueue',
    'CallTotals',
    'CrashLog',
    'CrashReport',
    'Excess',
    'FREE_BYTES',
    'FairOrder',
    'MAX_EXCESSES',
    'QueuedCall',
    'Refuse',
    'RetryBudget',
    'SPAN_S',
    'Sample',
    'Send',
    'Shares',
    'StallWatch',
    'TeamLoad',
    'Wait',
    'YieldingTeams',
    'find_excesses',
    'find_shares',
    'in_flight_limit',
    'most_bytes',
    'priority_weight',
    'team_above_half',
]
