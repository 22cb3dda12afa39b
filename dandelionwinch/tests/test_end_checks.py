"""Tests of how an end is told from a death, in virtual time.

Each guards against an answer that broke off with its upstream and looks
complete, or one that is whole and does not.
"""

import asyncio

import attrs
import pytest

from dandelionwinch.gateway import _end_checks
from dandelionwinch.tests import virtual
from dandelionwinch import upstreams

ENTRY = upstreams.Entry(
    'u1', 's', '127.0.0.1:1', 'a', 0, True, upstreams.Role.DECODE, 8, '1'
)
REGISTRY = upstreams.Registry()
REGISTRY.apply(ENTRY)
ROUND_TRIP_S = 0.002
GONE = _end_checks.Ending.GONE
OUTLIVED = _end_checks.Ending.OUTLIVED
UNKNOWN = _end_checks.Ending.UNKNOWN


class _Transport:
    def abort(self):
        """Does nothing."""


class _Address:
    """Accepts connections until its listening socket is closed.

    Attributes:
        closes_at: Loop time at which it is closed, None if it stays open.
        lost: How many of the next connections are not answered.
        connects: Number of connections that were opened.
    """

    def __init__(self, loop, closes_at=None, lost=0):
        self._loop = loop
        self.closes_at = closes_at
        self.lost = lost
        self.connects = 0
        loop.create_connection = self._connect

    async def _connect(self, make_protocol, _host, _port):
        self.connects += 1
        if self.lost:
            self.lost -= 1
            await asyncio.Event().wait()
        await asyncio.sleep(ROUND_TRIP_S / 2)
        refused = self.closes_at is not None and (
            self._loop.time() >= self.closes_at
        )
        await asyncio.sleep(ROUND_TRIP_S / 2)
        if refused:
            raise ConnectionRefusedError
        return _Transport(), make_protocol()


def _check(ends_at, **address):
    """Returns the Endings of answers that end at some times, and more.

    Args:
        ends_at: Time of each end in seconds, in order.
        address: Arguments of _Address.

    Returns:
        The Endings, the _Address, and how often the upstream was found gone.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        listening = _Address(loop, **address)
        gone = []
        checks = _end_checks.EndChecks(loop, REGISTRY, gone.append)
        futures = []
        for at in ends_at:
            await asyncio.sleep(at - loop.time())
            futures.append(checks.begin(REGISTRY.get('u1')))
        endings = await asyncio.gather(*futures)
        checks.close()
        return endings, listening, len(gone)

    return virtual.run(scenario())


@pytest.mark.parametrize('after_ms', [0, 1, 5, 10, 20, 29])
@pytest.mark.parametrize('earlier_ms', [None, 0, 5, 15, 29, 31, 40, 200])
def test_a_process_that_ends_is_gone_for_all_that_end_with_it(
    after_ms, earlier_ms
):
    """Its listening socket is closed last, whatever was asked before."""
    at = 1.0
    ends_at = [at, at, at + after_ms / 2e3]
    if earlier_ms is not None:
        ends_at.insert(0, at - earlier_ms / 1e3)
    endings, _address, gone = _check(ends_at, closes_at=at + after_ms / 1e3)
    assert endings[-3:] == [GONE] * 3
    assert gone


@pytest.mark.parametrize('gap_ms', [0, 1, 10, 29, 30, 31, 100])
def test_an_upstream_that_goes_on_has_sent_all(gap_ms):
    ends_at = [0.001 * gap_ms * number for number in range(20)]
    endings, address, gone = _check(ends_at)
    assert endings == [OUTLIVED] * 20
    assert not gone
    assert address.connects <= len(ends_at)


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_a_lost_packet_ends_no_answer(lost):
    """Links lose packets: silence tells nothing, the next one is heard."""
    assert _check([0.0], lost=lost)[0] == [OUTLIVED]
    assert _check([0.0], lost=lost, closes_at=0.0)[0] == [GONE]


def test_what_cannot_be_known_in_time_is_not_complete():
    """Its link was cut right after the end."""
    assert _check([0.0], lost=1000)[0] == [UNKNOWN]


@pytest.mark.parametrize('stands_s', [0.0, 0.4, 2.0, 5.0])
@pytest.mark.parametrize('after_s', [0.0, 0.1, 0.5])
def test_an_end_that_is_read_after_a_stall_is_not_known(stands_s, after_s):
    """Another process may have got the address while the instance stood."""

    async def scenario():
        loop = asyncio.get_running_loop()
        _Address(loop)
        checks = _end_checks.EndChecks(loop, REGISTRY, None)
        checks.start()
        await asyncio.sleep(10.5)
        loop._selector.now += stands_s
        if after_s:
            await asyncio.sleep(after_s)
        ending = await checks.begin(REGISTRY.get('u1'))
        checks.close()
        return ending

    stalled = stands_s > 1.0 and after_s < _end_checks.READ_S
    assert virtual.run(scenario()) is (UNKNOWN if stalled else OUTLIVED)


@pytest.mark.parametrize(
    ('gone', 'changes', 'followed'),
    [
        (False, {}, False),
        (True, {}, False),
        (False, {'started_at_ms': 1}, True),
        (True, {'id': 'u2'}, True),
        (True, {'id': 'u2', 'address': '127.0.0.1:2'}, False),
    ],
)
def test_a_process_that_follows_another_one_is_known(gone, changes, followed):
    """Its address answers for the one before."""
    registry = upstreams.Registry()
    registry.apply(ENTRY)
    upstream = registry.get('u1')
    if gone:
        registry.remove('u1', 1.0)
    if changes:
        registry.apply(attrs.evolve(ENTRY, **changes))
    assert registry.is_followed(upstream) is followed
    registry.forget(100.0, 10.0)
    assert registry.is_followed(upstream) is followed
