"""Tests of graceful stops: what is taken, refused, answered and sent."""

import asyncio
import re
import signal
import socket

import attrs
import pytest

from dandelionwinch import control
from dandelionwinch.gateway import _server
from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import instance_harness
from dandelionwinch.tests import recorder
from dandelionwinch import upstreams

# Bytes of a socket's buffer; far less than a response.
SMALL_BUFFER = 1 << 16
# A stop of this length ends before any request below could.
SHORT_GRACE_S = 1
LONG_ROUTE = samples.route_of(
    'long', routes.RetryPolicy.RESUMABLE, streaming=True, timeout_s=30.0
)
ONCE_ROUTE = samples.route_of('once', routes.RetryPolicy.ONCE, timeout_s=30.0)


@pytest.fixture(autouse=True)
def no_sweeps(monkeypatch):
    """Keeps idle connections open, so that none is closed on a request."""
    monkeypatch.setattr(_server, 'SWEEP_INTERVAL_S', 60.0)


def _draft(request_id='r1'):
    return samples.request(
        '/long/1', request_id, timeout_ms=16000, prompt=(40, 60)
    )


def _call(request_id='r1'):
    return samples.request('/once/1', request_id, timeout_ms=16000)


async def _read_head(reader):
    """Returns status and header names of a response, (0, set()) if none."""
    async with asyncio.timeout(recorder.TIMEOUT_S):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, set()
    first, *lines = head.decode().strip().split('\r\n')
    names = {line.partition(':')[0].lower() for line in lines}
    return int(first.split(' ')[1]), names


async def _read_all(reader):
    """Returns all bytes until the connection ends in any way."""
    data = b''
    async with asyncio.timeout(recorder.TIMEOUT_S):
        try:
            while received := await reader.read(1 << 16):
                data += received
        except ConnectionError:
            pass
    return data


def _run(kv, tmp_path, script, route, scenario):
    """Runs a scenario of an instance that has a short time to stop."""

    async def run():
        upstream = scripted.ScriptedUpstream(samples.REQUEST_ID, [script])
        await upstream.start()
        running = instance_harness.RunningInstance(
            kv, tmp_path / 'none', SHORT_GRACE_S
        )
        async with running:
            await running.serve(upstream.address, route)
            result = await scenario(running, upstream)
        await upstream.close()
        return result

    return asyncio.run(run())


async def _stop(running):
    """Stops the instance and closes it as the process does."""
    running.process.instance.stop()
    await running.process.instance.wait()
    running.process.close()


def test_a_request_that_cannot_end_before_the_stop_is_refused(kv, tmp_path):
    """Incident: taken 5 s after SIGTERM and cut in its stream."""

    async def scenario(running, upstream):
        reader, writer = await running.connect('callers')
        stopping = asyncio.create_task(_stop(running))
        await running.log.wait_until(
            lambda: 'instance.stopping' in running.log.names()
        )
        writer.write(_draft())
        response = await _read_head(reader)
        await stopping
        writer.close()
        return response, len(upstream.requests)

    script = [
        gateway_harness.STREAM_HEAD,
        gateway_harness.chunk(gateway_harness.event(1)),
        scripted.HANG,
    ]
    (status, names), sent = _run(kv, tmp_path, script, LONG_ROUTE, scenario)
    assert (status, sent) == (503, 0)
    assert {'retry-after', 'connection'} <= names


def test_a_request_that_ends_before_the_stop_is_served(kv, tmp_path):
    """A caller with an older address is not sent away without need."""

    async def scenario(running, upstream):
        _reader, writer = await running.connect('callers')
        stopping = asyncio.create_task(_stop(running))
        await running.log.wait_until(
            lambda: 'instance.stopping' in running.log.names()
        )
        writer.write(samples.request('/once/1', 'r1', timeout_ms=300))
        await running.log.wait_until(lambda: upstream.requests)
        await stopping
        writer.close()
        return [req.headers[samples.REQUEST_ID] for req in upstream.requests]

    script = [gateway_harness.response()]
    assert _run(kv, tmp_path, script, ONCE_ROUTE, scenario) == ['r1']


def test_a_request_that_the_end_of_a_stop_meets_is_answered(kv, tmp_path):
    async def scenario(running, upstream):
        reader, writer = await running.connect('callers')
        writer.write(_call())
        await running.log.wait_until(lambda: upstream.requests)
        await _stop(running)
        response = await _read_head(reader)
        writer.close()
        return response

    script = [scripted.HANG]
    status, _names = _run(kv, tmp_path, script, ONCE_ROUTE, scenario)
    # Sent and without a response: it may have run.
    assert status == 502


async def _connect_with_small_buffers(running):
    """Connects a caller that reads nothing until it is asked to.

    The kernel's buffers would else hold several megabytes, and how many
    depends on the memory of the machine.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.setblocking(False)
    port = running.process.instance.ports()['callers']
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ('127.0.0.1', port))
    server = running.process.instance._caller_server
    async with asyncio.timeout(recorder.TIMEOUT_S):
        while not server.connections:
            await asyncio.sleep(0)
    (conn,) = server.connections
    accepted = conn._transport.get_extra_info('socket')
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
    return await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER), conn


def _responses(data):
    """Returns status and body of each complete response in some bytes."""
    found = []
    while data:
        head, end, rest = data.partition(b'\r\n\r\n')
        assert end, 'an incomplete head'
        length = int(re.search(rb'(?i)content-length: (\d+)', head)[1])
        assert len(rest) >= length, 'an incomplete body'
        found.append((int(head.split(b' ')[1]), rest[:length]))
        data = rest[length:]
    return found


def test_a_stop_ends_only_when_the_responses_are_sent(kv, tmp_path):
    """Incident: what was written and not sent was lost with the process."""
    body = b'x' * (1 << 20)

    async def scenario(running, _upstream):
        (reader, writer), conn = await _connect_with_small_buffers(running)
        writer.write(_call())
        names = running.log.names
        await running.log.wait_until(lambda: 'request.answered' in names())
        unsent = conn.unread_bytes
        stopping = asyncio.create_task(_stop(running))
        ends = {'instance.stopped', 'instance.finishing'}
        await running.log.wait_until(lambda: ends & set(names()))
        got = await _read_all(reader)
        await stopping
        writer.close()
        return unsent, got

    script = [gateway_harness.response(body)]
    unsent, got = _run(kv, tmp_path, script, ONCE_ROUTE, scenario)
    assert unsent > len(body) // 2
    assert _responses(got) == [(200, body)]


@pytest.mark.parametrize('event', ['instance.stopping', 'instance.finishing'])
def test_a_stop_answers_requests_behind_an_unread_response(
    kv, tmp_path, event
):
    """Incident: accepted requests were cut, as a reader before was slow.

    They wait until the responses before them are read, and the stop comes
    meanwhile.
    """
    requests, body = 6, b'x' * (1 << 20)

    async def scenario(running, upstream):
        (reader, writer), conn = await _connect_with_small_buffers(running)
        for number in range(requests):
            writer.write(_call(f'r{number}'))
        names = running.log.names
        await running.log.wait_until(lambda: 'request.answered' in names())
        async with asyncio.timeout(recorder.TIMEOUT_S):
            while len(conn._queue) < requests - 1:
                await asyncio.sleep(0)
        answered = names().count('request.answered')
        stopping = asyncio.create_task(_stop(running))
        await running.log.wait_until(lambda: event in names())
        got = await _read_all(reader)
        await stopping
        writer.close()
        return answered, len(upstream.requests), got

    script = [gateway_harness.response(body)]
    answered, sent, got = _run(kv, tmp_path, script, ONCE_ROUTE, scenario)
    assert answered == 1
    responses = _responses(got)
    served = [item for item in responses if item == (200, body)]
    refused = [status for status, _body in responses if status == 503]
    assert len(served) + len(refused) == requests
    # A refused request was not run.
    assert len(served) == sent


def test_a_stop_answers_on_a_connection_that_waits_to_be_accepted(
    kv, tmp_path, monkeypatch
):
    """It came while the loop was held up, right before the end of a stop."""
    sockets = []
    finish = _server.Server.finish

    async def scenario(running, upstream):
        server = running.process.instance._caller_server

        def finish_late(finished):
            if finished is server:
                sock = socket.create_connection(('127.0.0.1', server.port))
                sock.sendall(_call())
                sockets.append(sock)
            finish(finished)

        monkeypatch.setattr(_server.Server, 'finish', finish_late)
        await _stop(running)
        reader, writer = await asyncio.open_connection(sock=sockets[0])
        response = await _read_head(reader)
        writer.close()
        return response, len(upstream.requests)

    (status, names), sent = _run(kv, tmp_path, [], ONCE_ROUTE, scenario)
    assert (status, sent) == (503, 0)
    assert {'retry-after', 'connection'} <= names


def test_failed_requests_do_not_tell_how_long_a_stream_takes():
    """Three refusals made a stream look short, which was then cut."""

    async def scenario(harness):
        for number in range(3):
            harness.generate('/stream/1', f'r{number}')
            await harness.read_response()
        loop = asyncio.get_running_loop()
        harness.gateway.begin_stop(loop.time() + 0.5)
        harness.generate('/stream/1', 'late')
        return await harness.read_response(), len(harness.requests)

    refused = [[samples.refusal()]] * 3
    script = [*refused, [gateway_harness.STREAM_HEAD, scripted.RESET]]
    (status, _headers, _body), sent = gateway_harness.run_scenario(
        [script], scenario
    )
    assert (status, sent) == (503, 3)


def test_the_log_tells_how_long_a_stop_had_lasted():
    async def scenario(harness):
        stops = []
        for request_id in ('before', 'after'):
            harness.send('/once/1', request_id)
            await harness.read_response()
            if request_id == 'before':
                loop = asyncio.get_running_loop()
                harness.gateway.begin_stop(loop.time() + 60.0)
        for name, fields in harness.log.events:
            if name == 'request.answered':
                stops.append((fields['request'], fields['stopping_s']))
        return dict(stops)

    script = [[gateway_harness.response()]]
    stops = gateway_harness.run_scenario([script], scenario)
    assert stops['before'] is None
    assert stops['after'] >= 0


@pytest.mark.parametrize(
    ('path', 'prefill', 'script', 'status'),
    [
        ('/once/1', False, [scripted.HANG], 502),
        ('/stream/1', False, [scripted.HANG], 502),
        # Only its prefill was sent, so it has not run.
        ('/stream/1', True, [scripted.HANG], 503),
    ],
)
def test_the_final_response_of_a_stop_is_true(path, prefill, script, status):
    async def scenario(harness):
        if prefill:
            registry = harness.gateway.fleet.registry
            entry = registry.get('u0').entry
            role = upstreams.Role.PREFILL
            registry.apply(attrs.evolve(entry, role=role))
        harness.generate(path, tokens=5000)
        await harness.log.wait_until(lambda: harness.requests)
        harness.gateway.end_requests()
        return await harness.read_response()

    scripts = [[script], [script]] if prefill else [[script]]
    got = gateway_harness.run_scenario(scripts, scenario)
    assert got[0] == status
    assert ('retry-after' in got[1]) is (status == 503)


def test_a_signal_during_the_start_does_not_end_the_process(
    kv, tmp_path, monkeypatch
):
    """Both signals ended it at once until it had started."""
    handled = []
    start = control.Instance.start

    async def checked(instance):
        handled.extend(
            signal.getsignal(number) is not signal.SIG_DFL
            for number in (signal.SIGTERM, signal.SIGHUP)
        )
        await start(instance)

    monkeypatch.setattr(control.Instance, 'start', checked)

    async def scenario():
        async with instance_harness.RunningInstance(kv, tmp_path / 'none'):
            pass

    asyncio.run(scenario())
    assert handled == [True, True]


def test_a_stop_during_the_start_ends(kv, tmp_path, monkeypatch):
    start = control.Instance.start

    async def stopped_before(instance):
        instance.stop()
        await start(instance)

    monkeypatch.setattr(control.Instance, 'start', stopped_before)

    async def scenario():
        running = instance_harness.RunningInstance(
            kv, tmp_path / 'none', SHORT_GRACE_S
        )
        async with running, asyncio.timeout(recorder.TIMEOUT_S):
            await running.process.instance.wait()

    asyncio.run(scenario())


WORK_S = 0.3
INTERVAL_S = 0.05
GRACE_S = 3


class _WorkingUpstream(scripted.ScriptedUpstream):
    """Works for a while before it answers."""

    async def _respond(self, req, reader, writer):
        await asyncio.sleep(WORK_S)
        return await super()._respond(req, reader, writer)


def _ids(upstream):
    """Returns the ids of the requests that an upstream got."""
    return {req.headers.get(samples.REQUEST_ID) for req in upstream.requests}


async def _take(idle, port):
    """Returns a connection that was idle, or a new one."""
    if idle:
        return idle.pop()
    return await asyncio.open_connection('127.0.0.1', port)


async def _ask(conn, request_id, request):
    """Sends a request; returns its id and status, 0 without a whole answer."""
    reader, writer = conn
    writer.write(request)
    status, _names = await _read_head(reader)
    if status == 200:
        async with asyncio.timeout(recorder.TIMEOUT_S):
            try:
                end = b'0\r\n\r\n' if b'/long/' in request else b'hello'
                await reader.readuntil(end)
            except (asyncio.IncompleteReadError, ConnectionError):
                status = 0
    writer.close()
    return request_id, status


@pytest.mark.parametrize('kept', [True, False], ids=['kept', 'new'])
@pytest.mark.parametrize('route', [LONG_ROUTE, ONCE_ROUTE])
def test_all_that_is_sent_on_during_a_stop_is_answered(
    kv, tmp_path, route, kept
):
    """Second report of other operators: cut at the end of the grace.

    Requests come all the time from before the stop to its end, on connections
    that were idle and on new ones. How many are sent on depends on how long
    they took before, but for the first ones.
    """

    def request(request_id):
        if route is ONCE_ROUTE:
            return samples.request('/once/1', request_id, timeout_ms=16000)
        return _draft(request_id)

    script = [gateway_harness.response()]
    if route is LONG_ROUTE:
        script = [
            gateway_harness.STREAM_HEAD,
            gateway_harness.chunk(gateway_harness.event(1)),
            gateway_harness.LAST_CHUNK,
        ]

    async def scenario():
        upstream = _WorkingUpstream(samples.REQUEST_ID, [script])
        await upstream.start()
        running = instance_harness.RunningInstance(
            kv, tmp_path / 'none', GRACE_S
        )
        async with running:
            await running.serve(upstream.address, route)
            for number in range(4):
                conn = await running.connect('callers')
                await _ask(conn, f'w{number}', request(f'w{number}'))
            port = running.process.instance.ports()['callers']
            idle = []
            while kept and len(idle) < GRACE_S / INTERVAL_S:
                idle.append(await running.connect('callers'))
            asked = []
            for number in range(3):
                conn = await running.connect('callers')
                ask = _ask(conn, f'e{number}', request(f'e{number}'))
                asked.append(asyncio.create_task(ask))
            early = {'e0', 'e1', 'e2'}
            async with asyncio.timeout(recorder.TIMEOUT_S):
                while not early <= _ids(upstream):
                    await asyncio.sleep(0)
            stopping = asyncio.create_task(_stop(running))
            while not stopping.done():
                request_id = f'r{len(asked)}'
                try:
                    conn = await _take(idle, port)
                except OSError:
                    break
                ask = _ask(conn, request_id, request(request_id))
                asked.append(asyncio.create_task(ask))
                await asyncio.sleep(INTERVAL_S)
            statuses = dict(await asyncio.gather(*asked))
            await stopping
        await upstream.close()
        return statuses, _ids(upstream)

    statuses, sent = asyncio.run(scenario())
    assert {statuses[name] for name in sent if name in statuses} == {200}
    refused = {status for name, status in statuses.items() if name not in sent}
    assert refused <= {0, 503}
