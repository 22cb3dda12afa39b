"""Retry decisions and final statuses, from the outcomes of attempts."""

import enum

from dandelionwinch import routes


class AttemptOutcome(enum.Enum):
    """How a failed attempt ended.

    Attributes:
        NOT_SENT: The request was not sent.
        NOT_EXECUTED: The upstream stated that it did not execute it.
        SERVER_ERROR: The upstream returned a complete server error.
        UNKNOWN: No complete response; the upstream may have executed it.
    """

    NOT_SENT = 'not sent'
    NOT_EXECUTED = 'not executed'
    SERVER_ERROR = 'failed'
    UNKNOWN = 'unknown'


class FinalStatus(enum.IntEnum):
    """HTTP status of a final response that the gateway generates.

    Attributes:
        BAD_GATEWAY: An upstream may have executed the request.
        NOT_RUN: No upstream executed the request.
        TIMEOUT: As BAD_GATEWAY, and the deadline of the request has passed.
    """

    BAD_GATEWAY = 502
    NOT_RUN = 503
    TIMEOUT = 504


def may_retry(retry_policy, outcome):
    """Returns whether a request may be sent once more.

    Args:
        retry_policy: RetryPolicy of the route.
        outcome: AttemptOutcome of the last attempt.
    """
    if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_EXECUTED):
        return True
    return retry_policy is not routes.RetryPolicy.ONCE


def final_status(outcomes, timed_out):
    """Returns the final status after the last attempt.

    NOT_RUN is returned only if no attempt may have been executed, so
    that the caller can safely send the request again.

    Args:
        outcomes: AttemptOutcome of each attempt, in any order; may be
            empty.
        timed_out: Whether the deadline of the request has passed.
    """
    not_run = (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_EXECUTED)
    if all(outcome in not_run for outcome in outcomes):
        return FinalStatus.NOT_RUN
    return FinalStatus.TIMEOUT if timed_out else FinalStatus.BAD_GATEWAY
