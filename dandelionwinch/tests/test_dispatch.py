"""Placement of prompts: affinity, priorities, caches, slow engines."""

import attrs

from dandelionwinch import dispatch
from dandelionwinch.tests import fixtures
from dandelionwinch import upstreams


def test_all_instances_send_a_session_to_one_engine():
    engines = fixtures.make_engines(6)
    chosen = {
        fixtures.place(
            fixtures.make_placer(seed), fixtures.make_prompt(7), engines
        ).decode.entry.id
        for seed in range(9)
    }
    assert len(chosen) == 1


def test_sessions_spread_over_the_engines():
    engines = fixtures.make_engines(4)
    found = [
        fixtures.place(
            fixtures.make_placer(1), fixtures.make_prompt(n), engines
        ).decode.entry.id
        for n in range(400)
    ]
    counts = [found.count(e.entry.id) for e in engines]
    assert min(counts) > 50


def test_sent_blocks_count_as_cached_until_a_restart():
    placer = fixtures.make_placer()
    engines = fixtures.make_engines(1)
    first = fixtures.place(placer, fixtures.make_prompt(), engines)
    placer.record_sent(fixtures.make_prompt(), first, 0.0)
    again = fixtures.place(placer, fixtures.make_prompt(), engines, 1.0)
    assert (first.uncached_tokens, again.uncached_tokens) == (9000, 3000)
    placer.forget('e0')
    assert (
        fixtures.place(
            placer, fixtures.make_prompt(), engines, 2.0
        ).uncached_tokens
        == 9000
    )


def test_a_prompt_at_a_prefill_engine_gets_a_decode_engine():
    engines = fixtures.make_engines(
        1, upstreams.Role.PREFILL
    ) + fixtures.make_engines(1, first=5)
    placements = [
        fixtures.place(
            fixtures.make_placer(s), fixtures.make_prompt(s), engines
        )
        for s in range(40)
    ]
    split = [p for p in placements if p.prefill is not None]
    assert split
    assert all(p.decode.entry.id == 'e5' for p in placements)
    direct = fixtures.place(
        fixtures.make_placer(), fixtures.make_prompt(), engines, direct=True
    )
    assert direct.prefill is None


def test_short_prompts_go_to_decode_engines():
    engines = fixtures.make_engines(
        2, upstreams.Role.PREFILL
    ) + fixtures.make_engines(2, first=5)
    short = dispatch.Prompt(140, 400, (('p', 40), ('q', 100)))
    found = fixtures.place(fixtures.make_placer(), short, engines)
    assert found.prefill is None
    assert found.priority_class is dispatch.PriorityClass.ANSWER


def test_without_a_decode_engine_nothing_is_placed():
    engines = fixtures.make_engines(2, upstreams.Role.PREFILL)
    assert (
        fixtures.place(fixtures.make_placer(), fixtures.make_prompt(), engines)
        is None
    )


def test_a_late_request_is_placed_in_the_background():
    found = fixtures.place(
        fixtures.make_placer(),
        fixtures.make_prompt(),
        fixtures.make_engines(2),
        late=True,
    )
    assert found.priority_class is dispatch.PriorityClass.BACKGROUND


def test_background_has_a_bound_and_then_nothing_is_placed():
    placer = fixtures.make_placer(instances=9)
    engines = fixtures.make_engines(1)
    found = []
    while True:
        placement = fixtures.place(
            placer, fixtures.make_prompt(), engines, late=True
        )
        if placement is None:
            break
        placer.record_sent(fixtures.make_prompt(), placement, 0.0)
        found.append(placement)
    assert 0 < len(found) <= 3 * 24 / 9
    placer.record_end(found[0])
    assert (
        fixtures.place(placer, fixtures.make_prompt(), engines, late=True)
        is not None
    )


def test_long_token_gaps_reduce_the_prefill_rate():
    placer = fixtures.make_placer()
    engine = fixtures.make_engines(1)[0]
    placement = fixtures.place(placer, fixtures.make_prompt(), [engine])
    before = placer._limiter(engine, 0.0).rate
    for step in range(1, 20):
        placer.record_token_gap(placement, 0.14, 0.15, step * 0.2)
    assert placer._limiter(engine, 4.0).rate < before / 2


def test_an_unpaired_prefill_engine_slows_down_for_far_transfers():
    prefill = fixtures.make_engines(1, upstreams.Role.PREFILL)[0]
    far = fixtures.make_engines(1, first=5)[0]
    far.entry = attrs.evolve(far.entry, data_centre='other')
    placer = fixtures.make_placer()
    found = None
    for number in range(40):
        placement = fixtures.place(
            placer, fixtures.make_prompt(number), [prefill, far], number * 1.0
        )
        if placement.prefill is not None:
            found = placement
    assert found is not None
    before = placer._limiter(prefill, 40.0).rate
    for step in range(10):
        placer.record_first_token(found, 0.5, 41.0 + step)
    assert placer._limiter(prefill, 60.0).rate < before / 2


def test_small_prompts_are_admitted_where_a_large_one_waits():
    limiter = dispatch.RateLimiter(fixtures.PREFILL_TOKENS_PER_S, 1, 0.0)
    while limiter.admit(3000, 0.0):
        pass
    assert not limiter.admit(3000, 0.0)
    assert not limiter.admit(12000, 0.0)
    assert limiter.admit(300, 0.0)
    waits_s = {}
    for tokens in (3000, 12000):
        fresh = dispatch.RateLimiter(fixtures.PREFILL_TOKENS_PER_S, 1, 0.0)
        while fresh.admit(3000, 0.0):
            pass
        now = 0.0
        while not fresh.admit(tokens, now):
            now += 0.001
        waits_s[tokens] = now
    assert waits_s[12000] > waits_s[3000]
    assert waits_s[12000] < 0.2


def test_late_requests_go_first_in_the_background():
    late = fixtures.place(
        fixtures.make_placer(),
        fixtures.make_prompt(),
        fixtures.make_engines(2),
        late=True,
    )
    placer = fixtures.make_placer()
    engines = fixtures.make_engines(1)
    fresh = fixtures.place(placer, fixtures.make_prompt(), engines)
    while fresh.priority_class is dispatch.PriorityClass.URGENT:
        fresh = fixtures.place(placer, fixtures.make_prompt(), engines)
    assert fresh.priority_class is dispatch.PriorityClass.BACKGROUND
    assert late.priority < fresh.priority


def test_an_overdue_prompt_reduces_the_rate_at_once():
    placer = fixtures.make_placer()
    engines = fixtures.make_engines(1)
    first = fixtures.place(placer, fixtures.make_prompt(1), engines)
    placer.record_sent(fixtures.make_prompt(1), first, 0.0)
    before = placer._limiter(engines[0], 0.0).rate
    for step in range(1, 11):
        fixtures.place(
            placer, fixtures.make_prompt(2), engines, 0.5 + 0.1 * step
        )
    assert placer._limiter(engines[0], 2.0).rate < before / 2
    placer.record_end(first)
    settled = placer._limiter(engines[0], 2.0).rate
    fixtures.place(placer, fixtures.make_prompt(3), engines, 3.0)
    assert placer._limiter(engines[0], 3.0).rate == settled


def test_a_delayed_engine_gets_nothing_in_the_background():
    placer = fixtures.make_placer()
    engines = fixtures.make_engines(1)
    first = fixtures.place(placer, fixtures.make_prompt(1), engines)
    placer.record_sent(fixtures.make_prompt(1), first, 0.0)
    late = {'late': True}
    assert (
        fixtures.place(placer, fixtures.make_prompt(2), engines, 0.1, **late)
        is not None
    )
    assert (
        fixtures.place(placer, fixtures.make_prompt(3), engines, 0.6, **late)
        is None
    )
    placer.record_end(first)
    assert (
        fixtures.place(placer, fixtures.make_prompt(3), engines, 0.6, **late)
        is not None
    )


def test_decode_engines_prefill_while_transfers_are_stalled():
    prefill = fixtures.make_engines(1, upstreams.Role.PREFILL)[0]
    near = fixtures.make_engines(1, first=5)[0]
    group = [prefill, near]
    placer = fixtures.make_placer()
    first = fixtures.place(placer, fixtures.make_prompt(1), group)
    placer.record_sent(fixtures.make_prompt(1), first, 0.0)
    placer.record_prefill(first, 0.02, 0.02)
    placer.record_transfer(first, 0.02)
    found = [
        fixtures.place(placer, fixtures.make_prompt(n), group, 0.5)
        for n in range(9)
    ]
    assert any(p is not None and p.prefill is None for p in found)
    placer.record_end(first)
    found = [
        fixtures.place(placer, fixtures.make_prompt(n), group, 9.0 + n)
        for n in range(9)
    ]
    assert all(p.prefill is prefill for p in found)
