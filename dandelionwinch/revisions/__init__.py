"""The operators' configuration and its monotonic revisions."""

from dandelionwinch.revisions._documents import Document
from dandelionwinch.revisions._documents import Documents
from dandelionwinch.revisions._programs import change
from dandelionwinch.revisions._programs import Changed
from dandelionwinch.revisions._programs import fetch
from dandelionwinch.revisions._programs import Fetched
from dandelionwinch.revisions._programs import Rejected
from dandelionwinch.revisions._programs import StoreFailure
from dandelionwinch.revisions._rollout import RolloutStatus
from dandelionwinch.revisions._rollout import RolloutTracker

__all__ = [
    'Changed',
    'Document',
    'Documents',
    'Fetched',
    'Rejected',
    'RolloutStatus',
    'RolloutTracker',
    'StoreFailure',
    'change',
    'fetch',
]
