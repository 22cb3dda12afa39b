"""The seeded search finds no violation, and finds a weakened rule."""

from unittest import mock

import pytest

from dandelionwinch.claims import _bucket
from dandelionwinch.claims import _commit
from dandelionwinch import effects
from dandelionwinch.membership import _freshness
from dandelionwinch.orders import _executor
from dandelionwinch.orders import _lease
from dandelionwinch.revisions import _rollout
from dandelionwinch import search


@pytest.mark.parametrize('seed', range(40))
def test_orders_hold_under_faults(seed):
    assert search.SEARCHES['orders'](seed).total() > 0


@pytest.mark.parametrize('seed', range(40))
def test_claims_hold_under_faults(seed):
    assert search.SEARCHES['claims'](seed).total() > 0


@pytest.mark.parametrize('seed', range(6))
def test_settings_hold_under_faults(seed):
    assert search.SEARCHES['settings'](seed).total() > 0


def test_a_seed_gives_the_same_faults_again():
    first = search.SEARCHES['orders'](7)
    assert first == search.SEARCHES['orders'](7)


def _without_guards(store_key, mutations, cfg):
    """Commits a batch without compare-and-swap."""
    reply = yield effects.Read(store_key)
    if not isinstance(reply, effects.Found):
        return [_commit.Unreached() for _item in mutations]
    clock = yield effects.Clock()
    bucket = _bucket.Bucket.load(cfg, reply.record.value)
    results = [bucket.apply(item, clock.wall) for item in mutations]
    yield effects.Commit((), (effects.Put(store_key, bucket.dump()),))
    return results


def _granting_unknown(open_claim):
    """Grants a claim again whose outcome is unknown."""

    def reopen(bucket, mutation, wall):
        held = bucket.get(mutation.key)
        if held is not None and held.state is _bucket.State.UNKNOWN:
            return _bucket.Granted(mutation.token)
        return open_claim(bucket, mutation, wall)

    return reopen


def _as_if_fenced(blocked_reason):
    """Treats all upstreams as if they checked fencing tokens."""

    def weaker(lease, shard, _fenced, is_gone, now):
        return blocked_reason(lease, shard, True, is_gone, now)

    return weaker


# Each row disables one rule; a seed below SEEDS must find a violation. The
# owner of the rule is an object, or the import path of the package through
# which the search calls it.
SEEDS = 200
WEAKENED = [
    (
        'orders',
        _lease.ShardLease,
        '_blocked_reason',
        _as_if_fenced(_lease.ShardLease._blocked_reason),
    ),
    ('orders', _executor.OrderExecutor, '_transit_reason', lambda *_a: ''),
    ('orders', _lease.ShardLease, '_blocked_reason', lambda *_a: ''),
    ('claims', 'dandelionwinch.claims', 'commit_batch', _without_guards),
    (
        'claims',
        _bucket.Bucket,
        '_open',
        _granting_unknown(_bucket.Bucket._open),
    ),
    ('settings', _rollout, 'CLOCK_DRIFT_RATIO', 0.0),
    ('settings', _freshness.Freshness, 'is_cut_off', lambda *_a: False),
]


def _first_violation(search_name):
    for seed in range(SEEDS):
        try:
            search.SEARCHES[search_name](seed)
        except search.InvariantViolated:
            return seed
    return None


@pytest.mark.parametrize(('search_name', 'owner', 'name', 'weaker'), WEAKENED)
def test_search_finds_a_weakened_rule(search_name, owner, name, weaker):
    if isinstance(owner, str):
        patch = mock.patch(f'{owner}.{name}', weaker)
    else:
        patch = mock.patch.object(owner, name, weaker)
    with patch:
        assert _first_violation(search_name) is not None
