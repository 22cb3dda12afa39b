"""Software versions at which streams began, and who keeps them."""

import collections
import heapq

from dandelionwinch import utils

# Longer than a caller may take to take its stream up again.
RECORD_TTL_S = 30.0
MAX_RECORDS = 20000
# Announced in place of a version: nobody knew it.
UNKNOWN = ''


class VersionRecords:
    """The version at which each stream began, for RECORD_TTL_S.

    The oldest records go first if there are over MAX_RECORDS.
    """

    __slots__ = ('_records',)

    def __init__(self):
        self._records = collections.OrderedDict()

    def put(self, request_id, version, now):
        """Records a stream by the id of the request that began it."""
        self._drop_old(now)
        self._records.pop(request_id, None)
        if len(self._records) >= MAX_RECORDS:
            self._records.popitem(last=False)
        self._records[request_id] = (version, now)

    def get(self, request_id, now):
        """Returns the version at which a stream began, or None."""
        self._drop_old(now)
        version, _at = self._records.get(request_id, (None, now))
        return version

    def _drop_old(self, now):
        while self._records:
            request_id, (_version, at) = next(iter(self._records.items()))
            if now - at <= RECORD_TTL_S:
                return
            del self._records[request_id]


class Refusals:
    """When streams were refused first, as nobody knew their version.

    A stream is older than its refusal, so that one version must have been
    the only one for so much longer. Each is kept for RECORD_TTL_S after its
    last refusal.
    """

    __slots__ = ('_refused',)

    def __init__(self):
        # Times of the first and the last refusal, by id.
        self._refused = collections.OrderedDict()

    def add(self, request_id, now):
        """Records a refusal of the stream that a request began."""
        self._drop_old(now)
        first_at, _last_at = self._refused.pop(request_id, (now, now))
        if len(self._refused) >= MAX_RECORDS:
            self._refused.popitem(last=False)
        self._refused[request_id] = (first_at, now)

    def age_s(self, request_id, now):
        """Returns the seconds since the first refusal, 0 without one."""
        self._drop_old(now)
        first_at, _last_at = self._refused.get(request_id, (now, now))
        return now - first_at

    def _drop_old(self, now):
        while self._refused:
            request_id, (_first_at, last_at) = next(
                iter(self._refused.items())
            )
            if now - last_at <= RECORD_TTL_S:
                return
            del self._refused[request_id]


def holders(request_id, names, count):
    """Returns the instances that keep the record of a stream, best first.

    It is rendezvous hashing, so that instances that know of slightly
    different sets of instances agree on most of them.

    Args:
        request_id: Id of the request that began the stream.
        names: Names of the instances.
        count: Maximum number of instances.
    """

    def score(name):
        return utils.rendezvous_score(1.0, request_id, name)

    return heapq.nlargest(count, sorted(names), key=score)


def version_to_resume(record, sole, told, settle_s, fresh):
    """Returns the software version at which a stream may go on.

    A record is sure. Without one a stream began while its instance knew a
    single version, as streams beside several versions are recorded. Which
    one it was is known only if there has been no other for as long as
    streams live, and nobody who was asked knows another one.

    Args:
        record: Version that was recorded for the stream, or None.
        sole: Sole version of the service at this instance, or None.
        told: For each other instance that answered, the Sole version of the
            service there, or None.
        settle_s: Longest life of a stream, the age of the view, and the time
            since the stream was refused first.
        fresh: Whether this instance's view of the versions is recent. An
            older one counts only if others confirm it.

    Returns:
        The version, or None if it is not known: the stream must not go on.
    """
    if record is not None:
        return record
    if sole is None or not (fresh or told):
        return None
    if any(other is None or other.version != sole.version for other in told):
        return None
    longest_s = max(seen.for_s for seen in (sole, *told))
    return sole.version if longest_s >= settle_s else None
