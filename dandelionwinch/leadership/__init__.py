"""The right of one instance to act alone, by a lease in the store."""

from dandelionwinch.leadership._lease import Leadership
from dandelionwinch.leadership._lease import LEASE_S
from dandelionwinch.leadership._lease import RENEWAL_VALID_S
from dandelionwinch.leadership._lease import RENEW_INTERVAL_S

__all__ = ['LEASE_S', 'Leadership', 'RENEWAL_VALID_S', 'RENEW_INTERVAL_S']
