"""Placement of prompts: homes, lanes, caches, and engines that are behind."""

import attrs

from dandelionwinch import dispatch
from dandelionwinch.tests import fleet
from dandelionwinch import upstreams


def test_requests_of_a_session_meet_at_one_engine_from_all_instances():
    beliefs = fleet.engines(6)
    homes = {
        fleet.place(
            fleet.placer(seed), fleet.prompt(7), beliefs
        ).decode.entry.id
        for seed in range(9)
    }
    assert len(homes) == 1


def test_sessions_spread_over_the_engines():
    beliefs = fleet.engines(4)
    found = [
        fleet.place(fleet.placer(1), fleet.prompt(n), beliefs).decode.entry.id
        for n in range(400)
    ]
    counts = [found.count(b.entry.id) for b in beliefs]
    assert min(counts) > 50


def test_what_was_sent_is_believed_to_be_cached_until_a_restart():
    made = fleet.placer()
    beliefs = fleet.engines(1)
    first = fleet.place(made, fleet.prompt(), beliefs)
    made.sent(fleet.prompt(), first, 0.0)
    again = fleet.place(made, fleet.prompt(), beliefs, 1.0)
    assert (first.uncached_tokens, again.uncached_tokens) == (9000, 3000)
    made.forget('e0')
    assert (
        fleet.place(made, fleet.prompt(), beliefs, 2.0).uncached_tokens == 9000
    )


def test_a_prompt_for_a_prefill_engine_gets_an_engine_for_its_answer():
    beliefs = fleet.engines(1, upstreams.Role.PREFILL) + fleet.engines(
        1, first=5
    )
    made = [
        fleet.place(fleet.placer(s), fleet.prompt(s), beliefs)
        for s in range(40)
    ]
    split = [p for p in made if p.prefill is not None]
    assert split
    assert all(p.decode.entry.id == 'e5' for p in made)
    direct = fleet.place(fleet.placer(), fleet.prompt(), beliefs, direct=True)
    assert direct.prefill is None


def test_short_prompts_go_to_engines_that_make_answers():
    beliefs = fleet.engines(2, upstreams.Role.PREFILL) + fleet.engines(
        2, first=5
    )
    short = dispatch.Prompt(140, 400, (('p', 40), ('q', 100)))
    found = fleet.place(fleet.placer(), short, beliefs)
    assert found.prefill is None
    assert found.priority_class is dispatch.PriorityClass.ANSWER


def test_without_an_engine_for_answers_nothing_is_placed():
    beliefs = fleet.engines(2, upstreams.Role.PREFILL)
    assert fleet.place(fleet.placer(), fleet.prompt(), beliefs) is None


def test_a_late_request_waits_behind_those_that_can_be_in_time():
    found = fleet.place(
        fleet.placer(), fleet.prompt(), fleet.engines(2), late=True
    )
    assert found.priority_class is dispatch.PriorityClass.BACKGROUND


def test_background_has_a_bound_and_then_nothing_is_placed():
    made = fleet.placer(instances=9)
    beliefs = fleet.engines(1)
    found = []
    while True:
        placement = fleet.place(made, fleet.prompt(), beliefs, late=True)
        if placement is None:
            break
        made.sent(fleet.prompt(), placement, 0.0)
        found.append(placement)
    assert 0 < len(found) <= 3 * 24 / 9
    made.ended(found[0])
    assert fleet.place(made, fleet.prompt(), beliefs, late=True) is not None


def test_pauses_of_an_answer_slow_prompts_down():
    made = fleet.placer()
    belief = fleet.engines(1)[0]
    placement = fleet.place(made, fleet.prompt(), [belief])
    before = made._pace(belief, 0.0).rate
    for step in range(1, 20):
        made.token_gap(placement, 0.14, 0.15, step * 0.2)
    assert made._pace(belief, 4.0).rate < before / 2


def test_an_engine_without_a_partner_reads_and_slows_down_for_far_answers():
    reader = fleet.engines(1, upstreams.Role.PREFILL)[0]
    far = fleet.engines(1, first=5)[0]
    far.entry = attrs.evolve(far.entry, data_centre='other')
    made = fleet.placer()
    found = None
    for number in range(40):
        placement = fleet.place(
            made, fleet.prompt(number), [reader, far], number * 1.0
        )
        if placement.prefill is not None:
            found = placement
    assert found is not None
    before = made._pace(reader, 40.0).rate
    for step in range(10):
        made.started(found, 0.5, 41.0 + step)
    assert made._pace(reader, 60.0).rate < before / 2


def test_small_prompts_are_admitted_where_a_large_one_waits():
    pace = dispatch.RateLimiter(fleet.SPEED, 1, 0.0)
    while pace.admit(3000, 0.0):
        pass
    assert not pace.admit(3000, 0.0)
    assert not pace.admit(12000, 0.0)
    assert pace.admit(300, 0.0)
    times = {}
    for tokens in (3000, 12000):
        waiting = dispatch.RateLimiter(fleet.SPEED, 1, 0.0)
        while waiting.admit(3000, 0.0):
            pass
        now = 0.0
        while not waiting.admit(tokens, now):
            now += 0.001
        times[tokens] = now
    assert times[12000] > times[3000]
    assert times[12000] < 0.2


def test_returned_requests_go_first_in_the_background():
    returned = fleet.place(
        fleet.placer(), fleet.prompt(), fleet.engines(2), late=True
    )
    made = fleet.placer()
    belief = fleet.engines(1)
    fresh = fleet.place(made, fleet.prompt(), belief)
    while fresh.priority_class is dispatch.PriorityClass.URGENT:
        fresh = fleet.place(made, fleet.prompt(), belief)
    assert fresh.priority_class is dispatch.PriorityClass.BACKGROUND
    assert returned.priority < fresh.priority


def test_a_prompt_without_a_first_sign_slows_its_engine_down_at_once():
    made = fleet.placer()
    beliefs = fleet.engines(1)
    first = fleet.place(made, fleet.prompt(1), beliefs)
    made.sent(fleet.prompt(1), first, 0.0)
    before = made._pace(beliefs[0], 0.0).rate
    for step in range(1, 11):
        fleet.place(made, fleet.prompt(2), beliefs, 0.5 + 0.1 * step)
    assert made._pace(beliefs[0], 2.0).rate < before / 2
    made.ended(first)
    held = made._pace(beliefs[0], 2.0).rate
    fleet.place(made, fleet.prompt(3), beliefs, 3.0)
    assert made._pace(beliefs[0], 3.0).rate == held


def test_an_engine_that_is_behind_gets_nothing_in_the_background():
    made = fleet.placer()
    beliefs = fleet.engines(1)
    first = fleet.place(made, fleet.prompt(1), beliefs)
    made.sent(fleet.prompt(1), first, 0.0)
    late = {'late': True}
    assert fleet.place(made, fleet.prompt(2), beliefs, 0.1, **late) is not None
    assert fleet.place(made, fleet.prompt(3), beliefs, 0.6, **late) is None
    made.ended(first)
    assert fleet.place(made, fleet.prompt(3), beliefs, 0.6, **late) is not None


def test_engines_for_answers_read_where_kv_caches_do_not_get_through():
    reader = fleet.engines(1, upstreams.Role.PREFILL)[0]
    near = fleet.engines(1, first=5)[0]
    group = [reader, near]
    made = fleet.placer()
    first = fleet.place(made, fleet.prompt(1), group)
    made.sent(fleet.prompt(1), first, 0.0)
    made.prefilled(first, 0.02, 0.02)
    made.handed_over(first, 0.02)
    found = [fleet.place(made, fleet.prompt(n), group, 0.5) for n in range(9)]
    assert any(p is not None and p.prefill is None for p in found)
    made.ended(first)
    found = [
        fleet.place(made, fleet.prompt(n), group, 9.0 + n) for n in range(9)
    ]
    assert all(p.prefill is reader for p in found)
