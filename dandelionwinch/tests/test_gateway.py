"""The data path over real sockets against scripted upstreams."""

import asyncio
import os
import random

import attrs
import pytest

from dandelionwinch import eventlog
from dandelionwinch import gateway
from dandelionwinch.platform import _dialect
from dandelionwinch import routes
from dandelionwinch.standins import scripted
from dandelionwinch import upstreams

ID = 'x-dandelionwinch-request-id'
SIGNED = b'X-Dandelionwinch-Response-Signature: sig\r\n'
ECHO = b'X-Dandelionwinch-Request-Id: {id}\r\n'
PATIENCE_S = 10


def whole(body=b'hello', status=b'200 OK', more=b'', echo=ECHO):
    head = b'HTTP/1.1 ' + status + b'\r\n' + echo + SIGNED + more
    return head + b'Content-Length: %d\r\n\r\n' % len(body) + body


def refused(status=b'503 Service Unavailable'):
    return (
        b'HTTP/1.1 ' + status + b'\r\nX-Dandelionwinch-Not-Executed: 1\r\n'
        b'Content-Length: 0\r\n\r\n'
    )


STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\n' + ECHO + SIGNED + b'X-Head: first\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
LAST = b'0\r\n\r\n'


def chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


def event(number, text=b'x'):
    return b'id: %d\ndata: %b\n\n' % (number, text)


@attrs.define
class Config:
    """The part of the settings that a gateway reads."""

    data_centre: str = 'dc'
    regions: dict = attrs.Factory(lambda: {'dc': 'r'})
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0


def route(name, repeat, streaming=False, attempts=2, **changes):
    made = routes.Route(
        name,
        'desk',
        f'/{name}/',
        repeat,
        streaming,
        5.0,
        0.15,
        0,
        attempts,
        (routes.Share('s', 1.0),),
        gap_s=0.15,
    )
    return attrs.evolve(made, **changes)


ROUTES = [
    route('safe', routes.Repeat.IDEMPOTENT),
    route('once', routes.Repeat.ONCE, attempts=1),
    route('twice', routes.Repeat.ONCE, attempts=2),
    route('short', routes.Repeat.ONCE, attempts=1, timeout_s=0.3),
    route('stream', routes.Repeat.ONCE, True, attempts=1),
    route('resume', routes.Repeat.RESUMABLE, True),
]


class House:
    """A gateway with scripted upstreams, and a caller's connection."""

    def __init__(self, scripts, limits=None):
        self._scripts = scripts
        self.limits = limits or routes.Limits()

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.upstreams = [
            scripted.ScriptedUpstream(ID, s) for s in self._scripts
        ]
        self._sink = os.open(os.devnull, os.O_WRONLY)
        log = eventlog.EventLog('test', self._sink)
        self.gateway = gateway.Gateway(
            loop, _dialect.Dialect(), log, Config(), random.Random(1)
        )
        services = [routes.Service('s', 100)]
        self.gateway.fleet.table = routes.RouteTable(
            1, ROUTES, services, self.limits
        )
        for number, upstream in enumerate(self.upstreams):
            await upstream.start()
            self.gateway.fleet.beliefs.apply(
                upstreams.Entry(
                    f'u{number}',
                    's',
                    upstream.address,
                    'dc',
                    1,
                    True,
                    upstreams.Role.DECODE,
                    4,
                )
            )
        self.server = gateway.Server(loop, self.gateway.handle, self.limits)
        await self.server.start('127.0.0.1:0')
        await self.connect()
        return self

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )

    async def __aexit__(self, *_exc):
        self.writer.close()
        self.server.close()
        self.gateway.close()
        for upstream in self.upstreams:
            await upstream.close()
        os.close(self._sink)

    @property
    def seen(self):
        return [seen for up in self.upstreams for seen in up.seen]

    def send(self, path, request_id='r1', headers=(), body=b'', method=None):
        method = method or ('POST' if body else 'GET')
        lines = [f'{method} {path} HTTP/1.1', 'Host: desk']
        lines.append(f'X-Dandelionwinch-Request-Id: {request_id}')
        lines += [f'{name}: {value}' for name, value in headers]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    def generate(self, path, request_id='r1', tokens=100):
        headers = [
            ('X-Dandelionwinch-Token-Usage', f'{tokens},80'),
            ('X-Dandelionwinch-Prompt-Prefix', f'a:50,b:{tokens - 50}'),
        ]
        self.send(path, request_id, headers, b'{}')

    async def answer(self):
        """Returns status, headers and body of the next answer.

        The body of an answer that breaks off ends with b'<cut>'.
        """
        async with asyncio.timeout(PATIENCE_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            first, *lines = head.decode().strip().split('\r\n')
            headers = {
                name.lower(): value
                for name, value in (line.split(': ', 1) for line in lines)
            }
            status = int(first.split(' ')[1])
            if 'content-length' in headers:
                length = int(headers['content-length'])
                body = await self.reader.readexactly(length)
                return status, headers, body
            return status, headers, await self._chunks()

    async def _chunks(self):
        body = b''
        try:
            while True:
                size = int(await self.reader.readuntil(b'\r\n'), 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    return body
                body += data[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return body + b'<cut>'

    async def until(self, condition):
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0.005)


def play(scripts, scenario, limits=None):
    async def run():
        async with House(scripts, limits) as house:
            return await scenario(house)

    return asyncio.run(run())


def ask(scripts, path, body=b''):
    """Sends one request and returns its answer and what was seen."""

    async def scenario(house):
        house.send(path, body=body)
        answer = await house.answer()
        return answer, house.seen

    return play(scripts, scenario)


def test_request_and_answer_are_handed_on_unchanged():
    (status, headers, body), seen = ask(
        [[[whole(b'bytes', more=b'X-Own: 1\r\n')]]], '/safe/1?q=%20', b'{}'
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
        house.send('/once/1', headers=forged, body=b'x')
        await house.answer()
        return house.seen[0].headers

    headers = play([[[whole()]]], scenario)
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
        ('/safe/1', [whole(b'abc')[:-1], scripted.CLOSE], 200, 2),
        ('/safe/1', [whole(status=b'500 Oops')], 200, 2),
        ('/safe/1', [refused()], 200, 2),
        ('/once/1', [scripted.RESET], 502, 1),
        ('/once/1', [scripted.CLOSE], 502, 1),
        ('/once/1', [b'not http at all\r\n\r\n'], 502, 1),
        ('/once/1', [whole(b'abc')[:-1], scripted.CLOSE], 502, 1),
        ('/once/1', [whole(status=b'500 Oops')], 500, 1),
        ('/once/1', [refused()], 503, 1),
        ('/once/1', [refused(b'421 Misdirected')], 503, 1),
        ('/twice/1', [refused()], 200, 2),
        ('/twice/1', [scripted.RESET], 502, 1),
        ('/twice/1', [whole(echo=b'')], 502, 1),
    ],
)
def test_faults_of_an_upstream(path, faulty, status, sends):
    (got, headers, _body), seen = _with_good_second(path, faulty)
    assert (got, seen) == (status, sends)
    if status == 503:
        assert float(headers['retry-after']) > 0


def _with_good_second(path, faulty):
    """Lets both upstreams share a script whose second answer is good."""
    shared = [faulty, [whole()]]

    async def scenario(house):
        for upstream in house.upstreams:
            upstream._scripts = shared
        house.send(path, body=b'x')
        answer = await house.answer()
        return answer, len(house.seen)

    return play([[], []], scenario)


def test_an_answer_to_another_request_is_skipped():
    late = whole(b'not yours', echo=b'X-Dandelionwinch-Request-Id: old\r\n')
    (status, _headers, body), _seen = ask([[[late + whole()]]], '/once/1')
    assert (status, body) == (200, b'hello')


def test_a_refusal_of_another_request_is_not_taken_for_ours():
    late = refused().replace(
        b'\r\nContent', b'\r\nX-Dandelionwinch-Request-Id: old\r\nContent'
    )
    (status, _headers, body), _seen = ask([[[late + whole()]]], '/once/1')
    assert (status, body) == (200, b'hello')


def test_bytes_after_an_answer_reach_no_other_request():
    async def scenario(house):
        found = []
        for number in range(3):
            house.send('/once/1', f'r{number}')
            found.append(await house.answer())
        return found, house.upstreams[0].closed

    extra = whole() + whole(b'extra')
    found, closed = play([[[extra]]], scenario)
    assert [body for _s, _h, body in found] == [b'hello'] * 3
    assert closed >= 2


def test_a_body_without_length_is_whole_when_its_connection_ends():
    head = b'HTTP/1.1 200 OK\r\n' + ECHO + SIGNED + b'\r\n'
    answer, _seen = ask([[[head + b'all', scripted.CLOSE]]], '/once/1')
    assert (answer[0], answer[2]) == (200, b'all')
    answer, _seen = ask([[[head + b'all', scripted.RESET]]], '/once/1')
    assert answer[0] == 502


def test_an_unsigned_success_is_no_answer():
    unsigned = b'HTTP/1.1 200 OK\r\n' + ECHO + b'Content-Length: 0\r\n\r\n'
    answer, _seen = ask([[[unsigned]]], '/once/1')
    assert answer[0] == 502


def test_no_connection_means_not_run():
    async def scenario(house):
        await house.upstreams[0].close()
        house.send('/once/1')
        return await house.answer()

    status, headers, _body = play([[[whole()]]], scenario)
    assert status == 503
    assert 'retry-after' in headers


def test_the_routes_timeout_gives_the_final_answer():
    answer, seen = ask([[[scripted.HANG]]], '/short/1')
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

    answer, seen = play([[[whole()]]], scenario)
    assert (answer[0], seen) == (status, [])


def test_without_routes_the_answer_is_not_run():
    async def scenario(house):
        house.gateway.fleet.table = None
        house.send('/safe/1')
        return await house.answer()

    assert play([[[whole()]]], scenario)[0] == 503


def test_chunked_bodies_and_pipelined_requests_are_served_in_order():
    async def scenario(house):
        head = b'POST /once/%d HTTP/1.1\r\nHost: desk\r\n'
        head += b'X-Dandelionwinch-Request-Id: r%d\r\n'
        head += b'Transfer-Encoding: chunked\r\n\r\n'
        for number in (1, 2):
            house.writer.write(head % (number, number))
            house.writer.write(chunk(b'ab') + chunk(b'c') + LAST)
        answers = [await house.answer(), await house.answer()]
        return answers, house.seen

    answers, seen = play([[[whole()]]], scenario)
    assert [status for status, _h, _b in answers] == [200, 200]
    assert [(s.target, s.body) for s in seen] == [
        ('/once/1', b'abc'),
        ('/once/2', b'abc'),
    ]


def test_work_ends_when_the_caller_leaves():
    async def scenario(house):
        house.send('/once/1')
        await house.until(lambda: house.seen)
        house.writer.close()
        await house.until(lambda: house.upstreams[0].closed)
        await house.until(lambda: not house.gateway.active)
        return True

    assert play([[[scripted.HANG]]], scenario)


def test_a_drain_answers_what_was_read_and_then_closes():
    async def scenario(house):
        house.send('/once/1')
        await house.until(lambda: house.seen)
        house.server.drain()
        house.upstreams[0].release.set()
        answer = await house.answer()
        end = await house.reader.read()
        return answer, end

    script = [[scripted.HOLD, whole()]]
    (status, headers, body), end = play([script], scenario)
    assert (status, body, end) == (200, b'hello', b'')
    assert headers['connection'] == 'close'


# Streams.


def stream(scripts, path='/stream/1', tokens=100):
    async def scenario(house):
        house.generate(path, tokens=tokens)
        answer = await house.answer()
        return answer, house.seen

    return play(scripts, scenario)


def test_a_stream_is_handed_on_event_by_event():
    body = event(1) + event(2, b'y')
    (status, headers, got), _seen = stream(
        [[[STREAM_HEAD, chunk(body[:7]), chunk(body[7:]), LAST]]]
    )
    assert (status, got, headers['x-head']) == (200, body, 'first')


@pytest.mark.parametrize(
    'end',
    [
        [scripted.RESET],
        [scripted.CLOSE],
        [chunk(b'id: 2\nda'), scripted.CLOSE],
        [chunk(b'id: 2\nda'), LAST],
    ],
)
def test_a_stream_that_breaks_off_never_looks_complete(end):
    (status, _headers, got), _seen = stream(
        [[[STREAM_HEAD, chunk(event(1)), *end]]]
    )
    assert (status, got) == (200, event(1) + b'<cut>')


@pytest.mark.parametrize(
    'end', [[scripted.RESET], [chunk(b'id: 2\nda'), scripted.CLOSE]]
)
def test_a_resumable_stream_goes_on_at_another_upstream(end):
    scripts = [
        [STREAM_HEAD, chunk(event(1)), *end],
        [
            STREAM_HEAD.replace(b'first', b'second'),
            chunk(event(1, b'again') + event(2) + event(3)),
            LAST,
        ],
    ]

    async def scenario(house):
        for upstream in house.upstreams:
            upstream._scripts = scripts
        house.generate('/resume/1')
        answer = await house.answer()
        return answer, house.seen

    (status, headers, got), seen = play([[], []], scenario)
    assert (status, headers['x-head']) == (200, 'first')
    assert got == event(1) + event(2) + event(3)
    resumed = [s for s in seen if 'last-event-id' in s.headers]
    assert [s.headers['last-event-id'] for s in resumed] == ['1']


def test_a_stream_that_broke_before_its_first_event_is_not_called_not_run():
    (status, _headers, _got), seen = stream([[[STREAM_HEAD, scripted.RESET]]])
    assert (status, len(seen)) == (502, 1)


def test_a_full_engine_means_not_run():
    (status, headers, _got), _seen = stream([[[refused()]]])
    assert status == 503
    assert 'retry-after' in headers


def test_no_engine_with_room_is_answered_at_once():
    async def scenario(house):
        house.gateway.fleet.beliefs.remove('u0', 0.0)
        house.generate('/resume/1')
        return await house.answer()

    assert play([[[whole()]]], scenario)[0] == 503


def test_a_resumption_without_room_elsewhere_ends_at_once():
    async def scenario(house):
        house.generate('/resume/1', tokens=5000)
        answer = await house.answer()
        return answer, house.seen

    script = [[STREAM_HEAD, chunk(event(1)), scripted.RESET]]
    (_status, _headers, got), seen = play([script], scenario)
    assert got == event(1) + b'<cut>'
    assert len(seen) == 1


def test_a_prompt_is_prefilled_at_one_engine_and_answered_at_another():
    handle = b'{"kvHandle": "h1", "tokens": 5000, "version": 1}'
    prefill = [[whole(handle)]]
    decode = [[STREAM_HEAD, chunk(event(1)), LAST]]

    async def scenario(house):
        belief = house.gateway.fleet.beliefs.get('u0')
        house.gateway.fleet.beliefs.apply(
            attrs.evolve(belief.entry, role=upstreams.Role.PREFILL)
        )
        for number in range(12):
            house.generate('/stream/1', f'r{number}', tokens=5000 + number)
            status, _headers, _body = await house.answer()
            assert status == 200
        return house.upstreams

    first, second = play([prefill, decode], scenario)
    assert first.seen
    assert all(
        s.headers['x-dandelionwinch-stage'] == 'prefill' for s in first.seen
    )
    source = f'{first.address}/h1'
    sources = [
        s.headers.get('x-dandelionwinch-kv-source') for s in second.seen
    ]
    assert sources.count(source) == len(first.seen)


def test_an_engine_that_leaves_during_a_prefill_gets_nothing():
    handle = b'{"kvHandle": "h1", "tokens": 5000, "version": 1}'
    answer = [[STREAM_HEAD, chunk(event(1)), LAST]]
    scripts = [[[scripted.HOLD, whole(handle)]], answer, answer]

    async def scenario(house):
        beliefs = house.gateway.fleet.beliefs
        reader = beliefs.get('u0')
        beliefs.apply(attrs.evolve(reader.entry, role=upstreams.Role.PREFILL))
        beliefs.remove('u2', 0.0)
        number = 0
        while not house.upstreams[0].seen:
            number += 1
            house.generate('/stream/1', f'r{number}', tokens=5000 + number)
            await house.until(lambda n=number: len(house.seen) >= n)
            if not house.upstreams[0].seen:
                await house.answer()
        before = len(house.upstreams[1].seen)
        leaving = beliefs.get('u1').entry
        other = beliefs.get('u2').entry
        beliefs.apply(attrs.evolve(leaving, ready=False))
        beliefs.apply(other)
        house.upstreams[0].release.set()
        status, _headers, _body = await house.answer()
        after = len(house.upstreams[1].seen)
        return status, after - before, len(house.upstreams[2].seen)

    assert play(scripts, scenario) == (200, 0, 1)


def test_a_request_is_read_only_once_even_if_its_prefill_fails():
    prefill = [[refused()]]
    decode = [[STREAM_HEAD, chunk(event(1)), LAST]]

    async def scenario(house):
        belief = house.gateway.fleet.beliefs.get('u0')
        house.gateway.fleet.beliefs.apply(
            attrs.evolve(belief.entry, role=upstreams.Role.PREFILL)
        )
        for number in range(12):
            house.generate('/stream/1', f'r{number}', tokens=5000 + number)
            await house.answer()
        return house.upstreams

    _first, second = play([prefill, decode], scenario)
    ids = [s.headers[ID] for s in second.seen]
    assert len(ids) == len(set(ids))
