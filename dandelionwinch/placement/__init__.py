"""Places jobs on upstreams and plans the roles of upstreams."""

from dandelionwinch.placement._load import LoadEstimate
from dandelionwinch.placement._load import LoadEstimates
from dandelionwinch.placement._load import Report
from dandelionwinch.placement._owner import choose_owner
from dandelionwinch.placement._owner import Query
from dandelionwinch.placement._placer import CandidatePool
from dandelionwinch.placement._placer import Choice
from dandelionwinch.placement._placer import Demand
from dandelionwinch.placement._placer import Placer
from dandelionwinch.placement._placer import Refusal
from dandelionwinch.placement._prefixes import PrefixIndex
from dandelionwinch.placement._roles import Capacity
from dandelionwinch.placement._roles import plan_roles
from dandelionwinch.placement._roles import RoleChange
from dandelionwinch.placement._roles import served_share
from dandelionwinch.placement._trend import Trend

__all__ = [
    'CandidatePool',
    'Capacity',
    'Choice',
    'Demand',
    'LoadEstimate',
    'LoadEstimates',
    'Placer',
    'PrefixIndex',
    'Query',
    'Refusal',
    'Report',
    'RoleChange',
    'Trend',
    'choose_owner',
    'plan_roles',
    'served_share',
]
