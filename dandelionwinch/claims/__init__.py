"""At-most-once execution of calls that are not idempotent.

A claim is the stored record of one idempotency key; whoever writes it
first may send the call. Claims are grouped into buckets; a bucket is
one value in the store and is changed by compare-and-swap.

Opens and Closes are the mutations of a bucket; Granted, Held, Expired,
Full, Recorded, Unreached and Unsettled are their results. Done, NotRun,
Unknown and NotGranted are the results of a whole call by
run_at_most_once. State is the state of a claim, and OutcomeStatus is
what an upstream reports about a key.
"""

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
