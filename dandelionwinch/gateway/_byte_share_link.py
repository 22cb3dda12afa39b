"""Messages by which instances divide the bound of an upstream.

    ["room?", upstream, digest, number, demand, share, share left, held, waits]
    ["room", upstream, digest, number, share, lease, next, bound, total, age]

"room?" goes to the instance that grants the shares, and reports what the
sender holds at the upstream, "room" back. The digest is that of the
upstream's incarnation; an answer has the number of its request. Demand, held,
waits (size of a body without room), bound and total (what all instances hold)
are bytes, an age and times seconds before or from the sending, as clocks
differ. Datagrams of unknown senders are dropped.
"""

import math

from dandelionwinch import errors
from dandelionwinch.gateway import _datagram_rows
from dandelionwinch import ratelimits

MAX_BYTES = 1 << 40
MAX_NUMBER = 1 << 53
MAX_TIME_S = 120.0


class ByteShareLink:
    """Encodes, checks and decodes the messages of a ByteShares.

    Args:
        link: PeerLink.
        receiver: Object with `take_request(key, number, req, addr)`,
            `take_grant(key, number, grant, bound, total)` and
            `count_invalid()`; a key is the upstream's id and the digest of
            its incarnation, a total a Total.
    """

    __slots__ = ('_link', '_receiver')

    def __init__(self, link, receiver):
        self._link = link
        self._receiver = receiver
        link.register('room?', self._take_request)
        link.register('room', self._take_grant)

    @property
    def peers(self):
        """Returns the address of each other instance, by its name."""
        return self._link.peers

    def send_request(self, key, number, req, addr):
        """Asks an instance for a share."""
        share = _floor(req.share)
        left_s = round(min(MAX_TIME_S, req.share_left_s), 3)
        message = ['room?', *key, number, req.demand, share, left_s]
        self._link.send([*message, req.held, req.waits], addr)

    def send_grant(self, key, number, grant, bound, total, addr):
        """Answers a request for a share.

        Args:
            key: Key of the upstream.
            number: Number of the request.
            grant: ratelimits.Grant.
            bound: The bound in bytes.
            total: What all instances hold, and its age in seconds.
            addr: Address of the instance that asked.
        """
        held, age_s = total
        times = [round(grant.lease_s, 3), round(grant.next_s, 3)]
        message = ['room', *key, number, _floor(grant.share), *times]
        age_s = round(min(MAX_TIME_S, age_s), 3)
        self._link.send([*message, bound, held, age_s], addr)

    def _take_request(self, items, addr):
        try:
            key, number, req = self._read_request(items, addr)
        except errors.SHAPE_ERRORS:
            self._receiver.count_invalid()
            raise
        self._receiver.take_request(key, number, req, addr)

    def _read_request(self, items, addr):
        sender = _datagram_rows.registered_sender(self._link, addr)
        upstream_id, digest, number, demand, share, left_s, held, waits = items
        req = ratelimits.BytesRequest(
            sender,
            _bytes(demand),
            _share(share),
            _time_s(left_s),
            held=_bytes(held),
            waits=_bytes(waits),
        )
        return _key(upstream_id, digest), _number(number), req

    def _take_grant(self, items, addr):
        try:
            parts = self._read_grant(items, addr)
        except errors.SHAPE_ERRORS:
            self._receiver.count_invalid()
            raise
        self._receiver.take_grant(*parts)

    def _read_grant(self, items, addr):
        _datagram_rows.registered_sender(self._link, addr)
        upstream_id, digest, number, share, *items = items
        lease_s, next_s, bound, total, age_s = items
        grant = ratelimits.Grant(
            _share(share), _time_s(lease_s), _time_s(next_s)
        )
        return (
            _key(upstream_id, digest),
            _number(number),
            grant,
            _bytes(bound),
            (_bytes(total), _time_s(age_s)),
        )


def _floor(share):
    """Returns a share with six digits, none of which exceeds it."""
    return math.floor(share * 1e6) / 1e6


def _key(upstream_id, digest):
    return (
        _datagram_rows.checked_text(upstream_id),
        _datagram_rows.checked_text(digest),
    )


def _number(number):
    return _datagram_rows.checked_count(number, MAX_NUMBER)


def _bytes(number):
    return _datagram_rows.checked_count(number, MAX_BYTES)


def _share(number):
    return float(_datagram_rows.checked_number(number, most=1.0))


def _time_s(number):
    return float(_datagram_rows.checked_number(number, most=MAX_TIME_S))
