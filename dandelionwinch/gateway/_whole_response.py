"""Reads the whole response to a call that is not relayed."""

import asyncio

from dandelionwinch.gateway import _answer_bytes
from dandelionwinch.gateway import _connection

# Maximum size of a body that `read_response` returns by default. What an
# upstream says of itself is far smaller.
MAX_CALL_BODY_BYTES = 1 << 20


async def read_response(
    conn, timeout_s, held=None, max_bytes=MAX_CALL_BODY_BYTES
):
    """Returns head and body of the next response on a connection.

    Args:
        conn: The Connection.
        timeout_s: Time for the whole response in seconds.
        held: AnswerBytes that the body counts against, None for none.
        max_bytes: Maximum size of the body.

    Raises:
        ConnectionLost: If the connection failed, the response was not
            complete within `timeout_s`, or its body is too large.
    """
    part = None if held is None else held.open()
    try:
        return await _read(conn, timeout_s, part, max_bytes)
    except _answer_bytes.TooManyBytes as exc:
        raise _too_large() from exc
    finally:
        if part is not None:
            part.close()


async def _read(conn, timeout_s, part, max_bytes):
    deadline = asyncio.get_running_loop().time() + timeout_s
    body = bytearray()
    head = await conn.next_item(timeout_s)
    while True:
        left_s = deadline - asyncio.get_running_loop().time()
        item = await conn.next_item(left_s)
        if isinstance(item, _connection.End):
            return head, bytes(body)
        body += item.data
        if len(body) > max_bytes:
            raise _too_large()
        if part is not None:
            part.resize(len(body))


def _too_large():
    return _connection.ConnectionLost(
        _connection.LossCause.PROTOCOL_ERROR, 'the body is too large'
    )
