"""The data path: callers' requests to upstreams on one event loop."""

from dandelionwinch.gateway._codec import BadMessage
from dandelionwinch.gateway._codec import Head
from dandelionwinch.gateway._codec import request_bytes
from dandelionwinch.gateway._connection import ConnectionLost
from dandelionwinch.gateway._connection import read_whole
from dandelionwinch.gateway._fleet import Fleet
from dandelionwinch.gateway._gateway import Gateway
from dandelionwinch.gateway._inquiry import Inquiry
from dandelionwinch.gateway._inquiry import Reply
from dandelionwinch.gateway._inquiry import Sending
from dandelionwinch.gateway._inquiry import WireCodec
from dandelionwinch.gateway._pool import NotConnected
from dandelionwinch.gateway._pool import Pool
from dandelionwinch.gateway._server import Server

__all__ = [
    'BadMessage',
    'ConnectionLost',
    'Fleet',
    'Gateway',
    'Head',
    'Inquiry',
    'NotConnected',
    'Pool',
    'Reply',
    'Sending',
    'Server',
    'WireCodec',
    'read_whole',
    'request_bytes',
]
