"""Knows the software versions at which streams began, here and elsewhere."""

from dandelionwinch.gateway import _stream_link
from dandelionwinch import streams

# Instances beside the own one that keep a record, and those that are asked
# for it, as they may know of other instances than the one that recorded it.
RECORD_HOLDERS = 2
ASKED_INSTANCES = 3
# Age up to which a view of the registered versions is recent: the interval
# of the watch and its pauses. It is added to the longest life of a stream, as
# instances learn of a new version at different times.
VIEW_AGE_S = 5.0
# Shortest life of a stream that is assumed: its route may have had a longer
# timeout before, and a caller may take it up several times.
MIN_LIFE_S = streams.RECORD_TTL_S


class StreamVersions:
    """Records at which version streams began, and asks others for it.

    Streams are recorded only beside several versions of their service, and
    for some time after, as a stream can go on only at one version otherwise.

    Args:
        loop: The event loop.
        log: EventLog.
        link: PeerLink to other instances.
    """

    __slots__ = (
        '_history',
        '_link',
        '_log',
        '_loop',
        '_observed_at',
        '_peer_link',
        '_records',
        '_refusals',
    )

    def __init__(self, loop, log, link):
        self._loop = loop
        self._log = log
        self._peer_link = link
        self._records = streams.VersionRecords()
        self._refusals = streams.Refusals()
        self._history = streams.VersionHistory()
        self._observed_at = float('-inf')
        self._link = _stream_link.StreamLink(
            loop, link, self._take_record, self._answer
        )

    def observe(self, versions):
        """Takes in the registered versions; see VersionHistory."""
        self._observed_at = self._loop.time()
        self._history.observe(versions, self._observed_at)

    def _take_record(self, request_id, version):
        now = self._loop.time()
        if version == streams.UNKNOWN:
            self._refusals.add(request_id, now)
        else:
            self._records.put(request_id, version, now)

    def _answer(self, request_id, service):
        now = self._loop.time()
        return _stream_link.Told(
            self._records.get(request_id, now),
            self._history.sole(service, now),
            self._refusals.age_s(request_id, now),
        )

    def _holders(self, request_id, count):
        peers = self._peer_link.peers
        names = streams.holders(request_id, peers, count)
        return [peers[name] for name in names]

    def record(self, request_id, service, version, life_s):
        """Records that a stream begins, before its first event is sent.

        Args:
            request_id: Id of the request.
            service: Name of its service.
            version: Software version of the engine.
            life_s: Longest life of a stream of its route.
        """
        now = self._loop.time()
        if not self._history.settled(service, _settle_s(life_s), now):
            self._keep(request_id, version)

    def refused(self, request_id):
        """Records that a stream was refused, as its version is not known.

        Args:
            request_id: Id of the request that began it.
        """
        self._keep(request_id, streams.UNKNOWN)

    def _keep(self, request_id, version):
        """Keeps a record here and at its holders, for RECORD_TTL_S anew."""
        self._take_record(request_id, version)
        holders = self._holders(request_id, RECORD_HOLDERS)
        self._link.announce(request_id, version, holders)

    async def find(self, request_id, service, life_s):
        """Returns the version at which a stream may go on, or None.

        Args:
            request_id: Id of the request that began it, '' if not known.
            service: Name of its service.
            life_s: Longest life of a stream of its route.
        """
        record = self._records.get(request_id, self._loop.time())
        told = []
        if record is None and request_id:
            holders = self._holders(request_id, ASKED_INSTANCES)
            told = await self._link.ask(request_id, service, holders)
            found = [item.version for item in told if item.version is not None]
            record = found[0] if found else None
        now = self._loop.time()
        sole = self._history.sole(service, now)
        refused = [item.refused_s for item in told]
        refused_s = max(refused, default=0.0)
        refused_s = max(refused_s, self._refusals.age_s(request_id, now))
        version = streams.version_to_resume(
            record,
            sole,
            [item.sole for item in told],
            _settle_s(life_s) + refused_s,
            now - self._observed_at <= VIEW_AGE_S,
        )
        self._log.event(
            'stream.version',
            began_as=request_id,
            recorded=record,
            sole=sole and sole.version,
            answers=len(told),
            version=version,
        )
        if request_id:
            self._keep_found(request_id, service, version, life_s)
        return version

    def _keep_found(self, request_id, service, version, life_s):
        """Keeps what a stream's next attempt is to find."""
        if version is None:
            self.refused(request_id)
        else:
            self.record(request_id, service, version, life_s)


def _settle_s(life_s):
    """Returns for how long a version must be the only one to be sure."""
    return max(MIN_LIFE_S, life_s) + VIEW_AGE_S
