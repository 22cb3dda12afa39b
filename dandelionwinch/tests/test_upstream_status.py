"""What upstreams say of themselves in their responses, on real sockets."""

import asyncio
import socket
import struct
import types

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from dandelionwinch.control import _order_sender
from dandelionwinch import dispatch
from dandelionwinch import gateway
from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _peer_link
from dandelionwinch.gateway import _pool
from dandelionwinch import leadership
from dandelionwinch.platform import _retry_after
from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch import upstreams

LEAVING = 'Server-Leaving: 1\r\n'
PAUSE = 'Retry-After: 70\r\n'
TURNED_AWAY = samples.refusal(more=PAUSE)
DATE = 'Fri, 04 Dec 2026 08:00:00 GMT'
LATER_DATE = 'Fri, 04 Dec 2026 08:00:09 GMT'
GOOD = gateway_harness.response()
HANDLE = samples.prefill_body('h1')
STREAM_HEAD = gateway_harness.STREAM_HEAD
ONE_EVENT = [
    STREAM_HEAD,
    gateway_harness.chunk(gateway_harness.event(1)),
    gateway_harness.LAST_CHUNK,
]


def with_headers(data, lines):
    """Returns a response with further header lines."""
    return data.replace(b'\r\n', b'\r\n' + lines.encode(), 1)


def prefer_first(harness):
    """Moves all upstreams but the first to a distant data centre."""
    registry = harness.gateway.fleet.registry
    for upstream in registry:
        if upstream.entry.id != 'u0':
            registry.apply(attrs.evolve(upstream.entry, data_centre='far'))


async def call(harness, path, request_id):
    """Sends a call and returns the status of its response."""
    harness.send(path, request_id)
    return (await harness.read_response())[0]


def counts(harness):
    """Returns how many requests reached each upstream."""
    return [len(upstream.requests) for upstream in harness.upstreams]


@pytest.mark.parametrize(
    ('path', 'first', 'status', 'sent'),
    [
        ('/once/1', [with_headers(GOOD, LEAVING)], 200, [1, 3]),
        (
            '/once/1',
            [gateway_harness.response(status='500 Oops', more=LEAVING)],
            500,
            [1, 3],
        ),
        ('/once/1', [samples.refusal(more=LEAVING)], 503, [1, 3]),
        ('/safe/1', [samples.refusal(more=LEAVING)], 200, [1, 4]),
        # An answer to another request, which is skipped.
        (
            '/once/1',
            [gateway_harness.response(more=LEAVING, request_id='old') + GOOD],
            200,
            [1, 3],
        ),
        # A response that never ends.
        (
            '/safe/1',
            [with_headers(GOOD, LEAVING)[:-2], scripted.CLOSE],
            200,
            [1, 4],
        ),
    ],
)
def test_an_upstream_that_announces_its_end_gets_nothing_more(
    path, first, status, sent
):
    async def scenario(harness):
        prefer_first(harness)
        registry = harness.gateway.fleet.registry
        got = await call(harness, path, 'r1')
        registry.apply(registry.get('u0').entry)
        later = [await call(harness, path, f'r{n}') for n in (2, 3, 4)]
        return got, later, counts(harness), harness.log.names()

    got, later, seen, names = gateway_harness.run_scenario(
        [[first, [GOOD]], [[GOOD]]], scenario
    )
    assert (got, later, seen) == (status, [200] * 3, sent)
    assert names.count('upstream.leaving') == 1


def test_other_instances_are_told_of_an_upstream_that_leaves():
    """Over sockets, once, by an instance that read it in a response."""

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        log = recorder.Recorder()
        other = _peer_link.PeerLink(loop, log, 'other')
        heard = asyncio.Queue()
        other.register('leaving', lambda items, _addr: heard.put_nowait(items))
        await other.start('127.0.0.1', 0)
        peers = harness.gateway.peers
        await peers.start('127.0.0.1', 0)
        addr = other._transport.get_extra_info('sockname')
        peers.set_peers({'other': addr})
        prefer_first(harness)
        for number in range(3):
            await call(harness, '/once/1', f'r{number}')
        left = harness.gateway.fleet.registry.get('u0').entry
        items = await heard.get()
        other.close()
        return items, left.incarnation, heard.qsize()

    scripts = [[[with_headers(GOOD, LEAVING)]], [[GOOD]]]
    items, incarnation, more = gateway_harness.run_scenario(scripts, scenario)
    assert items == ['u0', upstreams.digest(incarnation)]
    assert more == 0


def test_the_next_incarnation_gets_requests_again():
    async def scenario(harness):
        prefer_first(harness)
        registry = harness.gateway.fleet.registry
        await call(harness, '/once/1', 'r1')
        entry = registry.get('u0').entry
        registry.apply(attrs.evolve(entry, started_at_ms=2))
        await call(harness, '/once/1', 'r2')
        return counts(harness)

    scripts = [[[with_headers(GOOD, LEAVING)], [GOOD]], [[GOOD]]]
    assert gateway_harness.run_scenario(scripts, scenario) == [2, 0]


def test_a_stream_goes_on_at_an_upstream_that_leaves():
    """Its head announces the end; the stream is whole, others go away."""

    async def scenario(harness):
        registry = harness.gateway.fleet.registry
        later = registry.get('u1').entry
        registry.remove('u1', 0.0)
        harness.generate('/stream/1')
        await harness.log.wait_until(
            lambda: 'upstream.leaving' in harness.log.names()
        )
        registry.apply(later)
        stream = harness.reader, harness.writer
        await harness.connect()
        status = await call(harness, '/once/1', 'r2')
        harness.writer.close()
        harness.reader, harness.writer = stream
        harness.upstreams[0].release.set()
        response = await harness.read_response()
        return status, response, counts(harness)

    script = [
        with_headers(STREAM_HEAD, LEAVING),
        gateway_harness.chunk(gateway_harness.event(1)),
        scripted.HOLD,
        gateway_harness.chunk(gateway_harness.event(2)),
        gateway_harness.LAST_CHUNK,
    ]
    status, (streamed, _headers, got), seen = gateway_harness.run_scenario(
        [[script, [GOOD]], [[GOOD]]], scenario
    )
    events = gateway_harness.event(1) + gateway_harness.event(2)
    assert (status, streamed, got, seen) == (200, 200, events, [1, 1])


async def occupy(harness, upstream):
    """Takes all connections to an upstream; returns pool and connections."""
    fleet = harness.gateway.fleet
    fleet.table = routes.RouteTable(
        1, gateway_harness.ROUTES, [routes.Service('s', 2)], harness.limits
    )
    pool = fleet.pool(upstream)
    return pool, [await pool.acquire(1.0) for _n in range(pool.limit)]


def test_a_request_that_waits_for_a_connection_goes_elsewhere():
    async def scenario(harness):
        prefer_first(harness)
        upstream = harness.gateway.fleet.registry.get('u0')
        pool, conns = await occupy(harness, upstream)
        harness.send('/once/1')
        while not pool._waiters:
            await asyncio.sleep(0)
        conns[0].send(samples.request('/own/1', 'own'))
        await gateway.read_response(conns[0], recorder.TIMEOUT_S)
        pool.release(conns[0])
        status = (await harness.read_response())[0]
        pool.discard(conns[1])
        return status, counts(harness)

    scripts = [[[with_headers(GOOD, LEAVING)], [GOOD]], [[GOOD]]]
    assert gateway_harness.run_scenario(scripts, scenario) == (200, [1, 1])


def make_prefill_engine(harness):
    """Makes the first upstream a prefill engine."""
    registry = harness.gateway.fleet.registry
    entry = registry.get('u0').entry
    registry.apply(attrs.evolve(entry, role=upstreams.Role.PREFILL))


async def generate_until_prefill(harness):
    """Sends long prompts until one is prefilled apart; returns statuses."""
    statuses = []
    while not harness.upstreams[0].requests:
        number = len(statuses)
        harness.generate('/stream/1', f'r{number}', tokens=5000 + number)
        statuses.append((await harness.read_response())[0])
    return statuses


def test_a_prefill_at_an_engine_that_leaves_is_used():
    """Its KV cache is part of the running request; nothing new goes there."""

    async def scenario(harness):
        make_prefill_engine(harness)
        statuses = await generate_until_prefill(harness)
        used = harness.upstreams[1].requests[-1].headers
        for number in range(12):
            harness.generate('/stream/1', f's{number}', tokens=5100 + number)
            statuses.append((await harness.read_response())[0])
        source = f'{harness.upstreams[0].address}/h1'
        return set(statuses), counts(harness)[0], used, source

    prefill = [[with_headers(gateway_harness.response(HANDLE), LEAVING)]]
    statuses, prefills, used, source = gateway_harness.run_scenario(
        [prefill, [ONE_EVENT]], scenario
    )
    assert (statuses, prefills) == ({200}, 1)
    assert used['x-dandelionwinch-kv-source'] == source


def test_an_engine_that_leaves_gets_no_call_for_cache_events():
    async def scenario(harness):
        watch = harness.gateway._cache_watch
        engine = harness.gateway.fleet.registry.get('u0')
        await watch._fetch(engine, 0)
        with pytest.raises(_pool.NotConnected):
            await watch._fetch(engine, 0)
        watch._placer = types.SimpleNamespace(
            watch_interval_s=lambda *_args: 1.0
        )
        watch._update(asyncio.get_running_loop().time())
        return list(watch._tasks), counts(harness)

    body = b'{"epoch": 1, "next": 2, "lost": false, "events": []}'
    events = with_headers(gateway_harness.response(body), LEAVING)
    found = gateway_harness.run_scenario([[[events]]], scenario)
    assert found == ([], [1])


@pytest.mark.parametrize('lines', ['', LEAVING])
def test_an_engine_that_leaves_gets_no_order(lines):
    async def scenario(harness):
        sender = _order_sender.OrderSender(
            harness.gateway.fleet, harness.gateway.wire_codec, 'a'
        )
        engine = harness.gateway.fleet.registry.get('u0')
        change = dispatch.RoleChange('u0', upstreams.Role.PREFILL)
        sent = await sender.send(engine, change, 1, lambda: True)
        return sent.status, [r.target for r in harness.requests]

    report = gateway_harness.response(b'{"busy": false, "sequence": 2}')
    accepted = gateway_harness.response(status='202 Accepted')
    scripts = [[[with_headers(report, lines)], [accepted]]]
    status, targets = gateway_harness.run_scenario(scripts, scenario)
    expected = ['/-/report'] if lines else ['/-/report', '/-/order']
    assert targets == expected
    assert status == (0 if lines else 202)


def test_an_order_that_is_not_delivered_soon_is_dropped(monkeypatch):
    """It could arrive after the orders of the next holder of the lease.

    The system repeats bytes that were not acknowledged for minutes, also
    after the connection was closed.
    """
    options = []
    send = _connection.Connection.send

    def recorded_send(conn, data):
        sock = conn._transport.get_extra_info('socket')
        tcp, level = socket.IPPROTO_TCP, socket.SOL_SOCKET
        options.append(
            (
                data.split(b' ')[1].decode(),
                sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT),
                struct.unpack(
                    'ii', sock.getsockopt(level, socket.SO_LINGER, 8)
                ),
            )
        )
        send(conn, data)

    monkeypatch.setattr(_connection.Connection, 'send', recorded_send)

    async def scenario(harness):
        sender = _order_sender.OrderSender(
            harness.gateway.fleet, harness.gateway.wire_codec, 'a'
        )
        engine = harness.gateway.fleet.registry.get('u0')
        change = dispatch.RoleChange('u0', upstreams.Role.PREFILL)
        return await sender.send(engine, change, 1, lambda: True)

    report = gateway_harness.response(b'{"busy": false, "sequence": 2}')
    accepted = gateway_harness.response(status='202 Accepted')
    sent = gateway_harness.run_scenario([[[report], [accepted]]], scenario)
    assert sent.status == 202
    limit_ms = round(leadership.CALL_DELIVERY_S * 1e3)
    assert options[-1] == ('/-/order', limit_ms, (1, 0))


@pytest.mark.parametrize('value', ['0', 'yes', '2', '1, 1', 'x' * 300])
def test_a_malformed_announcement_is_logged_once_and_loses_nothing(value):
    async def scenario(harness):
        statuses = [await call(harness, '/once/1', f'r{n}') for n in range(3)]
        logged = [
            fields
            for name, fields in harness.log.events
            if name == 'upstream.header_invalid'
        ]
        return statuses, logged

    lines = f'Server-Leaving: {value}\r\n'.encode('latin-1')
    odd = GOOD.replace(b'\r\n', b'\r\n' + lines, 1)
    statuses, logged = gateway_harness.run_scenario([[[odd]]], scenario)
    assert statuses == [200] * 3
    assert [entry['upstream'] for entry in logged] == ['u0']
    assert len(logged[0]['value']) <= 80


@pytest.mark.parametrize(
    ('value', 'date', 'wait_s', 'malformed'),
    [
        ('7', '', 7.0, False),
        (' 7 ', '', 7.0, False),
        ('0', '', 0.0, False),
        ('1.25', '', 1.25, False),
        ('.5', '', 0.5, False),
        ('3600', '', 3600.0, False),
        ('-2', '', 0.0, True),
        (LATER_DATE, DATE, 9.0, False),
        (DATE, LATER_DATE, 0.0, False),
        (LATER_DATE, '', _retry_after.UNREADABLE_WAIT_S, True),
        ('Fri, 99 Dec 2026 99:99:99 GMT', DATE, 1.0, True),
        ('soon', '', _retry_after.UNREADABLE_WAIT_S, True),
        ('nan', '', _retry_after.UNREADABLE_WAIT_S, True),
        ('inf', DATE, _retry_after.UNREADABLE_WAIT_S, True),
        ('1e3', DATE, _retry_after.UNREADABLE_WAIT_S, True),
        ('1_0', DATE, _retry_after.UNREADABLE_WAIT_S, True),
        ('7, 9', DATE, _retry_after.UNREADABLE_WAIT_S, True),
        ('7s', DATE, _retry_after.UNREADABLE_WAIT_S, True),
    ],
)
def test_what_a_retry_after_asks_for(value, date, wait_s, malformed):
    expected = _retry_after.RetryAfter(wait_s, malformed)
    assert _retry_after.parse(value, date) == expected


@hypothesis.given(strategies.text(max_size=60), strategies.text(max_size=60))
def test_no_retry_after_fails(value, date):
    assert _retry_after.parse(value, date).wait_s >= 0.0


@pytest.mark.parametrize(
    ('first', 'status', 'sent'),
    [
        ([TURNED_AWAY], 200, [1, 4]),
        # An answer to another request, which is skipped.
        (
            [
                samples.refusal(more=f'{samples.REQUEST_ID}: old\r\n{PAUSE}')
                + GOOD
            ],
            200,
            [1, 3],
        ),
        # Not a status that turns away.
        ([gateway_harness.response(more=PAUSE)], 200, [4, 0]),
        # No pause.
        ([samples.refusal(more='Retry-After: 0\r\n')], 200, [4, 1]),
        ([samples.refusal(more='Retry-After: -9\r\n')], 200, [4, 1]),
        ([samples.refusal()], 200, [4, 1]),
        # Text asks for a pause, too.
        ([samples.refusal(more='Retry-After: soon\r\n')], 200, [1, 4]),
    ],
)
def test_an_upstream_that_turns_away_gets_nothing_for_its_time(
    first, status, sent
):
    async def scenario(harness):
        prefer_first(harness)
        got = await call(harness, '/safe/1', 'r1')
        later = [await call(harness, '/safe/1', f'r{n}') for n in (2, 3, 4)]
        return got, later, counts(harness)

    got, later, seen = gateway_harness.run_scenario(
        [[first, [GOOD]], [[GOOD]]], scenario
    )
    assert (got, later, seen) == (status, [200] * 3, sent)


def test_an_upstream_that_turned_away_returns_after_its_time():
    async def scenario(harness):
        prefer_first(harness)
        await call(harness, '/safe/1', 'r1')
        await call(harness, '/safe/1', 'r2')
        upstream = harness.gateway.fleet.registry.get('u0')
        now = asyncio.get_running_loop().time()
        left_s = upstream.held_off_until - now
        upstream.held_off_until = now - upstream.ramp_s
        await call(harness, '/safe/1', 'r3')
        events = dict(harness.log.events)
        return counts(harness), left_s, events['upstream.held_off']

    seen, left_s, logged = gateway_harness.run_scenario(
        [[[TURNED_AWAY], [GOOD]], [[GOOD]]], scenario
    )
    assert seen == [2, 2]
    assert logged['upstream'] == 'u0'
    assert 70.0 <= logged['held_s'] <= 72.0
    assert left_s <= logged['held_s'] + 0.001


@pytest.mark.parametrize('path', ['/once/1', '/safe/1', '/resume/1'])
def test_a_service_without_an_upstream_for_now_refuses_at_once(path):
    """No request waits for the end of the pause, whatever its deadline."""

    async def scenario(harness):
        answers = []
        for number in range(4):
            if path == '/resume/1':
                harness.generate(path, f'r{number}')
            else:
                harness.send(path, f'r{number}')
            status, headers, _body = await harness.read_response()
            answers.append((status, float(headers['retry-after'])))
        return answers, counts(harness)

    scripts = [[[TURNED_AWAY]], [[TURNED_AWAY]]]
    answers, seen = gateway_harness.run_scenario(scripts, scenario)
    assert seen == [1, 1]
    assert [status for status, _wait_s in answers] == [503] * 4
    # The first one may be sent to one upstream only.
    for _status, wait_s in answers[2:]:
        assert 30.0 < wait_s < 75.0


def test_a_service_whose_upstreams_all_leave_refuses_at_once():
    async def scenario(harness):
        statuses = [await call(harness, '/once/1', f'r{n}') for n in range(4)]
        return statuses, counts(harness)

    script = [[with_headers(GOOD, LEAVING)]]
    statuses, seen = gateway_harness.run_scenario([script] * 2, scenario)
    assert (statuses, seen) == ([200, 200, 503, 503], [1, 1])


def test_a_prefill_engine_that_turns_away_gets_no_prompt():
    async def scenario(harness):
        make_prefill_engine(harness)
        statuses = await generate_until_prefill(harness)
        for number in range(12):
            harness.generate('/stream/1', f's{number}', tokens=5100 + number)
            statuses.append((await harness.read_response())[0])
        return statuses, counts(harness)[0]

    _statuses, prefills = gateway_harness.run_scenario(
        [[[TURNED_AWAY]], [ONE_EVENT]], scenario
    )
    assert prefills == 1


def test_an_engine_that_turns_away_gets_no_call_for_cache_events():
    async def scenario(harness):
        watch = harness.gateway._cache_watch
        engine = harness.gateway.fleet.registry.get('u0')
        with pytest.raises(_connection.ConnectionLost):
            await watch._fetch(engine, 0)
        with pytest.raises(_pool.NotConnected):
            await watch._fetch(engine, 0)
        return counts(harness)

    assert gateway_harness.run_scenario([[[TURNED_AWAY]]], scenario) == [1]


def test_an_engine_that_turns_a_report_away_gets_none():
    async def scenario(harness):
        sender = _order_sender.OrderSender(
            harness.gateway.fleet, harness.gateway.wire_codec, 'a'
        )
        engine = harness.gateway.fleet.registry.get('u0')
        change = dispatch.RoleChange('u0', upstreams.Role.PREFILL)
        for _turn in range(2):
            await sender.send(engine, change, 1, lambda: True)
        return [r.target for r in harness.requests]

    found = gateway_harness.run_scenario([[[TURNED_AWAY]]], scenario)
    assert found == ['/-/report']


def test_a_malformed_pause_is_logged_once():
    async def scenario(harness):
        upstream = harness.gateway.fleet.registry.get('u0')
        for number in range(3):
            await call(harness, '/once/1', f'r{number}')
            upstream.held_off_until = 0.0
        return harness.log.names().count('upstream.header_invalid')

    refusal = samples.refusal(more='Retry-After: soon\r\n')
    assert gateway_harness.run_scenario([[[refusal]]], scenario) == 1
