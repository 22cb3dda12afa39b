"""The soak's checks of the duties find what breaks them."""

import asyncio
import random

import pytest

from dandelionwinch.platform import samples
from dandelionwinch.soak import _duties
from dandelionwinch.soak import _upstream
from dandelionwinch.standins import duty_api
from dandelionwinch.standins import duty_ledger

WINDOW_S = _duties.WINDOW_S
# Event loop time of the start of window 0 in the tests.
ZERO_AT = 1000.0


def _duties_at(clock=lambda: 0.0):
    return _duties.Duties((), (_duties.USAGE,), clock, lambda: -ZERO_AT)


def _report(tested, window, counts, late_s, accepted=True):
    at = ZERO_AT + (window + 1) * WINDOW_S + late_s
    body = {'window': window, 'counts': counts}
    call = duty_api.DutyCall(
        at, duty_api.USAGE_PATH, 'i-0', 1, body, 200, accepted
    )
    tested.api.calls.append(call)


def _begun(window, **counts):
    """Returns requests that began in the middle of a window."""
    at = ZERO_AT + (window + 0.5) * WINDOW_S
    return [(team, at) for team, n in counts.items() for _n in range(n)]


@pytest.mark.parametrize(
    ('reported', 'broken'),
    [
        ({'a': 100}, 0),
        ({'a': 107}, 0),
        ({'a': 108}, 1),
        ({'a': 93}, 0),
        ({'a': 92}, 1),
        ({}, 1),
        ({'a': 100, 'b': 2}, 0),
        ({'a': 100, 'b': 3}, 1),
    ],
)
def test_a_count_that_is_far_from_what_began_to_run_is_found(reported, broken):
    tested = _duties_at()
    tested.checked = range(7, 8)
    _report(tested, 7, reported, 1.0)
    begun = _begun(7, a=100) + _begun(6, a=50) + _begun(8, a=50)
    assert len(tested.violations(begun)) == broken


@pytest.mark.parametrize(
    ('window', 'late_s', 'accepted', 'broken'),
    [
        (7, 9.9, True, 0),
        (7, 10.1, True, 1),
        (7, 1.0, False, 1),
        (8, 1.0, True, 1),
    ],
)
def test_a_report_that_is_late_or_missing_is_found(
    window, late_s, accepted, broken
):
    tested = _duties_at()
    tested.checked = range(7, 8)
    _report(tested, window, {}, late_s, accepted)
    assert len(tested.violations([])) == broken


@pytest.mark.parametrize(
    ('calls', 'broken'),
    [
        ([('a', 1, 0.0), ('b', 2, 1.0)], 0),
        ([('a', 2, 0.0), ('b', 1, 1.0)], 1),
        ([('a', 1, 0.0), ('b', 1, 1.0)], 1),
        ([('a', 1, 0.0), ('b', 2, 1.0), ('a', 3, 2.9)], 1),
        ([('a', 1, 0.0), ('b', 2, 1.0), ('a', 3, 3.1)], 0),
    ],
)
def test_holders_that_break_the_order_are_found(calls, broken):
    tested = _duties_at()
    for holder, token, at in calls:
        call = duty_ledger.Call(at, 'usage', holder, token)
        tested.api.ledger.record(call)
    assert len(tested.violations([])) == broken


def test_two_different_reports_of_a_window_are_found():
    tested = _duties_at()
    for number, counts in enumerate(({'a': 1}, {'a': 1}, {'a': 2})):
        body = {'window': 7, 'counts': counts}
        tested.api._check_window(duty_api.USAGE_PATH, body)
        assert len(tested.violations([])) == (number == 2)


def test_the_checked_windows_begin_after_the_faults_and_have_ended(
    monkeypatch,
):
    """Windows 3 and 4 of 5 s; faults end at 6 s, the run goes to 25 s."""
    now = ZERO_AT + 25.0

    async def sleep(delay_s):
        nonlocal now
        now += max(0.0, delay_s)
        if now > ZERO_AT + 26.0 and len(tested.api.calls) == 1:
            _report(tested, 4, {}, 1.0)

    tested = _duties_at(lambda: now)
    monkeypatch.setattr(_duties.asyncio, 'sleep', sleep)
    _report(tested, 3, {}, 1.0)
    asyncio.run(tested.await_reports(ZERO_AT + 6.0))
    assert tested.checked == range(3, 5)
    assert now < ZERO_AT + 26.0 + 2 * _duties.POLL_S
    assert tested.violations([]) == []


def test_a_report_is_awaited_until_it_is_due(monkeypatch):
    now = ZERO_AT + 12.0

    async def sleep(delay_s):
        nonlocal now
        now += max(0.0, delay_s)

    tested = _duties_at(lambda: now)
    monkeypatch.setattr(_duties.asyncio, 'sleep', sleep)
    asyncio.run(tested.await_reports(ZERO_AT))
    due_at = ZERO_AT + 3 * WINDOW_S + _duties.LATE_S
    assert due_at <= now <= due_at + 2 * _duties.POLL_S
    assert len(tested.violations([])) == 1


@pytest.mark.parametrize('kind', sorted(_duties.KINDS))
def test_a_fault_of_the_api_ends(kind, monkeypatch):
    seen = []

    async def sleep(_delay_s):
        api = tested.api
        seen.append((api.mode, api.delay_s, api.accepts_unanswered))

    faults = (_duties.Fault(1.0, 2.0, kind),)
    tested = _duties.Duties(faults, (), lambda: 0.0, lambda: 0.0)
    monkeypatch.setattr(_duties.asyncio, 'sleep', sleep)
    recorded = []
    asyncio.run(tested.run(lambda *fault: recorded.append(fault)))
    behaviour = _duties.KINDS[kind]
    assert seen[1] == (
        behaviour.mode,
        behaviour.delay_s,
        behaviour.accepts_unanswered,
    )
    assert tested.api.mode is duty_api.Mode.NORMAL
    assert tested.api.delay_s == 0.0
    assert len(recorded) == 1


def test_a_request_begins_once_and_a_stream_with_its_first_event():
    """A request that is sent again counts once, and a refused one never."""

    async def scenario():
        executions = _upstream.ExecutionLog()
        rng = random.Random(1)
        rng.random = lambda: 1.0
        upstream = _upstream.SoakUpstream('u-1', 'v1', executions, rng)
        await upstream.start()
        host, port = upstream.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        team = [(samples.UPSTREAM_ID, 'u-1'), (samples.TEAM, 't')]
        stream = [*team, *samples.prompt_headers(['a0'])]
        for request_id, more, last in (
            ('c', team, 'answer to c'),
            ('c', team, 'answer to c'),
            ('s', stream, 's v1\n\n'),
        ):
            request = samples.request('/safe/1', request_id, more=more)
            writer.write(request)
            await reader.readuntil(last.encode())
        upstream._choose_fault = lambda: 'refuse'
        writer.write(samples.request('/safe/1', 'r', more=team))
        await reader.readuntil(b'Content-Length: 0\r\n\r\n')
        writer.close()
        upstream.close()
        return executions

    executions = asyncio.run(scenario())
    assert executions.runs == {'c': 2, 's': 1}
    teams = {name: team for name, (team, _at) in executions.begun.items()}
    assert teams == {'c': 't', 's': 't'}
    assert {team for _id, team, _key in executions.identities} == {'t'}


def test_the_faults_of_the_api_follow_from_the_seed_and_end_in_time():
    plans = [_duties.plan(seed, 20.0) for seed in range(200)]
    assert plans == [_duties.plan(seed, 20.0) for seed in range(200)]
    with_duties = [faults for faults in plans if faults is not None]
    assert 70 < len(with_duties) < 130
    kinds = {fault.kind for faults in with_duties for fault in faults}
    assert kinds == set(_duties.KINDS)
    for faults in with_duties:
        ends = [fault.begin_s + fault.span_s for fault in faults]
        begins = [fault.begin_s for fault in faults]
        assert all(e <= b for e, b in zip(ends, begins[1:], strict=False))
        assert all(end < 20.0 for end in ends)
    assert _duties.plan(3, 5.0) is None


def test_the_settings_of_an_instance_name_the_duties():
    tested = _duties_at()
    text = tested.add_settings(samples.settings())
    assert 'duties = ["usage_report"]' in text
    assert text.index('reportWindowS') < text.index('[platform]')
