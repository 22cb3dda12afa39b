"""Which instances of a data centre watch the store, and what they tell.

Pure code: times, names and messages are arguments. A watcher tells the other
instances of its data centre what changed, with the revision of the store
before and after the changes. The revisions alone decide what a receiver may
apply, so that a message may be lost, late, doubled or out of order.
"""

from dandelionwinch.relay._history import History
from dandelionwinch.relay._message import Action
from dandelionwinch.relay._message import Change
from dandelionwinch.relay._message import judge
from dandelionwinch.relay._message import Message
from dandelionwinch.relay._pieces import Assembler
from dandelionwinch.relay._pieces import decode
from dandelionwinch.relay._pieces import encode
from dandelionwinch.relay._pieces import MAX_PIECES
from dandelionwinch.relay._pieces import PIECE_BYTES
from dandelionwinch.relay._views import SenderViews
from dandelionwinch.relay._watchers import order
from dandelionwinch.relay._watchers import rank
from dandelionwinch.relay._watchers import WATCHERS

__all__ = [
    'MAX_PIECES',
    'PIECE_BYTES',
    'WATCHERS',
    'Action',
    'Assembler',
    'Change',
    'History',
    'Message',
    'SenderViews',
    'decode',
    'encode',
    'judge',
    'order',
    'rank',
]
