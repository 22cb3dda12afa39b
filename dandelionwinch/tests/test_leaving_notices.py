"""Notices between instances that an upstream shuts down."""

import asyncio
import json
import random

import pytest

from dandelionwinch.gateway import _fleet
from dandelionwinch.gateway import _leaving_notices
from dandelionwinch.gateway import _peer_link
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual
from dandelionwinch import upstreams

# One-way times between instances, up to those of other regions.
MIN_LATENCY_S = 0.001
MAX_LATENCY_S = 0.05


def entry(name='u1', **changes):
    values = {'started_at_ms': 1, 'address': '10.0.0.1:80', **changes}
    return upstreams.Entry(
        name,
        's',
        data_centre='dc',
        ready=True,
        role=upstreams.Role.PLAIN,
        slots=4,
        **values,
    )


class _Group:
    """Instances whose datagrams take some time, in virtual time."""

    def __init__(self, size):
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(3)
        self.sent = []
        self.addresses = {f'n{n}': (f'10.0.{n}', 7) for n in range(size)}
        self.logs, self.links, self.fleets, self.notices = [], [], [], []
        for name in self.addresses:
            self._add(name)

    def _add(self, name):
        log = recorder.Recorder()
        link = _peer_link.PeerLink(self._loop, log, name)
        link.connection_made(_Transport(self, self.addresses[name]))
        link.set_peers(self.addresses)
        fleet = _fleet.Fleet(self._loop)
        for number in range(4):
            fleet.registry.apply(entry(f'u{number}'))
        self.logs.append(log)
        self.links.append(link)
        self.fleets.append(fleet)
        self.notices.append(
            _leaving_notices.LeavingNotices(
                self._loop,
                link,
                fleet,
                random.Random(name),
                log,
                lambda _upstream: None,
            )
        )

    def deliver(self, data, sender, addr):
        """Delivers a datagram after a random time."""
        self.sent.append((sender, data))
        link = self.links[list(self.addresses.values()).index(addr)]
        latency_s = self._rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        self._loop.call_later(latency_s, link.datagram_received, data, sender)

    def avoid(self, name='u1'):
        """Returns how many instances avoid an upstream now."""
        now = self._loop.time()
        return sum(
            fleet.registry.get(name).told_leaving_until > now
            for fleet in self.fleets
        )


class _Transport:
    def __init__(self, group, sender):
        self._group = group
        self._sender = sender

    def sendto(self, data, addr):
        self._group.deliver(data, self._sender, addr)


def notice(upstream_id='u1', **changes):
    incarnation = entry(upstream_id, **changes).incarnation
    return ['leaving', upstream_id, upstreams.digest(incarnation)]


@pytest.mark.parametrize('size', [2, 6, 390])
def test_one_that_learns_it_tells_all_others_once(size):
    async def scenario():
        group = _Group(size)
        for _time in range(3):
            group.notices[0].announce(entry().incarnation)
        await asyncio.sleep(1.0)
        group.notices[0].announce(entry().incarnation)
        await asyncio.sleep(1.0)
        assert group.avoid() == size - 1
        assert len(group.sent) == size - 1
        assert max(len(data) for _sender, data in group.sent) < 48

    virtual.run(scenario())


@pytest.mark.parametrize(('size', 'tellers'), [(6, 5), (390, 12)])
def test_many_that_learn_it_at_once_do_not_all_tell(size, tellers):
    async def scenario():
        group = _Group(size)
        for notices in group.notices:
            notices.announce(entry().incarnation)
        await asyncio.sleep(2.0)
        assert 1 <= len({sender for sender, _data in group.sent}) <= tellers
        assert group.avoid() >= size - tellers

    virtual.run(scenario())


def test_a_notice_holds_for_its_incarnation_and_time_only():
    async def scenario():
        group = _Group(2)
        sender = group.addresses['n0']
        receive, fleet = group.links[1].datagram_received, group.fleets[1]
        data = json.dumps(notice()).encode()
        receive(data, sender)
        now = asyncio.get_running_loop().time()
        found = fleet.serving('s')
        assert len(found) == 4
        names = [u.entry.id for u in upstreams.available(found, now)]
        assert names == ['u0', 'u2', 'u3']
        await asyncio.sleep(upstreams.BELIEVED_S)
        receive(data, sender)
        assert group.avoid() == 0
        fleet.registry.apply(entry(started_at_ms=2))
        receive(data, sender)
        assert group.avoid() == 0
        assert group.logs[1].names() == [
            'upstream.told_leaving',
            'upstream.notice_unknown',
        ]
        assert group.sent == []

    virtual.run(scenario())


def test_false_notices_leave_half_of_a_service():
    async def scenario():
        group = _Group(2)
        for number in range(4):
            data = json.dumps(notice(f'u{number}')).encode()
            group.links[1].datagram_received(data, group.addresses['n0'])
        now = asyncio.get_running_loop().time()
        found = group.fleets[1].serving('s')
        assert len(upstreams.available(found, now)) == 2

    virtual.run(scenario())


@pytest.mark.parametrize(
    ('message', 'sender', 'logged'),
    [
        (['leaving'], 'n0', 'peer.invalid'),
        (['leaving', 'u1', 5], 'n0', 'peer.invalid'),
        (['leaving', 'u1', 'x', 'y'], 'n0', 'peer.invalid'),
        (notice(), 'stranger', 'peer.invalid'),
        (notice('u9'), 'n0', 'upstream.notice_unknown'),
        (notice(address='10.0.0.2:80'), 'n0', 'upstream.notice_unknown'),
    ],
)
def test_what_names_no_known_incarnation_is_dropped(message, sender, logged):
    async def scenario():
        group = _Group(2)
        addr = group.addresses.get(sender, ('10.9.9.9', 7))
        for _time in range(3):
            group.links[1].datagram_received(
                json.dumps(message).encode(), addr
            )
        assert group.avoid() == 0
        assert group.logs[1].names() == [logged]

    virtual.run(scenario())
