"""When the wait for a response ends as silence of the peer."""

import asyncio
import socket

import pytest
import uvloop

from dandelionwinch.gateway import _connection
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch.tests import test_endless_bytes
from dandelionwinch.tests import virtual


def test_bytes_that_wait_to_be_read_are_no_silence():
    """Timers run before sockets are read.

    After a stall of the own process, upstreams whose bytes had arrived were
    left as silent, and healthy streams with them.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        with theirs:
            _transport, conn = await loop.create_connection(
                lambda: _connection.Connection(loop), sock=ours
            )
            conn.send(b'')
            task = loop.create_task(conn.next_item(recorder.TIMEOUT_S))
            while conn._waiter is None:
                await asyncio.sleep(0)
            theirs.send(gateway_harness.response(b'in time'))
            # The timer runs before the loop looks at the socket again.
            conn._expire(conn._waiter)
            head = await task
            conn.abort()
        return head.status

    assert uvloop.run(scenario()) == 200


def test_silence_ends_a_wait():
    async def scenario():
        conn = test_endless_bytes._connect(asyncio.get_running_loop())
        with pytest.raises(_connection.ConnectionLost) as lost:
            await conn.next_item(3.0)
        return lost.value.cause, asyncio.get_running_loop().time()

    cause, waited_s = virtual.run(scenario())
    assert cause is _connection.LossCause.TIMEOUT
    assert waited_s == pytest.approx(3.0)
