"""Group commit of claims: one store write for many mutations."""

import attrs
import loguru

from dandelionwinch.claims import _bucket
from dandelionwinch import effects
from dandelionwinch import errors
from dandelionwinch import utils

MAX_WRITE_ATTEMPTS = 8

logger = loguru.logger


@attrs.frozen
class Unreached:
    """Result: nothing was written, as no write reached the store or held.

    Nothing is written to a malformed bucket, either.

    Nothing is written later either.
    """


@attrs.frozen
class Unsettled:
    """Result: the mutation may have been written or may still be.

    The reply to a write was lost (effects.Uncertain).
    """


def bucket_of(key, buckets):
    """Returns the number of the bucket that holds a claim.

    Args:
        key: Key of the claim: service name, slash, idempotency key.
        buckets: Number of buckets.
    """
    return utils.stable_hash('claim', key) % buckets


def bucket_key(number):
    """Returns the store key of a bucket by its number."""
    return f'claims/{number:04d}'


def commit_batch(store_key, mutations, cfg):
    """Applies a batch of mutations to one bucket (sans-I/O program).

    Safety rests on compare-and-swap alone. After a conflict or a lost
    reply the bucket is read again and the mutations are applied again,
    which is harmless because they are idempotent by claim id.

    Args:
        store_key: Store key of the bucket.
        mutations: Opens and Closes in order.
        cfg: The ClaimSettings.

    Returns:
        One result for each mutation: a result of Bucket.apply, Unreached
        or Unsettled.
    """
    uncertain = False
    for _attempt in range(MAX_WRITE_ATTEMPTS):
        reply = yield effects.Read(store_key)
        if not isinstance(reply, effects.Found):
            break
        clock = yield effects.Clock()
        try:
            bucket = _bucket.Bucket.load(cfg, reply.record.value)
        except errors.MalformedValue as exc:
            logger.error('claims are not written to {}: {}', store_key, exc)
            break
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
                # The write may still take effect. A later attempt settles
                # it: its read shows the write, or its own write changes
                # the store revision, so that the guard of this one fails.
                uncertain = True
            case effects.Unavailable():
                break
    failed = Unsettled() if uncertain else Unreached()
    return [failed for _item in mutations]
