"""Responses with a length or chunks that end before they are complete.

Guards against a broken response that looks complete to its caller.
"""

import asyncio

import pytest

from dandelionwinch import gateway
from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import test_endless_bytes
from dandelionwinch.tests import virtual

BODIES = {
    'Content-Length: 6': b'secret',
    'Transfer-Encoding: chunked': b'3\r\nsec\r\n3\r\nret\r\n0\r\n\r\n',
}
EVENT = gateway_harness.event(1)
NOTHING_MORE = [gateway_harness.STREAM_HEAD, gateway_harness.LAST_CHUNK]


def _cuts():
    """Returns framings, and the bytes of their bodies up to each cut."""
    return [
        (framing, body[:size])
        for framing, body in BODIES.items()
        for size in range(len(body))
    ]


def _send(path, script, second, prompt=None):
    """Sends a request to two upstreams that share two scripts.

    Returns status, body and the number of requests sent.
    """
    shared = [script, second]

    async def scenario(harness):
        for upstream in harness.upstreams:
            upstream._scripts = shared
        harness.send(path, prompt=prompt)
        status, _headers, body = await harness.read_response()
        return status, body, len(harness.requests)

    return gateway_harness.run_scenario([[], []], scenario)


@pytest.mark.parametrize(('framing', 'part'), _cuts())
@pytest.mark.parametrize('more', ['', 'Connection: close\r\n'])
@pytest.mark.parametrize('end', [scripted.CLOSE, scripted.RESET])
def test_a_response_that_is_cut_is_not_relayed(framing, part, more, end):
    head = samples.response_head('{id}', framing, more=more)
    script = [head + part, end]
    good = [gateway_harness.response()]
    assert _send('/safe/1', script, good) == (200, b'hello', 2)
    status, body, sent = _send('/once/1', script, good)
    assert (status, sent) == (502, 1)
    assert b'sec' not in body


@pytest.mark.parametrize('framing', BODIES)
@pytest.mark.parametrize('more', ['', 'Connection: close\r\n'])
def test_a_whole_response_is_relayed_although_its_connection_ends(
    framing, more
):
    head = samples.response_head('{id}', framing, more=more)
    script = [head + BODIES[framing], scripted.CLOSE]
    good = [gateway_harness.response()]
    assert _send('/once/1', script, good) == (200, b'secret', 1)


@pytest.mark.parametrize('framing', BODIES)
def test_a_reset_behind_the_last_byte_loses_nothing(framing):
    """Both may be noticed before the response is read."""

    async def scenario():
        conn = test_endless_bytes._connect(asyncio.get_running_loop())
        conn.data_received(
            samples.response_head('r1', framing) + BODIES[framing]
        )
        conn.connection_lost(ConnectionResetError())
        _head, body = await gateway.read_response(conn, 1.0)
        return body, conn.finish()

    assert virtual.run(scenario()) == (b'secret', False)


@pytest.mark.parametrize('end', [scripted.CLOSE, scripted.RESET])
@pytest.mark.parametrize(
    ('path', 'body', 'sent'),
    [('/resume/1', EVENT, 2), ('/stream/1', EVENT + b'<cut>', 1)],
)
def test_a_stream_whose_last_event_comes_with_its_end(path, body, sent, end):
    """All events arrived, but not the end: only another engine can tell."""
    script = [gateway_harness.STREAM_HEAD, gateway_harness.chunk(EVENT), end]
    found = _send(path, script, NOTHING_MORE, (50, 50))
    assert found == (200, body, sent)
