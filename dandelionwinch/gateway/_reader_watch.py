"""Tells a caller that has stopped to read from one that reads slowly."""

# Longest time between two observations that counts. A process that was
# suspended has not seen what its callers read meanwhile.
MAX_STEP_S = 1.0
# Where held bytes are limited, a stream goes on when its caller has read this
# many of the bytes that wait for it. The default step of three quarters would
# leave the upstream without progress for seconds.
BUFFER_BYTES = 1 << 16
BUFFER_STEP_BYTES = 1 << 14


def limit_buffer(transport):
    """Sets how much of a stream waits for a caller, and in which steps."""
    transport.set_write_buffer_limits(
        BUFFER_BYTES, BUFFER_BYTES - BUFFER_STEP_BYTES
    )


class ReaderWatch:
    """Observes how much of what was written for a caller it has read.

    Attributes:
        written_bytes: Bytes that were written for it.
        silent_s: Time for which it has read nothing of what waits for it.
    """

    __slots__ = ('_read_bytes', '_seen_at', 'silent_s', 'written_bytes')

    def __init__(self):
        # Bytes that the caller had read, and when, as last observed.
        self._read_bytes = 0
        self._seen_at = None
        self.written_bytes = 0
        self.silent_s = 0.0

    def observe(self, unread, now):
        """Takes in how much waits to be read.

        Args:
            unread: Bytes that were written and not read.
            now: Time in seconds.
        """
        step_s = 0.0
        if self._seen_at is not None:
            step_s = min(MAX_STEP_S, now - self._seen_at)
        self._seen_at = now
        read = self.written_bytes - unread
        if not unread or read != self._read_bytes:
            self.silent_s = 0.0
        else:
            self.silent_s += step_s
        self._read_bytes = read
