"""Fair shares of plain calls: the load test, and the queue's decisions."""

import pytest

from dandelionwinch.bench import _call_orders
from dandelionwinch.bench import _calls
from dandelionwinch import limits

SIZES = (6, 58, 390)


def run(instances, order, seed=1, **more):
    return _calls.Site(instances, order, seed, **more).run()


def _small(served):
    return [served[team] for team in _calls.SMALL]


@pytest.mark.parametrize(('instances', 'seed'), [(6, 1), (58, 2), (390, 3)])
def test_large_teams_of_plain_calls_do_not_starve_small_ones(instances, seed):
    """A demand of 1.9 times the capacity; one large team repeats at once.

    Without shares that team takes what it wants, and small teams get less
    than half. The baselines are the path without shares, and the same limit
    with calls served first come first served or by deadline.
    """
    without = run(instances, None, seed)
    first = run(instances, _call_orders.ArrivalOrder, seed)
    by_deadline = run(instances, _call_orders.DeadlineOrder, seed)
    fair = run(instances, limits.FairOrder, seed)
    served = fair.served()
    assert min(served.values()) >= fair.served_of_all() / 4
    for other in (without, first, by_deadline):
        assert fair.served_of_all() >= other.served_of_all() - 0.03
    assert fair.waited > 100
    small = _small(served)
    assert min(small) > 2 * min(_small(without.served()))
    assert sum(small) / len(small) > 0.8


@pytest.mark.parametrize('instances', SIZES)
def test_a_burst_after_quiet_seconds_starves_no_team(instances):
    """The averages of the quiet seconds must not hold the limits down."""
    without = run(instances, None, quiet_s=6.0)
    fair = run(instances, limits.FairOrder, quiet_s=6.0)
    assert min(fair.served().values()) >= fair.served_of_all() / 4
    assert fair.served_of_all() >= without.served_of_all() - 0.03


def test_upstreams_with_long_queues_serve_most_calls_in_time():
    """Without shares nearly all calls end late there, of each team."""
    without = run(58, None, upstream_queue=30)
    fair = run(58, limits.FairOrder, upstream_queue=30)
    assert without.served_of_all() < 0.1
    assert fair.served_of_all() > 0.4
    assert min(fair.served().values()) >= fair.served_of_all() / 4


@pytest.mark.parametrize('instances', SIZES)
@pytest.mark.parametrize('fault', [{'loss': 0.3}, {'roaming': True}])
def test_the_bounds_hold_under_faults(instances, fault):
    """Datagrams are lost, or repeats go to other instances of their team."""
    without = run(instances, None)
    fair = run(instances, limits.FairOrder, **fault)
    assert min(fair.served().values()) >= fair.served_of_all() / 4
    assert fair.served_of_all() >= without.served_of_all() - 0.03


@pytest.mark.parametrize('instances', SIZES)
def test_callers_that_give_up_cost_no_other_team_anything(instances):
    """Their calls stay at the upstreams, and must count to the limit."""
    patient = run(instances, limits.FairOrder, retrying='')
    leaving = run(instances, limits.FairOrder, retrying='', leaving='l0')
    bound = leaving.served_of_all() / 4
    for team, part in leaving.served().items():
        assert team == 'l0' or part >= bound, team
    before, after = _small(patient.served()), _small(leaving.served())
    assert sum(after) >= sum(before) - 0.03 * len(before)


@pytest.mark.parametrize('instances', SIZES)
def test_callers_that_retry_at_once_cost_no_other_team_anything(instances):
    """A call counts once, however often it is repeated.

    It does cost others until the holder has found the shortage. The small
    teams' parts vary by 0.04 between runs, so two are averaged.
    """
    found = {}
    for retrying in ('', 'l0'):
        more = {'retrying': retrying, 'found_s': 2.0}
        runs = [
            run(instances, limits.FairOrder, seed, **more).served()
            for seed in (1, 2)
        ]
        found[retrying] = {
            team: sum(served[team] for served in runs) / len(runs)
            for team in runs[0]
        }
    before, after = _small(found['']), _small(found['l0'])
    assert sum(after) >= sum(before) - 0.03 * len(after)
    for team in ('l1', 'l2'):
        assert found['l0'][team] >= found[''][team] - 0.05


def test_without_a_team_above_its_share_nothing_waits():
    fair = run(58, limits.FairOrder, demand=0.7)
    without = run(58, None, demand=0.7)
    assert not fair.waited and not fair.retry_after_s
    assert fair.served() == without.served()


def test_a_more_urgent_large_team_is_served_more():
    weights = {'l0': 2.0, 'l2': 0.5}
    served = run(6, limits.FairOrder, retrying='', weights=weights).served()
    assert served['l0'] > served['l1'] > served['l2']


def _queue(limit, usual_s=0.1):
    queue = limits.CallQueue()
    queue.set_limit(limit, usual_s, 0.0)
    return queue


def _call(team, number=0, deadline=10.0, weight=1.0):
    return limits.QueuedCall(team, weight, deadline, f'{team}{number}')


def _offer(queue, calls, now=0.0):
    return [queue.offer(call, now) for call in calls]


def _drain(queue, running, count, now=0.0):
    """Ends the running call, one after the other; returns who is sent."""
    found = []
    for _ in range(count):
        now += 0.1
        queue.release(running, now)
        (running,) = queue.poll(now).sent
        found.append(running)
    return found


def test_calls_beyond_the_limit_wait_and_follow_when_one_ends():
    queue = _queue(2.0)
    calls = [_call('a', number) for number in range(3)]
    found = _offer(queue, calls)
    assert found == [limits.Send(), limits.Send(), limits.Wait()]
    assert queue.poll(0.05).sent == []
    queue.release(calls[0], 0.1)
    assert queue.poll(0.1).sent == [calls[2]]


def test_teams_are_served_in_turn_however_many_calls_one_sends():
    queue = _queue(1.0)
    first = _call('a', 99)
    _offer(queue, [first, *(_call('a', n) for n in range(10))])
    _offer(queue, [_call('b', n) for n in range(4)])
    sent = ''.join(c.team for c in _drain(queue, first, 8))
    assert sent in ('babababa', 'abababab')


def test_a_more_urgent_team_is_sent_four_times_as_often_as_a_less_urgent():
    queue = _queue(1.0)
    first = _call('x')
    _offer(queue, [first])
    _offer(queue, [_call('a', n, weight=2.0) for n in range(20)])
    _offer(queue, [_call('b', n, weight=0.5) for n in range(20)])
    sent = [c.team for c in _drain(queue, first, 20)]
    assert sent.count('a') == 16


def test_a_team_that_was_idle_gets_no_credit_for_it():
    queue = _queue(1.0)
    running = _call('a', 99)
    _offer(queue, [running])
    now = 0.0
    for number in range(20):
        now += 0.1
        _offer(queue, [_call('a', number)], now)
        queue.release(running, now)
        (running,) = queue.poll(now).sent
    _offer(queue, [_call('a', 50 + n) for n in range(6)], now)
    _offer(queue, [_call('b', n) for n in range(6)], now)
    sent = [c.team for c in _drain(queue, running, 6, now)]
    assert sent.count('b') == 3


def test_within_a_team_the_earliest_deadline_is_sent_first():
    queue = _queue(1.0)
    first = _call('x')
    _offer(queue, [first])
    late, early = _call('a', 1, 9.0), _call('a', 2, 5.0)
    _offer(queue, [late, early])
    assert _drain(queue, first, 2) == [early, late]


def test_a_call_that_cannot_be_in_time_is_refused_at_once():
    queue = _queue(1.0)
    assert queue.offer(_call('a', 0), 0.0) == limits.Send()
    found = _offer(queue, [_call('a', n, deadline=0.5) for n in range(1, 20)])
    assert limits.Wait() in found
    refused = [f for f in found if isinstance(f, limits.Refuse)]
    # Each takes 0.1 s, so at most four wait.
    assert len(refused) >= 15
    # It says when there is room, one caller after the other.
    times = [refuse.retry_after_s for refuse in refused]
    assert times == sorted(set(times))
    assert 0.1 <= times[0] <= 0.7 and times[-1] <= 5.0


def test_callers_that_return_when_told_find_room():
    """Also while calls of another team are told to return."""
    queue = _queue(1.0)
    events = [(0.0, n, _call('ab'[n % 2], n, 0.35)) for n in range(40)]
    refused = []
    sent = 0
    for step in range(600):
        now = step / 100
        for event in sorted(e for e in events if e[0] <= now):
            events.remove(event)
            _at, number, call = event
            match queue.offer(call, now):
                case limits.Refuse(retry_after_s):
                    refused.append(now)
                    again = now + retry_after_s
                    call = _call(call.team, number, again + 0.35)
                    events.append((again, number, call))
        for call in [
            c for c, at in queue._in_flight.items() if now - at > 0.09
        ]:
            sent += 1
            queue.release(call, now)
        queue.poll(now)
    assert sent == 40
    assert len([now for now in refused if now > 0]) <= 4


def test_a_waiting_call_is_refused_when_its_deadline_can_not_be_met():
    queue = _queue(1.0)
    call = _call('a', 1, deadline=0.6)
    assert _offer(queue, [_call('a'), call])[1] == limits.Wait()
    due = queue.poll(0.1)
    assert not due.refused and due.next_at < 0.6
    ((refused, refuse),) = queue.poll(due.next_at).refused
    assert refused is call and refuse.retry_after_s > 0
    assert not queue.waiting


def test_a_call_that_returns_early_is_told_the_same_time():
    """Repeats must not put off the return of others of the team."""
    queue = _queue(1.0)
    queue.offer(_call('a'), 0.0)
    repeated = _call('a', 1, deadline=0.01)
    told = queue.offer(repeated, 0.0).retry_after_s
    for _ in range(50):
        again = queue.offer(repeated, 0.05).retry_after_s
        assert again == pytest.approx(told - 0.05)
    other = queue.offer(_call('a', 2, deadline=0.01), 0.05)
    assert other.retry_after_s < told + 0.2


def test_a_limit_below_one_sends_with_pauses():
    """At 390 instances a team's part of the slots is below one at each."""
    queue = _queue(0.25)
    sent, now = 0, 0.0
    while now < 40.0:
        call = _call('a', now, deadline=now + 0.2)
        if queue.offer(call, now) == limits.Send():
            sent += 1
            queue.release(call, now + 0.1)
        now += 0.1
    assert 95 <= sent <= 102


def test_a_caller_that_leaves_frees_its_place_when_the_work_has_ended():
    queue = _queue(1.0)
    running, waiting = _call('a'), _call('a', 1)
    _offer(queue, [running, waiting])
    assert queue.leave(waiting, 0.02) == 0.0
    assert not queue.waiting
    # The duration of 0.1 s, and the margin of two deviations.
    assert queue.leave(running, 0.02) == pytest.approx(0.13)
    assert queue.in_flight == 1
    queue.drop(running)
    assert queue.in_flight == 0
    # One that has run for longer than usual frees its place at once.
    slow = _call('a', 2)
    assert queue.offer(slow, 1.0) == limits.Send()
    assert queue.leave(slow, 3.0) == 0.0
    assert queue.in_flight == 0


def test_waiting_calls_are_bounded():
    queue = _queue(1.0, usual_s=0.001)
    found = _offer(queue, [_call('a', n, 1e9) for n in range(500)])
    assert found.count(limits.Wait()) == 64
    assert sum(isinstance(f, limits.Refuse) for f in found) == 435


def test_limits_of_all_instances_add_up_to_the_slots():
    """Whatever the number of instances, and wherever a team calls."""
    excess = limits.Excess('a', 0.5, 0.5)
    for count in SIZES:
        total = sum(
            limits.in_flight_limit(36, count, 600.0, [(600 / count, excess)])
            for _ in range(count)
        )
        assert total == pytest.approx(2.5 * 36 * 0.5)
    # Calls that come to one instance get all of it there.
    found = limits.in_flight_limit(36, 390, 600.0, [(600.0, excess)])
    assert found == pytest.approx(45.0)
    # One that a team has just come to gets an even part.
    found = limits.in_flight_limit(36, 6, 600.0, [(0.0, excess)])
    assert found == pytest.approx(7.5)


def test_a_repeated_call_counts_once():
    counts = limits.CallCounts(0.0)
    for _ in range(9):
        counts.ask('a', 'r1', 0.1)
        counts.record_refused('a', 'r1', 0.1)
    assert counts.asked_per_s('a', 1.0) == 1.0
    assert counts.end_period(1.0, True) == ([('a', 0, 0, 1)], 1.0)
    counts.ask('a', 'r1', 1.1)
    counts.record_served('a', 'r1', True, 1.2)
    counts.record_refused('a', 'r2', 1.3)
    counts.record_refused('a', 'r3', 1.3)
    # It was served at last.
    assert counts.end_period(2.0, True) == ([('a', 1, 1, 2)], 2.0)
    assert counts.end_period(3.0, False) == ([], 0.0)


def test_counts_are_of_the_last_seconds_of_a_shortage():
    """What was before it must not hide a burst."""
    counts = limits.CallCounts(0.0)
    for second in range(20):
        counts.record_served('a', f's{second}', False, second + 0.5)
        rows, span_s = counts.end_period(second + 1.0, second >= 10)
        assert span_s == (0 if second < 10 else min(5.0, second - 9))
        assert rows == ([('a', span_s, 0, 0)] if span_s else [])


def test_a_period_after_a_suspension_counts_nothing():
    counts = limits.CallCounts(0.0)
    counts.record_refused('a', 'r1', 0.5)
    assert counts.end_period(60.0, True) == ([], 0.0)
    counts.record_refused('a', 'r2', 60.5)
    assert counts.end_period(61.0, True) == ([('a', 0, 0, 1)], 1.0)
    assert counts.asked_per_s('a', 61.0) == 0.0


def test_memory_of_refused_calls_is_bounded():
    counts, times = limits.CallCounts(0.0), _queue(1.0, 0.001)
    for number in range(6000):
        counts.record_refused('a', str(number), 0.0)
        times.offer(_call('a', number, 0.0), 0.0)
    assert len(counts._refused) == 4096
    assert len(times._returns._return_at) <= 4096
    counts.ask('a', 'x', 6.0)
    assert not counts._refused


def test_totals_add_up_the_latest_counts_of_each_instance():
    """Lost and repeated datagrams must not change what is found."""
    totals = limits.CallTotals()
    assert totals.rates(0.0) == {}
    for second in range(1, 21):
        if second % 3 != 1:
            totals.add('i1', [('a', 50, 10, 25)], 5.0, float(second))
            totals.add('i1', [('a', 50, 10, 25)], 5.0, float(second))
        rows = [('a', 10, 0, 0), ('b', 1, 0, 0)]
        totals.add('i2', rows, 1.0, second + 0.1)
        if second > 1:
            rates = totals.rates(second + 0.9)
            assert rates == {'a': [20.0, 2.0, 5.0], 'b': [1.0, 0.0, 0.0]}
    assert totals.rates(27.0) == {}


def test_the_first_call_that_ends_tells_how_long_calls_take():
    """While few are in time, the capacity is far below that of the slots.

    The duration that was derived from it refused all waiting calls of these
    teams until some fifty calls had ended, and let few be sent meanwhile.
    """
    queue = limits.CallQueue()
    # 36 slots and a capacity of 2 calls a second; a call takes 0.05 s.
    queue.set_limit(4.0, 18.0, 0.0)
    calls = [_late_call(f'r{number}', 0.5) for number in range(4)]
    assert all(queue.offer(call, 0.0) == limits.Send() for call in calls)
    queue.release(calls[0], 0.05)
    queue.release(calls[1], 0.05)
    sent, now = 0, 0.05
    while now < 1.0:
        call = _late_call(f's{now}', now + 0.5)
        if queue.offer(call, now) == limits.Send():
            sent += 1
            queue.release(call, now + 0.05)
        now += 0.05
    assert sent >= 15


def _late_call(request_id, deadline):
    return limits.QueuedCall('large', 1.0, deadline, request_id)


def test_long_ids_of_calls_are_not_kept():
    """A caller chooses the id; 4096 of 16 KB took 64 MB."""
    counts = limits.CallCounts(0.0)
    call_id = 'x' * 10_000
    counts.record_refused('l0', call_id, 0.0)
    counts.ask('l0', call_id, 0.1)
    assert not counts._asked
    assert len(repr(counts._refused)) < 100
