"""Datagrams that are malformed in ways that no handler checks."""

import asyncio

import pytest

from dandelionwinch.gateway import _datagram_rows
from dandelionwinch.gateway import _peer_link
from dandelionwinch.gateway import _share_link
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual

ADDRESS = ('10.0.0.1', 7)
# An integer that is beyond the range of floating-point numbers.
HUGE = b'1' + 400 * b'0'


@pytest.mark.parametrize(
    'data',
    [
        b'["unserved","s",%b,[]]' % HUGE,
        b'["shares","s",1,[%b,1,1],[]]' % HUGE,
        b'["rows",%b]' % HUGE,
        b'[' * 100_000,
        b'\xff',
    ],
)
def test_a_malformed_datagram_is_dropped(data):
    """A huge integer was a fault of the event loop, logged each time."""

    async def run():
        log = recorder.Recorder()
        link = _peer_link.PeerLink(asyncio.get_running_loop(), log, 'i0')
        link.set_peers({'i1': ADDRESS})
        _share_link.ShareLink(link, None)
        link.register(
            'rows', lambda items, _addr: _datagram_rows.checked_number(*items)
        )
        for _repeat in range(2):
            link.datagram_received(data, ADDRESS)
        return log.names()

    assert virtual.run(run()) == ['peer.invalid']
