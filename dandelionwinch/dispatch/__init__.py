"""Chooses the upstream of each request, on the load that one instance sees."""

from dandelionwinch.dispatch._distance import Distances
from dandelionwinch.dispatch._engine_speeds import EngineSpeeds
from dandelionwinch.dispatch._engine_speeds import Sample
from dandelionwinch.dispatch._engine_speeds import Verdict
from dandelionwinch.dispatch._engine_speeds import Work
from dandelionwinch.dispatch._engines import EnginePlacer
from dandelionwinch.dispatch._plain import choose_plain
from dandelionwinch.dispatch._prefix_cache import CacheEvents
from dandelionwinch.dispatch._prefix_cache import PrefixCache
from dandelionwinch.dispatch._prompts import NO_TEAM
from dandelionwinch.dispatch._prompts import Placement
from dandelionwinch.dispatch._prompts import PREFILLED_PRIORITY
from dandelionwinch.dispatch._prompts import PriorityClass
from dandelionwinch.dispatch._prompts import Prompt
from dandelionwinch.dispatch._prompts import Standing
from dandelionwinch.dispatch._rate_limiter import RateLimiter
from dandelionwinch.dispatch._roles import plan_role
from dandelionwinch.dispatch._roles import RoleChange
from dandelionwinch.dispatch._watch_plan import WatchPlan

__all__ = [
    'NO_TEAM',
    'PREFILLED_PRIORITY',
    'CacheEvents',
    'Distances',
    'EnginePlacer',
    'EngineSpeeds',
    'Placement',
    'PrefixCache',
    'PriorityClass',
    'Prompt',
    'RateLimiter',
    'RoleChange',
    'Standing',
    'Sample',
    'Verdict',
    'WatchPlan',
    'Work',
    'choose_plain',
    'plan_role',
]
