"""Decides at which software version a stream that has begun may go on."""

from dandelionwinch.streams._history import Sole
from dandelionwinch.streams._history import VersionHistory
from dandelionwinch.streams._records import holders
from dandelionwinch.streams._records import RECORD_TTL_S
from dandelionwinch.streams._records import Refusals
from dandelionwinch.streams._records import UNKNOWN
from dandelionwinch.streams._records import version_to_resume
from dandelionwinch.streams._records import VersionRecords

__all__ = [
    'RECORD_TTL_S',
    'UNKNOWN',
    'Refusals',
    'Sole',
    'VersionHistory',
    'VersionRecords',
    'holders',
    'version_to_resume',
]
