"""A seeded search for faults in the decisions, in virtual time.

The very programs that the daemons run are driven here against small
fakes of the store and of back ends. Processes are paused, killed and
cut off, answers are lost, and writes take effect late.
"""

from dandelionwinch.search._claims import search_claims
from dandelionwinch.search._orders import search_orders
from dandelionwinch.search._settings import in_force_times
from dandelionwinch.search._settings import search_settings
from dandelionwinch.search._world import Broken

MATTERS = {
    'claims': search_claims,
    'orders': search_orders,
    'settings': search_settings,
}

__all__ = ['MATTERS', 'Broken', 'in_force_times']
