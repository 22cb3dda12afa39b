"""Which instances a caller is told of: near ones, as their size asks for."""

import collections
import random

import pytest

from dandelionwinch import addresses


def presence(number, centre='a', region='north', capacity=100.0):
    name = f'{centre}{number}'
    return addresses.InstanceEntry(name, name, centre, region, capacity)


def test_near_instances_are_enough():
    present = [presence(n) for n in range(3)]
    present += [presence(n, 'b') for n in range(3)]
    present += [presence(n, 'c', 'south') for n in range(3)]
    found = addresses.nearest(present, 'a', 'north', random.Random(1))
    assert found == ['a0', 'a1', 'a2']


@pytest.mark.parametrize(
    ('near', 'expected'),
    [(2, {'a'}), (1, {'a', 'b'}), (0, {'b'})],
)
def test_farther_ones_stand_in_for_those_that_are_missing(near, expected):
    present = [presence(n) for n in range(near)]
    present += [presence(n, 'b') for n in range(2)]
    present += [presence(n, 'c', 'south') for n in range(9)]
    found = addresses.nearest(present, 'a', 'north', random.Random(1))
    assert {name[0] for name in found} == expected


def test_unlike_machines_get_callers_by_their_capacity():
    """Replays 4,000 callers of a data centre of 2 large, 12 small ones."""
    present = [presence(n, capacity=800.0) for n in range(2)]
    present += [presence(n, capacity=40.0) for n in range(2, 14)]
    rng = random.Random(3)
    picked = collections.Counter(
        rng.choice(addresses.nearest(present, 'a', 'north', rng))
        for _caller in range(4000)
    )
    large = sum(picked[f'a{n}'] for n in range(2)) / 2
    small = sum(picked[f'a{n}'] for n in range(2, 14)) / 12
    assert small > 0
    assert 12 < large / small < 30


def test_without_any_instance_there_is_no_address():
    assert addresses.nearest([], 'a', 'north', random.Random(1)) == []
