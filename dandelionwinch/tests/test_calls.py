"""Tests of plain calls and connections against scripted upstreams."""

import asyncio

import attrs
import pytest

from dandelionwinch import attempts
from dandelionwinch.gateway import _next_attempt
from dandelionwinch.gateway import _pool
from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder

WITHOUT_ID = samples.response_head('', 'Content-Length: 0')


def test_request_and_answer_are_handed_on_unchanged():
    (status, headers, body), seen = gateway_harness.send_one(
        [[[gateway_harness.response(b'bytes', more='X-Own: 1\r\n')]]],
        '/safe/1?q=%20',
    )
    assert (status, body, headers['x-own']) == (200, b'bytes', '1')
    assert headers['x-dandelionwinch-response-signature'] == 'sig'
    assert (seen[0].method, seen[0].target) == ('POST', '/safe/1?q=%20')
    assert seen[0].body == b'{}'
    assert seen[0].headers['x-dandelionwinch-target-instance'] == 'u0'
    assert 0 < int(seen[0].headers['x-dandelionwinch-request-timeout-ms'])


def test_callers_cannot_set_headers_of_the_system():
    async def scenario(harness):
        forged = [
            ('X-Dandelionwinch-Kv-Source', '10.0.0.1:1/x'),
            ('X-Dandelionwinch-Kv-Hold', 'h'),
            ('X-Dandelionwinch-Kv-Backup', '10.0.0.1:1'),
            ('X-Dandelionwinch-Pin-Ms', '1'),
            ('X-Dandelionwinch-Stage', 'prefill'),
            ('X-Dandelionwinch-Target-Instance', 'other'),
            ('Kv-Fetch', '10.0.0.1:1'),
            ('Connection', 'X-Hop'),
            ('X-Hop', '1'),
        ]
        harness.send('/once/1', headers=forged)
        await harness.read_response()
        return harness.requests[0].headers

    headers = gateway_harness.run_scenario(
        [[[gateway_harness.response()]]], scenario
    )
    for name in ('kv-source', 'kv-hold', 'kv-backup', 'pin-ms', 'stage'):
        assert f'x-dandelionwinch-{name}' not in headers
    assert 'kv-fetch' not in headers
    assert 'x-hop' not in headers
    assert headers['x-dandelionwinch-target-instance'] == 'u0'


@pytest.mark.parametrize(
    ('path', 'faulty', 'status', 'sends'),
    [
        ('/safe/1', [scripted.RESET], 200, 2),
        ('/safe/1', [scripted.CLOSE], 200, 2),
        ('/safe/1', [b'not http at all\r\n\r\n'], 200, 2),
        (
            '/safe/1',
            [gateway_harness.response(b'abc')[:-1], scripted.CLOSE],
            200,
            2,
        ),
        ('/safe/1', [gateway_harness.response(status='500 Oops')], 200, 2),
        ('/safe/1', [samples.refusal()], 200, 2),
        ('/once/1', [scripted.RESET], 502, 1),
        ('/once/1', [scripted.CLOSE], 502, 1),
        ('/once/1', [b'not http at all\r\n\r\n'], 502, 1),
        (
            '/once/1',
            [gateway_harness.response(b'abc')[:-1], scripted.CLOSE],
            502,
            1,
        ),
        ('/once/1', [gateway_harness.response(status='500 Oops')], 500, 1),
        ('/once/1', [samples.refusal()], 503, 1),
        ('/once/1', [samples.refusal('421 Misdirected')], 503, 1),
        ('/failover/1', [samples.refusal()], 200, 2),
        ('/failover/1', [scripted.RESET], 502, 1),
        ('/failover/1', [WITHOUT_ID], 502, 1),
    ],
)
def test_faults_of_an_upstream(path, faulty, status, sends):
    (got, headers, _body), seen = _with_good_second(path, faulty)
    assert (got, seen) == (status, sends)
    if status == 503:
        assert float(headers['retry-after']) > 0


def _with_good_second(path, faulty):
    """Makes both upstreams share a script whose second response is good."""
    shared = [faulty, [gateway_harness.response()]]

    async def scenario(harness):
        for upstream in harness.upstreams:
            upstream._scripts = shared
        harness.send(path)
        response = await harness.read_response()
        return response, len(harness.requests)

    return gateway_harness.run_scenario([[], []], scenario)


def test_an_answer_to_another_request_is_skipped():
    late = gateway_harness.response(b'not yours', request_id='old')
    (status, _headers, body), _seen = gateway_harness.send_one(
        [[[late + gateway_harness.response()]]], '/once/1'
    )
    assert (status, body) == (200, b'hello')


def test_a_refusal_of_another_request_is_not_taken_for_ours():
    late = samples.refusal(more=f'{samples.REQUEST_ID}: old\r\n')
    (status, _headers, body), _seen = gateway_harness.send_one(
        [[[late + gateway_harness.response()]]], '/once/1'
    )
    assert (status, body) == (200, b'hello')


def test_bytes_after_an_answer_reach_no_other_request():
    async def scenario(harness):
        found = []
        for number in range(3):
            harness.send('/once/1', f'r{number}')
            found.append(await harness.read_response())
        return found, harness.upstreams[0].closed_connections

    extra = gateway_harness.response() + gateway_harness.response(b'extra')
    found, closed = gateway_harness.run_scenario([[[extra]]], scenario)
    assert [body for _s, _h, body in found] == [b'hello'] * 3
    assert closed >= 2


@pytest.mark.parametrize('kept', [0, 1, 40])
@pytest.mark.parametrize(
    'copy',
    [
        gateway_harness.response(b'late copy', request_id='r0'),
        samples.refusal(more=f'{samples.REQUEST_ID}: r0\r\n'),
    ],
    ids=['answer', 'refusal'],
)
def test_a_late_second_copy_of_an_answer_reaches_no_other_request(kept, copy):
    """The copy may begin in time and go on when the connection is reused.

    Args:
        kept: Bytes of the copy that come with the first answer.
        copy: The second copy.
    """
    first = [gateway_harness.response(b'first') + copy[:kept]]
    rest = copy[kept:]
    second = [rest, scripted.HOLD, gateway_harness.response(b'second')]

    async def scenario(harness):
        harness.send('/once/1', 'r0')
        found = [await harness.read_response()]
        harness.send('/once/1', 'r1')
        await harness.log.wait_until(lambda: len(harness.requests) == 2)
        harness.upstreams[0].release.set()
        found.append(await harness.read_response())
        return found

    found = gateway_harness.run_scenario([[first, second]], scenario)
    assert [(status, body) for status, _h, body in found] == [
        (200, b'first'),
        (200, b'second'),
    ]


def test_a_late_refusal_without_an_id_ends_with_its_connection():
    """It can't be told whose it is, so a refused connection is not reused.

    A second copy taken for the refusal of the next request would have that
    one sent again, and executed twice.
    """
    refusal = samples.refusal()
    scripts = [[refusal + refusal[:30]], [gateway_harness.response()]]

    async def scenario(harness):
        statuses = []
        for number in range(2):
            harness.send('/once/1', f'r{number}')
            statuses.append((await harness.read_response())[0])
        return statuses, harness.upstreams[0].closed_connections

    statuses, closed = gateway_harness.run_scenario([scripts], scenario)
    assert statuses == [503, 200]
    assert closed >= 1


def test_a_body_without_length_is_whole_when_its_connection_ends():
    head = samples.response_head('{id}')
    response, _seen = gateway_harness.send_one(
        [[[head + b'all', scripted.CLOSE]]], '/once/1'
    )
    assert (response[0], response[2]) == (200, b'all')
    response, _seen = gateway_harness.send_one(
        [[[head + b'all', scripted.RESET]]], '/once/1'
    )
    assert response[0] == 502


def test_an_unsigned_success_is_no_answer():
    unsigned = samples.response_head('{id}', 'Content-Length: 0', signed=False)
    response, _seen = gateway_harness.send_one([[[unsigned]]], '/once/1')
    assert response[0] == 502


def test_no_connection_means_not_run():
    async def scenario(harness):
        await harness.upstreams[0].close()
        harness.send('/once/1')
        return await harness.read_response()

    status, headers, _body = gateway_harness.run_scenario(
        [[[gateway_harness.response()]]], scenario
    )
    assert status == 503
    assert 'retry-after' in headers


def test_the_routes_timeout_gives_the_final_answer():
    response, seen = gateway_harness.send_one([[[scripted.HANG]]], '/short/1')
    assert response[0] == 504
    assert int(seen[0].headers['x-dandelionwinch-request-timeout-ms']) <= 300


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (b'GET /none/ HTTP/1.1\r\nHost: desk\r\n\r\n', 404),
        (b'GET /safe/ HTTP/1.1\r\nHost: desk\r\n\r\n', 400),
        (b'GET /safe/ HTTP/1.1\r\nX-A: 1\r\n\r\n', 400),
        (b'GET /safe/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', 400),
        (b'nonsense\r\n\r\n', 400),
        (
            b'POST /safe/ HTTP/1.1\r\nHost: desk\r\nContent-Length: 5\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            400,
        ),
        (
            b'POST /safe/ HTTP/1.1\r\nHost: desk\r\n'
            b'Content-Length: 99999999\r\n\r\n',
            413,
        ),
        (
            b'GET /safe/ HTTP/1.1\r\nHost: desk\r\nX-A: '
            + b'a' * 20000
            + b'\r\n\r\n',
            431,
        ),
    ],
)
def test_refusals_of_our_own(raw, status):
    async def scenario(harness):
        harness.writer.write(raw)
        return await harness.read_response(), harness.requests

    response, seen = gateway_harness.run_scenario(
        [[[gateway_harness.response()]]], scenario
    )
    assert (response[0], seen) == (status, [])


def test_without_routes_the_answer_is_not_run():
    async def scenario(harness):
        harness.gateway.fleet.table = None
        harness.send('/safe/1')
        return await harness.read_response()

    assert (
        gateway_harness.run_scenario(
            [[[gateway_harness.response()]]], scenario
        )[0]
        == 503
    )


def test_chunked_bodies_and_pipelined_requests_are_served_in_order():
    async def scenario(harness):
        head = b'POST /once/%d HTTP/1.1\r\nHost: desk\r\n'
        head += b'X-Dandelionwinch-Request-Id: r%d\r\n'
        head += b'Transfer-Encoding: chunked\r\n\r\n'
        for number in (1, 2):
            harness.writer.write(head % (number, number))
            harness.writer.write(
                gateway_harness.chunk(b'ab')
                + gateway_harness.chunk(b'c')
                + gateway_harness.LAST_CHUNK
            )
        responses = [
            await harness.read_response(),
            await harness.read_response(),
        ]
        return responses, harness.requests

    responses, seen = gateway_harness.run_scenario(
        [[[gateway_harness.response()]]], scenario
    )
    assert [status for status, _h, _b in responses] == [200, 200]
    assert [(s.target, s.body) for s in seen] == [
        ('/once/1', b'abc'),
        ('/once/2', b'abc'),
    ]


@pytest.mark.parametrize('count', [0, 1, 2, 3])
def test_a_bad_request_is_refused_after_those_before_it(count):
    """Requests that were complete before it are served, then it closes."""

    async def scenario(harness):
        for number in range(count):
            harness.send('/once/1', f'r{number}')
        harness.writer.write(b'no request at all\r\n\r\n')
        statuses = [
            (await harness.read_response())[0] for _n in range(count + 1)
        ]
        async with asyncio.timeout(recorder.TIMEOUT_S):
            rest = await harness.reader.read()
        return statuses, rest, len(harness.requests)

    good = [gateway_harness.response()]
    statuses, rest, sent = gateway_harness.run_scenario([[good] * 3], scenario)
    assert statuses == [200] * count + [400]
    assert (rest, sent) == (b'', count)


def test_work_ends_when_the_caller_leaves():
    async def scenario(harness):
        harness.send('/once/1')
        await harness.log.wait_until(lambda: harness.requests)
        harness.writer.close()
        await harness.log.wait_until(
            lambda: harness.upstreams[0].closed_connections
        )
        await harness.log.wait_until(lambda: not harness.gateway.active)
        return True

    assert gateway_harness.run_scenario([[[scripted.HANG]]], scenario)


@pytest.mark.parametrize(
    ('path', 'statuses', 'sends'),
    [('/safe/1', [200, 200], 3), ('/once/1', [200, 502], 2)],
)
def test_a_kept_connection_that_was_dropped_without_notice(
    path, statuses, sends
):
    """Guards against retrying a reset request that may have been executed.

    The upstream resets a kept-alive connection as the next request
    arrives on it. Only an idempotent request may be sent again.
    """
    script = [
        [gateway_harness.response()],
        [scripted.RESET],
        [gateway_harness.response()],
    ]

    async def scenario(harness):
        registry = harness.gateway.fleet.registry
        farther = attrs.evolve(registry.get('u1').entry, data_centre='far')
        registry.apply(farther)
        got = []
        for number in (1, 2):
            harness.send(path, f'r{number}')
            got.append((await harness.read_response())[0])
        return got, len(harness.requests)

    shared = [script, [[gateway_harness.response()]]]
    assert gateway_harness.run_scenario(shared, scenario) == (statuses, sends)


@pytest.mark.parametrize(('upstreams', 'slack'), [(1, 50.0), (2, 0.0)])
def test_a_silent_upstream_is_awaited_if_no_other_may_follow(
    monkeypatch, upstreams, slack
):
    """Neither another upstream nor a retry of the budget is left."""
    monkeypatch.setattr(_next_attempt, 'MIN_READ_TIMEOUT_S', 0.01)
    monkeypatch.setattr(_next_attempt, 'READ_TIMEOUT_FACTOR', 0.0)

    async def scenario(harness):
        harness.gateway.budget = attempts.SharedRetryBudget(0.0, slack, 10.0)
        harness.send('/safe/1')
        noticed = {'attempt.failed', 'attempt.waits'}
        await harness.log.wait_until(
            lambda: noticed & set(harness.log.names())
        )
        for upstream in harness.upstreams:
            upstream.release.set()
        return await harness.read_response(), len(harness.requests)

    script = [[scripted.HOLD, gateway_harness.response()]]
    (status, _headers, body), sent = gateway_harness.run_scenario(
        [script] * upstreams, scenario
    )
    assert (status, body, sent) == (200, b'hello', 1)


@pytest.mark.parametrize('path', ['/safe/1', '/resume/1'])
def test_a_silent_upstream_is_left_only_for_one_that_is_reached(
    monkeypatch, path
):
    monkeypatch.setattr(_next_attempt, 'MIN_READ_TIMEOUT_S', 0.01)
    monkeypatch.setattr(_next_attempt, 'READ_TIMEOUT_FACTOR', 0.0)

    async def scenario(harness):
        registry = harness.gateway.fleet.registry
        entry = registry.get('u1').entry
        registry.apply(attrs.evolve(entry, ready=False))
        await harness.upstreams[1].close()
        harness.send(path, prompt=(50, 50) if path == '/resume/1' else None)
        await harness.log.wait_until(lambda: harness.requests)
        registry.apply(entry)
        noticed = {'attempt.failed', 'attempt.not_prepared'}
        await harness.log.wait_until(
            lambda: noticed & set(harness.log.names())
        )
        harness.upstreams[0].release.set()
        return await harness.read_response()

    script = [scripted.HOLD, gateway_harness.response()]
    expected = b'hello'
    if path == '/resume/1':
        expected = gateway_harness.event(1)
        chunk = gateway_harness.chunk(expected)
        script = [
            gateway_harness.STREAM_HEAD,
            scripted.HOLD,
            chunk,
            gateway_harness.LAST_CHUNK,
        ]
    status, _headers, body = gateway_harness.run_scenario(
        [[script], []], scenario
    )
    assert (status, body) == (200, expected)


@pytest.mark.parametrize(
    'name',
    ['Last-Event-Id', 'X-Dandelionwinch-Token-Usage'],
)
def test_a_header_with_another_kind_of_digit_is_ignored(name):
    """A superscript is a digit, but no number."""

    async def scenario(harness):
        value = b'\xb2,\xb2' if 'Usage' in name else b'\xb2'
        head, end = samples.request('/safe/1', 'r1').split(b'Content-Length')
        line = name.encode() + b': ' + value + b'\r\n'
        harness.writer.write(head + line + b'Content-Length' + end)
        return await harness.read_response()

    script = [[gateway_harness.response()]]
    status, _headers, _body = gateway_harness.run_scenario([script], scenario)
    assert status == 200


def test_an_internal_error_is_answered():
    """The connection was closed without a word."""

    async def scenario(harness):
        harness.gateway.budget = None
        harness.send('/safe/1')
        return await harness.read_response()

    script = [[gateway_harness.response()]]
    status, _headers, _body = gateway_harness.run_scenario([script], scenario)
    assert status == 502


def test_silence_counts_against_an_upstream_that_is_awaited(monkeypatch):
    """One that hangs for good is ejected, though its callers wait."""
    monkeypatch.setattr(_next_attempt, 'MIN_READ_TIMEOUT_S', 0.01)
    monkeypatch.setattr(_next_attempt, 'READ_TIMEOUT_FACTOR', 0.0)

    async def scenario(harness):
        harness.send('/safe/1')
        await harness.log.wait_until(
            lambda: 'attempt.waits' in harness.log.names()
        )
        before = harness.gateway.fleet.registry.get('u0').failure_rate
        harness.upstreams[0].release.set()
        await harness.read_response()
        return before

    script = [scripted.HOLD, gateway_harness.response()]
    assert gateway_harness.run_scenario([[script]], scenario) > 0


def test_a_drain_answers_what_was_read_and_then_closes():
    async def scenario(harness):
        harness.send('/once/1')
        await harness.log.wait_until(lambda: harness.requests)
        harness.server.drain()
        harness.upstreams[0].release.set()
        response = await harness.read_response()
        end = await harness.reader.read()
        return response, end

    script = [[scripted.HOLD, gateway_harness.response()]]
    (status, headers, body), end = gateway_harness.run_scenario(
        [script], scenario
    )
    assert (status, body, end) == (200, b'hello', b'')
    assert headers['connection'] == 'close'


def test_a_call_whose_connection_opens_too_late_is_not_run(monkeypatch):
    """Nothing was sent, so the caller may send the call again."""
    monkeypatch.setattr(_pool, 'CONNECT_TIMEOUT_S', 0.0)
    response, requests = gateway_harness.send_one(
        [[[gateway_harness.response()]]], '/once/1'
    )
    assert (response[0], requests) == (503, [])
    assert 'retry-after' in response[1]


@pytest.mark.parametrize(('others', 'status'), [(1, 200), (0, 504)])
def test_a_stalled_call_that_sends_bytes_goes_elsewhere(
    monkeypatch, others, status
):
    """Each byte restarted the read timeout, so it lasted to its deadline.

    Where no other upstream can take it, it is still awaited.
    """
    monkeypatch.setattr(_next_attempt, 'MIN_READ_TIMEOUT_S', 0.05)
    monkeypatch.setattr(_next_attempt, 'READ_TIMEOUT_FACTOR', 0.0)
    stalled = [gateway_harness.STREAM_HEAD, scripted.TRICKLE]
    shared = [stalled, [gateway_harness.response(b'second')]]

    async def scenario(harness):
        for upstream in harness.upstreams:
            upstream._scripts = shared
        harness.send('/safe/1', timeout_ms=5000 if others else 300)
        response = await harness.read_response()
        return response[0], len(harness.requests)

    got = gateway_harness.run_scenario([[]] * (1 + others), scenario)
    assert got == (status, 1 + others)


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('x-dandelionwinch-request-timeout-ms', 400 * '9'),
        ('x-dandelionwinch-request-timeout-ms', 5000 * '9'),
        ('last-event-id', 5000 * '9'),
        ('x-dandelionwinch-token-usage', 400 * '9' + ',1'),
    ],
)
def test_numbers_of_any_size_in_headers_are_no_fault(name, value):
    """They were answered with 502, as if the request might have run."""

    async def scenario(harness):
        timeout_ms = value if name.endswith('ms') else 3000
        more = [] if name.endswith('ms') else [(name, value)]
        harness.send('/safe/1', headers=more, timeout_ms=timeout_ms)
        harness.send('/resume/1', headers=more, timeout_ms=timeout_ms)
        first = await harness.read_response()
        second = await harness.read_response()
        return first[0], second[0], harness.log.names()

    script = [gateway_harness.response()]
    status, other, names = gateway_harness.run_scenario(
        [[script, script]], scenario
    )
    assert (status, other) == (200, 200)
    assert 'gateway.fault' not in names
