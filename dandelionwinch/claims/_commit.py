"""Group commit of claims: many changes in one write of a bucket."""

import attrs

from dandelionwinch.claims import _bucket
from dandelionwinch import effects
from dandelionwinch import utils

MAX_ATTEMPTS = 8


@attrs.frozen
class Unreached:
    """Result: the store was not reached and nothing was written."""


@attrs.frozen
class Unsettled:
    """Result: the change may have been written, now or later."""


def bucket_of(key, buckets):
    """Returns the number of the bucket that a key belongs to."""
    return utils.stable_hash('claim', key) % buckets


def bucket_key(number):
    """Returns the store key of a bucket."""
    return f'claims/{number:04d}'


def commit_batch(store_key, mutations, cfg):
    """Writes a batch of changes to one bucket.

    Compare-and-swap alone carries safety: a lost race or a lost answer
    leads to reading again, and changes are idempotent by token, so
    applying them again is harmless.

    Args:
        store_key: Store key of the bucket.
        mutations: Changes in order.
        cfg: The claims' settings.

    Returns:
        One result for each change.
    """
    uncertain = False
    for _attempt in range(MAX_ATTEMPTS):
        reply = yield effects.Read(store_key)
        if not isinstance(reply, effects.Found):
            break
        clock = yield effects.Clock()
        bucket = _bucket.Bucket.load(cfg, reply.record.value)
        before = bucket.claims()
        results = [bucket.apply(item, clock.wall) for item in mutations]
        if bucket.claims() == before:
            return results
        written = yield effects.Commit(
            (effects.Guard(store_key, reply.record.revision),),
            (effects.Put(store_key, bucket.dump()),),
        )
        match written:
            case effects.Committed():
                return results
            case effects.Uncertain():
                uncertain = True
            case effects.Unavailable():
                break
    failed = Unsettled() if uncertain else Unreached()
    return [failed for _item in mutations]
