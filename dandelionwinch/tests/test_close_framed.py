"""Tests of responses that end with their connection, without a length."""

import attrs
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


def _leave_service(harness, how):
    """Takes the upstreams that work out of service, as if they were to exit.

    Their work goes on, and another upstream is there for what is repeated.
    """
    registry = harness.gateway.fleet.registry
    now = harness.gateway.loop.time()
    for number, server in enumerate(harness.upstreams):
        if not server.requests:
            continue
        upstream = registry.get(f'u{number}')
        match how:
            case 'draining':
                registry.apply(attrs.evolve(upstream.entry, ready=False))
            case 'announced':
                upstream.leaving = True
            case 'told':
                upstream.told_leaving_until = now + 10.0
            case 'removed':
                registry.remove(f'u{number}', now)
            case 'restarted':
                entry = attrs.evolve(upstream.entry, started_at_ms=2)
                registry.apply(entry)
            case 'held off':
                upstream.held_off_until = now + 10.0
            case 'ejected':
                upstream.eject(now)


LEAVING = [
    'draining',
    'announced',
    'told',
    'removed',
    'restarted',
    'held off',
    'ejected',
]


def _end_after_leaving(path, begin, end, second, how, prompt=None):
    """Sends a request whose upstream leaves service before its answer ends.

    Returns status, headers and body of the response.
    """
    shared = [[*begin, scripted.HOLD, end], second]

    async def scenario(harness):
        for upstream in harness.upstreams:
            upstream._scripts = shared
        harness.send(path, prompt=prompt)
        await harness.log.wait_until(lambda: harness.requests)
        _leave_service(harness, how)
        for upstream in harness.upstreams:
            upstream.release.set()
        return await harness.read_response()

    return gateway_harness.run_scenario([[], []], scenario)


@pytest.mark.parametrize('how', LEAVING)
@pytest.mark.parametrize(
    ('path', 'status'), [('/safe/1', 200), ('/once/1', 502)]
)
def test_a_call_that_ends_with_an_upstream_that_leaves_is_not_complete(
    how, path, status
):
    """Review, case 1: one that has drained exits in the middle of a body."""
    got, _headers, body = _end_after_leaving(
        path, [HEAD + b'ha'], scripted.EXIT, [gateway_harness.response()], how
    )
    assert got == status
    assert (body == b'hello') == (status == 200)


@pytest.mark.parametrize('how', LEAVING)
@pytest.mark.parametrize(
    ('path', 'rest'), [('/resume/1', REST), ('/stream/1', b'<cut>')]
)
def test_a_stream_that_ends_with_an_engine_that_leaves_is_not_complete(
    how, path, rest
):
    """Review, case 1: its streams ended as complete, pieces were missing."""
    begin = [HEAD + FIRST]
    status, _headers, body = _end_after_leaving(
        path, begin, scripted.EXIT, SECOND, how, (50, 50)
    )
    assert (status, body) == (200, FIRST + rest)


@pytest.mark.parametrize('how', LEAVING)
def test_an_error_that_ends_with_an_upstream_that_leaves_is_not_relayed(how):
    head = samples.response_head('{id}', status='500 Oops')
    status, _headers, body = _end_after_leaving(
        '/once/1', [head + b'wh'], scripted.EXIT, SECOND, how
    )
    assert status == 502
    assert body != b'wh'


@pytest.mark.parametrize('how', sorted({*LEAVING} - {'restarted'}))
def test_an_upstream_that_leaves_ends_its_answers_as_complete(how):
    """It goes on to serve for a while, so what it ends is whole."""
    got = _end_after_leaving(
        '/once/1', [HEAD + b'ha'], scripted.CLOSE, SECOND, how
    )
    assert (got[0], got[2]) == (200, b'ha')
    got = _end_after_leaving(
        '/stream/1', [HEAD + FIRST], scripted.CLOSE, SECOND, how, (50, 50)
    )
    assert (got[0], got[2]) == (200, FIRST)


def test_an_answer_of_an_upstream_that_another_follows_is_not_complete():
    """The one that listens at the address now tells nothing of it."""
    got = _end_after_leaving(
        '/once/1', [HEAD + b'ha'], scripted.CLOSE, SECOND, 'restarted'
    )
    assert got[0] == 502


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
