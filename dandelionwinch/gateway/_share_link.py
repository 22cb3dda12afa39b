"""Messages by which instances share capacity fairly between teams.

    ["shares", service, token, [capacity, demand, level],
        [[team, ratio, part], ...]]
    ["unserved", service, span, [[team, served, delayed, refused], ...]]

"shares" goes from the holder of the duties to all instances: for one service
the requests a second that were served in time, those that were asked for, and
the share of a team that wants more (null if there is none); the teams that
want more than their share, which part of their requests is beyond it, and
their share as a part of the capacity. The token is the holder's fencing
token. "unserved" goes to the holder while requests of the service are not
served in time: numbers of requests in the last seconds, as many as stated. It
replaces what the same instance sent before, so that loss and repeats are
harmless, and without rows all of it. Datagrams of unknown senders, and those
of versions that name no service, are dropped.
"""

import math

from dandelionwinch import limits

ROWS_PER_DATAGRAM = 20
# Datagrams of one instance for one service in a period.
MAX_DATAGRAMS = 8
MAX_NAME_CHARS = 128
MAX_COUNT = 1 << 20
MAX_RATE_PER_S = 1 << 30
MAX_SPAN_S = 60.0
# Less than a request in the longest span. The slots of a service divided by it
# are a finite duration of a call.
MIN_CAPACITY_PER_S = 1e-3


class ShareLink:
    """Encodes, checks and decodes the messages of a FairSharing.

    Args:
        link: PeerLink.
        receiver: Object with `take_shares(service, token, shares, sender)`
            and `take_unserved(service, span_s, rows,
            sender)`.
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

    def send_shares(self, service, token, shares):
        """Tells all instances the Shares of a service."""
        rates = [_rounded(shares.capacity), _rounded(shares.demand)]
        rates.append(_rounded(shares.level))
        rows = [
            [e.team, round(e.ratio, 3), float(f'{e.part:.3g}')]
            for e in shares.excesses
        ]
        message = ['shares', service, token, rates, rows[:ROWS_PER_DATAGRAM]]
        self._link.send_all(message, list(self._link.peers.values()))

    def send_unserved(self, service, span_s, rows, addr):
        """Tells the holder how many requests were served, and how.

        Args:
            service: Name of the service.
            span_s: Length of the time of the counts in seconds.
            rows: Tuples of team, served, delayed and refused requests.
            addr: Address of the holder.
        """
        rows = [list(row) for row in rows[: MAX_DATAGRAMS * ROWS_PER_DATAGRAM]]
        for begin in range(0, max(1, len(rows)), ROWS_PER_DATAGRAM):
            part = rows[begin : begin + ROWS_PER_DATAGRAM]
            message = ['unserved', service, round(span_s, 3), part]
            self._link.send(message, addr)

    def _take_shares(self, items, addr):
        sender = self._link.name_of(addr)
        service, token, (capacity, demand, level), rows = items
        if type(token) is not int or token < 0:
            raise ValueError('not a fencing token')
        shares = limits.Shares(
            _checked_rate(capacity),
            _checked_rate(demand),
            math.inf if level is None else _checked_rate(level),
            tuple(_read_excess(*row) for row in _checked_rows(rows)),
        )
        if shares.excesses and shares.capacity < MIN_CAPACITY_PER_S:
            raise ValueError('shares without a capacity')
        self._receiver.take_shares(
            _checked_name(service), token, shares, sender
        )

    def _take_unserved(self, items, addr):
        sender = self._link.name_of(addr)
        service, span_s, rows = items
        if not 0 < _checked(span_s) <= MAX_SPAN_S:
            raise ValueError(f'span {span_s!r}')
        rows = [_read_counts(*row) for row in _checked_rows(rows)]
        self._receiver.take_unserved(
            _checked_name(service), float(span_s), rows, sender
        )


def _rounded(rate):
    """Returns a rate with four digits, None if it is infinite."""
    return float(f'{rate:.4g}') if math.isfinite(rate) else None


def _read_excess(team, ratio, part):
    for number in (ratio, part):
        if not 0 <= _checked(number) <= 1:
            raise ValueError(f'not a part: {number!r}')
    return limits.Excess(_checked_name(team), float(ratio), float(part))


def _read_counts(team, served, delayed, refused):
    for count in (served, delayed, refused):
        if type(count) is not int or not 0 <= count <= MAX_COUNT:
            raise ValueError('not a number of requests')
    return _checked_name(team), served, delayed, refused


def _checked_rows(rows):
    if not isinstance(rows, list) or len(rows) > ROWS_PER_DATAGRAM:
        raise ValueError('not a list of bounded length')
    return rows


def _checked_name(name):
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARS:
        raise ValueError('not the name of a team or a service')
    return name


def _checked_rate(rate):
    if not 0 <= _checked(rate) <= MAX_RATE_PER_S:
        raise ValueError(f'rate {rate!r}')
    return float(rate)


def _checked(number):
    if type(number) not in (int, float) or not math.isfinite(number):
        raise ValueError('not a number')
    return number
