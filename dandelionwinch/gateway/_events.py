"""Splits a stream of server-sent events into whole events."""

import attrs

MAX_EVENT_BYTES = 1 << 20
_FIELD = b'id:'


@attrs.frozen
class Event:
    """One whole event.

    Attributes:
        number: Its increasing id, or None if it has none.
        data: Its bytes, with the blank line that ends it.
    """

    number: int | None
    data: bytes


class Splitter:
    """Collects bytes and gives back whole events only."""

    __slots__ = ('_rest',)

    def __init__(self):
        self._rest = b''

    def feed(self, data):
        """Returns the events that are whole with these bytes.

        Raises:
            ValueError: If an event grows over its limit.
        """
        self._rest += data
        *whole, self._rest = self._rest.split(b'\n\n')
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f'an event is over {MAX_EVENT_BYTES} bytes')
        return [Event(_number(item), item + b'\n\n') for item in whole]

    @property
    def torn(self):
        """Tells whether an event has begun and not ended."""
        return bool(self._rest)


def _number(item):
    for line in item.split(b'\n'):
        if line.startswith(_FIELD):
            text = line[len(_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
