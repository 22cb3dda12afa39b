"""Messages by which instances share capacity fairly between teams.

    ["shares", token, [[team, ratio], ...]]
    ["unserved", age, [[team, delayed, refused], ...]]

"shares" goes from the holder of the duties to all instances: the teams that
want more than their share, and which part of their requests is beyond it. The
token is the holder's fencing token. "unserved" goes to the holder: numbers of
requests in a period of the given length in seconds. Datagrams of unknown
senders are dropped.
"""

import math

from dandelionwinch import limits

ROWS_PER_DATAGRAM = 20
MAX_NAME_CHARS = 128
MAX_COUNT = 1 << 20
MAX_PERIOD_S = 60.0


class ShareLink:
    """Encodes, checks and decodes the messages of a FairSharing.

    Args:
        link: PeerLink.
        receiver: Object with `take_shares(token, excesses, sender)` and
            `take_unserved(period_s, rows, sender)`.
    """

    __slots__ = ('_link', '_receiver')

    def __init__(self, link, receiver):
        self._link = link
        self._receiver = receiver
        link.register('shares', self._take_shares)
        link.register('unserved', self._take_unserved)

    @property
    def peers(self):
        """Returns the address of each other instance, by its name."""
        return self._link.peers

    def send_shares(self, token, excesses):
        """Tells all instances which teams want more than their share."""
        rows = [[e.team, round(e.ratio, 3)] for e in excesses]
        message = ['shares', token, rows[:ROWS_PER_DATAGRAM]]
        self._link.send_all(message, list(self._link.peers.values()))

    def send_unserved(self, period_s, rows, addr):
        """Tells the holder what was not served in time.

        Args:
            period_s: Length of the period in seconds.
            rows: Tuples of team, delayed and refused requests.
            addr: Address of the holder.
        """
        rows = [list(row) for row in rows[:ROWS_PER_DATAGRAM]]
        self._link.send(['unserved', round(period_s, 3), rows], addr)

    def _take_shares(self, items, addr):
        sender = self._link.name_of(addr)
        token, rows = items
        if type(token) is not int or token < 0:
            raise ValueError('not a fencing token')
        excesses = [_read_excess(*row) for row in _checked_rows(rows)]
        self._receiver.take_shares(token, excesses, sender)

    def _take_unserved(self, items, addr):
        sender = self._link.name_of(addr)
        period_s, rows = items
        if not 0 < _checked(period_s) <= MAX_PERIOD_S:
            raise ValueError(f'period {period_s!r}')
        rows = [_read_counts(*row) for row in _checked_rows(rows)]
        self._receiver.take_unserved(float(period_s), rows, sender)


def _read_excess(team, ratio):
    if not 0 <= _checked(ratio) <= 1:
        raise ValueError(f'ratio {ratio!r}')
    return limits.Excess(_checked_name(team), float(ratio))


def _read_counts(team, delayed, refused):
    for count in (delayed, refused):
        if type(count) is not int or not 0 <= count <= MAX_COUNT:
            raise ValueError('not a number of requests')
    return _checked_name(team), delayed, refused


def _checked_rows(rows):
    if not isinstance(rows, list) or len(rows) > ROWS_PER_DATAGRAM:
        raise ValueError('not a list of bounded length')
    return rows


def _checked_name(team):
    if not isinstance(team, str) or not 0 < len(team) <= MAX_NAME_CHARS:
        raise ValueError('not the name of a team')
    return team


def _checked(number):
    if type(number) not in (int, float) or not math.isfinite(number):
        raise ValueError('not a number')
    return number
