"""Placement through the placement owner of a data centre."""

import asyncio

import attrs

from dandelionwinch.daemon import _placement_router
from dandelionwinch.daemon import _wire
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement

HERE = placement.Choice('here', 'here', 0.25, 0.0, '')
THERE = placement.Choice('there', 'there', 0.25, 0.0, '')
QUERY = placement.Query('lm', 1000, 100, 7, frozenset({'bad'}))


@attrs.define
class _Known:
    name: str
    member: peer_pb2.Member


class _Peers:
    def __init__(self, reply):
        self.reply = reply
        self.asked = []

    async def call(self, address, method, request, timeout_s):
        assert (method, timeout_s) == (
            'Place',
            _placement_router.PLACE_TIMEOUT_S,
        )
        self.asked.append((address, request))
        return self.reply


class _Work:
    def __init__(self, quarantined):
        self.estimates = self
        self._quarantined = quarantined
        self.chosen = []

    def quarantined(self, _now):
        return self._quarantined

    def choose(self, query):
        self.chosen.append(query)
        return HERE


class _Core:
    """The parts of a core that PlacementRouter uses."""

    data_centre = 'dc'

    def __init__(self, name, names, reply=None, upstreams=('here', 'there')):
        self.name = name
        self.members = self
        self.catalog = self
        self.peers = _Peers(reply)
        self.scheduler = _Work(['slow'])
        self.events = []
        self.time = 0.0
        self._names = names
        self._upstreams = upstreams

    def usable(self, _now):
        return [
            _Known(name, peer_pb2.Member(data_centre=dc, peer_address=name))
            for name, dc in self._names
        ]

    def get(self, _kind, name):
        return name if name in self._upstreams else None

    def now(self):
        return self.time

    def event(self, kind, subject):
        self.events.append((kind, subject))


NEAR = [(f'i{n}', 'dc') for n in range(4)]
FAR = [(f'far{n}', 'other') for n in range(4)]


def _usual():
    return placement.usual_decider([n for n, _dc in NEAR], 'dc', 'lm')


def _other():
    return next(n for n, _dc in NEAR if n != _usual())


def choose(core, router=None):
    router = router or _placement_router.PlacementRouter(core)
    return asyncio.run(router.choose(QUERY))


def test_all_instances_of_a_data_centre_ask_the_same_one():
    asked = set()
    for name, _dc in NEAR:
        core = _Core(name, NEAR + FAR, _wire.dump_choice(THERE))
        found = choose(core)
        assert found == (HERE if name == _usual() else THERE)
        asked.update(address for address, _request in core.peers.asked)
    assert asked == {_usual()}


def test_the_decider_is_told_what_failed_here():
    core = _Core(_other(), NEAR, _wire.dump_choice(THERE))
    choose(core)
    assert list(core.peers.asked[0][1].exclude) == ['bad', 'slow']


def test_a_silent_decider_is_left_alone_for_a_while():
    core = _Core(_other(), NEAR)
    router = _placement_router.PlacementRouter(core)
    for core.time, calls in ((0.0, 1), (0.5, 1), (2.5, 2)):
        assert choose(core, router) == HERE
        assert len(core.peers.asked) == calls
    assert core.events[0] == ('decider.silent', _usual())


def test_an_upstream_that_is_not_known_here_is_not_taken():
    core = _Core(_other(), NEAR, _wire.dump_choice(THERE), upstreams=['here'])
    assert choose(core) == HERE


def test_a_refusal_of_the_decider_is_taken():
    refusal = placement.Refusal('full', 0.5)
    core = _Core(_other(), NEAR, _wire.dump_choice(refusal))
    assert choose(core) == refusal


def test_a_decider_answers_from_its_own_beliefs():
    core = _Core(_usual(), NEAR)
    router = _placement_router.PlacementRouter(core)
    request = router._request(QUERY)
    reply = router.handle(request)
    assert _wire.load_choice(reply) == HERE
    assert core.scheduler.chosen[0].exclude == frozenset({'bad', 'slow'})
