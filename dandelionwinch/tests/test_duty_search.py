"""The search over faults finds no call that breaks the rules of holders."""

import statistics
from unittest import mock

import pytest

from dandelionwinch.control import _lease_holder
from dandelionwinch import leadership
from dandelionwinch.tests import duty_search

UNTIL_S = 30.0
BATCH = 10
# From the death of a holder: its lease, the time between two views of the
# store, the wait for duties, and a call that ends between two renewals.
USUAL_GAP_S = 6.5
MAX_GAP_S = 7.0


@pytest.mark.parametrize('first', range(0, 200, BATCH))
def test_duties_hold_under_faults(first):
    for seed in range(first, first + BATCH):
        found = duty_search.search(seed, until_s=UNTIL_S)
        assert found.violations == [], seed
        assert found.quiet_s < duty_search.MAX_QUIET_S, seed
        assert found.calls > 0, seed


@pytest.mark.parametrize('first', range(0, 20, BATCH))
def test_role_orders_hold_under_faults(first):
    """Guards against orders of two holders that act at the same time."""
    for seed in range(first, first + BATCH):
        found = duty_search.search(
            seed, pause_s=10.0, until_s=60.0, orders=True
        )
        assert found.violations == [], seed


@pytest.mark.parametrize('first', range(0, 20, BATCH))
def test_an_old_view_of_the_store_permits_no_role_order(first):
    """The holder's watch is late and then lost while it can still renew.

    It took a late answer for a fresh one, and it did not notice a later
    holder that came and went between two renewals; both acted then.
    """
    for seed in range(first, first + BATCH):
        found = duty_search.search(
            seed, ('stale_view',), pause_s=10.0, until_s=60.0, orders=True
        )
        assert found.violations == [], seed


@pytest.mark.parametrize('seed', range(4))
def test_a_successor_of_a_killed_holder_acts_in_time(seed):
    found = duty_search.search(
        seed, ('kill',), nodes=8, pause_s=12.0, until_s=60.0
    )
    gaps = found.gaps['kill']
    assert statistics.median(gaps) < USUAL_GAP_S
    assert max(gaps) < MAX_GAP_S


def _acts_while_it_holds(lease, _now):
    return lease.held


def _acts_at_once(lease, now):
    return lease.held and now - lease._verified_at <= 2.0


@pytest.mark.parametrize('weakened', [_acts_while_it_holds, _acts_at_once])
def test_the_search_finds_a_weakened_rule(weakened):
    with mock.patch.object(leadership.Leadership, 'may_act', weakened):
        assert any(
            duty_search.search(seed, until_s=UNTIL_S).violations
            for seed in range(10)
        )


def test_the_search_finds_a_renewal_that_reads_no_key():
    async def reads_nothing(_holder, _revision):
        return True

    with mock.patch.object(
        _lease_holder.LeaseHolder, '_reads_own_key', reads_nothing
    ):
        assert any(
            duty_search.search(seed, until_s=UNTIL_S).violations
            for seed in range(10)
        )


def test_a_seed_gives_the_same_run_again():
    assert duty_search.search(7) == duty_search.search(7)
