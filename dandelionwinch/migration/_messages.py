"""What a Migration is told, and what it asks for."""

import enum

import attrs


class Result(enum.Enum):
    """How a migration ended.

    Attributes:
        MOVED: The stream goes on at the target.
        RETURNED: It goes on at the source, which had stopped it.
        ENDED: It ended before it was stopped.
        LEFT: Its caller left, or its source failed, before it was stopped.
        NO_TARGET: No engine took the copy.
        NO_BUDGET: The retry budget is spent.
        NO_TIME: The source leaves before.
        FAILED: The source did not make the copy.
        LOST: The source may have stopped it, and no copy is known.
        BROKEN: The source stopped it, and no engine went on with it.
    """

    MOVED = 'moved'
    RETURNED = 'returned'
    ENDED = 'ended'
    LEFT = 'left'
    NO_TARGET = 'no_target'
    NO_BUDGET = 'no_budget'
    NO_TIME = 'no_time'
    FAILED = 'failed'
    LOST = 'lost'
    BROKEN = 'broken'


@attrs.frozen
class Begin:
    """The stream is to be moved."""


@attrs.frozen
class Chosen:
    """The target for the next copy.

    Attributes:
        target: Id of the engine, None if there is none.
    """

    target: str | None


@attrs.frozen
class Ready:
    """The last copy may be asked for; the retry is spent."""


@attrs.frozen
class TargetGone:
    """The target accepts no requests any more."""


@attrs.frozen
class NoBudget:
    """There is no retry for the continuation."""


@attrs.frozen
class Copied:
    """The source has copied the run.

    Attributes:
        handle: Handle of the copy.
        created: Events that the run has made so far.
    """

    handle: str
    created: int


@attrs.frozen
class NoSuchRun:
    """The source does not run the request, or not any more."""


@attrs.frozen
class InProgress:
    """Another call for the same run is in progress at the source."""


@attrs.frozen
class Refused:
    """The target has no room, or the source does not reach it.

    Attributes:
        handle: Handle of the run that the source has stopped and keeps, ''
            if it runs on.
    """

    handle: str = ''


@attrs.frozen
class NotSent:
    """The call was not sent."""


@attrs.frozen
class Unanswered:
    """The call was sent and has no answer that can be read."""


@attrs.frozen
class Waited:
    """The pause of a Wait has passed."""


@attrs.frozen
class StreamEnded:
    """Nothing of the stream is relayed any more.

    Attributes:
        result: Result if the migration is not decided yet.
    """

    result: Result


@attrs.frozen
class Choose:
    """Asks for a target.

    Attributes:
        exclude: Ids of the engines that were asked already.
    """

    exclude: frozenset


@attrs.frozen
class Confirm:
    """Asks whether the run may be stopped now.

    Attributes:
        target: Id of the engine that has the first copy.
    """

    target: str


@attrs.frozen
class Copy:
    """Asks the source to copy the run.

    Attributes:
        target: Id of the engine that gets the copy.
        last: Whether the run is to be stopped first.
        timeout_s: How long its answer is of use.
    """

    target: str
    last: bool
    timeout_s: float


@attrs.frozen
class Wait:
    """Asks for a pause."""

    pause_s: float


@attrs.frozen
class Free:
    """Asks to free a copy.

    Attributes:
        handle: Its handle.
        at_target: Whether only what the target has is to be freed.
    """

    handle: str
    at_target: bool = False


@attrs.frozen
class GoOn:
    """The source has stopped the run; it goes on elsewhere.

    Attributes:
        target: Id of the engine that has the copy, None if only the source
            has it.
        handle: Handle of the copy, which works once.
    """

    target: str | None
    handle: str


@attrs.frozen
class Stay:
    """The migration is over; what the source sends is relayed as before."""

    result: Result
