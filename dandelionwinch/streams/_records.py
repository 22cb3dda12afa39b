"""Software versions at which streams began, and refusals."""

import collections

import attrs

# Shortest time for which a record is kept, longer than a caller may take to
# take its stream up again.
RECORD_TTL_S = 30.0
MAX_RECORDS = 20000
# Time within which all instances know of a new version: the interval of the
# watch and its pauses.
MAX_VIEW_AGE_S = 5.0
# Announced in place of a version: nobody knew it.
UNKNOWN = ''


@attrs.frozen
class Record:
    """The software version at which a stream began.

    Attributes:
        request_id: Id of the request that began it.
        version: The version.
        left_s: Seconds for which it is kept.
    """

    request_id: str
    version: str
    left_s: float


class VersionRecords:
    """The version at which each stream began, for as long as it may live.

    The oldest records go first if there are over MAX_RECORDS.
    """

    __slots__ = ('_records',)

    def __init__(self):
        # Version and end of each record, by id.
        self._records = collections.OrderedDict()

    def put(self, request_id, version, now, life_s=RECORD_TTL_S):
        """Records a stream by the id of the request that began it.

        Args:
            request_id: Id of the request.
            version: Software version.
            now: Time in seconds.
            life_s: Seconds for which the record is kept.
        """
        self._drop_old(now)
        _version, until = self._records.pop(request_id, (None, now))
        if len(self._records) >= MAX_RECORDS:
            self._records.popitem(last=False)
        self._records[request_id] = (version, max(until, now + life_s))

    def get(self, request_id, now):
        """Returns the version at which a stream began, or None."""
        version, until = self._records.get(request_id, (None, now))
        return version if until >= now else None

    def all(self, now):
        """Returns all Records."""
        return [
            Record(request_id, version, until - now)
            for request_id, (version, until) in self._records.items()
            if until >= now
        ]

    def _drop_old(self, now):
        while self._records:
            request_id, (_version, until) = next(iter(self._records.items()))
            if until >= now:
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


def sole_version(sole, told, settle_s):
    """Returns the version of a stream whose record was lost, or None.

    It is known only if there has been no other version for as long as
    streams live, and nobody who was asked knows another one.

    Args:
        sole: Sole version of the service at this instance, or None. It must
            be confirmed after the stream was to be taken up.
        told: For each other instance that answered and has a view, the Sole
            version of the service there, or None.
        settle_s: Longest life of a stream, the age of the view, and the time
            since the stream was refused first.
    """
    if sole is None:
        return None
    if any(other is None or other.version != sole.version for other in told):
        return None
    seen = [sole, *(other for other in told if other.reaches(sole))]
    longest_s = max(one.for_s for one in seen)
    return sole.version if longest_s >= settle_s else None
