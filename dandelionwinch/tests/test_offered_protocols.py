"""Requests that offer another protocol, which a server may ignore.

Each guards against a body that is dropped, or one that is taken for a
request.
"""

import pytest

from dandelionwinch.gateway import _codec
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness

OFFER = (
    b'Connection: Upgrade, HTTP2-Settings\r\n'
    b'Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n'
)
START = b'POST /once/1 HTTP/1.1\r\nHost: desk\r\n'
LENGTH = b'Content-Length: 5\r\n\r\nhello'
CHUNKS = b'Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n'
NO_BODY = b'\r\n'
PLAIN = b'GET /safe/2 HTTP/1.1\r\nHost: desk\r\n\r\n'
LIMIT = 4096


class _Sink:
    """Records what a parser passes on; a body as its bytes."""

    def __init__(self):
        self.parts = []
        self._body = b''

    def on_head(self, head):
        """Records target and framing of a head."""
        self.parts.append((head.method, head.target, head.framed))

    def on_body(self, data):
        """Adds to the body."""
        self._body += data

    def on_end(self):
        """Records the body."""
        self.parts.append(self._body)
        self._body = b''


def _parse(data, size):
    """Returns what a parser passes on of bytes that come in pieces."""
    sink = _Sink()
    parser = _codec.RequestParser(sink, LIMIT)
    for start in range(0, len(data), size):
        parser.feed(data[start : start + size])
    assert not parser.in_message
    return sink.parts


@pytest.mark.parametrize('size', [1, 2, 3, 7, 50, 51, 52, LIMIT])
@pytest.mark.parametrize('body', [LENGTH, CHUNKS, NO_BODY])
@pytest.mark.parametrize('after', [b'', PLAIN, START + OFFER + LENGTH])
def test_an_offer_changes_nothing_of_a_request(size, body, after):
    """Review, case 3: the body was dropped and parsed as a request."""
    offered = _parse(START + OFFER + body + after, size)
    assert offered == _parse(START + body + after.replace(OFFER, b''), size)


@pytest.mark.parametrize('size', [1, LIMIT])
@pytest.mark.parametrize(
    'data',
    [
        b'CONNECT desk:1 HTTP/1.1\r\nHost: desk\r\n\r\n',
        START + OFFER + LENGTH.replace(b'5', b'5, 6'),
        START + OFFER + b'Content-Length: 5\r\n' + CHUNKS,
    ],
    ids=['tunnel', 'two lengths', 'length and chunks'],
)
def test_what_may_hide_a_request_is_refused_beside_an_offer(data, size):
    with pytest.raises(_codec.BadMessage):
        _parse(data + PLAIN, size)


@pytest.mark.parametrize('body', [LENGTH, CHUNKS], ids=['length', 'chunks'])
def test_an_upstream_gets_the_body_of_a_request_with_an_offer(body):
    """A charge ran with an empty body, and the next request got a 400."""

    async def scenario(harness):
        head = START + b'X-Dandelionwinch-Request-Id: r1\r\n' + OFFER
        harness.writer.write(head + body)
        status, _headers, _got = await harness.read_response()
        harness.send('/once/1', 'r2')
        after, _headers, _got = await harness.read_response()
        first, second = harness.requests
        return status, after, first, second.body

    script = [gateway_harness.response()]
    status, after, first, second = gateway_harness.run_scenario(
        [[script, script, [scripted.HANG]]], scenario
    )
    assert (status, after, second) == (200, 200, b'{}')
    assert first.body == b'hello'
    assert not {'upgrade', 'http2-settings'} & first.headers.keys()
