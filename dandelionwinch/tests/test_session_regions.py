"""Tests of sessions that belong to regions."""

import random

import pytest

from dandelionwinch import dispatch
from dandelionwinch.dispatch import _session_regions
from dandelionwinch.gateway import _peer_link
from dandelionwinch.gateway import _session_sharing

REGIONS = ('north', 'south', 'west')


def _prompt(session):
    return dispatch.Prompt(5000, 10, (('all', 100), (session, 4000), ('x', 1)))


def _play(instances, shared, seconds, seed=1, prompts_per_s=3, sessions=5000):
    """Returns the SessionRegions of instances that see some sessions.

    Args:
        instances: Number of instances, alike in each region.
        shared: Whether callers of all regions share the sessions.
        seconds: Seconds of traffic.
        seed: Seed of the sessions.
        prompts_per_s: Prompts a second at each instance.
        sessions: Number of sessions.
    """
    rng = random.Random(seed)
    found = [dispatch.SessionRegions() for _number in range(instances)]
    for second in range(seconds):
        now = float(second)
        for number, seen in enumerate(found):
            for _prompt_number in range(prompts_per_s):
                session = rng.randrange(sessions)
                if not shared:
                    session -= session % 3 - number % 3
                seen.record(_prompt(f's{session}'), now)
        for number, seen in enumerate(found):
            near = rng.randrange(instances // 3) * 3 + number % 3
            far = (number + rng.choice((1, 2))) % instances
            for other in (near, far):
                if other != number:
                    told = found[other]
                    seen.take_counts(f'i{other}', told.counts)
                    seen.compare(told.latest(now), other == near, now)
    return found


@pytest.mark.parametrize('instances', [6, 60, 390])
def test_instances_agree_that_sessions_are_regional(instances):
    """Two of three requests crossed regions although callers did not."""
    found = _play(instances, shared=False, seconds=30)
    agreed = sum(seen.regional for seen in found)
    assert agreed >= 0.9 * instances


@pytest.mark.parametrize('seed', range(5))
def test_shared_sessions_are_not_taken_for_regional(seed):
    """Engines of three regions would read their blocks three times."""
    found = _play(60, shared=True, seconds=60, seed=seed)
    assert not any(seen.regional for seen in found)


def test_sessions_that_become_shared_are_noticed():
    regions = dispatch.SessionRegions()
    for second in range(60):
        for number in range(5):
            regions.record(_prompt(f'n{number}'), float(second))
        regions.compare(regions.latest(second), True, float(second))
        regions.compare([1, 2, 3, 4, 5], False, float(second))
    assert regions.regional
    for second in range(60, 160):
        regions.compare(regions.latest(second), False, float(second))
    assert not regions.regional


def test_what_is_remembered_is_bounded():
    regions = dispatch.SessionRegions()
    for number in range(2000):
        regions.record(_prompt(f's{number}'), 1.0)
    assert len(regions._seen) == _session_regions.MAX_SESSIONS
    assert len(regions.latest(2.0)) == _session_regions.TOLD_SESSIONS
    assert not regions.latest(2.0 + 2 * _session_regions.SEEN_S)


class _Loop:
    def time(self):
        return 1.0


def _sharing(regions):
    link = _peer_link.PeerLink(_Loop(), None, 'a')
    link.set_peers({'b': ('10.0.0.2', 7)})
    sharing = _session_sharing.SessionSharing(
        _Loop(), regions, link, 'north', None, random.Random(1)
    )
    sharing.set_regions({'b': 'south'})
    return sharing


@pytest.mark.parametrize(
    'items',
    [
        [],
        [[1]],
        [1, [0, 0, 0, 0]],
        [[-1], [0, 0, 0, 0]],
        [['a'], [0, 0, 0, 0]],
        [list(range(65)), [0, 0, 0, 0]],
        [[1], [0, 1, 0, 0]],
        [[1], [0, 0, 0]],
        [[1], [1e12, 0, 0, 0]],
        [[1], [float('nan'), 0, 0, 0]],
    ],
)
def test_a_malformed_datagram_is_dropped(items):
    regions = dispatch.SessionRegions()
    with pytest.raises((ValueError, TypeError)):
        _sharing(regions)._take_sessions(items, ('10.0.0.2', 7))
    assert not regions._far.pairs


def test_a_datagram_of_an_unknown_sender_is_dropped():
    with pytest.raises(ValueError, match='no instance'):
        _sharing(dispatch.SessionRegions())._take_sessions(
            [[1], [0, 0, 0, 0]], ('10.0.0.9', 7)
        )
