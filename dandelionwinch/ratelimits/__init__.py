"""Decides how instances share the limits of upstreams."""

from dandelionwinch.ratelimits._allowance import Allowance
from dandelionwinch.ratelimits._bytes_allowance import BytesAllowance
from dandelionwinch.ratelimits._bytes_allowance import even_part
from dandelionwinch.ratelimits._bytes_granter import BytesGranter
from dandelionwinch.ratelimits._bytes_granter import BytesRequest
from dandelionwinch.ratelimits._bytes_granter import warm_up_s
from dandelionwinch.ratelimits._granter import Grant
from dandelionwinch.ratelimits._granter import Granter
from dandelionwinch.ratelimits._granter import Request
from dandelionwinch.ratelimits._returns import ReturnSchedule
from dandelionwinch.ratelimits._statement import Statement

__all__ = [
    'Allowance',
    'BytesAllowance',
    'BytesGranter',
    'BytesRequest',
    'Grant',
    'Granter',
    'Request',
    'ReturnSchedule',
    'Statement',
    'even_part',
    'warm_up_s',
]
