"""Decides at which software version a stream that has begun may go on."""

from dandelionwinch.streams._history import Sole
from dandelionwinch.streams._history import VersionHistory
from dandelionwinch.streams._holders import Holders
from dandelionwinch.streams._records import MAX_VIEW_AGE_S
from dandelionwinch.streams._records import Record
from dandelionwinch.streams._records import RECORD_TTL_S
from dandelionwinch.streams._records import Refusals
from dandelionwinch.streams._records import sole_version
from dandelionwinch.streams._records import UNKNOWN
from dandelionwinch.streams._records import VersionRecords

__all__ = [
    'MAX_VIEW_AGE_S',
    'RECORD_TTL_S',
    'UNKNOWN',
    'Holders',
    'Record',
    'Refusals',
    'Sole',
    'VersionHistory',
    'VersionRecords',
    'sole_version',
]
