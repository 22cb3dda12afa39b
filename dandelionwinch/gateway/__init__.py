"""Data path: forwards requests of callers to upstreams, on one loop."""

from dandelionwinch.gateway._change_link import ChangeLink
from dandelionwinch.gateway._codec import BadMessage
from dandelionwinch.gateway._codec import Head
from dandelionwinch.gateway._codec import request_bytes
from dandelionwinch.gateway._connection import ConnectionLost
from dandelionwinch.gateway._fair_sharing import ShareView
from dandelionwinch.gateway._fleet import Fleet
from dandelionwinch.gateway._gateway import Gateway
from dandelionwinch.gateway._messages import AttemptParams
from dandelionwinch.gateway._messages import CallerRequest
from dandelionwinch.gateway._messages import RateLimit
from dandelionwinch.gateway._messages import ReplyHeaders
from dandelionwinch.gateway._messages import UpstreamStatus
from dandelionwinch.gateway._messages import WireCodec
from dandelionwinch.gateway._pool import NotConnected
from dandelionwinch.gateway._pool import Pool
from dandelionwinch.gateway._server import Server
from dandelionwinch.gateway._usage_sharing import UsageView
from dandelionwinch.gateway._whole_response import read_response

__all__ = [
    'AttemptParams',
    'BadMessage',
    'CallerRequest',
    'ChangeLink',
    'ConnectionLost',
    'Fleet',
    'Gateway',
    'Head',
    'NotConnected',
    'Pool',
    'RateLimit',
    'ReplyHeaders',
    'Server',
    'ShareView',
    'UpstreamStatus',
    'UsageView',
    'WireCodec',
    'read_response',
    'request_bytes',
]
