"""Messages between decision programs and the platform's store.

A decision program is a generator. It yields one of the requests below,
gets back one of the replies and finally returns its result, so that it
needs no socket, clock or thread of its own.
"""

import attrs


@attrs.frozen
class Read:
    """Asks for the record of one key."""

    key: str


@attrs.frozen
class Scan:
    """Asks for all records whose key starts with a prefix.

    Attributes:
        after: Only records changed after this store revision.
    """

    prefix: str
    after: int = 0


@attrs.frozen
class Guard:
    """A condition: the key's record still has this store revision.

    Revision 0 means that the key does not exist.
    """

    key: str
    revision: int


@attrs.frozen
class Put:
    """A new value of a key, or its removal where the value is None."""

    key: str
    value: bytes | None


@attrs.frozen
class Commit:
    """Asks to apply all writes at once if every guard holds."""

    guards: tuple[Guard, ...]
    puts: tuple[Put, ...]


@attrs.frozen
class Clock:
    """Asks for the time."""


@attrs.frozen
class Time:
    """Reply: seconds of the monotonic and of the wall clock."""

    now: float
    wall: float


@attrs.frozen
class Record:
    """One key's value; an absent key has value None and revision 0."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Found:
    """Reply: the record that was read."""

    record: Record


@attrs.frozen
class Scanned:
    """Reply: records of one consistent snapshot.

    Attributes:
        records: Live records in order of their keys.
        revision: Store revision of the snapshot.
    """

    records: tuple[Record, ...]
    revision: int


@attrs.frozen
class Committed:
    """Reply: the writes took effect at this store revision."""

    revision: int


@attrs.frozen
class GuardFailed:
    """Reply: a guard did not hold, so nothing was written."""


@attrs.frozen
class Unavailable:
    """Reply: the store was not reached, so nothing was written."""


@attrs.frozen
class Uncertain:
    """Reply: no answer came; the writes may or may not take effect."""


def drive(program, execute, clock):
    """Runs a decision program to its end in the calling thread.

    Args:
        program: A generator of the requests above.
        execute: Function from a store request to its reply.
        clock: Function that returns a Time.

    Returns:
        What the program returned.
    """
    reply = None
    while True:
        try:
            request = program.send(reply)
        except StopIteration as stop:
            return stop.value
        match request:
            case Clock():
                reply = clock()
            case _:
                reply = execute(request)
