"""Seeded fault injection against the decision programs, in virtual time.

The same programs that the daemons run are driven against small fakes of
the store, the upstreams and the backends. Processes are paused, killed and
partitioned, replies are lost, and writes take effect late. Each search
checks invariants that must hold under these faults.
"""

from dandelionwinch.search._claims import search_claims
from dandelionwinch.search._orders import search_orders
from dandelionwinch.search._settings import in_force_times
from dandelionwinch.search._settings import search_settings
from dandelionwinch.search._simulation import InvariantViolated

SEARCHES = {
    'claims': search_claims,
    'orders': search_orders,
    'settings': search_settings,
}

__all__ = ['SEARCHES', 'InvariantViolated', 'in_force_times']
