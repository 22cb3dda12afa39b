"""Plan, forecast and orders of capacity, without a network."""

import collections
import random

import pytest

from dandelionwinch.bench import _scaling
from dandelionwinch import capacity
from dandelionwinch import routes
from dandelionwinch import upstreams

PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25, 'd': 0.9, 'e': 1.1, 'f': 1.0}
START = {'a': 4, 'b': 4, 'c': 4, 'd': 4, 'e': 4, 'f': 3}
MOST = 8
BOOT_S = 4.0
ORDINARY = capacity.Kind.ORDINARY
RECLAIMABLE = capacity.Kind.RECLAIMABLE


def scaling(price=0.15, least=1, most=MOST, prices=PRICES):
    return routes.Scaling(least, most, BOOT_S, price, prices)


def entry(number, place, role=upstreams.Role.DECODE, ready=True):
    return upstreams.Entry(
        f'{place.data_centre}-{place.kind.value}-{number}',
        's',
        '10.0.0.1:80',
        place.data_centre,
        1,
        ready,
        role,
        24,
        reclaimable=place.reclaimable,
    )


def view(counts, draining=None, prefills=0):
    """Returns the View of counts by Place; some ordinary ones prefill."""
    entries = []
    for place, count in counts.items():
        for number in range(count):
            role = upstreams.Role.DECODE
            if number < prefills and not place.reclaimable:
                role = upstreams.Role.PREFILL
            entries.append(entry(number, place, role))
    for place, count in (draining or {}).items():
        entries += [entry(900 + n, place, ready=False) for n in range(count)]
    return capacity.view_of(entries)


def at(name, kind):
    return capacity.Place(name, kind)


def start_counts():
    return {at(name, ORDINARY): count for name, count in START.items()}


def need(cheap, dear=None, urgent=0.0, present=None):
    dear = cheap if dear is None else dear
    present = dear if present is None else present
    return capacity.Need(cheap, dear, urgent, present, None, None, 0.65)


def by_kind(counts, kind):
    return {
        place.data_centre: count
        for place, count in counts.items()
        if place.kind is kind and count
    }


def total(counts):
    return sum(counts.values())


def test_the_fleet_of_the_start_is_replaced_by_reclaimable_ones():
    counts = start_counts()
    planned = capacity.plan(
        scaling(), view(counts), counts, need(23.0), frozenset()
    )
    # None is given up before the others serve.
    assert by_kind(planned, ORDINARY) == START
    added = by_kind(planned, RECLAIMABLE)
    assert set(added) == set(START)
    assert max(added.values()) - min(added.values()) <= 1
    both = {**counts, **{at(n, RECLAIMABLE): c for n, c in added.items()}}
    planned = capacity.plan(
        scaling(), view(both), both, need(23.0), frozenset()
    )
    assert by_kind(planned, ORDINARY) == dict.fromkeys(START, 1)
    # The total of the start stays without the data centre with the most.
    assert total(planned) - max(added.values()) >= 23


def test_ordinary_ones_stay_in_a_data_centre_whose_replacements_start():
    counts = start_counts()
    ordered = {
        **counts,
        **dict.fromkeys([at(n, RECLAIMABLE) for n in START], 4),
    }
    serving = {**ordered, at('c', RECLAIMABLE): 0}
    planned = capacity.plan(
        scaling(), view(serving), ordered, need(23.0), frozenset()
    )
    assert planned[at('c', ORDINARY)] == 4
    assert planned[at('a', ORDINARY)] == 1


def test_enough_ordinary_ones_stay_for_the_urgent_work():
    counts = dict.fromkeys(
        [at(n, kind) for n in START for kind in capacity.Kind], 4
    )
    planned = capacity.plan(
        scaling(), view(counts), counts, need(23.0, urgent=8.5), frozenset()
    )
    ordinary = by_kind(planned, ORDINARY)
    assert total(ordinary) == 9
    # The three that are more than one in each are where they cost least.
    assert {n for n, count in ordinary.items() if count == 2} == set('bda')


@pytest.mark.parametrize('prefills', [2, 3])
def test_what_is_given_up_may_not_be_the_last_that_decodes(prefills):
    """The platform chooses which ones leave."""
    counts = {at('a', ORDINARY): 4, at('a', RECLAIMABLE): 0}
    planned = capacity.plan(
        scaling(price=None, prices={'a': 1.0}),
        view(counts, prefills=prefills),
        counts,
        need(0.0),
        frozenset(),
    )
    assert planned[at('a', ORDINARY)] == 4 - (4 - prefills - 1)


def test_without_a_price_of_reclaimable_ones_none_is_planned():
    counts = start_counts()
    planned = capacity.plan(
        scaling(price=None), view(counts), counts, need(30.0), frozenset()
    )
    assert not by_kind(planned, RECLAIMABLE)
    assert total(planned) == 30


def test_what_is_refused_is_planned_elsewhere():
    counts = start_counts()
    refused = {at('b', RECLAIMABLE), at('d', RECLAIMABLE)}
    planned = capacity.plan(
        scaling(), view(counts), counts, need(23.0), refused
    )
    added = by_kind(planned, RECLAIMABLE)
    assert not {'b', 'd'} & set(added)
    # All that has room beside the ordinary ones.
    assert added == {'a': 4, 'c': 4, 'e': 4, 'f': 5}


def test_what_is_refused_everywhere_is_planned_as_ordinary():
    counts = dict.fromkeys([at(n, ORDINARY) for n in START], 1)
    counts |= dict.fromkeys([at(n, RECLAIMABLE) for n in 'abcde'], 3)
    refused = {at(n, RECLAIMABLE) for n in START}
    planned = capacity.plan(
        scaling(), view(counts), counts, need(30.0, 24.0), refused
    )
    assert by_kind(planned, RECLAIMABLE) == dict.fromkeys('abcde', 3)
    assert total(by_kind(planned, ORDINARY)) == 24 - 15
    # A data centre keeps two engines, so that both roles stay possible.
    assert planned[at('f', ORDINARY)] >= 2


@pytest.mark.parametrize(
    ('present', 'refused', 'ordinary'),
    [
        # One leaves each data centre, and a reclaimable one follows it.
        (20.0, '', 3),
        # The present work needs them all.
        (48.0, '', 4),
        # Nothing can replace them.
        (20.0, 'abcdef', 4),
    ],
)
def test_ordinary_ones_are_replaced_where_there_is_no_room(
    present, refused, ordinary
):
    """They stayed until the need sank, at seven times the price."""
    counts = dict.fromkeys(
        [at(n, kind) for n in START for kind in capacity.Kind], 4
    )
    planned = capacity.plan(
        scaling(),
        view(counts),
        counts,
        need(48.0, present=present),
        {at(name, RECLAIMABLE) for name in refused},
    )
    assert by_kind(planned, ORDINARY) == dict.fromkeys(START, ordinary)
    assert by_kind(planned, RECLAIMABLE) == dict.fromkeys(START, 4)


@pytest.mark.parametrize('seed', range(40))
def test_no_plan_breaks_the_limits(seed):
    rng = random.Random(seed)
    most = rng.randint(2, 8)
    least = rng.randint(0, 2)
    price = rng.choice([None, 0.15, 0.5])
    names = 'abcdef'[: rng.randint(1, 6)]
    ordered = collections.Counter()
    for name in names:
        ordered[at(name, ORDINARY)] = rng.randint(1, most)
        room = most - ordered[at(name, ORDINARY)]
        if price is not None:
            ordered[at(name, RECLAIMABLE)] = rng.randint(0, room)
    serving = {p: rng.randint(0, count) for p, count in ordered.items()}
    refused = {place for place in ordered if rng.random() < 0.3}
    cheap = rng.uniform(0, 60)
    wanted = need(cheap, rng.uniform(0, cheap), rng.uniform(0, 10))
    prices = {name: PRICES[name] for name in names}
    planned = capacity.plan(
        scaling(price, least, most, prices),
        view(serving),
        ordered,
        wanted,
        refused,
    )
    for name in names:
        here = [at(name, kind) for kind in capacity.Kind]
        # What is ordered stands until it is ordered down.
        standing = sum(max(ordered.get(p, 0), planned.get(p, 0)) for p in here)
        assert standing <= most
        assert planned[at(name, ORDINARY)] >= 1
        assert sum(planned.get(p, 0) for p in here) >= min(least, 1)
    for place in refused:
        assert planned.get(place, 0) <= ordered[place]


def make_orders(counts, now=0.0):
    orders = capacity.Orders(BOOT_S)
    orders.observe(view(counts), now)
    return orders


PLACE = at('a', RECLAIMABLE)


def send(orders, planned, now, outcome=capacity.Outcome.ACCEPTED):
    due = orders.due(planned, now)
    for order in due:
        orders.begin(order)
        orders.end(order, outcome, now)
    return due


def test_an_order_is_repeated_only_if_the_entries_do_not_follow():
    orders = make_orders({at('a', ORDINARY): 4})
    assert send(orders, {PLACE: 3}, 0.0)
    for now in (1.0, 4.0, 6.9):
        orders.observe(view({PLACE: 1}), now)
        assert not send(orders, {PLACE: 3}, now)
    assert send(orders, {PLACE: 3}, 7.1)
    for now in (8.0, 20.0, 40.0):
        orders.observe(view({PLACE: 3}), now)
        assert not send(orders, {PLACE: 3}, now)


def test_a_crash_is_no_reason_for_an_order():
    """An upstream that crashed returns, so its order is still in effect."""
    orders = make_orders({at('a', ORDINARY): 4})
    orders.observe(view({at('a', ORDINARY): 2}), 1.0)
    assert orders.ordered()[at('a', ORDINARY)] == 4
    assert not orders.due({at('a', ORDINARY): 4}, 1.0)


def test_what_two_orders_do_not_bring_is_planned_elsewhere():
    orders = make_orders({at('a', ORDINARY): 4})
    tries = []
    for tenth in range(160):
        now = tenth / 10
        orders.observe(view({PLACE: 1}), now)
        if send(orders, {PLACE: 3}, now):
            tries.append(now)
        if PLACE in orders.refused(now):
            break
    assert tries == [0.0, pytest.approx(7.1)]
    assert now == pytest.approx(14.2, abs=0.2)
    assert orders.ordered()[PLACE] == 1


def test_what_stood_without_an_order_and_does_not_return_is_gone():
    """A new holder did not order it, and did not see it being taken away."""
    orders = make_orders({PLACE: 4})
    orders.observe(view({}), 1.0)
    assert orders.ordered()[PLACE] == 4
    orders.observe(view({}), 8.0)
    assert orders.ordered()[PLACE] == 0
    assert orders.due({PLACE: 4}, 8.0)


def test_one_order_is_in_flight_for_a_data_centre():
    orders = make_orders({at('a', ORDINARY): 4, at('b', ORDINARY): 4})
    planned = {at('a', ORDINARY): 2, PLACE: 3, at('b', ORDINARY): 5}
    due = orders.due(planned, 0.0)
    # What adds capacity goes first.
    assert [o.place for o in due] == [PLACE, at('b', ORDINARY)]
    orders.begin(due[0])
    orders.begin(due[1])
    assert not orders.due(planned, 0.0)
    orders.end(due[0], capacity.Outcome.ACCEPTED, 0.1)
    assert [o.place for o in orders.due(planned, 0.1)] == [at('a', ORDINARY)]


def test_what_is_ordered_down_is_given_up_only_once():
    """Plans follow each answer, and the entries follow seconds later.

    Found by the soak: 6 ordinary upstreams of which 3 were needed were
    ordered down to 1, while none that replaces them served.
    """
    rules = scaling(least=2, most=6, prices={'a': 1.0, 'b': 0.9})
    counts = {at('a', ORDINARY): 6}
    orders = make_orders(counts)
    for step in range(20):
        orders.observe(view(counts), step / 1000)
        planned = capacity.plan(
            rules,
            view(counts),
            orders.ordered(),
            need(8.0, 3.0, urgent=1.0),
            frozenset(),
        )
        send(orders, planned, step / 1000)
    assert orders.ordered()[at('a', ORDINARY)] >= 3


def test_entries_above_the_limit_are_not_taken_for_orders():
    """Those of crashed upstreams lapse late, beside those that follow.

    An order above the limit followed.
    """
    orders = capacity.Orders(BOOT_S)
    orders.most = 6
    orders.observe(view({at('a', ORDINARY): 10, at('b', ORDINARY): 6}), 0.0)
    assert orders.ordered()[at('a', ORDINARY)] == 6
    send(orders, {at('b', RECLAIMABLE): 2}, 0.0)
    orders.observe(view({at('a', ORDINARY): 6, at('b', ORDINARY): 6}), 1.0)
    # The order was accepted, so four of them are left.
    assert orders.ordered()[at('b', ORDINARY)] == 4


def test_no_order_that_lowers_a_number_starts_upstreams():
    """What stood there before is not known to be ordered.

    An order for 5 of presumed 7 started 4 upstreams where 2 served.
    """
    place = at('a', ORDINARY)
    orders = make_orders({place: 7})
    orders.observe(view({place: 2}), 1.0)
    assert not orders.due({place: 5}, 1.0)
    assert [order.count for order in orders.due({place: 2}, 1.0)] == [2]
    orders.observe(view({place: 2}), 1.0 + BOOT_S + 4.0)
    (order,) = orders.due({place: 5}, 1.0 + BOOT_S + 4.0)
    assert (order.before, order.count) == (2, 5)


def test_a_refusal_is_remembered_for_longer_each_time():
    orders = make_orders({at('a', ORDINARY): 4})
    tries = []
    for tenth in range(400):
        now = tenth / 10
        if send(orders, {PLACE: 3}, now, capacity.Outcome.REFUSED):
            tries.append(now)
    pauses = [b - a for a, b in zip(tries, tries[1:], strict=False)]
    assert pauses[0] == pytest.approx(3.0, abs=0.2)
    assert pauses == sorted(pauses)
    assert pauses[-1] <= 10.2
    assert orders.ordered().get(PLACE, 0) == 0


def test_what_was_not_sent_is_sent_again_after_a_pause():
    orders = make_orders({at('a', ORDINARY): 4})
    assert send(orders, {PLACE: 3}, 0.0, capacity.Outcome.NOT_SENT)
    assert not orders.due({PLACE: 3}, 0.9)
    assert orders.due({PLACE: 3}, 1.1)


def test_an_unanswered_order_may_be_in_effect():
    orders = make_orders({at('a', ORDINARY): 4})
    assert send(orders, {PLACE: 3}, 0.0, capacity.Outcome.UNANSWERED)
    assert not orders.due({PLACE: 3}, 2.0)
    assert orders.due({PLACE: 3}, 7.1)


def test_what_is_taken_away_is_ordered_again_at_once_and_only_once():
    orders = make_orders({PLACE: 4})
    send(orders, {PLACE: 4}, 0.0)
    taken = view({}, draining={PLACE: 4})
    orders.observe(taken, 10.0)
    assert orders.ordered()[PLACE] == 0
    assert send(orders, {PLACE: 4}, 10.0)
    # They still drain while the new ones start.
    orders.observe(taken, 11.0)
    assert not orders.due({PLACE: 4}, 11.0)


def demand(done, short=0.0):
    return capacity.Demand(done, short)


def run_forecast(forecast, work, seconds, begin=0.0, serving=23):
    """Feeds a forecast with the work that a function gives by the time."""
    for second in range(seconds):
        now = begin + second
        forecast.observe(work(now), serving, now)
    return forecast.need()


def test_the_number_at_the_start_counts_before_any_demand_is_known():
    forecast = capacity.Forecast(23, 0.15, 48)
    found = run_forecast(forecast, lambda _now: demand(0.0), 16)
    assert (found.cheap, found.demand) == (23, None)
    found = run_forecast(forecast, lambda _now: demand(1.0), 25, 16.0)
    assert found.cheap == 23


def test_the_need_grows_at_once_and_shrinks_slowly():
    forecast = capacity.Forecast(4, 0.15, 48)
    run_forecast(forecast, lambda _now: demand(5.0), 60)
    low = forecast.need().cheap
    high = run_forecast(forecast, lambda _now: demand(12.0), 3, 60.0).cheap
    assert high > 1.5 * low
    steps = []
    for second in range(120):
        now = 63.0 + second
        forecast.observe(demand(2.0), 23, now)
        steps.append(forecast.need().cheap)
    changes = [
        (n, b / a)
        for n, (a, b) in enumerate(zip(steps, steps[1:], strict=False))
        if a != b
    ]
    lowered = [(n, ratio) for n, ratio in changes if ratio < 1]
    assert all(ratio >= 0.749 for _n, ratio in lowered)
    assert all(
        b - a >= 10
        for (a, _), (b, _) in zip(lowered, lowered[1:], strict=False)
    )
    assert steps[-1] < high / 2


def test_cheap_capacity_gets_more_headroom():
    work = [demand(10.0 + 4.0 * (n % 12 < 6)) for n in range(60)]
    needs = []
    for price in (0.15, 0.5):
        forecast = capacity.Forecast(4, price, 100)
        needs.append(run_forecast(forecast, lambda n: work[int(n)], 60))
    assert needs[0].cheap > needs[1].cheap > needs[1].dear


def test_a_shortage_asks_for_more_whatever_the_work_is_measured_as():
    forecast = capacity.Forecast(10, 0.15, 48)
    found = run_forecast(
        forecast, lambda _now: demand(0.5, 0.2), 5, serving=20
    )
    assert found.cheap > 20


def test_late_work_orders_no_ordinary_ones():
    """It may be late for other reasons than a lack of upstreams."""
    forecast = capacity.Forecast(10, 0.15, 48)
    late = run_forecast(forecast, lambda _now: demand(3.0, 2.0), 60)
    forecast = capacity.Forecast(10, 0.15, 48)
    in_time = run_forecast(forecast, lambda _now: demand(5.0), 60)
    assert late.cheap > in_time.cheap
    assert (late.dear, late.urgent) == (in_time.dear, in_time.urgent)


def test_a_plain_service_needs_no_second_upstream_for_a_role():
    counts = {at(name, ORDINARY): 1 for name in START}
    entries = [entry(0, place, upstreams.Role.PLAIN) for place in counts]
    planned = capacity.plan(
        scaling(price=None),
        capacity.view_of(entries),
        counts,
        need(0.0),
        frozenset(),
    )
    assert by_kind(planned, ORDINARY) == dict.fromkeys(START, 1)


def test_one_sample_that_is_far_off_orders_no_ordinary_ones():
    forecast = capacity.Forecast(23, 0.15, 48)
    forecast.observe(demand(5000.0), 23, 0.0)
    found = forecast.need()
    assert found.cheap == 48
    assert found.dear == 23
    assert found.urgent < 6


def test_the_sum_is_scaled_to_the_instances_that_were_not_heard():
    reports = capacity.DemandReports()
    assert reports.total('s', 4, 0.0) is None
    reports.record('i1', {'s': demand(1.0, 0.5)}, 0.0)
    reports.record('i2', {'s': demand(2.0)}, 1.0)
    assert reports.total('s', 4, 2.0) == demand(6.0, 1.0)
    assert reports.total('s', 4, 3.5) == demand(8.0)
    assert reports.total('s', 4, 4.5) is None


def planner_of(counts):
    planner = capacity.Planner(scaling())
    due = planner.update(view(counts), None, 0.0)
    return planner, due


def test_upstreams_of_the_start_that_become_known_later_count():
    """The first plan knew 10 of 21 upstreams; half of them were given up."""
    few = {at(name, ORDINARY): 1 for name in START}
    late, _due = planner_of(few)
    late.update(view(start_counts()), None, 0.5)
    known, _due = planner_of(start_counts())
    assert late.need == known.need
    assert total(late.planned) >= total(START) > 20


def test_a_new_holder_plans_what_the_one_before_it_did():
    """Else the margin for a lost data centre would grow with each holder."""
    first, due = planner_of(start_counts())
    added = {order.place: order.count for order in due}
    for counts in (
        {**start_counts(), **added},
        {**dict.fromkeys([at(n, ORDINARY) for n in START], 1), **added},
    ):
        _planner, due = planner_of(counts)
        assert all(not order.place.reclaimable for order in due)
    assert due == []
    assert total(first.planned) == 23 + 21


def test_upstreams_that_register_later_count_at_the_start():
    """Else the first plan would order down what is not known yet."""
    planner = capacity.Planner(scaling())
    for second in range(8):
        counts = {at(n, ORDINARY): min(c, second) for n, c in START.items()}
        planner.update(view(counts), None, float(second))
    assert planner.need.cheap == 23
    planner.update(view(start_counts()), demand(5.0), 9.0)
    later = {**start_counts(), at('f', ORDINARY): 8}
    planner.update(view(later), demand(5.0), 10.0)
    assert planner.need.cheap == 23


SERVED = 0.99
# Part of the price of the fleet of the start that may be paid.
PAID = 0.62


@pytest.mark.parametrize('load', _scaling.LOADS, ids=lambda load: load.name)
def test_under_each_load_the_work_is_done_for_less(load):
    seed = 11
    run = _scaling.Simulation(load, seed).run()
    start = _scaling.Simulation(load, seed, planned=False).run()
    assert run.served / run.demanded >= SERVED
    assert run.served >= 0.999 * start.served
    assert run.fleet.paid <= PAID * start.fleet.paid


def test_a_data_centre_whose_reclaimable_ones_are_taken_keeps_one():
    """All of them go at 2 s notice, and none can be had for 10 s."""
    load = _scaling.ScalingLoad('reclaims', reclaims=(60.0,))
    run = _scaling.Simulation(load, 5)
    low = []
    for number in range(900):
        run.advance(number * _scaling.STEP_S)
        seen = run.fleet.view(number * _scaling.STEP_S)
        low.append(min(seen.in_data_centre(name) for name in PRICES))
    assert min(low) >= 1
    assert low[-1] >= 4
    assert run.served / run.demanded > SERVED
