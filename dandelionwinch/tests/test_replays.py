"""Loads replayed against placement: overload, slow links, slow upstreams."""

import random
import statistics

import attrs

from dandelionwinch import dispatch
from dandelionwinch.tests import fleet
from dandelionwinch import upstreams

LINK_S = 0.022


class _Queue:
    """An engine that reads prompts in order of lane, then of arrival."""

    def __init__(self):
        self.free_at = {}

    def read(self, name, tokens, now):
        start = max(now, self.free_at.get(name, 0.0))
        self.free_at[name] = start + tokens / fleet.SPEED
        return self.free_at[name]


def _overload(instances, load, seconds=20, paced=True):
    """Replays arrivals at `load` times what four engines can read.

    Returns:
        Prompt tokens per second that were read within the objective,
        as a share of what the engines can read.
    """
    rng = random.Random(5)
    beliefs = [fleet.engines(4) for _n in range(instances)]
    placers = [fleet.placer(n, instances) for n in range(instances)]
    queue = _Queue()
    pending, good = [], 0
    rate = load * 4 * fleet.SPEED / 3000
    now = 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        for done in [p for p in pending if p[0] <= now]:
            pending.remove(done)
            at, who, placement, sent = done
            placers[who].started(placement, at - sent, at)
        who = rng.randrange(instances)
        asked = dispatch.Prompt(3000, 50, ((f'x{now}', 3000),))
        if not paced:
            at = queue.read(f'e{rng.randrange(4)}', 3000, now)
            good += 3000 * (at - now <= fleet.OBJECTIVE_S)
            continue
        placement = fleet.place(placers[who], asked, beliefs[who], now)
        if (
            placement is None
            or placement.priority_class is not dispatch.PriorityClass.URGENT
        ):
            continue
        at = queue.read(placement.decode.entry.id, 3000, now)
        pending.append((at, who, placement, now))
        if at - now <= fleet.OBJECTIVE_S:
            good += 3000
    return good / (seconds * 4 * fleet.SPEED)


def test_under_overload_most_of_what_is_read_is_in_time():
    before = _overload(9, 2.5, paced=False)
    after = _overload(9, 2.5)
    assert before < 0.2
    assert after > 0.7


def test_a_load_that_fits_is_hardly_held_back():
    assert _overload(9, 0.6) > 0.55


def test_the_rates_of_instances_come_to_share_an_engine():
    shares = statistics.pstdev
    paces = [dispatch.RateLimiter(fleet.SPEED, 4, 0.0) for _n in range(4)]
    paces[0].observe(1.0, fleet.OBJECTIVE_S, fleet.SPEED, 4, 1.0)
    first = shares([p.rate for p in paces])
    now = 1.0
    for _step in range(400):
        now += 0.1
        total = sum(p.rate for p in paces)
        excess_s = 0.1 if total > fleet.SPEED else 0.0
        for pace in paces:
            while pace.admit(3000, now):
                pass
            pace.observe(excess_s, fleet.OBJECTIVE_S, fleet.SPEED, 4, now)
    assert shares([p.rate for p in paces]) < first


def test_a_slow_plain_upstream_gets_fewer_calls_and_is_tried_again():
    """Replays calls to three upstreams of which one is eight times slow."""
    rng = random.Random(4)
    group = fleet.engines(3, upstreams.Role.PLAIN)
    distances = dispatch.Distances('dc', {'dc': 'r'})
    counts = {upstream.entry.id: 0 for upstream in group}
    latency_baseline = upstreams.LatencyBaseline()
    ends = []
    for step in range(3000):
        now = step * 0.02
        for end in [e for e in ends if e[0] <= now]:
            ends.remove(end)
            end[1].active -= 1
            excess_s = latency_baseline.excess_s('s', end[2])
            end[1].succeeded(excess_s, end[0])
        chosen = dispatch.choose_plain(group, (), distances, rng, now)
        taken_s = 0.16 if chosen is group[0] else 0.02
        chosen.active += 1
        counts[chosen.entry.id] += 1
        ends.append((now + taken_s, chosen, taken_s))
    assert 10 < counts['e0'] < 3000 / 9
    assert min(counts['e1'], counts['e2']) > 1000


def test_the_nearest_plain_upstream_is_kept_while_it_is_as_fast():
    near, far = fleet.engines(2, upstreams.Role.PLAIN)
    far.entry = attrs.evolve(far.entry, data_centre='far')
    distances = dispatch.Distances('dc', {'dc': 'r', 'far': 'q'})
    latency_baseline = upstreams.LatencyBaseline()
    rng = random.Random(1)
    for step in range(500):
        now = step * 0.1
        chosen = dispatch.choose_plain([near, far], (), distances, rng, now)
        assert chosen is near
        taken_s = 0.02 + 0.01 * rng.random()
        chosen.succeeded(latency_baseline.excess_s('s', taken_s), now)


def _stuck_partner(data_centre):
    """Replays a reader whose partner takes 1.4 s for each answer.

    Args:
        data_centre: Where the second engine for answers is.

    Returns:
        Whether each answer went to the engine that is stuck, one each
        20 ms.
    """
    reader = fleet.engines(1, upstreams.Role.PREFILL)[0]
    stuck, other = fleet.engines(2, first=5)
    other.entry = attrs.evolve(other.entry, data_centre=data_centre)
    made = fleet.placer()
    found, ends = [], []
    for step in range(400):
        now = step * 0.02
        for end in [e for e in ends if e[0] <= now]:
            ends.remove(end)
            made.started(end[1], end[0] - end[2], end[0])
            made.ended(end[1])
        asked = dispatch.Prompt(3000, 2, ((f'x{step}', 3000),))
        group = [reader, stuck, other]
        placement = fleet.place(made, asked, group, now)
        if placement is None or placement.prefill is None:
            continue
        made.sent(asked, placement, now)
        made.prefilled(placement, 0.0, now)
        made.handed_over(placement, now)
        is_stuck = placement.decode is stuck
        ends.append((now + (1.4 if is_stuck else 0.05), placement, now))
        found.append(is_stuck)
    return found


def test_answers_go_to_the_next_engine_while_the_nearest_is_stuck():
    found = _stuck_partner('dc')
    assert 0 < sum(found) < 0.4 * len(found)
    assert any(found[len(found) // 2 :])


def test_answers_stay_in_their_region_also_while_it_is_slow():
    assert all(_stuck_partner('other'))


def _far_answers(rate, seconds=10):
    """Replays prompts whose KV caches cross a slow link one by one.

    Returns:
        Share of the prompts handed over whose answer begins within 0.2 s
        after that, and their number a second.
    """
    reader = fleet.engines(1, upstreams.Role.PREFILL)[0]
    far = fleet.engines(1, first=5)[0]
    far.entry = attrs.evolve(far.entry, data_centre='other')
    made = fleet.placer()
    link_free_at, good, count = 0.0, 0, 0
    ends = []
    for step in range(int(rate * seconds)):
        now = step / rate
        for end in [e for e in ends if e[0] <= now]:
            ends.remove(end)
            made.started(end[1], end[0] - end[2], end[0])
            made.ended(end[1])
        asked = dispatch.Prompt(3000, 2, ((f'x{step}', 3000),))
        placement = fleet.place(made, asked, [reader, far], now)
        if placement is None or placement.prefill is None:
            continue
        made.sent(asked, placement, now)
        made.prefilled(placement, 0.0, now)
        made.handed_over(placement, now)
        link_free_at = max(now, link_free_at) + LINK_S
        good += link_free_at - now < fleet.OBJECTIVE_S
        count += 1
        if link_free_at - now > 2.0:
            # Refused; no first event tells of the delay.
            link_free_at -= LINK_S
            ends.append((now + 2.0, placement, now))
            continue
        ends.append((link_free_at + 0.03, placement, now))
    return good / count, count / seconds


def test_a_reader_gives_a_slow_link_no_more_than_it_carries():
    in_time, rate = _far_answers(120)
    assert in_time > 0.7
    assert rate < 1.2 / LINK_S
