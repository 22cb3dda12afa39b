"""Role orders to upstreams, under a lease per shard of upstreams.

A shard has the upstreams of one data centre that serve the same model, and
its lease and orders are one record in the store. The holder of the lease
alone sends orders to these upstreams.

Orders are stored, so that the next holder of the lease completes an order
whose sender has stopped.
"""

from dandelionwinch.orders._drain import drain_wait_reason
from dandelionwinch.orders._drain import DrainReport
from dandelionwinch.orders._executor import DesiredRole
from dandelionwinch.orders._executor import HoldState
from dandelionwinch.orders._executor import HoldUpstream
from dandelionwinch.orders._executor import OrderExecutor
from dandelionwinch.orders._executor import PollUpstream
from dandelionwinch.orders._executor import Progress
from dandelionwinch.orders._executor import ReleaseHold
from dandelionwinch.orders._executor import SendOrder
from dandelionwinch.orders._executor import UpstreamStatus
from dandelionwinch.orders._lease import Lost
from dandelionwinch.orders._lease import Owned
from dandelionwinch.orders._lease import RENEWALS_PER_LEASE
from dandelionwinch.orders._lease import ShardLease
from dandelionwinch.orders._lease import Waiting
from dandelionwinch.orders._shard import Order
from dandelionwinch.orders._shard import OrderState
from dandelionwinch.orders._shard import Shard
from dandelionwinch.orders._shard import shard_key
from dandelionwinch.orders._shard import shard_of

__all__ = [
    'DesiredRole',
    'DrainReport',
    'HoldState',
    'HoldUpstream',
    'Lost',
    'Order',
    'OrderExecutor',
    'OrderState',
    'Owned',
    'PollUpstream',
    'Progress',
    'RENEWALS_PER_LEASE',
    'ReleaseHold',
    'SendOrder',
    'Shard',
    'ShardLease',
    'UpstreamStatus',
    'Waiting',
    'drain_wait_reason',
    'shard_key',
    'shard_of',
]
