"""Bounded buffers of events, and their merge in causal order."""

import collections
import itertools

import attrs

from dandelionwinch.timeline import _clock


@attrs.frozen
class Event:
    """An event in one process.

    Attributes:
        sequence: Consecutive number within the process, from 0.
        kind: What happened, such as ``job.placed``.
        subject: Job, upstream, order or other object of the event.
        detail: Further information as text.
    """

    timestamp: _clock.Timestamp
    instance: str
    sequence: int
    kind: str
    subject: str
    detail: str


@attrs.frozen
class Gap:
    """Events of an instance that are missing from its list.

    Attributes:
        timestamp: Timestamp of the next event that is present.
        missing: Number of missing events.
    """

    timestamp: _clock.Timestamp
    instance: str
    missing: int


class EventBuffer:
    """The latest events of one process.

    Args:
        instance: Name of the instance.
        clock: The HybridClock of the process.
        size: Largest number of events kept.
    """

    __slots__ = ('_clock', '_events', '_instance', '_next_sequence')

    def __init__(self, instance, clock, size):
        self._instance = instance
        self._clock = clock
        self._events = collections.deque(maxlen=size)
        self._next_sequence = 0

    def add(self, kind, subject, detail=''):
        """Appends an event and returns it."""
        event = Event(
            self._clock.now(),
            self._instance,
            self._next_sequence,
            kind,
            subject,
            detail,
        )
        self._next_sequence += 1
        self._events.append(event)
        return event

    def latest(self, limit):
        """Returns the latest events, oldest first.

        Args:
            limit: Largest number of events; none if it is not positive.
        """
        first = max(0, len(self._events) - max(0, limit))
        return list(itertools.islice(self._events, first, None))


def merge(event_lists):
    """Merges the events of several processes.

    Args:
        event_lists: Iterable with one list of events for each process. A
            list must not have events of two incarnations, as sequence numbers
            begin at 0 in each.

    Returns:
        Events in causal order, with a Gap where sequence numbers are
        missing: also before the first event of a list that does not begin
        at 0, as its buffer has dropped older events or was read with a limit.
    """
    merged = []
    for events in event_lists:
        next_sequence = None
        for event in sorted(events, key=lambda item: item.sequence):
            expected = 0 if next_sequence is None else next_sequence
            if event.sequence > expected:
                missing = event.sequence - expected
                merged.append(Gap(event.timestamp, event.instance, missing))
            merged.append(event)
            next_sequence = event.sequence + 1

    def order(item):
        # Puts a Gap before the event that has the same timestamp.
        sequence = item.sequence if isinstance(item, Event) else -1
        return (item.timestamp, item.instance, sequence)

    return sorted(merged, key=order)
