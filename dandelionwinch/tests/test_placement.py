"""Beliefs, choices and role plans."""

import random

import pytest

from dandelionwinch import placement
from dandelionwinch.placement import _filling
from dandelionwinch import settings

DECODE = settings.Role.DECODE
PREFILL = settings.Role.PREFILL
MIXED = settings.Role.MIXED


def _belief(name, role=MIXED, **more):
    return placement.LoadEstimate(
        name=name,
        data_centre='here',
        role=role,
        prefill_rate=1000.0,
        decode_rate=1000.0,
        kv_capacity=10_000,
        max_batch=20,
        **more,
    )


def _report(at, running=0, waiting=0.0, role=MIXED, away=False):
    return placement.Report(at, running, waiting, 0.0, role, away)


def _demand(**more):
    values = {
        'data_centre': 'here',
        'prompt_tokens': 100,
        'output_tokens': 50,
        'prefix': 1,
        'prefix_tokens': 80,
        'max_wait_s': 5.0,
        'gap_s': 0.041,
    }
    return placement.Demand(**{**values, **more})


def _placer(*beliefs):
    held = placement.LoadEstimates()
    held.set_upstreams(beliefs)
    placer = placement.Placer(held, random.Random(1))
    placer.set_peer_rates({})
    return held, placer


def _site(*names):
    return placement.CandidatePool('lm', names, 0.0)


def test_sent_work_counts_until_a_later_report():
    held, _placer_of = _placer(_belief('a'))
    held.sent('a', 1.0, 100.0, 150.0, True)
    held.sent('a', 2.0, 100.0, 150.0, True)
    belief = held.get('a')
    assert (belief.decoding(), belief.kv_used()) == (2, 300.0)
    held.report('a', _report(1.5, running=1))
    assert (belief.decoding(), belief.kv_used()) == (2, 150.0)
    held.report('a', _report(3.0, running=2))
    assert belief.decoding() == 2


def test_backlog_drains_and_counts_what_others_send():
    belief = _belief('a')
    belief.record_report(_report(0.0, waiting=1000.0))
    assert belief.backlog(0.5, 1000.0) == 500.0
    assert belief.backlog(2.0, 1000.0) == 0.0
    assert belief.backlog(0.5, 1000.0, inflow=800.0) == 900.0


@pytest.mark.parametrize(
    'report',
    [
        _report(2.0, running=-1),
        _report(2.0, running=10**6),
        _report(2.0, waiting=-5.0),
        _report(0.5, running=3),
    ],
)
def test_nonsense_and_old_reports_are_dropped(report):
    held, _placer_of = _placer(_belief('a'))
    held.report('a', _report(1.0, running=4))
    assert held.report('a', report) is False
    assert held.get('a').decoding() == 4


def test_failed_upstream_is_a_last_resort_only():
    held, placer = _placer(_belief('a'), _belief('b'))
    held.failed('a', 0.0)
    site = _site('a', 'b')
    chosen = {placer.place(_demand(), [site], 0.1).decode for _ in range(5)}
    assert chosen == {'b'}
    assert placer.place(_demand(), [_site('a')], 0.1).decode == 'a'


def test_held_or_away_upstream_gets_nothing():
    held, placer = _placer(_belief('a', held=True), _belief('b'))
    held.report('b', _report(1.0, away=True))
    refusal = placer.place(_demand(), [_site('a', 'b')], 1.1)
    assert isinstance(refusal, placement.Refusal)


def test_cached_prefix_draws_a_job():
    _held, placer = _placer(_belief('a'), _belief('b'), _belief('c'))
    placer.prefixes.record(1, 'c', 80, 0.0)
    choice = placer.place(_demand(), [_site('a', 'b', 'c')], 0.1)
    assert (choice.prefill, choice.hit_tokens) == ('c', 80)


def test_prefill_and_decode_apart():
    _held, placer = _placer(_belief('p', PREFILL), _belief('d', DECODE))
    placer.place(_demand(prompt_tokens=10), [_site('p', 'd')], 0.0)
    choice = placer.place(_demand(prefix=9), [_site('p')], 0.0)
    assert isinstance(choice, placement.Refusal)


def test_hopeless_job_is_refused_early_with_a_time_to_return():
    held, placer = _placer(_belief('a'))
    held.report('a', _report(0.0, waiting=9000.0))
    refusal = placer.place(_demand(), [_site('a')], 0.0)
    assert isinstance(refusal, placement.Refusal)
    assert refusal.retry_after_s == pytest.approx(6.35, abs=0.1)


def test_full_batch_is_refused():
    held, placer = _placer(_belief('a'))
    held.report('a', _report(0.0, running=20))
    refusal = placer.place(_demand(), [_site('a')], 0.0)
    assert isinstance(refusal, placement.Refusal)


def test_far_site_is_used_when_the_near_one_is_full():
    held, placer = _placer(_belief('a'), _belief('b'))
    held.report('a', _report(0.0, running=20))
    far = placement.CandidatePool('far', ('b',), 0.02)
    assert placer.place(_demand(), [_site('a'), far], 0.0).decode == 'b'


def test_filling_takes_the_lowest_when_nobody_else_sends():
    rng = random.Random(1)
    assert _filling.choose_filling([3.0, 1.0, 2.0], [1, 1, 1], 0, rng) == 1


def test_filling_levels_many_choosers():
    rng = random.Random(1)
    counts = [0, 0, 0]
    for _turn in range(3000):
        counts[_filling.choose_filling([0, 0, 2], [1, 1, 1], 7, rng)] += 1
    # Poured to the level 3: 3 and 3 and 1 of 7.
    assert counts[0] == pytest.approx(3000 * 3 / 7, rel=0.1)
    assert counts[2] == pytest.approx(3000 / 7, rel=0.15)


def _pool(prefill, decode):
    roles = [PREFILL] * prefill + [DECODE] * decode
    beliefs = [_belief(f'r{n}', role) for n, role in enumerate(roles)]
    for belief in beliefs:
        belief.record_report(_report(0.0, role=belief.role))
    return beliefs


def _policy(knob):
    return settings.Policy(name='p', change_weight=knob)


@pytest.mark.parametrize(
    ('rates', 'role'),
    [
        # Output work of 3.4 upstreams beside two that can decode.
        ([(100, 3400), (100, 3400)], DECODE),
        # The same for a short time only: the long view disagrees.
        ([(100, 3400), (100, 1000)], None),
        # Prompts are taken in chunks, so no change is needed.
        ([(1900, 300), (1900, 300)], None),
    ],
)
def test_role_changes_only_for_a_lasting_lack(rates, role):
    change = placement.plan_roles(_pool(2, 2), rates, _policy(0.1), 0, 1.0)
    assert (change.role if change else None) == role


def test_a_high_knob_avoids_the_same_change():
    rates = [(100, 1900), (100, 1900)]
    pool = _pool(2, 2)
    assert placement.plan_roles(pool, rates, _policy(0.0), 0, 1.0)
    assert placement.plan_roles(pool, rates, _policy(1.0), 0, 1.0) is None


def test_only_a_share_of_a_pool_is_away_at_once():
    rates = [(100, 3400), (100, 3400)]
    pool = _pool(2, 2)
    assert placement.plan_roles(pool, rates, _policy(0.1), 1, 1.0) is None
