"""Tests that callers get addresses by distance and by capacity."""

import collections
import random

import pytest

from dandelionwinch import addresses


def entry(number, data_centre='a', region='north', capacity=100.0):
    name = f'{data_centre}{number}'
    return addresses.InstanceEntry(name, name, data_centre, region, capacity)


def test_near_instances_are_enough():
    entries = [entry(n) for n in range(3)]
    entries += [entry(n, 'b') for n in range(3)]
    entries += [entry(n, 'c', 'south') for n in range(3)]
    found = addresses.nearest(entries, 'a', 'north', random.Random(1))
    assert found == ['a0', 'a1', 'a2']


@pytest.mark.parametrize(
    ('near', 'expected'),
    [(2, {'a'}), (1, {'a', 'b'}), (0, {'b'})],
)
def test_farther_instances_replace_missing_near_ones(near, expected):
    entries = [entry(n) for n in range(near)]
    entries += [entry(n, 'b') for n in range(2)]
    entries += [entry(n, 'c', 'south') for n in range(9)]
    found = addresses.nearest(entries, 'a', 'north', random.Random(1))
    assert {name[0] for name in found} == expected


def test_unlike_machines_get_callers_by_their_capacity():
    """Simulates 4,000 callers of 2 large and 12 small instances."""
    entries = [entry(n, capacity=800.0) for n in range(2)]
    entries += [entry(n, capacity=40.0) for n in range(2, 14)]
    rng = random.Random(3)
    picked = collections.Counter(
        rng.choice(addresses.nearest(entries, 'a', 'north', rng))
        for _caller in range(4000)
    )
    large = sum(picked[f'a{n}'] for n in range(2)) / 2
    small = sum(picked[f'a{n}'] for n in range(2, 14)) / 12
    assert small > 0
    assert 12 < large / small < 30


def test_without_any_instance_there_is_no_address():
    assert addresses.nearest([], 'a', 'north', random.Random(1)) == []
