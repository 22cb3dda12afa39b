"""One call that may run at most once, as a decision program."""

import attrs

from dandelionwinch.claims import _bucket
from dandelionwinch.claims import _resolve
from dandelionwinch import effects


@attrs.frozen
class OpenClaim:
    """Asks for the claim; the reply is a result of the bucket."""

    mutation: _bucket.Open


@attrs.frozen
class SendCall:
    """Sends the call to the next back end; the reply is a Sent."""


@attrs.frozen
class QueryOutcome:
    """Asks the back end by key; the reply is an Outcome."""


@attrs.frozen
class CloseClaim:
    """Records the outcome; there is no reply."""

    mutation: _bucket.Close


@attrs.frozen
class SendResult:
    """What became of a send.

    Attributes:
        reached: Whether anything may have reached the back end.
        answer: The back end's good answer, or None.
        more: Whether another back end could be tried.
    """

    reached: bool
    answer: object = None
    more: bool = False


@attrs.frozen
class Outcome:
    """What the back end says of a key, with its answer if it ran."""

    status: _resolve.OutcomeStatus
    answer: object = None


@attrs.frozen
class Done:
    """Result: the call ran once and this is its answer."""

    answer: object


@attrs.frozen
class NotRun:
    """Result: the call did not run."""

    reason: str


@attrs.frozen
class Unknown:
    """Result: the call was sent and its outcome is not known."""


@attrs.frozen
class NotGranted:
    """Result: the key was refused or claimed before."""

    result: object


def run_at_most_once(opening, dedupes_by_key, window_s, record):
    """Claims a key, sends the call and records the outcome.

    The claim is in the store before the first byte is sent, and it is
    good for sending for a limited time after it was asked for.

    Args:
        opening: The Open of the claim.
        dedupes_by_key: Whether the back end runs a key once by itself.
        window_s: How long the claim may be used to send.
        record: Function from a good answer to its Close.

    Returns:
        Done, NotRun, Unknown or Known.
    """
    started = yield effects.Clock()
    result = yield OpenClaim(opening)
    claimed = isinstance(result, _bucket.Granted)
    if not claimed:
        unreached = not isinstance(
            result, _bucket.Held | _bucket.Expired | _bucket.Full
        )
        if not (unreached and dedupes_by_key):
            return NotGranted(result)
    more = True
    while more:
        clock = yield effects.Clock()
        if clock.now - started.now > window_s:
            break
        sent = yield SendCall()
        if sent.reached:
            return (yield from _conclude(opening, claimed, sent, record))
        more = sent.more
    if claimed:
        yield CloseClaim(_closing(opening, _bucket.State.NOT_RUN))
    return NotRun('no back end was reached in time')


def _conclude(opening, claimed, sent, record):
    answer = sent.answer
    if answer is None:
        outcome = yield QueryOutcome()
        answer = outcome.answer
    if answer is not None:
        if claimed:
            yield CloseClaim(record(answer))
        return Done(answer)
    if claimed:
        yield CloseClaim(_closing(opening, _bucket.State.UNKNOWN))
    return Unknown()


def _closing(opening, state):
    return _bucket.Close(opening.key, opening.token, state)
