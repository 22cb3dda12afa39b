"""Writes to a caller, and watches whether it reads."""

from dandelionwinch.gateway import _codec
from dandelionwinch.gateway import _reader_watch

# Time for which a caller may read nothing of what was written for it.
UNREAD_TIMEOUT_S = 5.0


class CallerWriter:
    """Writes to one caller; chunks wait while the write buffer is full.

    Args:
        server: The Server, which counts the bytes held for callers.

    Attributes:
        paused: Whether the write buffer is full.
        transport: Transport of the connection, None before it is made.
    """

    __slots__ = ('_reader', '_resumed', '_server', 'paused', 'transport')

    def __init__(self, server):
        self._server = server
        self._reader = _reader_watch.ReaderWatch()
        self._resumed = None
        self.paused = False
        self.transport = None

    @property
    def unread_bytes(self):
        """Returns the bytes that were written and the caller has not read."""
        return self.transport.get_write_buffer_size()

    def write(self, data):
        """Writes bytes, whether the write buffer is full or not."""
        self._reader.written_bytes += len(data)
        self._server.count_held(len(data))
        self.transport.write(data)

    async def write_chunk(self, data):
        """Writes a chunk; waits while the write buffer is full."""
        self.write(_codec.encode_chunk(data))
        if self.paused:
            self._resumed = self._server.loop.create_future()
            await self._resumed

    def pause(self):
        """Blocks `write_chunk`, as the write buffer is full."""
        self.paused = True

    def resume(self):
        """Unblocks `write_chunk`.

        Returns:
            Whether the write buffer was full and no chunk waited for it.
        """
        was_paused, self.paused = self.paused, False
        waiter, self._resumed = self._resumed, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
            return False
        return was_paused

    def has_stalled(self, now):
        """Tells whether the caller has stopped to read.

        Args:
            now: Time in seconds.
        """
        self._reader.observe(self.unread_bytes, now)
        return self._reader.silent_s > UNREAD_TIMEOUT_S
