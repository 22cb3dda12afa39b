"""Calls of teams above their share at an instance, in virtual time."""

import asyncio

import attrs
import pytest

from dandelionwinch.gateway import _call_gate
from dandelionwinch.gateway import _fair_sharing
from dandelionwinch.gateway import _fleet
from dandelionwinch.gateway import _metrics
from dandelionwinch.gateway import _peer_link
from dandelionwinch.gateway import _suspicion
from dandelionwinch import limits
from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.standins import scripted
from dandelionwinch import teams
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual
from dandelionwinch import upstreams

DIRECTORY = teams.TeamDirectory(
    [
        (teams.Team('large'), [teams.digest(b'k')]),
        (teams.Team('small'), [teams.digest(b'q')]),
    ]
)
SHARES = limits.Shares(100.0, 200.0, 5.0, (limits.Excess('large', 0.9, 0.1),))


class Site:
    """A gate, its sharing and two upstreams with four slots each."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        log = recorder.Recorder()
        self.fleet = fleet = _fleet.Fleet(self.loop)
        service = routes.Service('s', 64)
        fleet.table = routes.RouteTable(
            1, [], [service], routes.Limits(), DIRECTORY
        )
        for number in range(2):
            entry = upstreams.Entry(
                *(f'u{number}', 's', '127.0.0.1:1', 'dc', 1, True),
                upstreams.Role.PLAIN,
                4,
            )
            fleet.registry.apply(entry)
        link = _peer_link.PeerLink(self.loop, log, 'i0')
        self.sharing = _fair_sharing.FairSharing(
            self.loop, link, fleet, log, 'i0'
        )
        self.metrics = _metrics.Metrics()
        self.gate = _call_gate.CallGate(
            self.loop, fleet, self.sharing, self.metrics.registry
        )
        self.count = 0

    def announce(self, shares=SHARES):
        self.sharing.take_shares('s', 1, shares, 'i1')

    def enter(self, team='large', due_s=10.0):
        """Returns the task of a call."""
        self.count += 1
        request_id = f'r{self.count}'
        self.sharing.record_asked('s', team, request_id)
        call = limits.QueuedCall(
            team, 1.0, self.loop.time() + due_s, request_id
        )
        return self.loop.create_task(self.gate.enter('s', call))


def run_site(scenario):
    async def run():
        site = Site()
        try:
            return await scenario(site)
        finally:
            site.gate.close()

    return virtual.run(run())


def test_calls_beyond_the_limit_wait_for_those_that_end():
    """The limit is 2.5 x 8 slots x 0.1 of the capacity at one instance."""

    async def scenario(site):
        site.announce()
        tasks = [site.enter() for _ in range(4)]
        await asyncio.sleep(0.01)
        assert [task.done() for task in tasks] == [True, True, False, False]
        await asyncio.sleep(0.1)
        assert not tasks[2].done()
        for task in tasks[:2]:
            site.gate.end(task.result(), answered=True)
        await asyncio.sleep(0.2)
        assert all(task.done() for task in tasks[:4])
        text = site.metrics.text().decode()
        assert 'limited_calls_total{result="waited"} 2.0' in text

    run_site(scenario)


def test_teams_with_their_share_pass_at_once():
    async def scenario(site):
        site.announce()
        tasks = [site.enter('small') for _ in range(500)]
        await asyncio.sleep(0)
        assert [task.result() for task in tasks] == [None] * 500
        assert not site.gate._services

    run_site(scenario)


def test_without_news_of_the_holder_nothing_waits_any_more():
    """A holder that died must not hold back calls."""

    async def scenario(site):
        site.announce()
        waiting = [site.enter() for _ in range(12)][2:]
        await asyncio.sleep(4.8)
        assert not waiting[-1].done()
        await asyncio.sleep(0.4)
        assert all(task.done() for task in waiting)
        assert await site.enter() is None
        # A later shortage is limited as the first one was.
        site.announce()
        tasks = [site.enter() for _ in range(30)]
        await asyncio.sleep(0.01)
        assert not tasks[-1].done()

    run_site(scenario)


def test_a_call_without_time_is_refused_at_once_with_a_time():
    async def scenario(site):
        site.announce()
        tasks = [site.enter(due_s=0.3) for _ in range(60)]
        await asyncio.sleep(0)
        errors = [t.exception() for t in tasks if t.done()]
        refused = [e for e in errors if e is not None]
        assert all(isinstance(e, _call_gate.CallRefused) for e in refused)
        assert len(refused) > 50
        times = [e.retry_after_s for e in refused]
        assert len(set(times)) > 40 and max(times) <= 5.0
        # Those that wait are refused before their deadline has passed.
        await asyncio.sleep(0.3)
        assert all(task.done() for task in tasks)

    run_site(scenario)


def test_calls_of_a_team_that_has_its_share_again_wait_no_longer():
    """Later calls of the team pass at once, so these must not be refused."""

    async def scenario(site):
        site.announce()
        waiting = [site.enter() for _ in range(6)][2:]
        await asyncio.sleep(0.01)
        excess = limits.Excess('small', 0.9, 0.1)
        site.announce(attrs.evolve(SHARES, excesses=(excess,)))
        await asyncio.sleep(0.2)
        assert all(task.done() for task in waiting)
        # They are no longer limited, and their ends change nothing.
        queue = site.gate._services['s'].queue
        assert queue.in_flight == 2
        site.gate.end(waiting[0].result(), answered=True)
        site.gate.leave(waiting[1].result())
        assert queue.in_flight == 2

    run_site(scenario)


def test_a_caller_that_leaves_the_queue_frees_its_place():
    async def scenario(site):
        site.announce()
        tasks = [site.enter() for _ in range(4)]
        await asyncio.sleep(0.01)
        tasks[2].cancel()
        await asyncio.sleep(0.01)
        queue = site.gate._services['s'].queue
        assert (queue.waiting, queue.in_flight) == (1, 2)
        # One that was sent counts until it should have ended.
        site.gate.leave(tasks[0].result())
        assert queue.in_flight == 2
        await asyncio.sleep(0.5)
        assert tasks[3].done() and not queue.waiting

    run_site(scenario)


def test_a_repeat_is_the_first_call_of_its_team_after_an_announcement():
    """It is not counted again, so that nothing is known to be asked for."""

    async def scenario(site):
        site.sharing.record_refused('s', 'large', 'r1')
        site.announce()
        permission = await site.enter()
        assert permission.call.id == 'r1'

    run_site(scenario)


def test_calls_wait_on_while_their_service_leaves_the_configuration():
    async def scenario(site):
        site.announce()
        tasks = [site.enter() for _ in range(5)]
        await asyncio.sleep(0.01)
        site.fleet.table = routes.RouteTable(
            2, [], [], routes.Limits(), DIRECTORY
        )
        site.sharing._tick()
        await asyncio.sleep(0.2)
        assert all(task.done() for task in tasks)
        site.sharing.close()

    run_site(scenario)


def _call_sent(harness, key='k', request_id='r1'):
    header = samples.key_header(key)
    harness.send('/safe/1', request_id, headers=[header])
    return harness.read_response()


def _ids(harness):
    return [req.headers[samples.REQUEST_ID] for req in harness.requests]


async def _rows(harness):
    """Returns what the instance counted, after its handlers have ended."""
    await asyncio.sleep(0)
    sharing = harness.gateway.fair_sharing
    counts = sharing._services['s'].counts
    rows, _span_s = counts.end_period(harness.gateway.loop.time(), True)
    return rows


def _run(steps, scenario, directory=DIRECTORY):
    return gateway_harness.run_scenario(steps, scenario, directory=directory)


@pytest.mark.parametrize('announced', [None, 'other', 's'])
@pytest.mark.parametrize('directory', [None, DIRECTORY])
def test_without_excess_a_call_takes_the_present_path(
    directory, announced, monkeypatch
):
    """No team, no shortage, or a shortage in which the team has its share."""

    monkeypatch.setattr(_call_gate.CallGate, 'enter', None)

    async def scenario(harness):
        gateway = harness.gateway
        if announced:
            gateway.fair_sharing.take_shares(announced, 1, SHARES, 'i1')
        key = 'q' if announced == 's' else 'k'
        status, _headers, body = await _call_sent(harness, key)
        (req,) = harness.requests
        assert not gateway.call_gate._services
        headers = dict(req.headers)
        # It is the time that is left.
        del headers['x-dandelionwinch-request-timeout-ms']
        headers.pop('authorization', None)
        headers.pop('x-dandelionwinch-tenant', None)
        return status, body, req.method, req.target, req.body, headers

    found = _run([[[gateway_harness.response()]]], scenario, directory)
    assert found[:2] == (200, b'hello')
    if directory is not None:
        bare = _run([[[gateway_harness.response()]]], _bare_call, None)
        assert found[2:] == bare


async def _bare_call(harness):
    harness.send('/safe/1', 'r1')
    await harness.read_response()
    (req,) = harness.requests
    headers = dict(req.headers)
    del headers['x-dandelionwinch-request-timeout-ms']
    return req.method, req.target, req.body, headers


def test_a_call_above_the_share_is_refused_as_not_run():
    """While the calls before it take all of the limit and all its time."""

    async def scenario(harness):
        gateway = harness.gateway
        gateway.fair_sharing.take_shares('s', 1, SHARES, 'i1')
        queue = gateway.call_gate._of('s').queue
        queue.set_limit(0.001, 0.1, gateway.loop.time())
        gateway.call_gate._services['s'].limited_at = float('inf')
        first = await _call_sent(harness, request_id='r1')
        second = await _call_sent(harness, request_id='r2')
        other = await _call_sent(harness, 'q', 'r3')
        return first, second, other, _ids(harness), await _rows(harness)

    first, second, other, ids, rows = _run(
        [[[gateway_harness.response()]]], scenario
    )
    assert (first[0], second[0], other[0]) == (200, 503, 200)
    assert float(second[1]['retry-after']) > 1.0
    assert b'above its share' in second[2]
    assert ids == ['r1', 'r3']
    assert rows == [('large', 1, 0, 1), ('small', 1, 0, 0)]


async def _call_in_queue(harness, timeout_ms=3000):
    """Sends a call that waits for one in flight; returns how to end that."""
    gateway = harness.gateway
    now = gateway.loop.time()
    route = attrs.evolve(gateway_harness.ROUTES[0], objective_s=5.0)
    services = gateway.fleet.table.services.values()
    gateway.fleet.table = routes.RouteTable(
        2, [route], services, routes.Limits(), DIRECTORY
    )
    gateway.fair_sharing.take_shares('s', 1, SHARES, 'i1')
    gate = gateway.call_gate
    gate._of('s').limited_at = float('inf')
    gate._of('s').queue.set_limit(1.0, 0.001, now)
    first = limits.QueuedCall('large', 1.0, now + 60.0, 'r0')
    permission = await gate.enter('s', first)
    header = samples.key_header('k')
    harness.send('/safe/1', 'r1', headers=[header], timeout_ms=timeout_ms)
    while not gate._of('s').queue.waiting:
        await asyncio.sleep(0)
    return lambda: gate.end(permission, answered=False)


@pytest.mark.parametrize(('left_s', 'status'), [(0.5, 503), (60.0, 200)])
def test_a_call_that_waited_is_sent_only_if_it_ends_before_a_stop(
    left_s, status
):
    """One sent right before the end of the stop would be cut, as unknown."""

    async def scenario(harness):
        gateway = harness.gateway
        end_first = await _call_in_queue(harness)
        gateway.begin_stop(gateway.loop.time() + left_s)
        end_first()
        found, headers, _body = await harness.read_response()
        queue = gateway.call_gate._of('s').queue
        await asyncio.sleep(0)
        return found, 'retry-after' in headers, _ids(harness), queue.in_flight

    found = _run([[[gateway_harness.response()]]], scenario)
    ids = ['r1'] if status == 200 else []
    assert found == (status, status == 503, ids, 0)


def test_a_call_in_the_queue_is_refused_at_the_end_of_a_stop():
    async def scenario(harness):
        gateway = harness.gateway
        await _call_in_queue(harness)
        gateway.begin_stop(gateway.loop.time())
        gateway.end_requests()
        status, headers, _body = await harness.read_response()
        queue = gateway.call_gate._of('s').queue
        return status, 'retry-after' in headers, queue.waiting

    found = _run([[[gateway_harness.response()]]], scenario)
    assert found == (503, True, 0)


def test_a_call_that_waits_for_no_upstream_is_refused():
    """The service may lose all upstreams while a call waits."""

    async def scenario(harness):
        end_first = await _call_in_queue(harness)
        harness.gateway.fleet.registry.remove('u0', 0.0)
        end_first()
        status, headers, _body = await harness.read_response()
        await asyncio.sleep(0)
        queue = harness.gateway.call_gate._of('s').queue
        return status, 'retry-after' in headers, queue.in_flight

    found = _run([[[gateway_harness.response()]]], scenario)
    assert found == (503, True, 0)


def _put_in_force(harness, services, directory):
    harness.gateway.set_table(
        routes.RouteTable(
            3,
            list(gateway_harness.ROUTES),
            services,
            routes.Limits(),
            directory,
        )
    )


def test_a_call_whose_key_is_removed_while_it_waits_is_served():
    """Its key was valid when it arrived; later calls with it are refused."""

    async def scenario(harness):
        end_first = await _call_in_queue(harness)
        services = harness.gateway.fleet.table.services.values()
        others = [(teams.Team('small'), [teams.digest(b'q')])]
        _put_in_force(harness, services, teams.TeamDirectory(others))
        end_first()
        first = await harness.read_response()
        second = await _call_sent(harness, request_id='r2')
        (req,) = harness.requests
        assert req.headers['x-dandelionwinch-tenant'] == 'large'
        assert 'authorization' not in req.headers
        return first[0], second[0]

    found = _run([[[gateway_harness.response()]]], scenario)
    assert found == (200, 401)


def test_a_call_whose_service_is_removed_while_it_waits_is_served():
    async def scenario(harness):
        await _call_in_queue(harness)
        _put_in_force(harness, [], DIRECTORY)
        harness.gateway.fair_sharing._tick()
        status, _headers, _body = await harness.read_response()
        return status, _ids(harness)

    found = _run([[[gateway_harness.response()]]], scenario)
    assert found == (200, ['r1'])


def test_a_call_that_would_miss_its_deadline_leaves_the_queue():
    """Nothing ends before it, so that only its deadline ends the wait."""

    async def scenario(harness):
        await _call_in_queue(harness, timeout_ms=300)
        status, headers, _body = await harness.read_response()
        queue = harness.gateway.call_gate._of('s').queue
        return status, 'retry-after' in headers, _ids(harness), queue.waiting

    found = _run([[[gateway_harness.response()]]], scenario)
    assert found == (503, True, [], 0)


def test_a_caller_that_leaves_the_queue_has_nothing_sent():
    async def scenario(harness):
        end_first = await _call_in_queue(harness)
        harness.writer.close()
        queue = harness.gateway.call_gate._of('s').queue
        while queue.waiting:
            await asyncio.sleep(0)
        end_first()
        assert 'request.left' in harness.log.names()
        return _ids(harness), queue.in_flight, await _rows(harness)

    found = _run([[[gateway_harness.response()]]], scenario)
    assert found == ([], 0, [])


class _Hold:
    subject = 'x'

    @staticmethod
    def ends_at():
        return 0.0


def test_a_call_whose_subject_is_held_while_it_waits_is_not_sent(monkeypatch):
    """It frees its place, and is no sign of a shortage."""

    def is_held(suspicion):
        suspicion.hold = _Hold
        return True

    async def scenario(harness):
        end_first = await _call_in_queue(harness)
        monkeypatch.setattr(_suspicion.Suspicion, 'is_held', is_held)
        end_first()
        status, headers, _body = await harness.read_response()
        rows = await _rows(harness)
        queue = harness.gateway.call_gate._of('s').queue
        assert 'retry-after' in headers
        return status, _ids(harness), queue.in_flight, rows

    found = _run([[[gateway_harness.response()]]], scenario)
    assert found == (503, [], 0, [])


@pytest.mark.parametrize(
    ('step', 'row'),
    [
        (gateway_harness.response(), ('large', 1, 0, 0)),
        (samples.refusal(), ('large', 0, 0, 1)),
        (scripted.RESET, None),
    ],
)
def test_what_became_of_a_call_counts_for_its_team(step, row):
    """Only what was answered, or certainly not run, tells of capacity."""

    async def scenario(harness):
        await _call_sent(harness)
        return await _rows(harness)

    rows = _run([[[step]], [[step]]], scenario)
    assert rows == ([row] if row else [])


def test_an_answer_that_is_late_by_its_work_is_no_shortage():
    """Only a service whose calls are usually in time can be late by waits."""

    async def scenario(harness):
        gateway = harness.gateway
        # Each answer is late.
        route = attrs.evolve(gateway_harness.ROUTES[0], objective_s=1e-9)
        services = gateway.fleet.table.services.values()
        gateway.fleet.table = routes.RouteTable(
            2, [route], services, routes.Limits(), DIRECTORY
        )
        found = []
        for usual_s in (0.0, 9.0):
            gateway.usage_meter._work_times._by_service['s'] = usual_s
            await _call_sent(harness, request_id=f'r{usual_s}')
            found += await _rows(harness)
        return found

    rows = _run([[[gateway_harness.response()]]], scenario)
    assert rows == [('large', 1, 1, 0), ('large', 2, 1, 0)]


@pytest.mark.parametrize(
    ('priority', 'weight'), [(None, 1.0), (0, 1.0), (-1, 2.0), (3, 0.5)]
)
def test_the_weight_of_a_call_follows_its_teams_priority(
    priority, weight, monkeypatch
):
    """The route has priority 0; the team's takes precedence."""
    directory = teams.TeamDirectory(
        [(teams.Team('large', priority), [teams.digest(b'k')])]
    )
    seen = []

    async def enter(_gate, _service, call):
        seen.append(call)

    monkeypatch.setattr(_call_gate.CallGate, 'enter', enter)

    async def scenario(harness):
        harness.gateway.fair_sharing.take_shares('s', 1, SHARES, 'i1')
        return await _call_sent(harness)

    status, _headers, _body = _run(
        [[[gateway_harness.response()]]], scenario, directory
    )
    assert status == 200
    assert [(call.team, call.weight) for call in seen] == [('large', weight)]


def test_a_sent_call_counts_to_the_limit_after_its_caller_has_left():
    """Upstreams go on with it, so its place must not be free at once."""

    async def scenario(harness):
        gateway = harness.gateway
        route = attrs.evolve(gateway_harness.ROUTES[0], objective_s=4.0)
        services = gateway.fleet.table.services.values()
        gateway.fleet.table = routes.RouteTable(
            2, [route], services, routes.Limits(), DIRECTORY
        )
        # A call usually takes so long that it has not ended by itself.
        shares = attrs.evolve(SHARES, capacity=0.01)
        gateway.fair_sharing.take_shares('s', 1, shares, 'i1')
        harness.send('/safe/1', headers=[samples.key_header('k')])
        await harness.log.wait_until(lambda: harness.requests)
        harness.writer.close()
        names = harness.log.names
        await harness.log.wait_until(lambda: 'request.left' in names())
        return await _rows(harness), gateway.call_gate._of('s').queue.in_flight

    rows, in_flight = _run([[[scripted.HOLD]]], scenario)
    assert rows == [('large', 1, 0, 0)]
    assert in_flight == 1
