"""The order lease, whose holder alone sends role orders to engines.

Package control uses it for the gateway. The daemon has a lease per shard
instead (package orders).
"""

from dandelionwinch.leadership._candidates import candidate_order
from dandelionwinch.leadership._candidates import RANK_INTERVAL_S
from dandelionwinch.leadership._lease import Leadership
from dandelionwinch.leadership._lease import LEASE_S
from dandelionwinch.leadership._lease import MAX_VIEW_AGE_S
from dandelionwinch.leadership._lease import RENEW_INTERVAL_S
from dandelionwinch.leadership._lease import RENEWAL_VALID_S

__all__ = [
    'LEASE_S',
    'MAX_VIEW_AGE_S',
    'RANK_INTERVAL_S',
    'RENEWAL_VALID_S',
    'RENEW_INTERVAL_S',
    'Leadership',
    'candidate_order',
]
