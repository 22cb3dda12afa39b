"""Parses the Retry-After header of an upstream's response."""

import datetime
import email.utils
import re

import attrs

# Pause after a value that cannot be read: the upstream did ask for one.
UNREADABLE_WAIT_S = 1.0
_SECONDS = re.compile(r'-?([0-9]+(\.[0-9]*)?|\.[0-9]+)')


@attrs.frozen
class RetryAfter:
    """What a Retry-After header asks for.

    Attributes:
        wait_s: The pause in seconds, not negative.
        malformed: Whether the value has no meaning of its own.
    """

    wait_s: float
    malformed: bool = False


def parse(value, date):
    """Parses the header.

    The value is a number of seconds, which may have a fraction. A negative
    one asks for no pause. An HTTP date counts from the date of the
    response, as the clocks of the two machines may differ. Any other value
    asks for UNREADABLE_WAIT_S.

    Args:
        value: Value of the header.
        date: Value of the Date header of the same response, or ''.

    Returns:
        RetryAfter.
    """
    value = value.strip()
    if _SECONDS.fullmatch(value):
        seconds = float(value)
        return RetryAfter(max(0.0, seconds), malformed=seconds < 0.0)
    until, since = _parse_date(value), _parse_date(date)
    if until is None or since is None:
        return RetryAfter(UNREADABLE_WAIT_S, malformed=True)
    return RetryAfter(max(0.0, (until - since).total_seconds()))


def _parse_date(text):
    """Returns an HTTP date as a datetime, or None."""
    try:
        date = email.utils.parsedate_to_datetime(text)
    except (ValueError, OverflowError, TypeError, IndexError):
        return None
    return date.replace(tzinfo=date.tzinfo or datetime.UTC)
