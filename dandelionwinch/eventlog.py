"""Structured events on standard output, bounded and never blocking."""

import collections
import json
import os
import time

FLUSH_INTERVAL_S = 0.25
MAX_LINES_PER_S = 400
MAX_PENDING_BYTES = 1 << 18


class EventLog:
    """Writes one JSON object a line.

    Lines over the rate, or that standard output does not take, are
    counted and the count is logged once there is room again.
    """

    __slots__ = (
        '_clock',
        '_descriptor',
        '_dropped',
        '_instance',
        '_pending',
        '_room',
        '_room_at',
        '_size',
    )

    def __init__(self, instance, descriptor=1, clock=time.monotonic):
        self._instance = instance
        self._descriptor = descriptor
        self._clock = clock
        self._pending = collections.deque()
        self._size = 0
        self._dropped = 0
        self._room = float(MAX_LINES_PER_S)
        self._room_at = clock()
        os.set_blocking(descriptor, False)

    def event(self, name, **fields):
        """Logs an event.

        Args:
            name: Stable name of the event.
            **fields: What decided it and what came of it.
        """
        now = self._clock()
        earned = (now - self._room_at) * MAX_LINES_PER_S
        self._room = min(float(MAX_LINES_PER_S), self._room + earned)
        self._room_at = now
        if self._room < 1 or self._size > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._room -= 1
        self._add(name, now, fields)

    def _add(self, name, now, fields):
        record = {
            'at': round(now, 4),
            'time': round(time.time(), 3),
            'instance': self._instance,
            'event': name,
            **fields,
        }
        line = json.dumps(record, default=str).encode() + b'\n'
        self._pending.append(line)
        self._size += len(line)

    def flush(self):
        """Writes what standard output takes now."""
        if self._dropped and self._size < MAX_PENDING_BYTES:
            dropped, self._dropped = self._dropped, 0
            self._add('log.dropped', self._clock(), {'lines': dropped})
        if not self._pending:
            return
        data = b''.join(self._pending)
        self._pending.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        rest = data[written:]
        if rest:
            self._pending.append(rest)
        self._size = len(rest)
