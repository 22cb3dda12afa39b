"""Reads the whole response to a call that is not relayed."""

import asyncio

from dandelionwinch.gateway import _connection

# Maximum size of a body that `read_response` returns; a page of the store
# has about 1 MB.
MAX_CALL_BODY_BYTES = 1 << 24


async def read_response(conn, timeout_s):
    """Returns head and body of the next response on a connection.

    Raises:
        ConnectionLost: If the connection failed, the response was not
            complete within `timeout_s`, or its body is too large.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    body = bytearray()
    head = await conn.next_item(timeout_s)
    while True:
        left_s = deadline - asyncio.get_running_loop().time()
        item = await conn.next_item(left_s)
        if isinstance(item, _connection.End):
            return head, bytes(body)
        body += item.data
        if len(body) > MAX_CALL_BODY_BYTES:
            raise _connection.ConnectionLost(
                _connection.LossCause.PROTOCOL_ERROR, 'the body is too large'
            )
