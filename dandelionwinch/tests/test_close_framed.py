"""Tests of responses that end with their connection, without a length."""

import pytest

from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import test_streams

HEAD = samples.response_head('{id}', more='X-Head: first\r\n')
HEADS = [HEAD, HEAD.replace(b'HTTP/1.1', b'HTTP/1.0')]
FIRST = gateway_harness.event(1)
REST = gateway_harness.event(2) + gateway_harness.event(3)
SECOND = [
    gateway_harness.STREAM_HEAD,
    gateway_harness.chunk(REST),
    gateway_harness.LAST_CHUNK,
]
LONG = b'b' * 300_000


def _exchange(path, script, second, prompt=None):
    """Sends a request, and another one on the same connection.

    Both upstreams share `script` for the first request and `second` for all
    others. Returns the two responses, and the number of requests sent for
    the first one; the second response is None after one that was cut.
    """
    shared = [script, second]

    async def scenario(harness):
        for upstream in harness.upstreams:
            upstream._scripts = shared
        harness.send(path, prompt=prompt)
        first = await harness.read_response()
        sent = len(harness.requests)
        if first[2].endswith(b'<cut>'):
            return first, None, sent
        harness.send(path, 'r2', prompt=prompt)
        return first, await harness.read_response(), sent

    return gateway_harness.run_scenario([[], []], scenario)


@pytest.mark.parametrize('head', HEADS, ids=['1.1', '1.0'])
@pytest.mark.parametrize('path', ['/safe/1', '/once/1', '/failover/1'])
@pytest.mark.parametrize('body', [b'', b'all', LONG])
def test_a_call_is_relayed_whole_and_with_its_length(head, path, body):
    script = [head + body[:2], body[2:], scripted.CLOSE]
    second = [gateway_harness.response()]
    (status, headers, got), after, sent = _exchange(path, script, second)
    assert (status, got, sent) == (200, body, 1)
    assert headers['content-length'] == str(len(body))
    assert after[2] == b'hello'


@pytest.mark.parametrize('head', HEADS, ids=['1.1', '1.0'])
@pytest.mark.parametrize('body', [b'', b'all', LONG])
@pytest.mark.parametrize(
    ('path', 'status', 'sent'), [('/safe/1', 200, 2), ('/once/1', 502, 1)]
)
def test_a_call_that_is_reset_is_not_complete(head, body, path, status, sent):
    script = [head + body, scripted.RESET]
    second = [gateway_harness.response()]
    first, after, count = _exchange(path, script, second)
    assert (first[0], count) == (status, sent)
    assert (first[2] == b'hello') == (status == 200)
    assert after[2] == b'hello'


def test_an_error_is_relayed_whole_too():
    head = samples.response_head('{id}', status='500 Oops')
    script = [head + b'why', scripted.CLOSE]
    first, _after, _sent = _exchange(
        '/once/1', script, [gateway_harness.response()]
    )
    assert (first[0], first[2]) == (500, b'why')


@pytest.mark.parametrize('head', HEADS, ids=['1.1', '1.0'])
@pytest.mark.parametrize('path', ['/stream/1', '/resume/1'])
def test_a_stream_is_relayed_whole_and_in_chunks(head, path):
    script = [head + FIRST + REST[:5], REST[5:], scripted.CLOSE]
    first, after, sent = _exchange(path, script, SECOND, (50, 50))
    assert (first[0], first[2], sent) == (200, FIRST + REST, 1)
    assert first[1]['transfer-encoding'] == 'chunked'
    assert after[2] == REST


@pytest.mark.parametrize('head', HEADS, ids=['1.1', '1.0'])
@pytest.mark.parametrize(
    'end',
    [
        [scripted.RESET],
        [b'id: 2\nda', scripted.RESET],
        [b'id: 2\nda', scripted.CLOSE],
        [b'id: 2\ndata: x\n', scripted.CLOSE],
    ],
    ids=['reset', 'reset in an event', 'end in an event', 'one line end'],
)
def test_a_stream_that_breaks_off_goes_on_or_is_cut(head, end):
    script = [head + FIRST, *end]
    cut, _after, _sent = _exchange('/stream/1', script, SECOND, (50, 50))
    assert (cut[0], cut[2]) == (200, FIRST + b'<cut>')
    whole, after, sent = _exchange('/resume/1', script, SECOND, (50, 50))
    assert (whole[0], whole[2], sent) == (200, FIRST + REST, 2)
    assert whole[1]['x-head'] == 'first'
    assert after[2] == REST


@pytest.mark.parametrize('head', HEADS, ids=['1.1', '1.0'])
@pytest.mark.parametrize(
    ('path', 'status', 'sent'),
    [('/safe/1', 200, 2), ('/once/1', 502, 1), ('/failover/1', 502, 1)],
)
def test_a_call_whose_upstream_is_killed_is_not_complete(
    head, path, status, sent
):
    """The system closes a killed process's connections in an orderly way."""
    script = [head + b'ha', scripted.EXIT]
    first, after, count = _exchange(path, script, [gateway_harness.response()])
    assert (first[0], count) == (status, sent)
    assert (first[2] == b'hello') == (status == 200)
    assert after[2] == b'hello'


@pytest.mark.parametrize('head', HEADS, ids=['1.1', '1.0'])
def test_a_stream_whose_engine_is_killed_between_events_is_not_complete(head):
    script = [head + FIRST, scripted.EXIT]
    cut, _after, _sent = _exchange('/stream/1', script, SECOND, (50, 50))
    assert (cut[0], cut[2]) == (200, FIRST + b'<cut>')
    whole, after, sent = _exchange('/resume/1', script, SECOND, (50, 50))
    assert (whole[0], whole[2], sent) == (200, FIRST + REST, 2)
    assert after[2] == REST


@pytest.mark.parametrize('head', HEADS, ids=['1.1', '1.0'])
@pytest.mark.parametrize(
    'end', [[scripted.RESET], [b'id: 1\nda', scripted.CLOSE]]
)
@pytest.mark.parametrize(
    ('path', 'status', 'sent'), [('/stream/1', 502, 1), ('/resume/1', 200, 2)]
)
def test_a_stream_that_breaks_off_before_its_first_event(
    head, end, path, status, sent
):
    first, _after, count = _exchange(path, [head, *end], SECOND, (50, 50))
    assert (first[0], count) == (status, sent)


@pytest.mark.parametrize('head', HEADS, ids=['1.1', '1.0'])
@pytest.mark.parametrize(
    ('end', 'taken'), [(scripted.CLOSE, True), (scripted.RESET, False)]
)
def test_a_prefilled_prompt(head, end, taken):
    """Its handle is used only if the response is complete."""
    prefill = [[head + samples.prefill_body('h1'), end]]
    statuses, (first, second) = test_streams.run_with_prefill_engine(
        [prefill, [test_streams.ONE_EVENT]]
    )
    assert first.requests
    assert statuses.count(200) >= len(second.requests) > 0
    sources = {
        req.headers.get('x-dandelionwinch-kv-source')
        for req in second.requests
    }
    assert (f'{first.address}/h1' in sources) == taken
