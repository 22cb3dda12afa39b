"""The lease under which a single instance sends role orders."""

from dandelionwinch.leadership._lease import Leadership
from dandelionwinch.leadership._lease import LEASE_S
from dandelionwinch.leadership._lease import RENEW_INTERVAL_S
from dandelionwinch.leadership._lease import RENEWAL_VALID_S

__all__ = ['LEASE_S', 'Leadership', 'RENEWAL_VALID_S', 'RENEW_INTERVAL_S']
