"""Compares the sessions that instances have seen, within and between regions.

    ["sessions", [hash, ...], counts]

The counts are pairs within a region, common ones of them, pairs between two
regions, and common ones of them. Each instance tells one instance of its
region and one of another region, at random, which sessions it has seen and
what it has compared. Datagrams of unknown senders are dropped.
"""

import math

import attrs

from dandelionwinch import dispatch

TICK_S = 1.0
MAX_SESSIONS = 64
MAX_HASH = 2**32 - 1
MAX_PAIRS = 1e9


class SessionSharing:
    """Tells other instances of sessions, and compares what they tell.

    Args:
        loop: The event loop.
        regions: dispatch.SessionRegions.
        link: PeerLink.
        region: Region of the local instance, '' if it is not known.
        log: EventLog.
        rng: Source of randomness.
    """

    __slots__ = (
        '_link',
        '_log',
        '_loop',
        '_region',
        '_region_of',
        '_regions',
        '_rng',
        '_timer',
    )

    def __init__(self, loop, regions, link, region, log, rng):
        self._loop = loop
        self._regions = regions
        self._link = link
        self._region = region
        self._log = log
        self._rng = rng
        self._region_of = {}
        self._timer = None
        link.register('sessions', self._take_sessions)

    def start(self):
        """Starts the periodic exchange with other instances."""
        self._timer = self._loop.call_later(TICK_S, self._tick)

    def close(self):
        """Stops it."""
        if self._timer is not None:
            self._timer.cancel()

    def set_regions(self, region_of):
        """Sets the region of each instance, by its name."""
        self._region_of = region_of

    def _is_near(self, name):
        return self._region_of.get(name) == self._region

    def _tick(self):
        self._timer = self._loop.call_later(TICK_S, self._tick)
        sessions = self._regions.latest(self._loop.time())
        if not self._region or not sessions:
            return
        known = [n for n in self._link.peers if n in self._region_of]
        near = [name for name in known if self._is_near(name)]
        far = [name for name in known if not self._is_near(name)]
        counts = [
            round(value, 1) for value in attrs.astuple(self._regions.counts)
        ]
        for names in (near, far):
            if names:
                addr = self._link.peers[self._rng.choice(names)]
                self._link.send(['sessions', sessions, counts], addr)

    def _take_sessions(self, items, addr):
        sender = self._sender(addr)
        sessions, numbers = items
        if not isinstance(sessions, list) or len(sessions) > MAX_SESSIONS:
            raise ValueError('not a list of sessions')
        if not all(map(_is_hash, sessions)):
            raise ValueError('not hashes of sessions')
        counts = _read_counts(*numbers)
        if not self._region or sender not in self._region_of:
            return
        before = self._regions.regional
        self._regions.take_counts(sender, counts)
        self._regions.compare(
            sessions, self._is_near(sender), self._loop.time()
        )
        if self._regions.regional is not before:
            self._log.event(
                'sessions.regional', regional=self._regions.regional
            )

    def _sender(self, addr):
        """Returns the name of the instance at an address."""
        for name, known in self._link.peers.items():
            if known == tuple(addr[:2]):
                return name
        raise ValueError(f'{addr[0]} is no instance')


def _read_counts(near_pairs, near_common, far_pairs, far_common):
    for pairs, common in ((near_pairs, near_common), (far_pairs, far_common)):
        for number in (pairs, common):
            if type(number) not in (int, float) or not math.isfinite(number):
                raise ValueError(f'count {number!r}')
        if not 0 <= common <= pairs <= MAX_PAIRS:
            raise ValueError(f'{common} of {pairs} pairs')
    return dispatch.Counts(near_pairs, near_common, far_pairs, far_common)


def _is_hash(value):
    return type(value) is int and 0 <= value <= MAX_HASH
