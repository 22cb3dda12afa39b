"""Checks of the items of datagrams, which may be malformed or forged."""

import asyncio
import json
import math

import pytest

from dandelionwinch.gateway import _crash_link
from dandelionwinch.gateway import _datagram_rows
from dandelionwinch.gateway import _peer_link
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual


@pytest.mark.parametrize(
    ('check', 'item'),
    [
        (_datagram_rows.checked_rows, 'ab'),
        (_datagram_rows.checked_rows, [0] * (_datagram_rows.MAX_ROWS + 1)),
        (_datagram_rows.checked_text, ''),
        (_datagram_rows.checked_text, 7),
        (_datagram_rows.checked_text, 'x' * 129),
        (_datagram_rows.checked_number, True),
        (_datagram_rows.checked_number, math.nan),
        (_datagram_rows.checked_number, math.inf),
        (_datagram_rows.checked_number, -1),
        (lambda item: _datagram_rows.checked_count(item, 9), 10),
        (lambda item: _datagram_rows.checked_count(item, 9), 1.0),
    ],
)
def test_a_malformed_item_is_refused(check, item):
    with pytest.raises(ValueError):
        check(item)


def test_pieces_hold_all_rows_in_order():
    rows = list(range(2 * _datagram_rows.MAX_ROWS + 1))
    pieces = list(_datagram_rows.pieces(rows))
    assert [len(piece) for piece in pieces] == [20, 20, 1]
    assert sum(pieces, []) == rows


class _Lifts:
    """Records lifts of holds."""

    def __init__(self):
        self.lifted = []

    def take_lift(self, subject, _at):
        """Records a lift."""
        self.lifted.append(subject)


def test_another_port_of_an_instance_is_no_instance():
    """Any process at the address of an instance could lift a hold."""

    async def scenario():
        loop = asyncio.get_running_loop()
        link = _peer_link.PeerLink(loop, recorder.Recorder(), 'a')
        link.set_peers({'b': ('10.0.0.2', 1000)})
        lifts = _Lifts()
        _crash_link.CrashLink(loop, link, lifts)
        for port in (1001, 1000):
            data = json.dumps(['lift', f'from {port}', 0.0]).encode()
            link.datagram_received(data, ('10.0.0.2', port))
        return lifts.lifted

    assert virtual.run(scenario()) == ['from 1000']
