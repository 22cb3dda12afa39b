"""The wait of a new holder keeps the calls of holders in order."""

import random
from unittest import mock

import pytest

from dandelionwinch import leadership
from dandelionwinch.standins import duty_ledger

TURN_S = 3.0
STEP_S = 0.05
RUN_S = 120.0
NODES = 3


def acquired_lease(at=0.0, token=7):
    lease = leadership.Leadership(TURN_S)
    lease.acquired(token, at - 0.1, at)
    return lease


def test_no_duty_is_performed_before_a_verification_after_the_wait():
    lease = acquired_lease()
    wait_s = lease.duty_wait_s
    lease.verified(wait_s - 0.01)
    assert not lease.may_act(wait_s + 0.1)
    lease.verified(wait_s)
    assert lease.may_act(wait_s)
    assert lease.until_duties_s(wait_s) == 0.0


def test_a_verification_counts_for_a_short_time():
    lease = acquired_lease()
    lease.verified(10.0)
    assert lease.may_act(10.0 + leadership.RENEWAL_VALID_S)
    assert not lease.may_act(10.01 + leadership.RENEWAL_VALID_S)


def test_a_lease_that_was_lost_or_acquired_anew_permits_nothing():
    lease = acquired_lease()
    lease.verified(10.0)
    lease.lost()
    assert not lease.may_act(10.0)
    lease.acquired(8, 10.1, 10.2)
    assert not lease.may_act(10.3)


def test_a_verified_renewal_also_permits_role_orders():
    """It does not shorten their wait."""
    lease = acquired_lease()
    wait_s = leadership.MAX_VIEW_AGE_S + leadership.RENEWAL_VALID_S + TURN_S
    lease.verified(wait_s - 0.2)
    assert not lease.may_send_order(wait_s - 0.2)
    lease.verified(wait_s)
    assert lease.may_send_order(wait_s)
    assert not lease.may_send_order(wait_s + 2.1)


@pytest.mark.parametrize('turn_s', [1.0, 3.0, 8.0])
def test_the_wait_outlasts_the_previous_holder(turn_s):
    lease = leadership.Leadership(turn_s)
    reliance_s = leadership.RENEWAL_VALID_S + leadership.CALL_DELIVERY_S
    assert lease.duty_wait_s >= reliance_s
    assert 2 * lease.duty_wait_s - reliance_s >= turn_s


class _Store:
    """The key of the lease, which is deleted again and again."""

    def __init__(self):
        self.holder = None
        self.revision = 10


def _simulate(seed):
    """Returns the ledger of a run against an adversary, and its calls.

    A holder's key is deleted early, often at once after a verification, and
    the holder then hears nothing from the store for some time. Others
    acquire without delay. Calls take up to CALL_DELIVERY_S to arrive.
    """
    rng = random.Random(seed)
    store = _Store()
    nodes = [leadership.Leadership(TURN_S) for _n in range(NODES)]
    cut_until = [0.0] * NODES
    ledger = duty_ledger.DutyLedger(TURN_S)
    calls = []
    now = 0.0
    while now < RUN_S:
        now += STEP_S
        for n in rng.sample(range(NODES), NODES):
            if now >= cut_until[n]:
                _reach_store(store, nodes[n], n, now, rng)
            if nodes[n].may_act(now):
                delay_s = rng.choice((0.0, leadership.CALL_DELIVERY_S))
                calls.append((now + delay_s, n, nodes[n].token))
        chance = 0.02 if now % 10.0 < 7.0 else 0.4
        if store.holder is not None and rng.random() < chance:
            cut_until[store.holder] = now + rng.uniform(0.0, 3.0)
            store.holder = None
    for at, n, token in sorted(calls):
        ledger.record(duty_ledger.Call(at, 'usage', str(n), token))
    return ledger


def _reach_store(store, lease, n, now, rng):
    if lease.held:
        if store.holder == n and store.revision == lease.token:
            lease.verified(now)
        else:
            lease.lost()
    elif store.holder is None and rng.random() < 0.5:
        store.revision += 1
        store.holder = n
        lease.acquired(store.revision, now, now)


@pytest.mark.parametrize('seed', range(60))
def test_holders_take_turns_when_keys_are_deleted_early(seed):
    """Guards against a lower token, or A, B, A within `leaseMs`."""
    ledger = _simulate(seed)
    assert ledger.violations == []
    assert ledger.calls > 100


def _acts_without_later_verification(lease, now):
    return (
        lease.held
        and now - lease._verified_at <= leadership.RENEWAL_VALID_S
        and now - lease._acquired_at >= lease.duty_wait_s
    )


def _acts_at_once(lease, now):
    return lease.held and now - lease._verified_at <= 2.0


@pytest.mark.parametrize(
    'weakened', [_acts_without_later_verification, _acts_at_once]
)
def test_the_simulation_finds_a_weakened_rule(weakened):
    with mock.patch.object(leadership.Leadership, 'may_act', weakened):
        assert any(_simulate(seed).violations for seed in range(60))
