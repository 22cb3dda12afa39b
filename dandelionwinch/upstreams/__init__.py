"""Registry of the upstreams with the health that one instance observes."""

from dandelionwinch.upstreams._deregistration import DeregistrationGuard
from dandelionwinch.upstreams._hold_off import ramped
from dandelionwinch.upstreams._latency import LatencyBaseline
from dandelionwinch.upstreams._leaving_notice import BELIEVED_S
from dandelionwinch.upstreams._leaving_notice import digest
from dandelionwinch.upstreams._leaving_notice import tell_delay_s
from dandelionwinch.upstreams._registry import available
from dandelionwinch.upstreams._registry import Entry
from dandelionwinch.upstreams._registry import of_version
from dandelionwinch.upstreams._registry import Registry
from dandelionwinch.upstreams._registry import Role
from dandelionwinch.upstreams._registry import Upstream

__all__ = [
    'BELIEVED_S',
    'DeregistrationGuard',
    'Entry',
    'LatencyBaseline',
    'Registry',
    'Role',
    'Upstream',
    'available',
    'digest',
    'of_version',
    'ramped',
    'tell_delay_s',
]
