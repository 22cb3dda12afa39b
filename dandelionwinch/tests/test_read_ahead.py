"""Responses whose reading pauses, as their caller reads slowly."""

import asyncio

import pytest

from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _read_ahead
from dandelionwinch.gateway import _upstream_bytes
from dandelionwinch.tests import test_endless_bytes
from dandelionwinch import upstreams

ENTRY = upstreams.Entry(
    'u', 's', '127.0.0.1:1', 'a', 0, True, upstreams.Role.PLAIN, 4
)

PART = b'p' * 50_000
PARTS = 7
CLOSE_FRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
FRAMED = CLOSE_FRAMED.replace(b'\r\n\r\n', b'\r\nContent-Length: %d\r\n\r\n')


class _Clock:
    """An event loop with a time of its own."""

    def __init__(self):
        self.now = 0.0

    def time(self):
        return self.now

    def create_future(self):
        return asyncio.get_running_loop().create_future()


def _paused_connection(head):
    """Returns a connection that has read as far ahead as it may."""
    loop = _Clock()
    conn = test_endless_bytes._connect(loop)
    conn.data_received(head)
    for _number in range(PARTS):
        conn.data_received(PART)
    assert conn._transport.paused
    return conn, loop


async def _read_all(conn):
    """Returns the bytes of the body; raises ConnectionLost as it does."""
    size = 0
    while True:
        item = await conn.next_item(1.0)
        if isinstance(item, _connection.End):
            return size
        size += item.size


def _read_after(head, paused_s):
    """Reads a response after a pause; its connection ends meanwhile."""

    async def scenario():
        conn, loop = _paused_connection(head)
        loop.now += paused_s
        await conn.next_item(1.0)
        received = 0
        while conn._transport.paused:
            received += (await conn.next_item(1.0)).size
        # The end is seen only once reading has resumed.
        conn.eof_received()
        return received + await _read_all(conn)

    return asyncio.run(scenario())


def test_an_unframed_response_that_stood_still_does_not_look_complete():
    """Incident: the upstream gave up a stream that its caller read slowly.

    The connection ends as it does after a whole response.
    """
    with pytest.raises(_connection.ConnectionLost) as info:
        _read_after(CLOSE_FRAMED, _read_ahead.UNREAD_CUT_S)
    assert info.value.cause is _connection.LossCause.CLOSED


def test_an_unframed_response_that_was_read_on_is_complete():
    paused_s = _read_ahead.UNREAD_CUT_S / 2
    assert _read_after(CLOSE_FRAMED, paused_s) == PARTS * len(PART)


@pytest.mark.parametrize('missing', [0, 1])
def test_the_length_tells_whether_a_response_is_complete(missing):
    size = PARTS * len(PART)
    head = FRAMED % (size + missing)
    if not missing:
        assert _read_after(head, 60.0) == size
        return
    with pytest.raises(_connection.ConnectionLost):
        _read_after(head, 60.0)


@pytest.mark.parametrize('limited', [False, True])
def test_a_slow_reader_lets_its_upstream_go_on_in_small_steps(limited):
    """An upstream that sees no progress for seconds cuts the response."""

    async def scenario():
        conn, _loop = _paused_connection(CLOSE_FRAMED)
        if limited:
            guard = _upstream_bytes.UpstreamBytes(_Clock(), ENTRY, None)
            guard.bind(guard._bodies.admit(0, 0)[0], conn)
        consumed = 0
        while conn._transport.paused:
            consumed += (await conn.next_item(1.0)).size
        return consumed

    over = PARTS * len(PART) - _connection.MAX_READ_AHEAD_BYTES
    consumed = asyncio.run(scenario())
    step = _upstream_bytes.READ_STEP_BYTES
    if not limited:
        step = _connection.MAX_READ_AHEAD_BYTES // 2
    assert over + step <= consumed <= over + step + 2 * len(PART)
