"""Load estimates, placements and role plans."""

import random

import pytest

from dandelionwinch import placement
from dandelionwinch.placement import _water_filling
from dandelionwinch import settings

DECODE = settings.Role.DECODE
PREFILL = settings.Role.PREFILL
MIXED = settings.Role.MIXED


def _make_estimate(name, role=MIXED, **more):
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


def _make_report(at, running=0, waiting=0.0, role=MIXED, away=False):
    return placement.Report(at, running, waiting, 0.0, role, away)


def _make_demand(**more):
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


def _make_placer(*upstreams):
    estimates = placement.LoadEstimates()
    estimates.set_upstreams(upstreams)
    placer = placement.Placer(estimates, random.Random(1))
    placer.set_peer_rates({})
    return estimates, placer


def _make_candidate(*names):
    return placement.CandidatePool('lm', names, 0.0)


def test_sent_work_counts_until_a_later_report():
    estimates, _placer = _make_placer(_make_estimate('a'))
    estimates.record_sent('a', 1.0, 100.0, 150.0, True)
    estimates.record_sent('a', 2.0, 100.0, 150.0, True)
    estimate = estimates.get('a')
    assert (estimate.decoding(), estimate.kv_used()) == (2, 300.0)
    estimates.record_report('a', _make_report(1.5, running=1))
    assert (estimate.decoding(), estimate.kv_used()) == (2, 150.0)
    estimates.record_report('a', _make_report(3.0, running=2))
    assert estimate.decoding() == 2


def test_backlog_drains_and_counts_what_others_send():
    estimate = _make_estimate('a')
    estimate.record_report(_make_report(0.0, waiting=1000.0))
    assert estimate.backlog(0.5, 1000.0) == 500.0
    assert estimate.backlog(2.0, 1000.0) == 0.0
    assert estimate.backlog(0.5, 1000.0, inflow=800.0) == 900.0


@pytest.mark.parametrize(
    'report',
    [
        _make_report(2.0, running=-1),
        _make_report(2.0, running=10**6),
        _make_report(2.0, waiting=-5.0),
        _make_report(0.5, running=3),
    ],
)
def test_nonsense_and_old_reports_are_dropped(report):
    estimates, _placer = _make_placer(_make_estimate('a'))
    estimates.record_report('a', _make_report(1.0, running=4))
    assert estimates.record_report('a', report) is False
    assert estimates.get('a').decoding() == 4


def test_failed_upstream_is_a_last_resort_only():
    estimates, placer = _make_placer(_make_estimate('a'), _make_estimate('b'))
    estimates.record_failure('a', 0.0)
    pool = _make_candidate('a', 'b')
    chosen = {
        placer.place(_make_demand(), [pool], 0.1).decode for _ in range(5)
    }
    assert chosen == {'b'}
    assert (
        placer.place(_make_demand(), [_make_candidate('a')], 0.1).decode == 'a'
    )


def test_held_or_away_upstream_gets_nothing():
    estimates, placer = _make_placer(
        _make_estimate('a', held=True), _make_estimate('b')
    )
    estimates.record_report('b', _make_report(1.0, away=True))
    refusal = placer.place(_make_demand(), [_make_candidate('a', 'b')], 1.1)
    assert isinstance(refusal, placement.Refusal)


def test_job_goes_to_the_upstream_with_its_prefix():
    _estimates, placer = _make_placer(
        _make_estimate('a'), _make_estimate('b'), _make_estimate('c')
    )
    placer.prefixes.record(1, 'c', 80, 0.0)
    choice = placer.place(
        _make_demand(), [_make_candidate('a', 'b', 'c')], 0.1
    )
    assert (choice.prefill, choice.hit_tokens) == ('c', 80)


def test_prefill_and_decode_apart():
    _estimates, placer = _make_placer(
        _make_estimate('p', PREFILL), _make_estimate('d', DECODE)
    )
    placer.place(
        _make_demand(prompt_tokens=10), [_make_candidate('p', 'd')], 0.0
    )
    refusal = placer.place(_make_demand(prefix=9), [_make_candidate('p')], 0.0)
    assert isinstance(refusal, placement.Refusal)


def test_job_that_cannot_start_in_time_is_refused_with_retry_after():
    estimates, placer = _make_placer(_make_estimate('a'))
    estimates.record_report('a', _make_report(0.0, waiting=9000.0))
    refusal = placer.place(_make_demand(), [_make_candidate('a')], 0.0)
    assert isinstance(refusal, placement.Refusal)
    assert refusal.retry_after_s == pytest.approx(6.35, abs=0.1)


def test_full_batch_is_refused():
    estimates, placer = _make_placer(_make_estimate('a'))
    estimates.record_report('a', _make_report(0.0, running=20))
    refusal = placer.place(_make_demand(), [_make_candidate('a')], 0.0)
    assert isinstance(refusal, placement.Refusal)


def test_far_pool_is_used_when_the_near_one_is_full():
    estimates, placer = _make_placer(_make_estimate('a'), _make_estimate('b'))
    estimates.record_report('a', _make_report(0.0, running=20))
    far = placement.CandidatePool('far', ('b',), 0.02)
    assert (
        placer.place(_make_demand(), [_make_candidate('a'), far], 0.0).decode
        == 'b'
    )


def test_filling_takes_the_lowest_when_nobody_else_sends():
    rng = random.Random(1)
    assert (
        _water_filling.choose_by_filling([3.0, 1.0, 2.0], [1, 1, 1], 0, rng)
        == 1
    )


def test_filling_levels_many_choosers():
    rng = random.Random(1)
    counts = [0, 0, 0]
    for _choice in range(3000):
        counts[
            _water_filling.choose_by_filling([0, 0, 2], [1, 1, 1], 7, rng)
        ] += 1
    # The common level is 3, so the candidates receive 3, 3 and 1 of 7.
    assert counts[0] == pytest.approx(3000 * 3 / 7, rel=0.1)
    assert counts[2] == pytest.approx(3000 / 7, rel=0.15)


def _make_pool(prefill, decode):
    roles = [PREFILL] * prefill + [DECODE] * decode
    estimates = [_make_estimate(f'r{n}', role) for n, role in enumerate(roles)]
    for estimate in estimates:
        estimate.record_report(_make_report(0.0, role=estimate.role))
    return estimates


def _make_policy(change_weight):
    return settings.Policy(name='p', change_weight=change_weight)


@pytest.mark.parametrize(
    ('rates', 'role'),
    [
        # Decode work of 3.4 upstreams, while two can decode.
        ([(100, 3400), (100, 3400)], DECODE),
        # The same for a short time only, not in the long average.
        ([(100, 3400), (100, 1000)], None),
        # Decode upstreams prefill in chunks, so no change is needed.
        ([(1900, 300), (1900, 300)], None),
    ],
)
def test_role_changes_only_for_a_lasting_lack(rates, role):
    change = placement.plan_roles(
        _make_pool(2, 2), rates, _make_policy(0.1), 0, 1.0
    )
    assert (change.role if change else None) == role


def test_a_high_change_weight_avoids_the_same_change():
    rates = [(100, 1900), (100, 1900)]
    pool = _make_pool(2, 2)
    assert placement.plan_roles(pool, rates, _make_policy(0.0), 0, 1.0)
    assert placement.plan_roles(pool, rates, _make_policy(1.0), 0, 1.0) is None


def test_only_a_share_of_a_pool_is_away_at_once():
    rates = [(100, 3400), (100, 3400)]
    pool = _make_pool(2, 2)
    assert placement.plan_roles(pool, rates, _make_policy(0.1), 1, 1.0) is None
