"""Messages by which instances share the rate limits of upstreams.

    ["limit", upstream, digest, limit, age]
    ["limits?"]
    ["known", upstream, digest, limit, age]
    ["share?", upstream, digest, limit, age, demand, share, share left]
    ["share", upstream, digest, limit, age, share, lease, next]

A "limit" goes to all instances, what is "known" to one that asked. The digest
is that of the upstream's incarnation, the limit null if the upstream states
none. Times are seconds, an age that before the datagram was sent, as clocks
differ. Datagrams of unknown senders are dropped.
"""

import math

from dandelionwinch.gateway import _datagram_rows
from dandelionwinch import ratelimits

MAX_AGE_S = 3600.0
MAX_LEASE_S = 120.0


class LimitLink:
    """Encodes, checks and decodes the messages of a LimitSharing.

    Args:
        loop: The event loop.
        link: PeerLink.
        receiver: Object with `take_notice(key, statement, sender)`,
            `take_statement(key, statement, sender)`, `take_question(addr)`,
            `take_request(key, req, addr)` and
            `take_grant(key, grant, sender)`; a key is the upstream's id and
            the digest of its incarnation.
    """

    __slots__ = ('_link', '_loop', '_receiver')

    def __init__(self, loop, link, receiver):
        self._loop = loop
        self._link = link
        self._receiver = receiver
        link.register('limit', self._take_notice)
        link.register('known', self._take_known)
        link.register('limits?', self._take_question)
        link.register('share?', self._take_request)
        link.register('share', self._take_grant)

    @property
    def peers(self):
        """Returns the address of each other instance, by its name."""
        return self._link.peers

    def send_notice(self, key, statement):
        """Tells all instances what an upstream states."""
        message = ['limit', *key, *self._stated(statement)]
        self._link.send_all(message, list(self._link.peers.values()))

    def send_known(self, key, statement, addr):
        """Tells one instance what an upstream states."""
        self._link.send(['known', *key, *self._stated(statement)], addr)

    def ask_limits(self, addresses):
        """Asks instances for the limits that they know."""
        self._link.send_all(['limits?'], addresses)

    def send_request(self, key, statement, req, addr):
        """Asks an instance for a share."""
        stated = self._stated(statement)
        demand, left_s = round(req.demand, 3), round(req.share_left_s, 3)
        message = ['share?', *key, *stated, demand, req.share, left_s]
        self._link.send(message, addr)

    def send_grant(self, key, statement, grant, addr):
        """Answers a request for a share."""
        share = math.floor(grant.share * 1e6) / 1e6
        times = [round(grant.lease_s, 3), round(grant.next_s, 3)]
        message = ['share', *key, *self._stated(statement), share, *times]
        self._link.send(message, addr)

    def _stated(self, statement):
        age_s = max(0.0, self._loop.time() - statement.at)
        return [statement.rate_per_s, round(min(MAX_AGE_S, age_s), 3)]

    def _sender(self, addr):
        return _datagram_rows.registered_sender(self._link, addr)

    def _read_statement(self, limit, age_s):
        rate_per_s = None if limit is None else _number(limit)
        at = self._loop.time() - min(MAX_AGE_S, _number(age_s))
        return ratelimits.Statement(rate_per_s, at)

    def _take_notice(self, items, addr):
        sender = self._sender(addr)
        self._receiver.take_notice(*self._read_stated(*items), sender)

    def _take_known(self, items, addr):
        sender = self._sender(addr)
        self._receiver.take_statement(*self._read_stated(*items), sender)

    def _read_stated(self, upstream_id, digest, limit, age_s):
        key = (
            _datagram_rows.checked_text(upstream_id),
            _datagram_rows.checked_text(digest),
        )
        return key, self._read_statement(limit, age_s)

    def _take_question(self, items, addr):
        self._sender(addr)
        if items:
            raise ValueError('a question with more items')
        self._receiver.take_question(addr)

    def _take_request(self, items, addr):
        sender = self._sender(addr)
        *stated, demand, share, left_s = items
        key, statement = self._read_stated(*stated)
        req = ratelimits.Request(
            sender,
            _number(demand),
            _share(share),
            min(MAX_AGE_S, _number(left_s)),
        )
        self._receiver.take_statement(key, statement, sender)
        self._receiver.take_request(key, req, addr)

    def _take_grant(self, items, addr):
        sender = self._sender(addr)
        *stated, share, lease_s, next_s = items
        key, statement = self._read_stated(*stated)
        grant = ratelimits.Grant(
            _share(share),
            min(MAX_LEASE_S, _number(lease_s)),
            min(MAX_LEASE_S, _number(next_s)),
        )
        self._receiver.take_statement(key, statement, sender)
        self._receiver.take_grant(key, grant, sender)


def _number(number):
    return float(_datagram_rows.checked_number(number))


def _share(number):
    return float(_datagram_rows.checked_number(number, most=1.0))
