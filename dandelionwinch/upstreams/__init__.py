"""What one instance believes of the upstreams, and why."""

from dandelionwinch.upstreams._absence import DeregistrationGuard
from dandelionwinch.upstreams._beliefs import available
from dandelionwinch.upstreams._beliefs import Entry
from dandelionwinch.upstreams._beliefs import Registry
from dandelionwinch.upstreams._beliefs import Role
from dandelionwinch.upstreams._beliefs import Upstream
from dandelionwinch.upstreams._typical import LatencyBaseline

__all__ = [
    'DeregistrationGuard',
    'Entry',
    'LatencyBaseline',
    'Registry',
    'Role',
    'Upstream',
    'available',
]
