"""Tests of how a crash is told from a lost connection, in virtual time.

Each guards against a crash that is missed, or a crash that was none.
"""

import asyncio
import random

import attrs
import pytest

from dandelionwinch.gateway import _crash_guard
from dandelionwinch.gateway import _fleet
from dandelionwinch.gateway import _metrics
from dandelionwinch.gateway import _peer_link
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual
from dandelionwinch import upstreams

ENTRY = upstreams.Entry(
    'u1', 'engines', '127.0.0.1:1', 'a', 0, True, upstreams.Role.DECODE, 8, '1'
)


@attrs.define
class _Opened:
    """A connection that is accepted, and closed after a time if any."""

    closed_after_s: float | None = None


class _Silent:
    """A connection that is never answered."""


class _Transport:
    """The instance's side of a connection to the scripted upstream."""

    def __init__(self, protocol):
        self._protocol = protocol

    def abort(self):
        """Closes the connection."""
        protocol, self._protocol = self._protocol, None
        if protocol is not None:
            protocol.connection_lost(None)


class _Network:
    """Answers new connections one after the other; the last one repeats."""

    def __init__(self, loop, replies):
        self._loop = loop
        self._replies = list(replies)
        self.opened = []
        self.connects = 0
        loop.create_connection = self._connect

    async def _connect(self, make_protocol, _host, _port):
        self.connects += 1
        reply = self._replies[0]
        if len(self._replies) > 1:
            del self._replies[0]
        match reply:
            case _Opened(closed_after_s):
                transport = _Transport(make_protocol())
                self.opened.append(transport)
                if closed_after_s is not None:
                    self._loop.call_later(closed_after_s, transport.abort)
                return transport, None
            case _Silent():
                await asyncio.Event().wait()
            case exc:
                raise exc()


class _ByteLimits:
    """Stands in for the bounds, so that the guard waits for a crash."""

    def __init__(self):
        self.crashes = 0

    def crashed(self, _upstream):
        """Counts a crash."""
        self.crashes += 1


@attrs.frozen
class _Result:
    """What a guard said of a lost connection, and what it learnt later."""

    at_once: bool
    said_after_s: float
    crashed: list
    known: int
    ejections: int
    connects: int


def _lose_connection(*replies, patient=False, draining_at_s=None):
    """Loses one connection to a scripted upstream; returns the _Result."""

    async def scenario():
        loop = asyncio.get_running_loop()
        network = _Network(loop, replies)
        log = recorder.Recorder()
        fleet = _fleet.Fleet(loop)
        fleet.byte_limits = _ByteLimits() if patient else None
        guard = _crash_guard.CrashGuard(
            loop,
            fleet,
            _peer_link.PeerLink(loop, log, 'i0'),
            log,
            _metrics.Metrics(),
            random.Random(1),
        )
        upstream = upstreams.Upstream(ENTRY)
        if draining_at_s is not None:
            leaving = attrs.evolve(ENTRY, ready=False)
            loop.call_later(draining_at_s, setattr, upstream, 'entry', leaving)
        at_once = await guard.connection_lost(upstream, ['m/part', 'm/whole'])
        said_after_s = loop.time()
        await asyncio.sleep(1.0)
        guard.close()
        assert all(opened._protocol is None for opened in network.opened)
        known = guard._quarantine.recent_crashes(loop.time(), 5.0)
        crashed = [
            fields['subjects']
            for name, fields in log.events
            if name == 'upstream.crashed'
        ]
        return _Result(
            at_once,
            said_after_s,
            crashed,
            len(known),
            upstream.ejections,
            network.connects,
        )

    return virtual.run(scenario())


MOST_CONNECTS = 8
BOTH = [['m/part', 'm/whole']]


@pytest.mark.parametrize('patient', [False, True])
def test_a_refused_connection_is_a_crash(patient):
    result = _lose_connection(ConnectionRefusedError, patient=patient)
    assert (result.at_once, result.said_after_s) == (True, 0.0)
    assert (result.crashed, result.known) == (BOTH, 1)


@pytest.mark.parametrize('patient', [False, True])
@pytest.mark.parametrize('exc', [ConnectionResetError, ConnectionAbortedError])
def test_a_reset_while_connecting_is_followed_by_another_look(patient, exc):
    """The listening socket was closed during the handshake."""
    result = _lose_connection(exc, ConnectionRefusedError, patient=patient)
    assert result.at_once
    assert (result.crashed, result.known) == (BOTH, 1)


@pytest.mark.parametrize('patient', [False, True])
def test_a_listening_socket_that_is_closed_late_is_a_crash(patient):
    """The process was not scheduled while it ended."""
    result = _lose_connection(
        _Opened(0.2), ConnectionRefusedError, patient=patient
    )
    assert not result.at_once
    assert result.said_after_s <= _crash_guard.CONFIRMED_S / 10
    assert (result.crashed, result.known) == (BOTH, 1)
    assert result.ejections == 1


def test_an_instance_that_was_not_scheduled_looks_again():
    """The time for the first look passed without an answer."""
    result = _lose_connection(_Silent(), ConnectionRefusedError)
    assert not result.at_once
    assert (result.crashed, result.known) == (BOTH, 1)


@pytest.mark.parametrize('patient', [False, True])
@pytest.mark.parametrize(
    'replies',
    [
        (_Opened(),),
        (_Opened(0.2), _Opened()),
        (_Opened(0.2),),
        (ConnectionResetError,),
        (_Silent(),),
        (OSError,),
        # It crashes longer after the lost connection than the result holds.
        (_Opened(0.7), ConnectionRefusedError),
    ],
)
def test_an_upstream_that_lives_has_not_crashed(patient, replies):
    result = _lose_connection(*replies, patient=patient)
    assert not result.at_once
    assert (result.crashed, result.known) == ([], 0)
    assert result.ejections == 0
    # A full upstream resets connections; more of them keep it full.
    assert result.connects <= MOST_CONNECTS


def test_an_upstream_that_drains_meanwhile_has_not_crashed():
    """Its socket is closed by the end of a planned stop."""
    result = _lose_connection(
        _Opened(0.2), ConnectionRefusedError, draining_at_s=0.1
    )
    assert (result.crashed, result.known) == ([], 0)
