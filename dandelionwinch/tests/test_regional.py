"""Sessions within their callers' region, in virtual time."""

import random

import attrs
import pytest

from dandelionwinch import dispatch
from dandelionwinch.tests import fixtures
from dandelionwinch import upstreams

REGIONS = {'here': 'r', 'next': 'r', 'far': 'q'}


@pytest.fixture
def placer():
    distances = dispatch.Distances('here', REGIONS)
    return dispatch.RegionalPlacer(distances, random.Random(1))


@pytest.fixture
def engines():
    made = fixtures.make_engines(12)
    return [
        upstreams.Upstream(attrs.evolve(e.entry, data_centre=data_centre))
        for e, data_centre in zip(made, sorted(REGIONS) * 4, strict=True)
    ]


def far_sessions(placer, engines, now=0.0):
    """Returns the sessions that are placed in the other region."""
    # At intervals, so that no rate limit refuses a prompt.
    placed = {
        n: fixtures.place(
            placer, fixtures.make_prompt(n), engines, now + 0.05 * n
        )
        for n in range(12)
    }
    return {
        n
        for n, placement in placed.items()
        if placement.prefill_engine.entry.data_centre == 'far'
    }


def test_sessions_stay_in_a_region_that_has_room(placer, engines):
    """By today's decision a third of them goes to the other region."""
    assert not far_sessions(placer, engines)


def test_a_full_region_uses_all_regions_until_it_has_room(placer, engines):
    """Sessions that stay in a full region wait there."""
    slow = next(e for e in engines if e.entry.data_centre == 'next')
    slow.record_success(0.1, 1.0)
    assert far_sessions(placer, engines, 1.0)
    assert not far_sessions(placer, engines, 60.0)


def test_a_session_stays_where_its_blocks_are(placer, engines):
    """Its blocks would be read again for one prompt."""
    today = dispatch.EnginePlacer(
        dispatch.Distances('here', REGIONS), random.Random(1)
    )
    session = min(far_sessions(today, engines))
    prompt = fixtures.make_prompt(session)
    home = fixtures.place(today, prompt, engines, 5.0)
    placer.record_sent(prompt, home, 5.0)
    placer.record_end(home)
    assert session in far_sessions(placer, engines, 6.0)
