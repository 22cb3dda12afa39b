"""Bounds what a server sends beside the response to a request."""

from dandelionwinch.gateway import _codec

# Maximum size of the interim responses to one request, and of each one
# beside its headers.
MAX_INTERIM_BYTES = 65536
MIN_HEAD_BYTES = 16
# Maximum number and size of responses to other requests that are skipped
# before that to the current one.
MAX_SKIPPED_RESPONSES = 8
MAX_SKIPPED_BYTES = 1 << 21


class Surplus:
    """Counts interim responses, and responses to other requests."""

    __slots__ = ('_interim_bytes', '_skipped_bytes', '_skipped_responses')

    def __init__(self):
        self.clear()

    def clear(self):
        """Begins to count for another request."""
        self._interim_bytes = 0
        self._skipped_bytes = 0
        self._skipped_responses = 0

    def add_interim(self, head):
        """Counts the head of an interim response.

        Raises:
            HeadTooLarge: If those to this request are too large.
        """
        self._interim_bytes += head.size + MIN_HEAD_BYTES
        if self._interim_bytes > MAX_INTERIM_BYTES:
            raise _codec.HeadTooLarge(
                f'interim responses are over {MAX_INTERIM_BYTES} bytes'
            )

    def add_skipped(self, item):
        """Counts an item of a response to another request.

        Returns:
            Whether too much was skipped for this request.
        """
        self._skipped_bytes += item.size
        self._skipped_responses += isinstance(item, _codec.Head)
        return (
            self._skipped_bytes > MAX_SKIPPED_BYTES
            or self._skipped_responses > MAX_SKIPPED_RESPONSES
        )
