"""The simulation of engines under overload, and its policies."""

import attrs
import click.testing
import pytest

from dandelionwinch.bench import overload
from dandelionwinch.bench.overload import _engine
from dandelionwinch.tools import bench
from dandelionwinch.tools import cli


def read_shipped(name):
    return overload.read_load(bench.LOADS / f'{name}.yaml')


def test_the_same_seed_gives_the_same_result():
    short = attrs.evolve(read_shipped('overload'), duration_s=10.0)
    first, second = (overload.simulate(short, 'winch', 3) for _n in range(2))
    assert first == second
    assert overload.simulate(short, 'winch', 4) != first


def test_half_of_the_usual_load_is_served_in_time_by_all_policies():
    usual = read_shipped('overload')
    kinds = [attrs.evolve(k, per_s=k.per_s / 2) for k in usual.kinds]
    half = attrs.evolve(usual, kinds=kinds, bursts=[], duration_s=20.0)
    for name in overload.POLICIES:
        assert overload.simulate(half, name, 1).in_time > 0.95


@pytest.mark.parametrize('load_name', ['overload', 'lost-engines'])
@pytest.mark.parametrize('seed', [1, 2])
def test_the_product_earns_more_than_the_baselines(load_name, seed):
    load = read_shipped(load_name)
    results = {
        name: overload.simulate(load, name, seed) for name in overload.POLICIES
    }
    # The product as it is where all engines have one speed, as these do.
    one_speed = results.pop('one_speed')
    best = max(r.credit for name, r in results.items() if name != 'winch')
    assert results['winch'].credit > best
    assert results['winch'].credit > one_speed.credit - 0.01


@pytest.mark.parametrize('seed', [1, 2])
def test_sessions_stay_at_their_affinity_engines_under_overload(seed):
    """Another engine would have to prefill the cached blocks again."""
    load = read_shipped('overload')
    shares = {}
    for name in ('winch', 'homes'):
        result = overload.simulate(load, name, seed)
        total = result.kept_tokens + result.read_tokens
        shares[name] = result.kept_tokens / total
    assert shares['winch'] > 1.1 * shares['homes']


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_sessions_of_a_full_engine_go_to_idle_ones(seed):
    """Two sessions have more prompts than two engines can prefill."""
    result = overload.simulate(read_shipped('few-sessions'), 'winch', seed)
    assert result.in_time > 0.85


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_all_is_in_time_again_soon_after_engines_are_back(seed):
    """KV transfers to other regions once kept all links saturated for 14 s."""
    result = overload.simulate(read_shipped('lost-engines'), 'winch', seed)
    assert min(result.windows[-3:]) > 0.9


def test_requests_lost_in_a_crash_are_never_answered():
    """Each request is counted once, also if its engine crashed."""
    few_sessions = read_shipped('few-sessions')
    lost = ['Ndaragwa-0', 'Ndaragwa-1', 'Nanyuki-0', 'Naromoru-0']
    bursts = [
        overload.Burst(start_s=at, end_s=at + 0.01, lost=lost)
        for at in (2.0, 2.5, 3.0)
    ]
    load = attrs.evolve(few_sessions, duration_s=5.0, bursts=bursts)
    result = overload.simulate(load, 'winch', 1)
    tally = result.kinds['summary']
    assert tally['unserved'] > 0
    ends = ('in_time', 'late', 'refused', 'unserved')
    assert sum(tally[end] for end in ends) == tally['asked']


def test_a_restarted_engine_has_a_free_link_and_no_prefill():
    spec = read_shipped('overload').engines[0]
    engine = _engine.Engine(
        'e', spec, 1, lambda *_args: None, lambda _now: 1.0
    )
    engine._prefill_ends_at = 9.0
    engine._link_free_at = 9.0
    engine.crash()
    engine.restart()
    assert (engine._prefill_ends_at, engine._link_free_at) == (0.0, 0.0)


def test_refused_and_broken_off_requests_are_all_counted():
    result = overload.simulate(read_shipped('overload'), 'random', 1)
    for tally in result.kinds.values():
        ends = ('in_time', 'late', 'refused', 'unserved')
        assert sum(tally[end] for end in ends) == tally['asked']


def test_the_command_prints_a_row_for_each_policy():
    runner = click.testing.CliRunner()
    result = runner.invoke(
        cli.main,
        ['bench', 'overload', '--load', 'overload', '--json'],
    )
    assert result.exit_code == 0
    assert len(result.output.splitlines()) == len(overload.POLICIES)


def test_findings_about_a_load_name_their_place(tmp_path):
    path = tmp_path / 'load.yaml'
    path.write_text('duration_s: -1\nengines: []\nkinds: []\n')
    runner = click.testing.CliRunner()
    result = runner.invoke(
        cli.main, ['bench', 'overload', '--load', str(path)]
    )
    assert result.exit_code == 2
    assert 'duration_s' in result.output
