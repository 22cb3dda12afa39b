"""Tests of bounds on bytes that come without end."""

import asyncio
import contextlib
import tracemalloc

import pytest

from dandelionwinch import control
from dandelionwinch.gateway import _answer_bytes
from dandelionwinch.gateway import _codec
from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _messages
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _sse
from dandelionwinch.gateway import _upstream_exchange
from dandelionwinch.gateway import _whole_response
from dandelionwinch.platform import _store
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import instance_harness
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual

LIMIT = 65536
PIECE = b'a' * 4096
PIECES = 20 * (1 << 20) // len(PIECE)
RESPONSE = b'HTTP/1.1 200 OK\r\n'
REQUEST = b'POST /once/1 HTTP/1.1\r\nHost: desk\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS_PARTS = [
    ('head', b'X-A: ', PIECE),
    ('heads', b'', b'X-A: ' + PIECE + b'\r\n'),
    ('trailer', CHUNKED + b'1\r\na\r\n0\r\nX-A: ', PIECE),
    ('extension', CHUNKED + b'1;', PIECE),
    ('chunk size', CHUNKED, b'0' * 4096),
    ('extensions', CHUNKED, b'1;' + PIECE + b'\r\na\r\n'),
]


class _Sink:
    """Discards what a parser passes on."""

    def on_head(self, head):
        """Does nothing."""

    def on_body(self, data):
        """Does nothing."""

    def on_end(self):
        """Does nothing."""


def _fed_until_refused(parser, start, piece):
    """Returns how many bytes a parser took before it refused one."""
    fed = len(start)
    parser.feed(start)
    for _number in range(PIECES):
        fed += len(piece)
        try:
            parser.feed(piece)
        except _codec.BadMessage:
            return fed
    return None


@pytest.mark.parametrize(
    ('start', 'piece'),
    [parts[1:] for parts in ENDLESS_PARTS],
    ids=[parts[0] for parts in ENDLESS_PARTS],
)
@pytest.mark.parametrize(
    ('parser_class', 'first'),
    [(_codec.RequestParser, REQUEST), (_codec.ResponseParser, RESPONSE)],
    ids=['request', 'response'],
)
def test_what_is_no_body_is_read_up_to_a_limit(
    parser_class, first, start, piece
):
    """20 MiB of it were read, each piece copied with all before it."""
    parser = parser_class(_Sink(), LIMIT)
    fed = _fed_until_refused(parser, first + start, piece)
    assert fed is not None
    assert fed <= LIMIT + len(first + start) + 2 * len(piece)


@pytest.mark.parametrize('between', [b'', b'\r\n'])
def test_a_limit_holds_for_each_message_anew(between):
    parser = _codec.RequestParser(_Sink(), 2 * len(REQUEST))
    message = REQUEST + CHUNKED + b'1\r\na\r\n0\r\nX-A: b\r\n\r\n' + between
    for size in (1, 7, len(message), 3 * len(message)):
        data = message * 30
        for start in range(0, len(data), size):
            parser.feed(data[start : start + size])


@pytest.mark.parametrize('size', [1, 3, 6, 60, 6000])
def test_a_long_body_of_small_chunks_is_no_excess(size):
    parser = _codec.ResponseParser(_Sink(), LIMIT)
    parser.feed(RESPONSE + CHUNKED)
    data = b'1\r\na\r\n' * (2 * _codec.MAX_FRAMING_BYTES)
    for start in range(0, len(data), size):
        parser.feed(data[start : start + size])


def _run_instance(kv, tmp_path, script, scenario, kind='idempotent'):
    """Runs a scenario of a whole instance and a scripted upstream."""

    async def run():
        running = instance_harness.RunningInstance(kv, tmp_path / 'none')
        async with running:
            upstream = scripted.ScriptedUpstream(
                samples.REQUEST_ID, [script], running.log.notify
            )
            await upstream.start()
            await running.serve(upstream.address, samples.route(kind=kind))
            result = await scenario(running, upstream)
            await upstream.close()
        return result

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('start', 'piece', 'status'),
    [
        (b'X-A: ', PIECE, 431),
        (b'', b'\r\n' + PIECE, 400),
        (CHUNKED + b'1\r\na\r\n0\r\nX-A: ', PIECE, 400),
        (CHUNKED + b'1\r\na\r\n0\r\n', b'X-A: ' + PIECE + b'\r\n', 431),
        (CHUNKED + b'1;', PIECE, 400),
        (CHUNKED, b'1000\r\n' + PIECE + b'\r\n', 413),
    ],
    ids=['header', 'line', 'trailer', 'trailers', 'extension', 'body'],
)
def test_a_callers_endless_request_is_refused(
    kv, tmp_path, start, piece, status
):
    async def scenario(running, upstream):
        names = running.log.names
        reader, writer = await running.connect('callers')
        writer.write(REQUEST + start)
        for _number in range(PIECES):
            if 'request.refused' in names() or writer.is_closing():
                break
            writer.write(piece)
            await asyncio.sleep(0)
        await running.log.wait_until(lambda: 'request.refused' in names())
        (refused,) = [
            fields
            for name, fields in running.log.events
            if name == 'request.refused'
        ]
        return refused['status'], upstream.requests

    assert _run_instance(kv, tmp_path, [], scenario) == (status, [])


def test_a_caller_is_told_that_its_head_is_too_large(kv, tmp_path):
    async def scenario(running, _upstream):
        reader, writer = await running.connect('callers')
        limit = routes.Limits().max_header_bytes
        writer.write((REQUEST + b'X-A: ').ljust(limit + 1, b'a'))
        async with asyncio.timeout(recorder.TIMEOUT_S):
            return await reader.read()

    response = _run_instance(kv, tmp_path, [], scenario)
    assert response.startswith(b'HTTP/1.1 431')
    assert b'Connection: close' in response


OF_ANOTHER = samples.response_head('x', 'Transfer-Encoding: chunked')
SIGNED = samples.response_head('{id}', 'Transfer-Encoding: chunked')
ENDLESS_RESPONSES = [
    ('garbage', PIECE),
    ('blank lines', b'\r\n'),
    ('header', RESPONSE + b'X-A: ' + PIECE),
    ('garbled chunk', SIGNED + b'1\r\na\r\n' + PIECE),
    ('extension', SIGNED + b'1\r\na\r\n1;' + PIECE),
    ('trailer', SIGNED + b'1\r\na\r\n0\r\nX-A: ' + PIECE),
    ('interim responses', b'HTTP/1.1 102 Processing\r\n\r\n'),
    ('responses to others', gateway_harness.response(b'', request_id='x')),
    ('body of another', OF_ANOTHER + gateway_harness.chunk(b'b' * 4096)),
]


async def _open_connection(running):
    """Opens the connection that the next request to the upstream uses."""
    fleet = running.process.instance._gateway.fleet
    pool = fleet.pool(fleet.registry.get('i-1'))
    while not pool.open:
        with contextlib.suppress(_pool.NotConnected):
            conn = await pool.acquire(recorder.TIMEOUT_S)
    # It must not end by its age either.
    conn.reusable_until = float('inf')
    pool.release_unused(conn)


def _end_of(start):
    """Returns what is sent again and again after the start."""
    if start.startswith(OF_ANOTHER):
        return start[len(OF_ANOTHER) :]
    if start.endswith(PIECE):
        return PIECE
    return start * (1 + len(PIECE) // len(start))


@pytest.mark.parametrize(
    'start',
    [parts[1] for parts in ENDLESS_RESPONSES],
    ids=[parts[0] for parts in ENDLESS_RESPONSES],
)
def test_a_connection_with_an_endless_response_is_closed(kv, tmp_path, start):
    """It was read until the route's timeout, which the caller waited for.

    The connection is open before the request: one that opens too late, as on
    a busy machine, gives a true 503 in place of the 502.
    """

    async def scenario(running, upstream):
        await _open_connection(running)
        request = samples.request('/a/1', 'r1', more=[('Connection', 'close')])
        status, _body = await running.exchange('callers', request)
        await running.log.wait_until(lambda: upstream.closed_connections)
        return status

    script = [start, *[_end_of(start) * 16] * 64, scripted.HANG]
    status = _run_instance(
        kv, tmp_path, script, scenario, kind='non_idempotent'
    )
    assert status == 502


class _Transport:
    """A transport that is closed and paused, and discards what is sent."""

    def __init__(self):
        self.paused = False
        self.closed = False

    def write(self, _data):
        """Does nothing."""

    def pause_reading(self):
        """Records the pause."""
        self.paused = True

    def resume_reading(self):
        """Records the end of the pause."""
        self.paused = False

    def is_closing(self):
        """Tells whether it was closed."""
        return self.closed

    def abort(self):
        """Records the end."""
        self.closed = True


def _connect(loop):
    """Returns a Connection on which a request was sent."""
    conn = _connection.Connection(loop)
    conn.connection_made(_Transport())
    conn.send(b'request')
    return conn


def _exchange(conn):
    """Returns the exchange of request `r1`, with a deadline in 60 s."""

    async def may_leave(_conn):
        return True

    loop = asyncio.get_running_loop()
    return _upstream_exchange.UpstreamExchange(
        loop,
        conn,
        _wire_codec.WireCodec(),
        _messages.CallerRequest('r1', 'GET', '/', (), b'', None),
        loop.time() + 60.0,
        may_leave,
        _answer_bytes.AnswerBytes(MOST_BYTES),
    )


@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (OF_ANOTHER, gateway_harness.chunk(b'b')),
        (b'', gateway_harness.response(b'', request_id='x')),
        (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        (RESPONSE + b'X-A: ', b'a'),
    ],
)
def test_what_is_skipped_gets_no_time_of_its_own(start, piece):
    """An attempt was kept until its deadline by a byte a second."""

    async def scenario():
        loop = asyncio.get_running_loop()
        conn = _connect(loop)
        conn.data_received(start)
        for second in range(59):
            loop.call_later(second + 0.5, conn.data_received, piece)
        with pytest.raises(_upstream_exchange.AttemptFailed):
            await _exchange(conn).read_head(4.0)
        return loop.time()

    assert virtual.run(scenario()) == pytest.approx(4.0)


@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (b'', gateway_harness.response(b'')),
        (OF_ANOTHER, gateway_harness.chunk(b'b')),
    ],
)
def test_what_is_read_ahead_is_bounded_with_its_items(start, piece):
    """Small items took a hundred times the memory of their bytes."""

    async def scenario():
        conn = _connect(asyncio.get_running_loop())
        conn.data_received(start)
        received = 0
        while not conn._transport.paused and received < 1 << 19:
            conn.data_received(piece)
            received += 1
        return len(conn._items)

    most = _connection.MAX_READ_AHEAD_BYTES // _connection.ITEM_BYTES
    assert virtual.run(scenario()) <= most + 2


def test_bytes_past_the_length_of_a_body_close_its_connection(kv, tmp_path):
    async def scenario(running, upstream):
        request = samples.request('/a/1', 'r1', more=[('Connection', 'close')])
        response = await running.exchange('callers', request)
        await running.log.wait_until(lambda: upstream.closed_connections)
        return response

    good = gateway_harness.response(b'whole')
    script = [good + PIECE, *[PIECE] * 256, scripted.HANG]
    response = _run_instance(kv, tmp_path, script, scenario)
    assert response == (200, b'whole')


@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (b'', PIECE),
        (RESPONSE + b'X-A: ', PIECE),
        (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 160),
        (RESPONSE + CHUNKED, PIECE),
        (RESPONSE + CHUNKED, gateway_harness.chunk(PIECE)),
        (RESPONSE + b'\r\n', PIECE),
    ],
    ids=['garbage', 'header', 'interim', 'sizes', 'chunks', 'body'],
)
def test_an_endless_response_of_the_store_is_given_up(
    monkeypatch, start, piece
):
    """Cache events and reports are read in the same way."""
    monkeypatch.setattr(_store, 'MAX_BODY_BYTES', 1 << 20)

    async def scenario():
        log = recorder.Recorder()
        script = [start, *[piece * 16] * 64, scripted.HANG]
        upstream = scripted.ScriptedUpstream('none', [script], log.notify)
        await upstream.start()
        store = _store.Store(asyncio.get_running_loop(), upstream.address)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            with pytest.raises(control.StoreFailed) as failed:
                await store.list('any')
        assert 'silent' not in str(failed.value)
        await log.wait_until(lambda: upstream.closed_connections)
        await upstream.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'event', [b': a comment\n\n', gateway_harness.event(1)]
)
@pytest.mark.parametrize('path', ['/stream/1', '/resume/1'])
def test_a_stream_of_events_without_end_is_broken_off(path, event):
    """Events without an id, and ones that were sent already."""
    good = [
        gateway_harness.STREAM_HEAD,
        gateway_harness.chunk(gateway_harness.event(2)),
        gateway_harness.LAST_CHUNK,
    ]
    endless = [
        gateway_harness.STREAM_HEAD,
        gateway_harness.chunk(gateway_harness.event(1)),
        *[gateway_harness.chunk(event * 16)] * 64,
        scripted.HANG,
    ]

    async def scenario(harness):
        shared = [endless, good]
        for upstream in harness.upstreams:
            upstream._scripts = shared
        harness.generate(path)
        return await harness.read_response()

    _status, _headers, body = gateway_harness.run_scenario([[], []], scenario)
    events = body.split(b'\n\n')
    assert len(events) <= _sse.max_events(80, 5.0) + 2
    ends = {'/stream/1': b'<cut>', '/resume/1': gateway_harness.event(2)}
    assert body.endswith(ends[path])


def test_a_stream_may_have_what_its_request_asks_for():
    most = _sse.max_events(80, 60.0)
    splitter = _sse.EventSplitter(most)
    found = splitter.feed(b': comment\n\n' * most)
    assert len(found) == most
    with pytest.raises(ValueError, match='more events'):
        splitter.feed(b': comment\n\n')


def test_the_bytes_of_a_stream_are_bounded_too():
    splitter = _sse.EventSplitter(4)
    with pytest.raises(ValueError, match='more bytes'):
        for _number in range(4):
            splitter.feed(b'a' * (_sse.MAX_EVENT_BYTES - 1) + b'\n\n')


@pytest.mark.parametrize('size', [1, 2, 3, 1000])
def test_events_are_the_same_however_they_arrive(size):
    data = b'id: 1\ndata: a\n\n\n\n\nid: 2\n\n\nid: 3\n\nrest'
    splitter = _sse.EventSplitter(100)
    found = []
    for start in range(0, len(data), size):
        found += splitter.feed(data[start : start + size])
    parts = data.split(b'\n\n')
    assert [event.data for event in found] == [
        part + b'\n\n' for part in parts[:-1]
    ]
    assert splitter.buffered


class _CountingBuffer(bytearray):
    """Counts the bytes that are searched."""

    searched = 0

    def find(self, sub, start=0):
        """Returns where bytes are found."""
        self.searched += len(self) - start
        return super().find(sub, start)


def test_each_byte_of_an_event_is_searched_once():
    splitter = _sse.EventSplitter(100)
    splitter._buffer = _CountingBuffer(b'a')
    for _number in range(1000):
        splitter.feed(b'a' * 100)
    assert splitter._buffer.searched <= 101 * 1000


def test_a_body_that_is_always_ahead_ends_with_the_deadline():
    """A slow caller met a fast upstream; its stream never ended."""

    async def scenario():
        loop = asyncio.get_running_loop()
        conn = _connect(loop)
        conn.data_received(RESPONSE + CHUNKED)
        exchange = _exchange(conn)
        with pytest.raises(_upstream_exchange.AttemptFailed):
            for _number in range(200):
                conn.data_received(gateway_harness.chunk(b'b'))
                await exchange.read_item(4.0)
                await asyncio.sleep(0.5)
        return loop.time()

    assert virtual.run(scenario()) == pytest.approx(60.5)


MOST_BYTES = 1 << 20
CALLERS = 40
# Beside the bodies: connections, requests, and the upstreams themselves.
OTHER_BYTES = 12 << 20
NO_LENGTH = samples.response_head('{id}')
HUGE = samples.response_head('{id}', 'Content-Length: 99999999')


@pytest.mark.parametrize(
    ('path', 'start', 'piece'),
    [
        ('/once/1', HUGE, PIECE),
        ('/once/1', NO_LENGTH, PIECE),
        ('/once/1', SIGNED, gateway_harness.chunk(PIECE)),
        ('/stream/1', NO_LENGTH + b'data: ', PIECE),
    ],
    ids=['length', 'no length', 'chunks', 'event'],
)
def test_endless_answers_together_stay_below_a_bound(path, start, piece):
    """First report of other operators: an instance ran out of memory.

    Each answer has its limit, but many upstreams may be faulty at once.
    """
    script = [start, *[piece] * 240, scripted.HANG]
    prompt = (50, 50) if path == '/stream/1' else None

    async def ask(harness, number):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.server.port
        )
        writer.write(
            samples.request(path, f'e{number}', timeout_ms=400, prompt=prompt)
        )
        status = await reader.readline()
        writer.close()
        return status.split()[1:2]

    async def scenario(harness):
        tracemalloc.start()
        try:
            asked = (ask(harness, number) for number in range(CALLERS))
            statuses = await asyncio.gather(*asked)
            _size, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        return statuses, peak, harness.gateway.fleet.answer_bytes.held

    cfg = gateway_harness.Config(max_held_bytes=MOST_BYTES)
    statuses, peak, held = gateway_harness.run_scenario(
        [[script], [script]], scenario, cfg=cfg
    )
    assert b'200' not in [status for found in statuses for status in found]
    assert peak < MOST_BYTES + OTHER_BYTES
    assert held == 0


def test_endless_answers_to_own_calls_stay_below_the_same_bound():
    """Reports and cache events: an instance calls each engine for them."""

    async def scenario():
        script = [RESPONSE + b'\r\n', *[PIECE] * 240, scripted.HANG]
        upstream = scripted.ScriptedUpstream('none', [script])
        await upstream.start()
        loop = asyncio.get_running_loop()
        pool = _pool.Pool(loop, upstream.address, CALLERS)
        answer_bytes = _answer_bytes.AnswerBytes(MOST_BYTES)
        most = []

        async def call():
            conn = await pool.acquire(1.0, new=True)
            conn.send(b'GET /any HTTP/1.1\r\n\r\n')
            with pytest.raises(_connection.ConnectionLost):
                await _whole_response.read_response(conn, 1.0, answer_bytes)
            most.append(answer_bytes.held)
            pool.discard(conn)

        await asyncio.gather(*(call() for _number in range(CALLERS)))
        await upstream.close()
        return max(most), answer_bytes.held

    most, held = asyncio.run(scenario())
    assert most <= MOST_BYTES + CALLERS * _answer_bytes.MIN_ANSWER_BYTES
    assert held == 0


@pytest.mark.parametrize('count', [1, 5, 100])
def test_the_largest_answers_are_given_up_first(count):
    """Sound ones are whole beside any number that never end."""
    answer_bytes = _answer_bytes.AnswerBytes(MOST_BYTES)
    endless = [answer_bytes.open() for _number in range(count)]
    for _round in range(2 * MOST_BYTES // len(PIECE)):
        for answer in endless:
            with contextlib.suppress(_answer_bytes.TooManyBytes):
                answer.resize(answer.size + len(PIECE))
                continue
            answer.close()
        sound = answer_bytes.open()
        sound.resize(_answer_bytes.MIN_ANSWER_BYTES)
        sound.close()
        least = count * _answer_bytes.MIN_ANSWER_BYTES
        assert answer_bytes.held <= max(MOST_BYTES, least)
    for answer in endless:
        answer.close()
    assert answer_bytes.held == 0


@pytest.mark.parametrize('size', [1 << 10, 1 << 16, 1 << 20])
def test_one_answer_may_have_what_is_left(size):
    answer_bytes = _answer_bytes.AnswerBytes(2 * MOST_BYTES)
    answer = answer_bytes.open()
    for part in range(0, size, 1 << 10):
        answer.resize(part)
    answer.close()
    assert answer_bytes.held == 0
