"""Upstreams: incarnations, removal, ejection, and expired entries."""

import collections
import random

import attrs
import pytest

from dandelionwinch import dispatch
from dandelionwinch import upstreams
from dandelionwinch.upstreams import _hold_off


def entry(name='u1', **changes):
    made = upstreams.Entry(
        name, 's', '10.0.0.1:80', 'dc', 1, True, upstreams.Role.PLAIN, 4
    )
    return attrs.evolve(made, **changes)


def test_a_new_start_under_the_old_id_is_another_incarnation():
    registry = upstreams.Registry()
    assert registry.apply(entry())
    registry.get('u1').record_failure(1.0)
    assert not registry.apply(entry(slots=5))
    assert registry.get('u1').failure_rate > 0
    assert registry.apply(entry(started_at_ms=2))
    assert registry.get('u1').failure_rate == 0


def test_an_id_that_another_service_takes_leaves_the_one_before():
    """A call to the former service would reach an upstream of another."""
    registry = upstreams.Registry()
    for name in ('u1', 'u2', 'u3'):
        registry.apply(entry(name))
    registry.apply(entry('u2', service='t', started_at_ms=2))
    assert [u.entry.id for u in registry.serving('s', 0.0)] == ['u1', 'u3']
    assert [u.entry.id for u in registry.serving('t', 0.0)] == ['u2']
    # The former incarnation comes back, as from a copy of the store.
    registry.apply(entry('u2'))
    assert [u.entry.id for u in registry.in_service('t')] == []
    assert len(registry.in_service('s')) == 3
    registry.replace([entry('u3')], 0.0)
    registry.forget(100.0, 10.0)
    assert [u.entry.id for u in registry.in_service('s')] == ['u3']


def test_registered_versions_follow_each_change():
    """A stream goes on where all engines have had its version for long."""
    registry = upstreams.Registry()
    registry.apply(entry(software_version='v1'))
    registry.apply(entry('u2', service='t', software_version='v1'))
    assert registry.take_versions() == {'s': {'v1'}, 't': {'v1'}}
    registry.apply(entry('u3', software_version='v2'))
    assert registry.take_versions()['s'] == {'v1', 'v2'}
    registry.remove('u1', 1.0)
    assert registry.take_versions() == {'s': {'v2'}, 't': {'v1'}}
    registry.replace([entry('u3', software_version='v3')], 2.0)
    assert registry.take_versions() == {'s': {'v3'}}


def test_a_version_that_came_and_went_at_once_is_seen():
    """A stream may have begun at it, elsewhere."""
    registry = upstreams.Registry()
    registry.apply(entry(software_version='v1'))
    registry.take_versions()
    registry.apply(entry('u2', software_version='v2'))
    registry.remove('u2', 1.0)
    assert registry.take_versions() == {'s': {'v1', 'v2'}}
    assert registry.take_versions() == {'s': {'v1'}}
    registry.apply(entry(software_version='v2'))
    registry.apply(entry(software_version='v1'))
    assert registry.take_versions() == {'s': {'v1', 'v2'}}


def test_what_is_registered_is_told_by_incarnation():
    """Connections to any other incarnation are closed."""
    registry = upstreams.Registry()
    registry.apply(entry())
    first = entry().incarnation
    assert registry.is_registered(first)
    registry.get('u1').leaving = True
    assert not registry.is_registered(first)
    registry.apply(entry(started_at_ms=2))
    second = entry(started_at_ms=2).incarnation
    assert not registry.is_registered(first)
    assert registry.is_registered(second)
    registry.remove('u1', 1.0)
    assert not registry.is_registered(second)
    assert not registry.is_registered(entry('u9').incarnation)


def test_another_software_version_under_the_old_id_is_another_incarnation():
    """A resumed stream that waits for a connection is not sent there."""
    registry = upstreams.Registry()
    registry.apply(entry(started_at_ms=0, software_version='v1'))
    chosen = registry.get('u1')
    assert registry.serves(chosen, 1.0)
    assert registry.apply(entry(started_at_ms=0, software_version='v2'))
    assert not registry.serves(chosen, 1.0)


@pytest.mark.parametrize('change', ['draining', 'gone'])
def test_a_leaving_upstream_gets_nothing_more(change):
    registry = upstreams.Registry()
    registry.apply(entry())
    if change == 'draining':
        registry.apply(entry(ready=False))
    else:
        registry.remove('u1', 1.0)
    assert registry.serving('s', 1.0) == []
    registry.apply(entry(started_at_ms=3))
    assert [u.entry.started_at_ms for u in registry.serving('s', 1.0)] == [3]


def test_an_announced_end_holds_for_the_incarnation_only():
    registry = upstreams.Registry()
    registry.apply(entry())
    registry.get('u1').leaving = True
    registry.apply(entry(slots=5))
    assert registry.serving('s', 1.0) == []
    assert not registry.serves(registry.get('u1'), 1.0)
    registry.apply(entry(started_at_ms=2))
    assert len(registry.serving('s', 1.0)) == 1
    # The store is restored from a backup with the earlier entry.
    registry.apply(entry())
    assert registry.serving('s', 1.0) == []
    registry.apply(entry(address='10.0.0.2:80'))
    assert len(registry.serving('s', 1.0)) == 1


def test_replaced_incarnations_are_forgotten():
    registry = upstreams.Registry()
    for start in range(5):
        registry.apply(entry(started_at_ms=start))
    first = entry(started_at_ms=0).incarnation
    assert registry.find(first) is not None
    registry.forget(10.0, 30.0)
    assert registry.find(first) is not None
    registry.forget(50.0, 30.0)
    assert registry.find(first) is None
    assert registry.find(registry.get('u1').entry.incarnation) is not None


@pytest.mark.parametrize(
    ('wait_s', 'share', 'end'),
    [
        (4.0, 0.0, 104.0),
        (4.0, 1.0, 106.0),
        (0.5, 1.0, 100.75),
        (100.0, 1.0, 202.0),
        (0.0, 1.0, 100.0),
        (-3.0, 1.0, 100.0),
        (3600.0, 0.0, 100.0 + _hold_off.MAX_HOLD_OFF_S),
        (float('inf'), 0.0, 100.0 + _hold_off.MAX_HOLD_OFF_S),
    ],
)
def test_the_end_of_a_pause(wait_s, share, end):
    assert _hold_off.hold_off_end(wait_s, 100.0, share) == end


@pytest.mark.parametrize('seed', range(5))
def test_instances_return_one_after_another(seed):
    """A tenth of the spread never brings back a fourth of the instances."""
    rng = random.Random(seed)
    ends = [
        _hold_off.hold_off_end(4.0, 100.0, rng.random()) for _n in range(200)
    ]
    assert min(ends) >= 104.0
    assert max(ends) <= 106.0
    for start in range(10):
        begin = 104.0 + 0.2 * start
        assert sum(begin <= end < begin + 0.2 for end in ends) < 50


def returning(wait_s, role=upstreams.Role.PLAIN):
    """Returns an upstream whose pause began at 100 s."""
    upstream = upstreams.Upstream(entry('u0', role=role))
    upstream.hold_off(wait_s, 100.0, 0.0)
    return upstream


def _play_return(instances, seed, wait_s):
    """Plays calls at four upstreams, one of which returns from a pause.

    Returns:
        Number of calls that it gets in each fifth of a second after the
        first instance's return, and the usual number.
    """
    rng = random.Random(seed)
    views = [
        [upstreams.Upstream(entry(f'u{n}')) for n in range(4)]
        for _instance in range(instances)
    ]
    for view in views:
        view[0].hold_off(wait_s, 100.0, rng.random())
    first = min(view[0].held_off_until for view in views)
    distances = dispatch.Distances('dc', {})
    counts = [0] * 30
    in_flight = collections.deque()
    for number in range(round(CALLS_PER_S * len(counts) * 0.2)):
        now = first + number / CALLS_PER_S
        while in_flight and in_flight[0][0] <= now:
            in_flight.popleft()[1].active -= 1
        accepting = [u for u in rng.choice(views) if u.accepts_requests(now)]
        chosen = dispatch.choose_plain(accepting, (), distances, rng, now)
        chosen.active += 1
        in_flight.append((now + CALL_S, chosen))
        if chosen.entry.id == 'u0':
            counts[int((now - first) / 0.2)] += 1
    return counts, CALLS_PER_S * 0.2 / 4


CALLS_PER_S = 2000
CALL_S = 0.05


@pytest.mark.parametrize('instances', [1, 6, 390])
@pytest.mark.parametrize('wait_s', [1.0, 60.0])
def test_calls_return_gradually_after_a_pause(instances, wait_s):
    counts, usual = _play_return(instances, 7, wait_s)
    ramp_s = _hold_off.ramp_s(wait_s)
    for fifth in range(round(ramp_s / 0.2) - 1):
        assert counts[fifth] < (0.2 * (fifth + 1) / ramp_s + 0.1) * usual
    assert max(counts) < 1.35 * usual
    back = round((ramp_s + _hold_off.MAX_RETURN_SPREAD_S) / 0.2)
    assert min(counts[back:]) > 0.65 * usual


def test_a_ramp_leaves_no_request_without_an_upstream():
    rng = random.Random(1)
    alone = returning(4.0)
    assert upstreams.ramped([alone], 104.0, rng) == [alone]
    engine = returning(4.0, upstreams.Role.DECODE)
    readers = upstreams.Upstream(entry('u1', role=upstreams.Role.PREFILL))
    assert upstreams.ramped([engine, readers], 104.0, rng) == [engine, readers]
    other = upstreams.Upstream(entry('u2', role=upstreams.Role.DECODE))
    assert upstreams.ramped([engine, other], 104.0, rng) == [other]


def test_an_upstream_that_is_held_off_gets_nothing_until_its_time():
    registry = upstreams.Registry()
    registry.apply(entry())
    registry.apply(entry('u2'))
    held = registry.get('u1')
    assert held.hold_off(5.0, 100.0, 0.5)
    assert not held.hold_off(3.0, 101.0, 0.5)
    registry.apply(entry(slots=5))
    assert not registry.serves(held, 104.9)
    assert [u.entry.id for u in registry.serving('s', 104.9)] == ['u2']
    assert len(registry.in_service('s')) == 2
    assert held.held_off_until == 106.0
    assert registry.serves(held, 106.0)
    registry.apply(entry(started_at_ms=2))
    assert registry.serves(registry.get('u1'), 101.0)


def test_a_pause_of_nothing_holds_nothing_off():
    upstream = upstreams.Upstream(entry())
    assert not upstream.hold_off(0.0, 100.0, 1.0)
    assert upstream.accepts_requests(100.0)


def test_one_that_is_held_off_is_no_last_resort():
    """Half of the ejected ones return, but none that asked for a pause."""
    registry = upstreams.Registry()
    for number in range(4):
        registry.apply(entry(f'u{number}'))
        registry.get(f'u{number}').eject(100.0)
    registry.get('u0').hold_off(5.0, 100.0, 0.0)
    found = upstreams.available(registry.serving('s', 100.5), 100.5)
    assert found
    assert registry.get('u0') not in found


@pytest.mark.parametrize(
    ('held', 'leaving', 'back_s'),
    [
        ({}, set(), None),
        ({'u0': 5.0}, set(), None),
        ({'u0': 5.0, 'u1': 3.0}, set(), 3.0),
        ({'u0': 5.0}, {'u1'}, 5.0),
        ({}, {'u0', 'u1'}, None),
        ({'u0': 5.0}, {'u0', 'u1'}, None),
    ],
)
def test_when_a_service_has_an_upstream_again(held, leaving, back_s):
    registry = upstreams.Registry()
    for name in ('u0', 'u1'):
        registry.apply(entry(name))
        registry.get(name).leaving = name in leaving
    for name, wait_s in held.items():
        registry.get(name).hold_off(wait_s, 100.0, 0.0)
    assert registry.back_in_s('s', 100.0) == back_s
    assert registry.back_in_s('s', 200.0) is None


def test_an_ejected_upstream_is_available_after_its_time():
    upstream = upstreams.Upstream(entry())
    for _failure in range(10):
        upstream.record_failure(1.0)
    others = [upstreams.Upstream(entry(f'u{n}')) for n in range(2, 5)]
    group = [upstream, *others]
    assert upstream not in upstreams.available(group, 1.1)
    until = upstream.ejected_until
    assert upstream in upstreams.available(group, until)


def test_at_most_half_are_ejected_when_all_look_bad():
    group = [upstreams.Upstream(entry(f'u{n}')) for n in range(6)]
    for upstream in group:
        upstream.eject(1.0)
    assert len(upstreams.available(group, 1.0)) >= 3


def test_without_an_outage_a_vanished_entry_is_gone_at_once():
    guard = upstreams.DeregistrationGuard()
    assert guard.deregistered(['u1'], 9, 100.0) == ['u1']


def test_entries_that_expire_with_the_store_are_held_until_they_are_back():
    guard = upstreams.DeregistrationGuard()
    guard.store_failed(100.0)
    assert guard.deregistered(['u1', 'u2'], 9, 101.0) == []
    guard.registered('u1')
    assert guard.pop_due(102.0) == []
    assert guard.pop_due(103.5) == ['u2']


def test_a_hold_ends_by_the_outage_not_by_its_discovery():
    guard = upstreams.DeregistrationGuard()
    guard.store_failed(100.0)
    assert guard.deregistered(['u1'], 9, 101.5) == []
    assert guard.next_due_s(101.5) < 1.0
    assert guard.pop_due(102.3) == ['u1']


def test_only_the_present_incarnation_serves():
    registry = upstreams.Registry()
    registry.apply(entry())
    old = registry.get('u1')
    assert registry.serves(old, 1.0)
    registry.apply(entry(started_at_ms=2))
    assert not registry.serves(old, 1.0)
    registry.apply(entry(started_at_ms=2, ready=False))
    assert not registry.serves(registry.get('u1'), 1.0)


def test_many_that_vanish_together_are_held_without_an_outage():
    guard = upstreams.DeregistrationGuard()
    names = [f'u{n}' for n in range(5)]
    assert guard.deregistered(names, 9, 100.0) == []
    assert sorted(guard.pop_due(103.0)) == names


def test_a_flapping_upstream_gets_few_requests_while_it_is_down():
    """Simulates an upstream that goes down and up every two seconds."""
    group = [upstreams.Upstream(entry(f'u{n}')) for n in range(3)]
    flapping = group[0]
    failed, served, turn = 0, 0, 0
    for step in range(2000):
        now = step * 0.02
        usable = upstreams.available(group, now)
        turn += 1
        chosen = usable[turn % len(usable)]
        if chosen is flapping and int(now / 2) % 2:
            chosen.record_failure(now)
            chosen.eject(now)
            failed += 1
        else:
            chosen.record_success(0.0, now)
            served += chosen is flapping
    assert failed <= 40 / 2
    assert served > 200


@pytest.mark.parametrize(
    ('known', 'gone', 'copied', 'outdated'),
    [
        ({}, False, {}, False),
        ({'sequence': 5}, False, {'sequence': 4}, True),
        ({'sequence': 5}, False, {'sequence': 6}, False),
        ({'started_at_ms': 5}, False, {'started_at_ms': 4}, True),
        ({'started_at_ms': 5}, False, {'started_at_ms': 6}, False),
        ({'ready': False}, False, {'sequence': 9}, True),
        ({'ready': False}, False, {'started_at_ms': 9}, False),
        ({}, True, {}, True),
        ({}, True, {'sequence': 9}, False),
    ],
)
def test_an_entry_from_a_copy_of_the_store_may_be_outdated(
    known, gone, copied, outdated
):
    base = upstreams.Entry(
        'i', 's', 'a:1', 'a', 1, True, upstreams.Role.PLAIN, 1
    )
    upstream = upstreams.Upstream(attrs.evolve(base, **known))
    if gone:
        upstream.gone_at = 1.0
    entry = attrs.evolve(base, **copied)
    assert upstream.is_outdated(entry) is outdated
