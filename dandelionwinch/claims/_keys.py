"""Creation times of idempotency keys."""

import uuid

# Layout of a version 7 UUID (RFC 9562, section 5.7): 48 bits of time in
# milliseconds, then 80 bits of version, variant and random data.
_UUID_VERSION_WITH_TIME = 7
_UUID_BITS_AFTER_TIME = 80
_MS_PER_S = 1000


def key_time(key):
    """Returns the time at which an idempotency key was created.

    Keys that are UUIDs of version 7 (RFC 9562) carry it, so a key older
    than the retention of claims is recognized even after its claim was
    dropped.

    Args:
        key: Idempotency key without the service's name.

    Returns:
        Seconds since the epoch, or None for any other key.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION_WITH_TIME:
        return None
    return (parsed.int >> _UUID_BITS_AFTER_TIME) / _MS_PER_S
