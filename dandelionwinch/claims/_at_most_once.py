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
    """Request: sends the call to the next upstream.

    The reply is a SendResult.
    """


@attrs.frozen
class QueryOutcome:
    """Request: queries the upstream for the outcome of the key.

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
    """Reply: the outcome of a key as the upstream reports it.

    Attributes:
        status: The OutcomeStatus.
        answer: The answer of the call if it ran, or None.
    """

    status: _resolution.OutcomeStatus
    answer: object = None


@attrs.frozen
class Done:
    """Result: the call ran, with this answer."""

    answer: object


@attrs.frozen
class NotRun:
    """Result: the call did not run."""

    reason: str


@attrs.frozen
class Unknown:
    """Result: the call was sent and may have run."""


@attrs.frozen
class NotGranted:
    """Result: the claim was not granted, so the call was not sent.

    Attributes:
        result: The result of the Open: Held, Expired, Full, Unreached
            or Unsettled.
    """

    result: object


def run_at_most_once(opening, dedupes_by_key, window_s, record):
    """Claims a key, sends the call and records the outcome.

    The claim is in the store before the first byte is sent, and sending
    is allowed only for a limited time after the claim was requested.

    Args:
        opening: The Open of the claim.
        dedupes_by_key: Whether the upstream deduplicates calls by key;
            such a call is sent even if the store is unavailable.
        window_s: Seconds after the request for the claim in which the
            call may be sent.
        record: Function from an answer to the Close that records it.

    Returns:
        Done, NotRun, Unknown or NotGranted.
    """
    started = yield effects.Clock()
    result = yield WriteOpen(opening)
    claimed = isinstance(result, _bucket.Granted)
    if not claimed:
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
            return (yield from _conclude(opening, claimed, sent, record))
        has_alternatives = sent.has_alternatives
    if claimed:
        yield WriteClose(_close_of(opening, _bucket.State.NOT_RUN))
    return NotRun('no back end was reached in time')


def _conclude(opening, claimed, sent, record):
    answer = sent.answer
    if answer is None:
        outcome = yield QueryOutcome()
        answer = outcome.answer
    if answer is not None:
        if claimed:
            yield WriteClose(record(answer))
        return Done(answer)
    if claimed:
        yield WriteClose(_close_of(opening, _bucket.State.UNKNOWN))
    return Unknown()


def _close_of(opening, state):
    return _bucket.Close(opening.key, opening.token, state)
