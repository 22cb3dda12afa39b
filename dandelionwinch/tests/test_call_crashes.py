"""Tests of calls that crash the upstreams of a plain service."""

import asyncio

import attrs
import pytest

from dandelionwinch.platform import samples
from dandelionwinch import quarantine
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import test_quarantine
from dandelionwinch.tests import virtual

GOOD = gateway_harness.response()
# Crashes after which few more of its repeats may reach an upstream, and how
# many.
KNOWN_AFTER = 3
MAX_MORE = 3


async def _send(harness, path, number):
    harness.send(path, f'r{number}')
    return (await harness.read_response())[0]


@pytest.mark.parametrize('route', ['safe', 'once', 'failover'])
def test_the_repeats_of_a_call_that_crashes_upstreams_are_held(route):
    """Incident: 14 upstreams ended, as each repeat was sent on."""

    async def scenario(harness):
        poisoned, sound = [], []
        for number in range(12):
            poisoned.append(await _send(harness, f'/{route}/bad', number))
            sound.append(await _send(harness, '/safe/poll', f's{number}'))
        sent = [r for r in harness.requests if r.target.endswith('/bad')]
        return poisoned, sound, len(sent)

    poisoned, sound, sent = gateway_harness.run_scenario(
        [[[GOOD]]] * 14, scenario, poison='bad'
    )
    assert sent <= KNOWN_AFTER + MAX_MORE
    assert set(poisoned[-5:]) == {503}
    assert set(sound) == {200}


def _keys(path, caller='10.0.0.1', body=b''):
    return quarantine.call_keys('GET', 'desk', path, body, caller)


def _crash(state, number, at, *calls):
    """Records a crash of an upstream that had some calls."""
    for keys in calls:
        state.record_crash(
            f'c{number}',
            [
                quarantine.Suspect(key, depth, state.was_answered(key, at))
                for depth, key in enumerate(keys)
            ],
            at,
        )
    return [hold.subject for hold in state.decide(at + 0.1)]


def test_three_crashes_hold_a_call_of_its_caller_only():
    state = quarantine.Quarantine()
    for number in range(3):
        found = _crash(state, number, 10.0 + number, _keys('/bad'))
    assert found == [_keys('/bad')[1]]
    assert state.refuse(_keys('/bad'), 14.0)
    assert not state.refuse(_keys('/bad', caller='10.0.0.2'), 14.0)
    assert not state.refuse(_keys('/bad', body=b'x'), 14.0)


def test_a_call_that_crashes_upstreams_for_any_caller_is_held_for_all():
    state = quarantine.Quarantine()
    for number in range(3):
        keys = _keys('/bad', caller=f'10.0.0.{number}')
        found = _crash(state, number, 10.0 + number, keys)
    assert found == [_keys('/bad')[0]]
    assert state.refuse(_keys('/bad', caller='10.0.0.9'), 14.0)


def test_a_call_that_is_held_for_one_caller_is_held_for_all_soon():
    """BUDGET on aon-honours: each caller of it crashed three engines."""
    state = quarantine.Quarantine()
    for number in range(3):
        found = _crash(state, number, 10.0 + number, _keys('/bad'))
    assert found == [_keys('/bad')[1]]
    other = _keys('/bad', caller='10.0.0.2')
    found = _crash(state, 3, 13.0, other, _keys('/sound'))
    assert found == [other[0]]
    assert state.refuse(_keys('/bad', caller='10.0.0.3'), 14.0)
    assert not state.refuse(_keys('/sound'), 14.0)


def test_a_call_that_another_caller_has_answered_is_held_for_one_only():
    """What its caller adds to it may be what crashes upstreams."""
    state = quarantine.Quarantine()
    other = _keys('/bad', caller='10.0.0.2')
    for number in range(3):
        _crash(state, number, 10.0 + number, _keys('/bad'))
    state.record_answer(other, 13.0)
    assert _crash(state, 3, 14.0, other) == []
    assert not state.refuse(other, 15.0)
    assert state.refuse(_keys('/bad'), 15.0)


def test_a_poll_in_flight_under_three_crashes_is_not_held():
    """It is sound, and was answered before; its neighbour is held."""
    state = quarantine.Quarantine()
    poll, bad = _keys('/poll'), _keys('/bad')
    state.record_answer(poll, 9.0)
    found = []
    for number in range(3):
        found += _crash(state, number, 10.0 + number, poll, bad)
    assert found == [bad[1]]
    assert not state.refuse(poll, 14.0)


def test_an_answer_clears_a_call_and_its_crashes_stay_open():
    state = quarantine.Quarantine()
    poll, bad = _keys('/poll'), _keys('/bad')
    _crash(state, 1, 10.0, poll, bad)
    _crash(state, 2, 11.0, poll, bad)
    state.record_answer(poll, 11.5)
    assert _crash(state, 3, 12.0, poll, bad) == [bad[1]]
    assert not state.refuse(poll, 13.0)


@pytest.mark.parametrize(('count', 'loss'), [(6, 0.0), (6, 0.3), (390, 0.1)])
def test_three_crashes_within_a_second_hold_a_call_everywhere(count, loss):
    async def scenario():
        site = test_quarantine.Site(count, 1, loss)
        for number in range(3):
            site.crash(number, *_keys('/bad'))
            await asyncio.sleep(0.3)
        await asyncio.sleep(4.0)
        holding = site.holding()
        site.close()
        return holding

    assert virtual.run(scenario()) == count


def test_others_are_served_within_a_second_after_an_upstream_is_back():
    """A service of one upstream, which a call has ended."""

    async def scenario(harness):
        await _send(harness, '/safe/bad', 1)
        registry = harness.gateway.fleet.registry
        down = await _send(harness, '/safe/good', 2)
        other = scripted.ScriptedUpstream(samples.REQUEST_ID, [[GOOD]])
        await other.start()
        entry = attrs.evolve(
            registry.get('u0').entry,
            id='u9',
            address=other.address,
            started_at_ms=2,
        )
        registry.apply(entry)
        back = await _send(harness, '/safe/good', 3)
        await other.close()
        return down, back

    found = gateway_harness.run_scenario([[[GOOD]]], scenario, poison='bad')
    assert found == (503, 200)


def test_a_call_among_a_hundred_in_flight_is_held():
    """Each call has two subjects, and an upstream takes many connections."""
    state = quarantine.Quarantine()
    for number in range(3):
        others = [_keys(f'/{number}/{other}') for other in range(100)]
        found = _crash(state, number, 10.0 + number, *others, _keys('/bad'))
    assert found == [_keys('/bad')[1]]


def test_two_calls_that_crash_the_same_upstreams_are_both_held():
    """Third play of the incident: one was sent on after the other was held."""
    state = quarantine.Quarantine()
    one, two, poll = _keys('/bad1'), _keys('/bad2'), _keys('/poll')
    state.record_answer(poll, 9.0)
    found = []
    for number in range(3):
        found += _crash(state, number, 10.0 + number, one, two, poll)
    assert sorted(found) == sorted([one[1], two[1]])
    assert state.refuse(one, 14.0) and state.refuse(two, 14.0)
    assert not state.refuse(poll, 14.0)
    assert not state.refuse(_keys('/bad1', caller='10.0.0.2'), 14.0)


def test_an_error_of_an_upstream_refutes_no_crash():
    """An upstream that fails calls may not have begun to run this one."""

    async def scenario(harness):
        for number in range(2):
            await _send(harness, '/once/call', number)
        guard = harness.gateway.crash_guard
        now = harness.gateway.loop.time()
        return guard._quarantine.was_answered(_key(harness), now)

    def _key(harness):
        req = harness.requests[0]
        host = req.headers['host']
        keys = quarantine.call_keys(
            req.method, host, req.target, req.body, '127.0.0.1'
        )
        return keys[0]

    error = gateway_harness.response(status='500 Oops')
    assert not gateway_harness.run_scenario([[[error]]], scenario)
