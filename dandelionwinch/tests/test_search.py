"""The seeded search finds nothing, and would find a broken rule."""

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
    assert search.MATTERS['orders'](seed).total() > 0


@pytest.mark.parametrize('seed', range(40))
def test_claims_hold_under_faults(seed):
    assert search.MATTERS['claims'](seed).total() > 0


@pytest.mark.parametrize('seed', range(6))
def test_settings_hold_under_faults(seed):
    assert search.MATTERS['settings'](seed).total() > 0


def test_a_seed_gives_the_same_faults_again():
    first = search.MATTERS['orders'](7)
    assert first == search.MATTERS['orders'](7)


def _without_guards(store_key, mutations, cfg):
    """Writes a batch without compare-and-swap."""
    reply = yield effects.Read(store_key)
    if not isinstance(reply, effects.Found):
        return [_commit.Unreached() for _item in mutations]
    clock = yield effects.Clock()
    bucket = _bucket.Bucket.load(cfg, reply.record.value)
    results = [bucket.apply(item, clock.wall) for item in mutations]
    yield effects.Commit((), (effects.Put(store_key, bucket.dump()),))
    return results


def _reopening(opening):
    def reopen(bucket, mutation, wall):
        held = bucket.get(mutation.key)
        if held is not None and held.state is _bucket.State.UNKNOWN:
            return _bucket.Granted(mutation.token)
        return opening(bucket, mutation, wall)

    return reopen


def _as_if_fenced(obstacle):
    def weaker(authority, shard, _fenced, is_gone, now):
        return obstacle(authority, shard, True, is_gone, now)

    return weaker


# Each row takes one rule away; a seed below SEEDS has to notice.
SEEDS = 200
WEAKENED = [
    (
        'orders',
        _lease.ShardLease,
        '_blocked_reason',
        _as_if_fenced(_lease.ShardLease._blocked_reason),
    ),
    ('orders', _executor.OrderExecutor, '_settle_reason', lambda *_a: ''),
    ('orders', _lease.ShardLease, '_blocked_reason', lambda *_a: ''),
    ('claims', 'dandelionwinch.claims', 'commit_batch', _without_guards),
    (
        'claims',
        _bucket.Bucket,
        '_open',
        _reopening(_bucket.Bucket._open),
    ),
    ('settings', _rollout, 'CLOCK_DRIFT_RATIO', 0.0),
    ('settings', _freshness.Freshness, 'is_cut_off', lambda *_a: False),
]


def _first_broken(matter):
    for seed in range(SEEDS):
        try:
            search.MATTERS[matter](seed)
        except search.Broken:
            return seed
    return None


@pytest.mark.parametrize(('matter', 'owner', 'name', 'weaker'), WEAKENED)
def test_search_finds_a_weakened_rule(matter, owner, name, weaker):
    if isinstance(owner, str):
        patch = mock.patch(f'{owner}.{name}', weaker)
    else:
        patch = mock.patch.object(owner, name, weaker)
    with patch:
        assert _first_broken(matter) is not None
