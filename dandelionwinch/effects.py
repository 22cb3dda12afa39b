"""The effects of sans-I/O programs: requests and replies of the store.

A program is a generator. An effect is something that it needs done
outside: it yields one of the requests below, receives the reply and
finally returns its result. It needs no socket, clock or thread of its
own, so the same program runs in the daemon, in tests and in simulations.
"""

import attrs


@attrs.frozen
class Read:
    """Request: reads the record of one key.

    The reply is Found or Unavailable.
    """

    key: str


@attrs.frozen
class Scan:
    """Request: reads all records whose key starts with a prefix.

    The reply is Scanned or Unavailable.

    Attributes:
        prefix: Start of the keys.
        after: Only records changed after this store revision are read;
            0 reads all.
    """

    prefix: str
    after: int = 0


@attrs.frozen
class Guard:
    """A precondition of a Commit: the key's record has this revision.

    It is a compare of etcd's transactions on the store revision that last
    wrote the key. Revision 0 means that the key does not exist.
    """

    key: str
    revision: int


@attrs.frozen
class Put:
    """A write of a key's value; a value of None removes the key."""

    key: str
    value: bytes | None


@attrs.frozen
class Commit:
    """Request: applies all writes in one transaction if all guards hold.

    The reply is Committed, GuardFailed, Unavailable or Uncertain.
    """

    guards: tuple[Guard, ...]
    puts: tuple[Put, ...]


@attrs.frozen
class Clock:
    """Request: reads the clocks; the reply is a Time."""


@attrs.frozen
class Time:
    """Reply: the time in seconds.

    Attributes:
        now: Monotonic clock, for durations.
        wall: Wall clock, for times that are stored.
    """

    now: float
    wall: float


@attrs.frozen
class Record:
    """The value of one key and the store revision that last wrote it.

    An absent key has the value None and revision 0.
    """

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
        records: Records of existing keys, in order of the keys.
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
    """Reply: a guard did not hold and nothing was written."""


@attrs.frozen
class Unavailable:
    """Reply: the store was not reached and nothing was written."""


@attrs.frozen
class Uncertain:
    """Reply: no answer arrived; the writes may or may not take effect.

    Programs report it as claims.Unsettled and as
    revisions.StoreFailure(uncertain=True).
    """


def drive(program, execute, clock):
    """Runs a program to its end in the calling thread.

    Args:
        program: A generator that yields the requests above.
        execute: Function from a store request to its reply.
        clock: Function that returns a Time.

    Returns:
        The return value of the program.
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
