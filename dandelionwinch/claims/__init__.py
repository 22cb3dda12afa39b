"""At-most-once execution of calls that may not be repeated."""

from dandelionwinch.claims._bucket import Bucket
from dandelionwinch.claims._bucket import Claim
from dandelionwinch.claims._bucket import Close
from dandelionwinch.claims._bucket import Expired
from dandelionwinch.claims._bucket import Full
from dandelionwinch.claims._bucket import Granted
from dandelionwinch.claims._bucket import Held
from dandelionwinch.claims._bucket import Open
from dandelionwinch.claims._bucket import Recorded
from dandelionwinch.claims._bucket import State
from dandelionwinch.claims._commit import bucket_key
from dandelionwinch.claims._commit import bucket_of
from dandelionwinch.claims._commit import commit_batch
from dandelionwinch.claims._commit import Unreached
from dandelionwinch.claims._commit import Unsettled
from dandelionwinch.claims._keys import key_time
from dandelionwinch.claims._resolve import Proof
from dandelionwinch.claims._resolve import resolution

__all__ = [
    'Bucket',
    'Claim',
    'Close',
    'Expired',
    'Full',
    'Granted',
    'Held',
    'Open',
    'Proof',
    'Recorded',
    'State',
    'Unreached',
    'Unsettled',
    'bucket_key',
    'bucket_of',
    'commit_batch',
    'key_time',
    'resolution',
]
