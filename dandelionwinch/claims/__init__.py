"""At-most-once execution of calls that are not idempotent."""

from dandelionwinch.claims._at_most_once import Done
from dandelionwinch.claims._at_most_once import NotGranted
from dandelionwinch.claims._at_most_once import NotRun
from dandelionwinch.claims._at_most_once import Outcome
from dandelionwinch.claims._at_most_once import QueryOutcome
from dandelionwinch.claims._at_most_once import run_at_most_once
from dandelionwinch.claims._at_most_once import SendCall
from dandelionwinch.claims._at_most_once import SendResult
from dandelionwinch.claims._at_most_once import Unknown
from dandelionwinch.claims._at_most_once import WriteClose
from dandelionwinch.claims._at_most_once import WriteOpen
from dandelionwinch.claims._bucket import Bucket
from dandelionwinch.claims._bucket import Claim
from dandelionwinch.claims._bucket import Close
from dandelionwinch.claims._bucket import close_with_answer
from dandelionwinch.claims._bucket import Expired
from dandelionwinch.claims._bucket import Full
from dandelionwinch.claims._bucket import Granted
from dandelionwinch.claims._bucket import Held
from dandelionwinch.claims._bucket import Open
from dandelionwinch.claims._bucket import Recorded
from dandelionwinch.claims._bucket import State
from dandelionwinch.claims._bucket import StoredAnswer
from dandelionwinch.claims._commit import bucket_key
from dandelionwinch.claims._commit import bucket_of
from dandelionwinch.claims._commit import commit_batch
from dandelionwinch.claims._commit import Unreached
from dandelionwinch.claims._commit import Unsettled
from dandelionwinch.claims._keys import key_time
from dandelionwinch.claims._resolution import needs_resolution
from dandelionwinch.claims._resolution import OutcomeStatus
from dandelionwinch.claims._resolution import resolved_state

__all__ = [
    'Bucket',
    'Claim',
    'Close',
    'Done',
    'Expired',
    'Full',
    'Granted',
    'Held',
    'NotGranted',
    'NotRun',
    'Open',
    'Outcome',
    'OutcomeStatus',
    'QueryOutcome',
    'Recorded',
    'SendCall',
    'SendResult',
    'State',
    'StoredAnswer',
    'Unknown',
    'Unreached',
    'Unsettled',
    'WriteClose',
    'WriteOpen',
    'bucket_key',
    'bucket_of',
    'close_with_answer',
    'commit_batch',
    'key_time',
    'needs_resolution',
    'resolved_state',
    'run_at_most_once',
]
