"""The load of waves, and what its figures count."""

import json

import attrs
import click.testing
import pytest

from dandelionwinch.bench import overload
from dandelionwinch.bench.overload import _engine
from dandelionwinch.bench.overload import _load
from dandelionwinch.bench.overload import _network
from dandelionwinch import dispatch
from dandelionwinch.tools import bench
from dandelionwinch.tools import cli


@pytest.fixture
def load():
    return overload.read_load(bench.LOADS / 'waves.yaml')


def test_a_burst_of_one_kind_leaves_the_other_as_it_is(load):
    """Without `kinds` the callers of chat would come 1.9 times as often."""
    calm = attrs.evolve(load, bursts=[])
    (burst,) = load.bursts
    counts = {}
    for name, each in (('burst', load), ('calm', calm)):
        for arrival in _load.arrivals(each, 1):
            if burst.start_s <= arrival.at < burst.end_s:
                key = name, arrival.kind.name
                counts[key] = counts.get(key, 0) + 1
    ratios = {
        kind.name: counts['burst', kind.name] / counts['calm', kind.name]
        for kind in load.kinds
    }
    assert ratios['summary'] == pytest.approx(1.9, rel=0.1)
    assert ratios['chat'] == pytest.approx(1.0, rel=0.15)


def test_each_region_has_its_peak_at_another_time(load):
    """Demand that rises everywhere at once can't be served elsewhere."""
    calm = attrs.evolve(load, bursts=[], duration_s=load.waves.period_s)
    network = _network.Network(calm)
    times = {}
    for arrival in _load.arrivals(calm, 1):
        region = network.region_of_instance(arrival.instance)
        times.setdefault(region, []).append(arrival.at)
    means = {region: sum(at) / len(at) for region, at in times.items()}
    assert means['east'] + 0.5 < means['north'] < means['west'] - 0.5


@pytest.mark.parametrize('instances', [58, 89, 390])
def test_another_size_has_the_same_demand_for_each_engine(load, instances):
    """Otherwise the sizes would differ in load, not in instances."""
    resized = load.resized(instances)
    for kind, usual in zip(resized.kinds, load.kinds, strict=True):
        demand = kind.per_s / sum(g.count for g in resized.engines)
        assert demand == pytest.approx(usual.per_s / 24)
    per_engine = instances / sum(g.count for g in resized.engines)
    assert per_engine == pytest.approx(58 / 24, rel=0.05)


def test_only_what_leaves_the_region_counts_as_bytes_between_regions(load):
    network = _network.Network(load)
    network.count_prompt(0, 'Nanyuki', 100)
    network.count_kv_cache('Ndaragwa', 'Nanyuki', 100)
    assert network.region_bytes == 0
    network.count_prompt(0, 'Nyeri', 100)
    assert network.region_bytes == 600
    nowhere = _network.Network(attrs.evolve(load, regions={}))
    nowhere.count_prompt(0, 'Nyeri', 100)
    assert nowhere.region_bytes == 0


def test_blocks_that_another_engine_has_read_are_read_again(load):
    read_blocks = set()
    first, second = (
        _engine.Engine(
            name,
            load.engines[0],
            0,
            lambda *_args: None,
            lambda _now: 1.0,
            read_blocks=read_blocks,
        )
        for name in 'ab'
    )
    for number, engine in enumerate((first, first, second)):
        blocks = (('s', 100), (f'own-{number}', 10))
        engine._cache_prompt(dispatch.Prompt(110, 1, blocks))
    assert (first.reread_tokens, second.reread_tokens) == (0, 100)


def test_the_costs_of_todays_decision_are_those_of_a_day(load):
    short = attrs.evolve(load, duration_s=3.0)
    today = overload.simulate(short, 'winch', 1)
    assert today.credit - overload.net_credit(today, today) == pytest.approx(
        0.044
    )
    half = attrs.evolve(today, region_bytes=today.region_bytes / 2)
    assert overload.net_credit(half, today) == pytest.approx(
        today.credit - 0.025
    )


def test_the_command_prints_costs_and_regions_for_a_size():
    runner = click.testing.CliRunner()
    command = 'bench overload --load waves --policy winch --instances 12'
    result = runner.invoke(cli.main, [*command.split(), '--json'])
    row = json.loads(result.output)
    assert row['net'] == pytest.approx(row['credit'] - 0.044)
    assert row['region_bytes'] > 0
    assert row['reread_tokens'] > 0
    assert sorted(row['unserved_regions']) == ['east', 'north', 'west']


def test_few_instances_earn_more_than_the_baselines_net_of_costs(load):
    """A decision that spreads prompts anywhere reads blocks again.

    More instances earn as much as homes or less (docs/design/placement.md).
    """
    small = load.resized(29)
    today = overload.simulate(small, 'winch', 1)
    net = overload.net_credit(today, today)
    for name in ('homes', 'least_load', 'two_choices'):
        result = overload.simulate(small, name, 1)
        assert net > overload.net_credit(result, today)


def test_todays_decision_serves_almost_all_of_the_waves(load):
    """A load that refuses much shows a shortage, not uneven demand."""
    today = overload.simulate(load.resized(29), 'winch', 1)
    assert max(today.unserved_regions.values()) < 0.03
