"""What all instances together let the engines hold."""

import collections
import math
import random

import pytest

from dandelionwinch import dispatch
from dandelionwinch.tests import fixtures
from dandelionwinch import upstreams

PREFILL = upstreams.Role.PREFILL
INSTANCES = 89
MEMORY = 317_000
LONGEST = 39_600


class Fleet:
    """Placers of all instances, and the engines that they share.

    Args:
        instances: Number of instances.
        seed: Seed of their choices.
        names_known: Whether each instance knows the names of the others.
    """

    def __init__(self, instances=INSTANCES, seed=1, names_known=True):
        self.engines = fixtures.make_engines(
            12, PREFILL
        ) + fixtures.make_engines(11, first=12)
        self.placers = [
            fixtures.make_placer(seed * 1000 + n, instances)
            for n in range(instances)
        ]
        names = [f'i{n}' for n in range(instances)]
        for name, placer in zip(names, self.placers, strict=True):
            placer.set_instances(name, names if names_known else ())
        self.numbers = iter(range(10**9))

    def send(self, placer, tokens, output_tokens=200, memory=MEMORY, now=0.0):
        """Places a prompt and returns its Placement, None if refused."""
        number = next(self.numbers)
        blocks = ((f's{number}', tokens // 2), (f'o{number}', tokens // 2))
        prompt = dispatch.Prompt(tokens, output_tokens, blocks)
        placement = placer.place(
            prompt,
            self.engines,
            set(),
            now,
            direct=False,
            late=False,
            objective_s=fixtures.OBJECTIVE_S,
            patience_s=fixtures.PATIENCE_S,
            memory_tokens=memory,
        )
        if placement is not None:
            placer.record_sent(prompt, placement, now)
        return placement

    def held(self):
        """Returns the tokens that each engine holds for all instances."""
        return {
            engine.entry.id: sum(
                placer.held_tokens(engine.entry.id) for placer in self.placers
            )
            for engine in self.engines
        }


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('each', [1, 5])
def test_a_burst_of_the_longest_prompts_fits_in_the_memory(seed, each):
    """Each of 89 instances sent one to an engine, which crashed at nine."""
    fleet = Fleet(seed=seed)
    placed = [
        fleet.send(placer, LONGEST)
        for _n in range(each)
        for placer in fleet.placers
    ]
    assert max(fleet.held().values()) <= MEMORY
    served = sum(placement is not None for placement in placed)
    # Seven fit in an engine; half of what the prefill engines can hold.
    assert served >= min(0.5 * 12 * 7, 0.5 * len(placed))


@pytest.mark.parametrize('seed', range(3))
def test_a_burst_beside_usual_prompts_fits_as_well(seed):
    """The usual prompts of the other instances take memory, too."""
    rng = random.Random(seed)
    fleet = Fleet(seed=seed)
    ends = collections.deque()
    for step in range(6000):
        now = step / 300.0
        while ends and ends[0][0] <= now:
            _at, placer, placement = ends.popleft()
            placer.record_end(placement)
        placer = rng.choice(fleet.placers)
        placement = fleet.send(placer, rng.randint(4000, 12_000), now=now)
        if placement is not None:
            ends.append((now + 0.3, placer, placement))
    usual = max(fleet.held().values())
    for placer in fleet.placers:
        fleet.send(placer, LONGEST, now=20.0)
    assert usual < max(fleet.held().values()) <= MEMORY


def test_the_memory_is_free_again_when_a_request_ends():
    fleet = Fleet(instances=1)
    placer = fleet.placers[0]
    placed = []
    while (placement := fleet.send(placer, LONGEST)) is not None:
        placed.append(placement)
    held = fleet.held()
    assert max(held.values()) <= MEMORY
    for placement in placed:
        placer.record_end(placement)
    assert set(fleet.held().values()) == {0}
    assert fleet.send(placer, LONGEST, now=10.0) is not None


def test_a_request_larger_than_the_memory_goes_to_no_engine():
    fleet = Fleet(instances=1)
    assert fleet.send(fleet.placers[0], MEMORY, 1) is None
    assert fleet.send(fleet.placers[0], MEMORY + 1, memory=None) is not None


def test_usual_prompts_go_to_the_engine_of_their_session():
    """Prompts of at most the memory of a slot are not divided."""
    fleet = Fleet()
    slot = math.floor(MEMORY / 24)
    placed = [fleet.send(p, slot - 200) for p in fleet.placers]
    assert all(placed)
    engines = {p.prefill_engine.entry.id for p in placed}
    assert len(engines) > 11


def test_a_replaced_decoder_holds_the_request_until_its_end():
    fleet = Fleet(instances=1)
    placer = fleet.placers[0]
    placement = fleet.send(placer, LONGEST)
    other = placer.replace_decoder(
        placement,
        fleet.engines,
        {placement.decode.entry.id},
        0.0,
        MEMORY,
    )
    assert placer.held_tokens(other.entry.id) == LONGEST + 200
    placer.record_end(placement)
    assert set(fleet.held().values()) == {0}


@pytest.mark.parametrize('seed', range(3))
def test_without_the_names_about_as_many_are_sent(seed):
    """An instance that starts knows how many there are before their names."""
    fleet = Fleet(seed=seed, names_known=False)
    placed = [fleet.send(placer, LONGEST) for placer in fleet.placers]
    served = sum(placement is not None for placement in placed)
    assert 0.3 * 84 <= served <= 84
