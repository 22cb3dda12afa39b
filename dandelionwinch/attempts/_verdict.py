"""Which requests may be sent again, and which answer tells the truth."""

import enum

from dandelionwinch import routes


class AttemptOutcome(enum.Enum):
    """What is known of an attempt that brought no whole answer."""

    NOT_SENT = 'not sent'
    NOT_EXECUTED = 'not executed'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class FinalStatus(enum.IntEnum):
    """Status of a final answer of our own."""

    BAD_GATEWAY = 502
    NOT_RUN = 503
    TIMEOUT = 504


def may_retry(retry_policy, fate):
    """Tells whether a request may be sent once more.

    Args:
        repeat: Repeat of the route.
        fate: Fate of the last attempt.
    """
    if fate in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_EXECUTED):
        return True
    return retry_policy is not routes.RetryPolicy.ONCE


def final_status(fates, timed_out):
    """Returns the status that is true of all attempts together.

    Args:
        fates: Fate of each attempt, in any order; may be empty.
        timed_out: Whether the time for the request is over.
    """
    not_run = (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_EXECUTED)
    if all(fate in not_run for fate in fates):
        return FinalStatus.NOT_RUN
    return FinalStatus.TIMEOUT if timed_out else FinalStatus.BAD_GATEWAY
