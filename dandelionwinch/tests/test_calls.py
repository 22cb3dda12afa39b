"""Plain calls and connections, against scripted upstreams."""

import attrs
import pytest

from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch.tests import house as house_module

UNNAMED = samples.response_head('', 'Content-Length: 0')


def test_request_and_answer_are_handed_on_unchanged():
    (status, headers, body), seen = house_module.ask(
        [[[house_module.whole(b'bytes', more='X-Own: 1\r\n')]]],
        '/safe/1?q=%20',
    )
    assert (status, body, headers['x-own']) == (200, b'bytes', '1')
    assert headers['x-dandelionwinch-response-signature'] == 'sig'
    assert (seen[0].method, seen[0].target) == ('POST', '/safe/1?q=%20')
    assert seen[0].body == b'{}'
    assert seen[0].headers['x-dandelionwinch-target-instance'] == 'u0'
    assert 0 < int(seen[0].headers['x-dandelionwinch-request-timeout-ms'])


def test_callers_cannot_say_what_only_the_system_says():
    async def scenario(house):
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
        house.send('/once/1', headers=forged)
        await house.answer()
        return house.seen[0].headers

    headers = house_module.play([[[house_module.whole()]]], scenario)
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
        ('/safe/1', [house_module.whole(b'abc')[:-1], scripted.CLOSE], 200, 2),
        ('/safe/1', [house_module.whole(status='500 Oops')], 200, 2),
        ('/safe/1', [samples.refusal()], 200, 2),
        ('/once/1', [scripted.RESET], 502, 1),
        ('/once/1', [scripted.CLOSE], 502, 1),
        ('/once/1', [b'not http at all\r\n\r\n'], 502, 1),
        ('/once/1', [house_module.whole(b'abc')[:-1], scripted.CLOSE], 502, 1),
        ('/once/1', [house_module.whole(status='500 Oops')], 500, 1),
        ('/once/1', [samples.refusal()], 503, 1),
        ('/once/1', [samples.refusal('421 Misdirected')], 503, 1),
        ('/twice/1', [samples.refusal()], 200, 2),
        ('/twice/1', [scripted.RESET], 502, 1),
        ('/twice/1', [UNNAMED], 502, 1),
    ],
)
def test_faults_of_an_upstream(path, faulty, status, sends):
    (got, headers, _body), seen = _with_good_second(path, faulty)
    assert (got, seen) == (status, sends)
    if status == 503:
        assert float(headers['retry-after']) > 0


def _with_good_second(path, faulty):
    """Lets both upstreams share a script whose second answer is good."""
    shared = [faulty, [house_module.whole()]]

    async def scenario(house):
        for upstream in house.upstreams:
            upstream._scripts = shared
        house.send(path)
        answer = await house.answer()
        return answer, len(house.seen)

    return house_module.play([[], []], scenario)


def test_an_answer_to_another_request_is_skipped():
    late = house_module.whole(b'not yours', request_id='old')
    (status, _headers, body), _seen = house_module.ask(
        [[[late + house_module.whole()]]], '/once/1'
    )
    assert (status, body) == (200, b'hello')


def test_a_refusal_of_another_request_is_not_taken_for_ours():
    late = samples.refusal(more=f'{samples.REQUEST_ID}: old\r\n')
    (status, _headers, body), _seen = house_module.ask(
        [[[late + house_module.whole()]]], '/once/1'
    )
    assert (status, body) == (200, b'hello')


def test_bytes_after_an_answer_reach_no_other_request():
    async def scenario(house):
        found = []
        for number in range(3):
            house.send('/once/1', f'r{number}')
            found.append(await house.answer())
        return found, house.upstreams[0].closed

    extra = house_module.whole() + house_module.whole(b'extra')
    found, closed = house_module.play([[[extra]]], scenario)
    assert [body for _s, _h, body in found] == [b'hello'] * 3
    assert closed >= 2


def test_a_body_without_length_is_whole_when_its_connection_ends():
    head = samples.response_head('{id}')
    answer, _seen = house_module.ask(
        [[[head + b'all', scripted.CLOSE]]], '/once/1'
    )
    assert (answer[0], answer[2]) == (200, b'all')
    answer, _seen = house_module.ask(
        [[[head + b'all', scripted.RESET]]], '/once/1'
    )
    assert answer[0] == 502


def test_an_unsigned_success_is_no_answer():
    unsigned = samples.response_head('{id}', 'Content-Length: 0', signed=False)
    answer, _seen = house_module.ask([[[unsigned]]], '/once/1')
    assert answer[0] == 502


def test_no_connection_means_not_run():
    async def scenario(house):
        await house.upstreams[0].close()
        house.send('/once/1')
        return await house.answer()

    status, headers, _body = house_module.play(
        [[[house_module.whole()]]], scenario
    )
    assert status == 503
    assert 'retry-after' in headers


def test_the_routes_timeout_gives_the_final_answer():
    answer, seen = house_module.ask([[[scripted.HANG]]], '/short/1')
    assert answer[0] == 504
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
    async def scenario(house):
        house.writer.write(raw)
        return await house.answer(), house.seen

    answer, seen = house_module.play([[[house_module.whole()]]], scenario)
    assert (answer[0], seen) == (status, [])


def test_without_routes_the_answer_is_not_run():
    async def scenario(house):
        house.gateway.fleet.table = None
        house.send('/safe/1')
        return await house.answer()

    assert house_module.play([[[house_module.whole()]]], scenario)[0] == 503


def test_chunked_bodies_and_pipelined_requests_are_served_in_order():
    async def scenario(house):
        head = b'POST /once/%d HTTP/1.1\r\nHost: desk\r\n'
        head += b'X-Dandelionwinch-Request-Id: r%d\r\n'
        head += b'Transfer-Encoding: chunked\r\n\r\n'
        for number in (1, 2):
            house.writer.write(head % (number, number))
            house.writer.write(
                house_module.chunk(b'ab')
                + house_module.chunk(b'c')
                + house_module.LAST
            )
        answers = [await house.answer(), await house.answer()]
        return answers, house.seen

    answers, seen = house_module.play([[[house_module.whole()]]], scenario)
    assert [status for status, _h, _b in answers] == [200, 200]
    assert [(s.target, s.body) for s in seen] == [
        ('/once/1', b'abc'),
        ('/once/2', b'abc'),
    ]


def test_work_ends_when_the_caller_leaves():
    async def scenario(house):
        house.send('/once/1')
        await house.log.until(lambda: house.seen)
        house.writer.close()
        await house.log.until(lambda: house.upstreams[0].closed)
        await house.log.until(lambda: not house.gateway.active)
        return True

    assert house_module.play([[[scripted.HANG]]], scenario)


@pytest.mark.parametrize(
    ('path', 'statuses', 'sends'),
    [('/safe/1', [200, 200], 3), ('/once/1', [200, 502], 2)],
)
def test_a_kept_connection_that_was_dropped_without_notice(
    path, statuses, sends
):
    """What is sent next on it is reset, and may have run."""
    script = [[house_module.whole()], [scripted.RESET], [house_module.whole()]]

    async def scenario(house):
        registry = house.gateway.fleet.registry
        farther = attrs.evolve(registry.get('u1').entry, data_centre='far')
        registry.apply(farther)
        got = []
        for number in (1, 2):
            house.send(path, f'r{number}')
            got.append((await house.answer())[0])
        return got, len(house.seen)

    shared = [script, [[house_module.whole()]]]
    assert house_module.play(shared, scenario) == (statuses, sends)


def test_a_drain_answers_what_was_read_and_then_closes():
    async def scenario(house):
        house.send('/once/1')
        await house.log.until(lambda: house.seen)
        house.server.drain()
        house.upstreams[0].release.set()
        answer = await house.answer()
        end = await house.reader.read()
        return answer, end

    script = [[scripted.HOLD, house_module.whole()]]
    (status, headers, body), end = house_module.play([script], scenario)
    assert (status, body, end) == (200, b'hello', b'')
    assert headers['connection'] == 'close'
