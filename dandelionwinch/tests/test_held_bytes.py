"""Decisions on stalled upstreams and held bytes, in virtual time.

The loads are bursts of bodies of up to 4 MiB from many callers, as they hit
one upstream of an instance.
"""

import random

import pytest

from dandelionwinch import limits
from dandelionwinch.limits import _body_bounds
from dandelionwinch.limits import _stall_watch

MIB = 1 << 20
MOST = limits.most_bytes(4 * MIB)
STEP_S = 0.25


def _observe(watch, states, until, start=0.0):
    """Observes until a time; `states` gives the samples of a time.

    Returns:
        The time at which `stalled` changed, None if it did not.
    """
    now = start
    while now < until:
        samples = {
            key: limits.Sample(*numbers)
            for key, numbers in states(now).items()
        }
        if watch.observe(samples, now):
            return now
        now += STEP_S
    return None


def test_an_upstream_that_accepts_nothing_for_2_s_is_stalled():
    watch = limits.StallWatch()
    at = _observe(watch, lambda _now: {'a': (MIB, 5000)}, 10.0)
    assert at == pytest.approx(_stall_watch.STALL_S, abs=STEP_S)
    assert watch.unread_bytes == MIB


@pytest.mark.parametrize('seed', range(5))
def test_a_slow_upstream_that_goes_on_reading_is_not_stalled(seed):
    """Load: a body of 4 MiB, read in bits up to 1.5 s apart."""
    rng = random.Random(seed)
    accepted, next_at = 0, 0.0

    def states(now):
        nonlocal accepted, next_at
        if now >= next_at:
            accepted += rng.randint(1, 9000)
            next_at = now + rng.uniform(0.0, 1.5)
        return {'a': (4 * MIB - accepted, accepted)}

    assert _observe(limits.StallWatch(), states, 120.0) is None


def test_what_the_system_of_a_frozen_upstream_accepts_is_no_progress():
    """Small requests fit into the buffers of a process that hangs."""
    count = 0

    def states(now):
        nonlocal count
        count += 1
        small = {f's{count}': (300, 0), f's{count - 1}': (0, 300)}
        return {'a': (MIB, 5000), **small}

    assert _observe(limits.StallWatch(), states, 10.0) is not None


def test_time_in_which_the_instance_was_suspended_does_not_count():
    watch = limits.StallWatch()
    watch.observe({'a': limits.Sample(MIB, 0)}, 0.0)
    assert not watch.observe({'a': limits.Sample(MIB, 0)}, 60.0)


@pytest.mark.parametrize('evidence', ['progress', 'response'])
def test_a_stall_ends_when_the_upstream_reads_again(evidence):
    watch = limits.StallWatch()
    at = _observe(watch, lambda _now: {'a': (MIB, 0)}, 10.0)
    assert not watch.admits(True, at + 60.0)
    if evidence == 'progress':
        assert watch.observe({'a': limits.Sample(MIB - 1, 1)}, at + STEP_S)
    else:
        assert watch.record_response()
    assert watch.admits(True, at + STEP_S)


def test_a_stalled_upstream_gets_one_request_at_a_time_and_ever_later():
    """Else each retry would send a body to a process that hangs."""
    watch = limits.StallWatch()
    now = _observe(watch, lambda _now: {'a': (MIB, 0)}, 10.0)
    trials = []
    while now < 100.0:
        if watch.admits(False, now):
            assert not watch.admits(True, now)
            watch.begin_trial(now)
            trials.append(now)
        watch.observe({}, now)
        now += STEP_S
    gaps = [b - a for a, b in zip(trials, trials[1:], strict=False)]
    assert gaps[:3] == [4.0, 8.0, 16.0]
    assert set(gaps[2:]) == {_stall_watch.MAX_PAUSE_S}


@pytest.mark.parametrize('seed', range(10))
def test_bodies_in_flight_stay_below_the_bound(seed):
    """Load: 2,000 bodies of 2 bytes to 4 MiB that arrive and end."""
    rng = random.Random(seed)
    bound = rng.choice([MIB, 4 * MIB, MOST])
    bodies, inside, refused = limits.BodiesInFlight(), [], []
    for _step in range(2000):
        size = rng.choice([2, 900, 70_000, MIB, 4 * MIB])
        body, displaced = bodies.admit(size, bound)
        for other in displaced:
            assert other.waiting
            assert other.size > size
            inside.remove(other)
        if body is None:
            refused.append(size)
        else:
            inside.append(body)
            body.waiting = rng.random() < 0.3
        alone = len(inside) == 1
        total = sum(item.size for item in inside)
        largest = max((item.size for item in inside), default=0)
        reserve = bound // _body_bounds.RESERVE_DIVISOR
        assert alone or total <= max(bound, largest) + reserve
        while inside and rng.random() < 0.55:
            bodies.remove(inside.pop(rng.randrange(len(inside))))
    assert refused.count(2) == 0
    for body in inside:
        bodies.remove(body)
    assert (bodies.held, len(bodies)) == (0, 0)


def test_a_single_body_is_never_refused():
    body, _displaced = limits.BodiesInFlight().admit(4 * MIB, MIB)
    assert body is not None


def test_the_largest_waiting_body_gives_way_first():
    bodies = limits.BodiesInFlight()
    sent, _none = bodies.admit(2 * MIB, 4 * MIB)
    sent.waiting = False
    small, _none = bodies.admit(MIB // 2, 4 * MIB)
    large, _none = bodies.admit(MIB, 4 * MIB)
    _body, displaced = bodies.admit(MIB - 1, 4 * MIB)
    assert displaced == [large]
    assert large.displaced
    assert not small.displaced
    assert bodies.admit(4 * MIB, 4 * MIB) == (None, [])


def test_a_crash_halves_the_bound_and_quiet_doubles_it():
    bound, now = limits.BytesBound(), 0.0
    values = []
    for _crash in range(6):
        bound.record_crash(2 * MIB, MOST, now)
        values.append(bound.value(MOST) // MIB)
    assert values == [8, 4, 2, 1, 1, 1]
    values = []
    while bound.value(MOST) < MOST:
        now += 1.0
        if bound.recover(MOST, now):
            values.append((now, bound.value(MOST) // MIB))
    assert values == [(60.0, 2), (120.0, 4), (180.0, 8), (240.0, 16)]


def test_a_crash_without_many_bytes_changes_no_bound():
    bound = limits.BytesBound()
    assert not bound.record_crash(MIB, MOST, 0.0)
    assert bound.value(MOST) == MOST


def test_a_crash_counts_what_was_lost_just_before():
    """Connections end before it is known that their upstream crashed."""
    bodies = limits.BodiesInFlight()
    for at in (0.0, 5.0, 5.1):
        body, _none = bodies.admit(MIB, MOST)
        bodies.remove(body)
        bodies.record_lost(body, at)
    held, _none = bodies.admit(MIB, MOST)
    held.waiting = False
    bodies.admit(MIB, MOST)
    assert bodies.held_at_crash(5.2) == 3 * MIB


@pytest.mark.parametrize(
    ('held', 'team'),
    [
        ({'a': 60, 'b': 1}, 'a'),
        ({'a': 50, 'b': 1}, ''),
        ({'a': 90}, ''),
        ({'a': 90, '': 5}, ''),
        ({'': 90, 'b': 5}, ''),
        ({'a': 90, 'b': 0}, ''),
    ],
)
def test_a_team_holds_at_most_half_while_others_hold_some(held, team):
    assert limits.team_above_half(held, 100) == team
