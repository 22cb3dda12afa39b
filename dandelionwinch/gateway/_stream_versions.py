"""Knows the software versions at which streams began, here and elsewhere."""

import asyncio

from dandelionwinch.gateway import _record_copies
from dandelionwinch.gateway import _stream_link
from dandelionwinch import streams

# Shortest life of a stream that is assumed: its route may have had a longer
# timeout before, and a caller may take it up several times.
MIN_LIFE_S = streams.RECORD_TTL_S
# Pause after which an instance that has started asks others for what they saw
# before, and how often. Their views are up to MAX_VIEW_AGE_S old.
LEARN_PAUSE_S = 1.0
LEARN_ATTEMPTS = 8


class StreamVersions:
    """Records at which version streams began, and asks others for it.

    Each stream is recorded as it begins: whether a second version comes
    while it may be taken up, nobody knows by then. What an instance saw and
    recorded ends with its process, so one that has started asks others.

    Args:
        loop: The event loop.
        log: EventLog.
        link: PeerLink to other instances.

    Attributes:
        view_age_s: Function that returns the seconds for which another
            version may have come unseen.
        confirm_view: Coroutine function that tells whether all versions are
            known that are registered when it is called.
    """

    __slots__ = (
        '_copies',
        '_history',
        '_learning',
        '_link',
        '_log',
        '_loop',
        '_refusals',
        'confirm_view',
        'view_age_s',
    )

    def __init__(self, loop, log, link):
        self._loop = loop
        self._log = log
        self._refusals = streams.Refusals()
        self._history = streams.VersionHistory()
        self._link = _stream_link.StreamLink(
            loop, link, self._take_refusal, self._answer
        )
        self._copies = _record_copies.RecordCopies(loop, link, self._link)
        self._learning = None
        self.view_age_s = lambda: 0.0
        self.confirm_view = _never_confirmed

    def close(self):
        """Stops to ask others."""
        self._copies.close()
        if self._learning is not None:
            self._learning.cancel()

    def observe(self, versions):
        """Takes in the registered versions; see VersionHistory."""
        self._history.observe(versions, self._loop.time())
        self._copies.learn()
        if self._learning is None:
            self._learning = self._loop.create_task(self._learn())

    def interrupted(self):
        """Forgets what was seen, as versions may have come and gone unseen.

        Others may have seen more; they are asked as after a start.
        """
        self._history.interrupt(self._loop.time())
        if self._learning is not None and self._learning.done():
            self._learning = None

    def hand_over(self):
        """Sends what only this instance may know to others, as it ends."""
        self._copies.hand_over()

    async def _learn(self):
        """Takes over what others saw before this instance started."""
        for attempt in range(LEARN_ATTEMPTS):
            await asyncio.sleep(LEARN_PAUSE_S)
            for service in self._history.services:
                # The name only spreads the questions over the instances.
                asked = self._copies.asked(f'{service} {attempt}')
                await self._ask('', service, asked)

    async def _ask(self, request_id, service, addresses):
        """Asks others, and takes over what they saw; returns what they told.

        Args:
            request_id: Id of the request that began a stream, or ''.
            service: Name of its service.
            addresses: IP and port of each instance.
        """
        told = await self._link.ask(request_id, service, addresses)
        now = self._loop.time()
        for item in told:
            if item.sole is not None:
                self._history.adopt(service, item.sole, now)
        return told

    def _take_refusal(self, request_id):
        self._refusals.add(request_id, self._loop.time())

    def _answer(self, request_id, service):
        now = self._loop.time()
        return _stream_link.Told(
            self._copies.get(request_id),
            self._sole(service),
            self._refusals.age_s(request_id, now),
            bool(self._history.services),
        )

    def _sole(self, service):
        age_s = self.view_age_s()
        return self._history.sole(service, self._loop.time(), age_s)

    def record(self, request_id, version, life_s):
        """Records that a stream begins, before its first event is sent.

        Args:
            request_id: Id of the request.
            version: Software version of the engine, '' if it states none.
            life_s: Longest life of a stream of its route.
        """
        if version:
            life_s = max(streams.RECORD_TTL_S, life_s)
            self._copies.keep(streams.Record(request_id, version, life_s))

    def refused(self, request_id):
        """Records that a stream was refused, as its version is not known.

        Args:
            request_id: Id of the request that began it.
        """
        self._take_refusal(request_id)
        holders = self._copies.holders(request_id)
        self._link.announce_refusal(request_id, holders)

    async def find(self, request_id, service, life_s):
        """Returns the version at which a stream may go on, or None.

        Args:
            request_id: Id of the request that began it, '' if not known.
            service: Name of its service.
            life_s: Longest life of a stream of its route.
        """
        record = self._copies.get(request_id)
        told = []
        if record is None and request_id:
            asked = self._copies.asked(request_id)
            told = await self._ask(request_id, service, asked)
            found = [item.version for item in told if item.version is not None]
            record = found[0] if found else None
        version = record
        if record is None:
            version = await self._find_sole(request_id, service, told, life_s)
        self._log.event(
            'stream.version',
            began_as=request_id,
            recorded=record,
            sole=self._sole_version(service),
            answers=len(told),
            version=version,
        )
        if request_id:
            self._keep_found(request_id, version, life_s)
        return version

    async def _find_sole(self, request_id, service, told, life_s):
        """Returns the version of a stream without a record, or None.

        What this instance saw counts only if it is confirmed now: another
        version may have come that others know, and at which the stream may
        have begun.
        """
        now = self._loop.time()
        refused = [item.refused_s for item in told]
        refused.append(self._refusals.age_s(request_id, now))
        settle_s = _settle_s(life_s) + max(refused)
        others = [item.sole for item in told if item.sees]
        sole = self._history.sole(service, now)
        if streams.sole_version(sole, others, settle_s) is None:
            return None
        if not await self.confirm_view():
            return None
        sole = self._history.sole(service, self._loop.time())
        return streams.sole_version(sole, others, settle_s)

    def _sole_version(self, service):
        sole = self._history.sole(service, self._loop.time())
        return sole and sole.version

    def _keep_found(self, request_id, version, life_s):
        """Keeps what a stream's next attempt is to find."""
        if version is None:
            self.refused(request_id)
        else:
            self.record(request_id, version, life_s)


async def _never_confirmed():
    return False


def _settle_s(life_s):
    """Returns for how long a version must be the only one to be sure.

    Instances learn of a new version at different times.
    """
    return max(MIN_LIFE_S, life_s) + streams.MAX_VIEW_AGE_S
