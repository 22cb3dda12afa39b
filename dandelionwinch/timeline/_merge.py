"""Bounded rings of events and their merge in causal order."""

import collections

import attrs

from dandelionwinch.timeline import _clock


@attrs.frozen
class Event:
    """Something that happened in one process.

    Attributes:
        sequence: Number within the process, without holes.
        kind: What happened, such as ``job.placed``.
        subject: Job, upstream, order or instance that it is about.
        detail: A short text.
    """

    timestamp: _clock.Timestamp
    instance: str
    sequence: int
    kind: str
    subject: str
    detail: str


@attrs.frozen
class Gap:
    """Events of an instance that its ring no longer holds."""

    timestamp: _clock.Timestamp
    instance: str
    missing: int


class EventBuffer:
    """The latest events of one process."""

    __slots__ = ('_clock', '_events', '_instance', '_next')

    def __init__(self, instance, clock, size):
        self._instance = instance
        self._clock = clock
        self._events = collections.deque(maxlen=size)
        self._next = 0

    def add(self, kind, subject, detail=''):
        """Records an event and returns it."""
        event = Event(
            self._clock.now(),
            self._instance,
            self._next,
            kind,
            subject,
            detail,
        )
        self._next += 1
        self._events.append(event)
        return event

    def latest(self, limit):
        """Returns the latest events, oldest first."""
        return list(self._events)[-limit:]


def merge(rings):
    """Merges the events of several processes.

    Args:
        rings: Iterable of lists of events, one list a process.

    Returns:
        Events in causal order, with a Gap where numbers are missing.
    """
    lines = []
    for events in rings:
        following = None
        for event in sorted(events, key=lambda item: item.sequence):
            first = 0 if following is None else following
            if event.sequence > first:
                missing = event.sequence - first
                lines.append(Gap(event.timestamp, event.instance, missing))
            lines.append(event)
            following = event.sequence + 1

    def order(line):
        sequence = line.sequence if isinstance(line, Event) else -1
        return (line.timestamp, line.instance, sequence)

    return sorted(lines, key=order)
