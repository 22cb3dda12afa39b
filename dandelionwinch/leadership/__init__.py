"""The lease whose holder alone sends role orders and performs duties.

Package control uses it for the gateway. The daemon has a lease per shard
instead (package orders).
"""

from dandelionwinch.leadership._candidates import candidate_order
from dandelionwinch.leadership._candidates import RANK_INTERVAL_S
from dandelionwinch.leadership._lease import CALL_DELIVERY_S
from dandelionwinch.leadership._lease import Leadership
from dandelionwinch.leadership._lease import LEASE_S
from dandelionwinch.leadership._lease import MAX_VIEW_AGE_S
from dandelionwinch.leadership._lease import RENEW_INTERVAL_S
from dandelionwinch.leadership._lease import RENEWAL_VALID_S

__all__ = [
    'CALL_DELIVERY_S',
    'LEASE_S',
    'MAX_VIEW_AGE_S',
    'RANK_INTERVAL_S',
    'RENEWAL_VALID_S',
    'RENEW_INTERVAL_S',
    'Leadership',
    'candidate_order',
]
