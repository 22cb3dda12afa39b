"""The soak's checks of teams and keys find what breaks them."""

import random

import pytest

from dandelionwinch.soak import _configuration
from dandelionwinch.soak import _teams
from dandelionwinch.standins import kvstore

APPLY_S = _teams.APPLY_S
OLD = frozenset(('old', 'kept'))
NEW = frozenset(('new', 'kept'))


def _teams_with(*contents):
    """Returns Teams whose store held some sets of keys from some times on."""
    tested = _teams.Teams(random.Random(1))
    for since, keys in contents:
        tested._keys_of_value[keys] = keys
        tested.store_holds(keys, since)
    return tested


def _violations(tested, arrivals=(), seen=(), stops=(), logs=None):
    sent_to = dict.fromkeys(tested.uses, 'a')
    return tested.violations(arrivals, seen, sent_to, stops, logs or {})


@pytest.mark.parametrize(
    ('key', 'team', 'sent_at', 'stops', 'broken'),
    [
        ('kept', 't', 30.0, (), 0),
        ('old', 't', 9.0, (), 0),
        ('old', 't', 10.0 + APPLY_S - 0.1, (), 0),
        ('old', 't', 10.0 + APPLY_S + 0.1, (), 1),
        ('old', 't', 10.0 + APPLY_S + 0.1, [('a', 11.0)], 0),
        ('old', 't', 10.0 + APPLY_S + 0.1, [('b', 11.0)], 1),
        ('old', 't', 10.0 + APPLY_S + 0.1, [('a', 8.0)], 1),
        ('unknown', '', 9.0, (), 1),
        ('unknown', '', 9.0, [('a', 8.0)], 1),
        ('', '', 9.0, (), 1),
    ],
)
def test_what_runs_with_a_key_that_is_not_in_force_is_found(
    key, team, sent_at, stops, broken
):
    tested = _teams_with((0.0, OLD), (10.0, NEW))
    tested.uses['r1'] = _teams.KeyUse(key, team, sent_at, sent_at + 1, 200)
    arrivals = [('u-1', 'r1', sent_at + 0.5)]
    assert len(_violations(tested, arrivals, stops=stops)) == broken


@pytest.mark.parametrize(
    ('key', 'sent_at', 'stops', 'broken'),
    [
        ('kept', 9.0, (), 1),
        ('kept', 9.0, [('a', 8.0)], 0),
        ('kept', 9.0, [('b', 8.0)], 1),
        ('new', 10.0 + APPLY_S - 0.1, (), 0),
        ('new', 10.0 + APPLY_S + 0.1, (), 1),
        ('old', 8.9, (), 1),
        ('old', 9.1, (), 0),
        ('unknown', 9.0, (), 0),
    ],
)
def test_the_refusal_of_a_key_in_force_is_found(key, sent_at, stops, broken):
    tested = _teams_with((0.0, OLD), (10.0, NEW))
    tested.uses['r1'] = _teams.KeyUse(key, 't', sent_at, sent_at + 1, 401)
    assert len(_violations(tested, stops=stops)) == broken


def test_a_key_that_a_restore_brought_back_may_be_accepted_and_refused():
    contents = (0.0, OLD), (10.0, NEW), (20.0, OLD), (22.0, NEW)
    for key in ('old', 'new'):
        for status in (200, 401):
            tested = _teams_with(*contents)
            tested.uses['r1'] = _teams.KeyUse(key, 't', 21.0, 21.5, status)
            arrivals = [('u-1', 'r1', 21.2)] if status == 200 else []
            assert _violations(tested, arrivals) == []
    tested = _teams_with(*contents)
    tested.uses['r1'] = _teams.KeyUse('old', 't', 22.1 + APPLY_S, 27.0, 200)
    assert len(_violations(tested, [('u-1', 'r1', 26.5)])) == 1


def test_a_refused_request_that_ran_is_found():
    tested = _teams_with((0.0, OLD), (10.0, NEW))
    tested.uses['r1'] = _teams.KeyUse('old', 't', 11.0, 12.0, 401)
    assert _violations(tested) == []
    assert len(_violations(tested, [('u-1', 'r1', 11.5)])) == 1


@pytest.mark.parametrize(
    ('team', 'has_key', 'broken'),
    [
        ('t', False, 0),
        ('t', True, 1),
        ('other', False, 1),
        ('', False, 1),
        (_teams.FORGED_TEAM, True, 2),
    ],
)
def test_an_upstream_that_gets_a_key_or_another_team_is_found(
    team, has_key, broken
):
    tested = _teams_with((0.0, OLD))
    tested.uses['r1'] = _teams.KeyUse('kept', 't', 1.0)
    assert len(_violations(tested, seen=[('r1', team, has_key)])) == broken


@pytest.mark.parametrize(('text', 'broken'), [('key1 ', 1), ('key2', 0)])
def test_a_key_in_a_log_is_found(text, broken):
    tested = _teams_with((0.0, OLD))
    tested.uses['r1'] = _teams.KeyUse('key1', 't', 1.0)
    assert len(_violations(tested, logs={'i-0.log': text})) == broken


def test_the_keys_of_a_version_are_those_of_its_write():
    """The store's content is known by the bytes of the configuration."""
    times = iter(range(9))
    store = kvstore.KvStore()
    tested = _teams.Teams(random.Random(1))
    configuration = _configuration.Configuration(
        store, tested, lambda: next(times), {}
    )
    configuration.write_first()
    snapshot = store.snapshot()
    tested.change_keys()
    configuration.write_next()
    store.come_back(snapshot)
    configuration.store_changed()
    store.write_again()
    configuration.store_changed()
    first, second, restored, last = tested.contents
    assert first.keys == restored.keys
    assert second.keys == last.keys
    assert len(first.keys - second.keys) == len(second.keys - first.keys) == 1
    assert [content.since for content in tested.contents] == [0, 1, 2, 3]


def test_a_stream_is_taken_up_by_the_team_that_began_it():
    tested = _teams.Teams(random.Random(1))
    for number in range(50):
        tested.headers(f'r{number}', 1.0)
        tested.headers(f'r{number}-again', 2.0, f'r{number}')
    for number in range(50):
        team = tested.uses[f'r{number}'].team
        if team:
            assert tested.uses[f'r{number}-again'].team == team


def test_the_changes_of_keys_of_a_run_follow_from_its_seed():
    plans = [_teams.plan(seed, 20.0) for seed in range(200)]
    assert plans == [_teams.plan(seed, 20.0) for seed in range(200)]
    with_teams = [plan for plan in plans if plan is not None]
    assert 90 < len(with_teams) < 150
    assert all(plan.revoke_at_s for plan in with_teams)
    assert {plan.strict for plan in with_teams} == {False, True}
    assert _teams.plan(3, 5.0) is None
