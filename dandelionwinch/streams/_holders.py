"""Which instances keep the record of a stream."""

import heapq

from dandelionwinch import utils

# Streams of a bucket have the same holders, which are computed once.
BUCKETS = 256
# Instances beside the own one that keep a record, and those that are asked
# for it, as they may know of other instances than the one that recorded it.
RECORD_HOLDERS = 2
ASKED_INSTANCES = 3


def bucket_of(request_id):
    """Returns the bucket of a stream.

    Args:
        request_id: Id of the request that began it.
    """
    return utils.stable_hash(request_id) % BUCKETS


def _best(bucket, names):
    """Returns the names of those that are asked for a bucket, best first.

    It is rendezvous hashing, so that instances that know of slightly
    different sets of instances agree on most of them.
    """

    def score(name):
        return utils.rendezvous_score(1.0, f'{bucket}', name)

    return heapq.nlargest(ASKED_INSTANCES, sorted(names), key=score)


class Holders:
    """The holders of all buckets among some instances."""

    __slots__ = ('_best', '_names')

    def __init__(self, names=()):
        self._names = frozenset(names)
        # Names of those that are asked, by bucket, as far as needed.
        self._best = {}

    def update(self, names):
        """Sets the names of the instances."""
        names = frozenset(names)
        added, gone = names - self._names, self._names - names
        self._names = names
        if not (added or gone):
            return
        self._best = {
            bucket: _best(bucket, added.union(best))
            for bucket, best in self._best.items()
            if gone.isdisjoint(best)
        }

    def asked(self, request_id):
        """Returns the names of those that are asked for a record."""
        bucket = bucket_of(request_id)
        best = self._best.get(bucket)
        if best is None:
            best = self._best[bucket] = _best(bucket, self._names)
        return best

    def keepers(self, request_id):
        """Returns the names of those that keep a record."""
        return self.asked(request_id)[:RECORD_HOLDERS]

    def select(self, records, name):
        """Returns the Records for which an instance is asked.

        Args:
            records: Records.
            name: Name of the instance, which may not be known yet.
        """
        selected = []
        asked = {}
        for record in records:
            bucket = bucket_of(record.request_id)
            if bucket not in asked:
                best = self.asked(record.request_id)
                asked[bucket] = name in _best(bucket, {*best, name})
            if asked[bucket]:
                selected.append(record)
        return selected
