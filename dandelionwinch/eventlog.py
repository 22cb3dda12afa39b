"""Structured event log on standard output that never blocks."""

import collections
import json
import os
import time

FLUSH_INTERVAL_S = 0.25
MAX_LINES_PER_S = 400
MAX_PENDING_BYTES = 1 << 18


class EventLog:
    """Writes events as JSON objects, one a line.

    Lines above the rate limit, or beyond the buffer when standard output
    does not accept them, are dropped; their number is logged later.
    """

    __slots__ = (
        '_clock',
        '_descriptor',
        '_dropped',
        '_instance',
        '_pending',
        '_pending_bytes',
        '_refilled_at',
        '_tokens',
    )

    def __init__(self, instance, descriptor=1, clock=time.monotonic):
        self._instance = instance
        self._descriptor = descriptor
        self._clock = clock
        self._pending = collections.deque()
        self._pending_bytes = 0
        self._dropped = 0
        self._tokens = float(MAX_LINES_PER_S)
        self._refilled_at = clock()
        os.set_blocking(descriptor, False)

    def event(self, name, **fields):
        """Logs an event.

        Args:
            name: Stable name of the event.
            **fields: Its cause and its result.
        """
        now = self._clock()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(float(MAX_LINES_PER_S), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 or self._pending_bytes > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._tokens -= 1
        self._append(name, now, fields)

    def _append(self, name, now, fields):
        record = {
            'at': round(now, 4),
            'time': round(time.time(), 3),
            'instance': self._instance,
            'event': name,
            **fields,
        }
        line = json.dumps(record, default=str).encode() + b'\n'
        self._pending.append(line)
        self._pending_bytes += len(line)

    def flush(self):
        """Writes as much as standard output accepts now.

        Output that cannot be written, as its reader is gone or its disk is
        full, is kept within the bound: an instance serves without its log.
        """
        if self._dropped and self._pending_bytes < MAX_PENDING_BYTES:
            dropped, self._dropped = self._dropped, 0
            self._append('log.dropped', self._clock(), {'lines': dropped})
        if not self._pending:
            return
        data = b''.join(self._pending)
        self._pending.clear()
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            written = 0
        unwritten = data[written:]
        if unwritten:
            self._pending.append(unwritten)
        self._pending_bytes = len(unwritten)
