"""At-most-once execution of one call, as a sans-I/O program."""

import attrs

from dandelionwinch.claims import _bucket
from dandelionwinch.claims import _resolution
from dandelionwinch import effects


@attrs.frozen
class WriteOpen:
    """Request: writes the Open; the reply is its result."""

    mutation: _bucket.Open


@attrs.frozen
class SendCall:
    """Request: sends the call to the next upstream of the service.

    The reply is a SendResult.
    """


@attrs.frozen
class QueryOutcome:
    """Request: queries the last upstream called for the key's outcome.

    The reply is an Outcome.
    """


@attrs.frozen
class WriteClose:
    """Request: writes the Close; the reply is not used."""

    mutation: _bucket.Close


@attrs.frozen
class SendResult:
    """Reply: the result of one attempt to send the call.

    Attributes:
        may_have_arrived: Whether any of it may have reached the upstream.
        answer: The upstream's answer, or None if it failed.
        has_alternatives: Whether another upstream can be tried.
    """

    may_have_arrived: bool
    answer: object = None
    has_alternatives: bool = False


@attrs.frozen
class Outcome:
    """Reply: the outcome of the key as the upstream reports it.

    Attributes:
        status: The OutcomeStatus.
        answer: The answer of the call if it ran, or None.
    """

    status: _resolution.OutcomeStatus
    answer: object = None


@attrs.frozen
class Done:
    """Result of run_at_most_once: the call ran, with this answer."""

    answer: object


@attrs.frozen
class NotRun:
    """Result of run_at_most_once: the call certainly did not run."""

    reason: str


@attrs.frozen
class Unknown:
    """Result of run_at_most_once: the call was sent and may have run."""


@attrs.frozen
class NotGranted:
    """Result of run_at_most_once: no claim, so the call was not sent.

    Attributes:
        result: The result of the Open: Held, Expired, Full, Unreached
            or Unsettled.
    """

    result: object


def run_at_most_once(open_mutation, dedupes_by_key, window_s, close_for):
    """Claims a key, sends the call and records the outcome.

    The claim is in the store before the first byte is sent, and sending
    is allowed only for a limited time after the claim was requested.

    Args:
        open_mutation: The Open of the claim.
        dedupes_by_key: Whether the upstream deduplicates calls by key;
            such a call is sent even if the store is unavailable.
        window_s: Seconds after the request for the claim in which the
            call may be sent.
        close_for: Function from an answer to the Close that records it.

    Returns:
        Done, NotRun, Unknown or NotGranted.
    """
    started = yield effects.Clock()
    result = yield WriteOpen(open_mutation)
    claimed = isinstance(result, _bucket.Granted)
    if not claimed:
        # The other results are Unreached and Unsettled.
        store_failed = not isinstance(
            result, _bucket.Held | _bucket.Expired | _bucket.Full
        )
        if not (store_failed and dedupes_by_key):
            return NotGranted(result)
    has_alternatives = True
    while has_alternatives:
        clock = yield effects.Clock()
        if clock.now - started.now > window_s:
            break
        sent = yield SendCall()
        if sent.may_have_arrived:
            return (
                yield from _conclude(open_mutation, claimed, sent, close_for)
            )
        has_alternatives = sent.has_alternatives
    if claimed:
        yield WriteClose(_close_as(open_mutation, _bucket.State.NOT_RUN))
    return NotRun('no back end was reached in time')


def _conclude(open_mutation, claimed, sent, close_for):
    answer = sent.answer
    if answer is None:
        outcome = yield QueryOutcome()
        answer = outcome.answer
    if answer is not None:
        if claimed:
            yield WriteClose(close_for(answer))
        return Done(answer)
    if claimed:
        yield WriteClose(_close_as(open_mutation, _bucket.State.UNKNOWN))
    return Unknown()


def _close_as(open_mutation, state):
    return _bucket.Close(open_mutation.key, open_mutation.token, state)
