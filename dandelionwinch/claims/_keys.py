"""Idempotency keys that carry their date."""

import uuid

_VERSION_WITH_TIME = 7
_RANDOM_BITS = 80
_MILLISECONDS = 1000


def key_time(key):
    """Returns the wall time inside a key.

    Keys that are UUIDs of version 7 (RFC 9562) carry the time at which
    they were made, so that a key older than the retention of claims is
    recognized even after its claim was dropped.

    Returns:
        Seconds since the epoch, or None if the key has no date.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _VERSION_WITH_TIME:
        return None
    return (parsed.int >> _RANDOM_BITS) / _MILLISECONDS
