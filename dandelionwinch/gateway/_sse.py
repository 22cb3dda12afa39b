"""Splits a byte stream of server-sent events into events."""

import attrs

MAX_EVENT_BYTES = 1 << 20
_ID_FIELD = b'id:'


@attrs.frozen
class Event:
    """One complete event.

    Attributes:
        event_id: Its id, which increases in a stream; None without one.
        data: Its bytes, with the blank line that ends it.
    """

    event_id: int | None
    data: bytes


class EventSplitter:
    """Buffers received bytes and returns complete events only."""

    __slots__ = ('_buffer',)

    def __init__(self):
        self._buffer = b''

    def feed(self, data):
        """Returns the events that these bytes complete.

        Raises:
            ValueError: If an event exceeds MAX_EVENT_BYTES.
        """
        self._buffer += data
        *complete, self._buffer = self._buffer.split(b'\n\n')
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f'an event is over {MAX_EVENT_BYTES} bytes')
        return [Event(_event_id(item), item + b'\n\n') for item in complete]

    @property
    def incomplete(self):
        """Tells whether an incomplete event is buffered."""
        return bool(self._buffer)


def _event_id(item):
    for line in item.split(b'\n'):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
