"""A caller's request as it arrives, and why it is refused before its end."""

import attrs

from dandelionwinch.gateway import _codec


class TooManyRequests(_codec.BadMessage):
    """A request is refused, as too many wait before it."""

    code = 'too_many_requests'
    status = 503


class TooManyBytes(_codec.BadMessage):
    """A request is refused, as the instance holds too many bytes."""

    code = 'too_many_bytes'
    status = 503


@attrs.define
class IncomingRequest:
    """A caller's request as received, before a WireCodec parses it.

    Attributes:
        received_at: Loop time at which its first bytes arrived.
    """

    head: _codec.Head
    body: bytearray
    received_at: float


def check_head(head, limits):
    """Checks the head of a request.

    Args:
        head: The Head.
        limits: routes.Limits.

    Raises:
        BadMessage: If it names no host, or a body that is too large.
    """
    length = head.header('content-length')
    if length.isdecimal() and int(length) > limits.max_body_bytes:
        raise _codec.BodyTooLarge(
            f'the body is over {limits.max_body_bytes} bytes'
        )
    if sum(1 for name, _value in head.headers if name == 'host') != 1:
        raise _codec.BadMessage('not one header "Host"')
