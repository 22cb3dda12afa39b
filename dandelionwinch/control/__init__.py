"""Runs one instance: store sync, registration, orders and shutdown."""

from dandelionwinch.control._call_timing import MIN_CONTACT_S
from dandelionwinch.control._config import BYTES_PER_MEGABYTE
from dandelionwinch.control._config import Duty
from dandelionwinch.control._config import DutySettings
from dandelionwinch.control._config import InstanceConfig
from dandelionwinch.control._config import MEMORY_BYTES
from dandelionwinch.control._config import READS_PER_S
from dandelionwinch.control._config import WRITES_PER_S
from dandelionwinch.control._duty import Accepted
from dandelionwinch.control._duty import Authority
from dandelionwinch.control._duty import CapacityOrder
from dandelionwinch.control._duty import DutyApi
from dandelionwinch.control._duty import NotSent
from dandelionwinch.control._duty import Refused
from dandelionwinch.control._duty import Throttled
from dandelionwinch.control._duty import Unanswered
from dandelionwinch.control._duty import UsageReport
from dandelionwinch.control._epoch import EpochTracker
from dandelionwinch.control._epoch import Lease
from dandelionwinch.control._epoch import Revision
from dandelionwinch.control._instance import Instance
from dandelionwinch.control._registered import RegisteredInstances
from dandelionwinch.control._registration import Registration
from dandelionwinch.control._store import CALL_TIMEOUT_S
from dandelionwinch.control._store import Conflict
from dandelionwinch.control._store import EntryInvalid
from dandelionwinch.control._store import EpochChanged
from dandelionwinch.control._store import HistoryGone
from dandelionwinch.control._store import Item
from dandelionwinch.control._store import LeaseEnded
from dandelionwinch.control._store import Listing
from dandelionwinch.control._store import Store
from dandelionwinch.control._store import StoreCodec
from dandelionwinch.control._store import StoreFailed
from dandelionwinch.control._store import StoreRefused
from dandelionwinch.control._store import WATCH_MARGIN_S
from dandelionwinch.control._sync import StoreSync

__all__ = [
    'BYTES_PER_MEGABYTE',
    'CALL_TIMEOUT_S',
    'MEMORY_BYTES',
    'MIN_CONTACT_S',
    'READS_PER_S',
    'WATCH_MARGIN_S',
    'WRITES_PER_S',
    'Accepted',
    'Authority',
    'CapacityOrder',
    'Conflict',
    'Duty',
    'DutyApi',
    'DutySettings',
    'EntryInvalid',
    'EpochChanged',
    'EpochTracker',
    'HistoryGone',
    'Instance',
    'InstanceConfig',
    'Item',
    'Lease',
    'LeaseEnded',
    'Listing',
    'NotSent',
    'Refused',
    'RegisteredInstances',
    'Registration',
    'Revision',
    'Store',
    'StoreCodec',
    'StoreFailed',
    'StoreRefused',
    'StoreSync',
    'Throttled',
    'Unanswered',
    'UsageReport',
]
