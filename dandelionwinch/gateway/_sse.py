"""Splits a byte stream of server-sent events into events."""

import math

import attrs

MAX_EVENT_BYTES = 1 << 20
# Maximum mean size of the events of one response.
MEAN_EVENT_BYTES = 1 << 14
# An event has one token or more of the answer, but some have none (comments
# that keep a connection alive, the first and the last ones).
EVENTS_PER_TOKEN = 2
EVENTS_PER_S = 10
EXTRA_EVENTS = 16
_EVENT_END = b'\n\n'
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


def max_events(tokens, timeout_s):
    """Returns the maximum number of events in the response to a request.

    Args:
        tokens: Maximum number of tokens that the request asks for.
        timeout_s: Timeout of its route.
    """
    in_time = math.ceil(EVENTS_PER_S * timeout_s)
    return EVENTS_PER_TOKEN * tokens + in_time + EXTRA_EVENTS


class EventSplitter:
    """Buffers received bytes and returns complete events only.

    Args:
        max_events: Maximum number of events. It also limits their size, to
            MAX_EVENT_BYTES and MEAN_EVENT_BYTES for each of them.
    """

    __slots__ = ('_buffer', '_bytes_left', '_events_left')

    def __init__(self, max_events):
        self._buffer = bytearray()
        self._events_left = max_events
        self._bytes_left = MAX_EVENT_BYTES + max_events * MEAN_EVENT_BYTES

    def feed(self, data):
        """Returns the events that these bytes complete.

        Raises:
            ValueError: If an event exceeds MAX_EVENT_BYTES, or there are
                more events or bytes than the response may have.
        """
        complete = self._split(data)
        self._bytes_left -= len(data)
        self._events_left -= len(complete)
        self._check_limits()
        return [Event(_event_id(item), item + _EVENT_END) for item in complete]

    def _split(self, data):
        if self._buffer:
            # The blank line that ends an event may have begun before.
            start = len(self._buffer) - 1
            self._buffer += data
            if self._buffer.find(_EVENT_END, start) < 0:
                return []
            data = bytes(self._buffer)
        *complete, rest = data.split(_EVENT_END)
        self._buffer[:] = rest
        return complete

    def _check_limits(self):
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f'an event is over {MAX_EVENT_BYTES} bytes')
        if self._events_left < 0:
            raise ValueError('more events than the request may have')
        if self._bytes_left < 0:
            raise ValueError('more bytes than the request may have')

    @property
    def buffered(self):
        """Returns the bytes of an incomplete event that are buffered."""
        return len(self._buffer)


def _event_id(item):
    for line in item.split(b'\n'):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
