"""Reads the events of a stream from the connection to its engine."""

from dandelionwinch import attempts
from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _sse
from dandelionwinch.gateway import _upstream_exchange


class EventReader:
    """Returns complete events only, as a stream may go on after any of them.

    Args:
        loop: The event loop.
        exchange: UpstreamExchange whose response head was read.
        most: Maximum number of events.
        read_timeout_s: How long the engine may complete no event.
        framed: Whether the response says itself where it ends.
        settle: Coroutine function that is called if the response may have
            broken off, and raises how else the stream goes on.
    """

    __slots__ = (
        '_exchange',
        '_framed',
        '_loop',
        '_progress_at',
        '_read_timeout_s',
        '_settle',
        '_splitter',
    )

    def __init__(self, loop, exchange, most, read_timeout_s, framed, settle):
        self._framed = framed
        self._settle = settle
        self._loop = loop
        self._exchange = exchange
        self._read_timeout_s = read_timeout_s
        self._splitter = _sse.EventSplitter(most)
        # Bytes that complete no event are no progress of a stream.
        self._progress_at = loop.time()

    def record_progress(self):
        """Records that an event was sent on.

        A caller that reads slowly is no stall of the upstream.
        """
        self._progress_at = self._loop.time()

    async def read(self):
        """Returns the next events, at times none, or None at the end.

        Raises:
            AttemptFailed: If the response is not complete, or has more or
                longer events than it may have.
        """
        waited_s = self._loop.time() - self._progress_at
        try:
            item = await self._exchange.read_item(
                self._read_timeout_s - waited_s
            )
        except _upstream_exchange.AttemptFailed:
            await self._settle()
            raise
        if not isinstance(item, _connection.End):
            return self._split(item.data)
        if not self._framed:
            await self._settle()
        if self._splitter.buffered:
            raise _upstream_exchange.AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, 'a torn event'
            )
        return None

    def _split(self, data):
        try:
            events = self._splitter.feed(data)
        except ValueError as exc:
            raise _upstream_exchange.AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, str(exc)
            ) from exc
        self._exchange.hold(self._splitter.buffered)
        return events


def closed_without_an_event():
    """Returns the failure of a stream that its engine never began.

    Its connection ends as if the body were complete.
    """
    reason = 'closed without an event'
    exc = _upstream_exchange.AttemptFailed(
        attempts.AttemptOutcome.UNKNOWN, reason
    )
    exc.__cause__ = _connection.ConnectionLost(
        _connection.LossCause.CLOSED, reason
    )
    return exc
