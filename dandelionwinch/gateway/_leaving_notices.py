"""Tells other instances that an upstream shuts down, and hears them.

A notice is the datagram ["leaving", upstream id, digest of its incarnation].
It may be forged or wrong, so what others say excludes an upstream only for
some time, only once for each incarnation, and never more than half of a
service; see `upstreams.available`. What it said itself counts for good.
"""

import functools

from dandelionwinch import upstreams

KIND = 'leaving'
# Incarnations of which an instance remembers that it told or heard.
MAX_REMEMBERED = 4096


class LeavingNotices:
    """The notices of one instance.

    Args:
        loop: Event loop.
        link: PeerLink to other instances.
        fleet: Fleet with the upstreams.
        rng: Source of randomness.
        log: Event log.
        on_leaving: Called with the Upstream of which others have told.
    """

    __slots__ = (
        '_fleet',
        '_link',
        '_log',
        '_loop',
        '_on_leaving',
        '_rng',
        '_told',
        '_unknown_logged',
    )

    def __init__(self, loop, link, fleet, rng, log, on_leaving):
        self._on_leaving = on_leaving
        self._loop = loop
        self._link = link
        self._fleet = fleet
        self._rng = rng
        self._log = log
        # Upstream id and digest of each incarnation that was told of, by
        # whichever instance, the oldest first.
        self._told = {}
        self._unknown_logged = False
        link.register(KIND, self._hear)

    def announce(self, incarnation):
        """Tells the others after a random time, unless another does.

        Args:
            incarnation: Incarnation of an upstream that said so itself.
        """
        notice = (incarnation[0], upstreams.digest(incarnation))
        if notice in self._told:
            return
        instances = 1 + len(self._link.peers)
        delay_s = upstreams.tell_delay_s(self._rng.random(), instances)
        self._loop.call_later(delay_s, functools.partial(self._tell, *notice))

    def _tell(self, upstream_id, digest):
        if (upstream_id, digest) in self._told:
            return
        self._remember(upstream_id, digest)
        message = [KIND, upstream_id, digest]
        self._link.send_all(message, list(self._link.peers.values()))

    def _remember(self, upstream_id, digest):
        self._told[upstream_id, digest] = None
        if len(self._told) > MAX_REMEMBERED:
            del self._told[next(iter(self._told))]

    def _hear(self, items, addr):
        match items:
            case [str(upstream_id), str(digest)]:
                pass
            case _:
                raise ValueError('not a notice of an upstream that leaves')
        if tuple(addr[:2]) not in self._link.peers.values():
            raise ValueError('a notice of no known instance')
        upstream = self._fleet.registry.get(upstream_id)
        known = upstream and upstreams.digest(upstream.entry.incarnation)
        if known != digest:
            self._log_unknown(upstream_id, addr)
            return
        if (upstream_id, digest) in self._told:
            return
        self._remember(upstream_id, digest)
        self._exclude(upstream, addr)

    def _exclude(self, upstream, addr):
        """Avoids an upstream for some time; its own word needs no other."""
        if upstream.leaving:
            return
        upstream.told_leaving_until = self._loop.time() + upstreams.BELIEVED_S
        self._fleet.turn_away(upstream.entry.incarnation)
        self._log.event(
            'upstream.told_leaving',
            upstream=upstream.entry.id,
            born=upstream.entry.started_at_ms,
            peer=addr[0],
        )
        self._on_leaving(upstream)

    def _log_unknown(self, upstream_id, addr):
        if self._unknown_logged:
            return
        self._unknown_logged = True
        self._log.event(
            'upstream.notice_unknown', upstream=upstream_id, peer=addr[0]
        )
