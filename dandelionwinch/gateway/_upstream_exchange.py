"""One request to an upstream and its response, on one connection."""

import asyncio

import attrs

from dandelionwinch import attempts
from dandelionwinch.gateway import _answer_bytes
from dandelionwinch.gateway import _codec
from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _end_checks

MAX_RESPONSE_BODY_BYTES = 1 << 20
# Bytes of a body that count as progress. An upstream that sends one byte now
# and then has stalled like one that is silent.
MIN_PROGRESS_BYTES = 1 << 10
MISDIRECTED_STATUS = 421
# Interval of the looks for another upstream while one stays silent.
SILENCE_POLL_S = 0.2
# Time after the deadline in which what has arrived is still read.
OVERTIME_S = 0.2


class AttemptFailed(Exception):
    """An attempt ended without a response that may be relayed.

    A server error is relayed only if no retry follows.

    Attributes:
        outcome: The AttemptOutcome.
        error_response: A complete error response of the upstream, or None.
    """

    def __init__(self, outcome, reason, error_response=None):
        super().__init__(reason)
        self.outcome = outcome
        self.error_response = error_response


class NoFurtherAttempt(AttemptFailed):
    """No time, upstream or retry is left for another attempt."""


@attrs.frozen
class UpstreamResponse:
    """A complete response of an upstream."""

    head: _codec.Head
    body: bytes


class UpstreamExchange:
    """Sends a request and reads its response.

    Responses to other requests are skipped, as an upstream may send one
    late on a reused connection.

    Args:
        loop: The event loop.
        conn: The Connection.
        wire_codec: The WireCodec.
        req: The CallerRequest.
        deadline: Loop time of the deadline.
        may_leave: Coroutine function of the connection that tells whether
            an upstream that has been silent for the read timeout may be
            left. Until it may, or the deadline passes, it is awaited.
        answer_bytes: AnswerBytes that what is held counts against.
    """

    __slots__ = (
        '_conn',
        '_deadline',
        '_held',
        '_loop',
        '_may_leave',
        '_req',
        '_wire_codec',
    )

    def __init__(
        self, loop, conn, wire_codec, req, deadline, may_leave, answer_bytes
    ):
        self._loop = loop
        self._conn = conn
        self._wire_codec = wire_codec
        self._req = req
        self._deadline = deadline
        self._may_leave = may_leave
        self._held = answer_bytes.open()

    def close(self):
        """Ends the exchange, of which nothing is held any more."""
        self._held.close()

    def hold(self, size):
        """Counts what is held of the answer until it can be relayed.

        Args:
            size: Bytes.

        Raises:
            AttemptFailed: If it is too large beside all others.
        """
        try:
            self._held.resize(size)
        except _answer_bytes.TooManyBytes as exc:
            raise AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, str(exc)
            ) from exc

    async def read_response(self, head, read_timeout_s):
        """Reads the body after a head and returns the UpstreamResponse.

        Raises:
            AttemptFailed: If the response is not complete or not signed,
                or states that the request was not executed.
        """
        response = UpstreamResponse(head, await self.read_body(read_timeout_s))
        self.check_executed(response)
        return response

    async def read_body(self, read_timeout_s):
        """Returns the complete body of the current response.

        Each MIN_PROGRESS_BYTES of it have the read timeout.
        """
        body = bytearray()
        progress, progress_at = 0, self._loop.time()
        if self._req.method == 'HEAD':
            self._conn.forbid_reuse()
            return b''
        while True:
            waited_s = self._loop.time() - progress_at
            item = await self.read_item(read_timeout_s - waited_s)
            if isinstance(item, _connection.End):
                return bytes(body)
            body += item.data
            self.hold(len(body))
            if len(body) >= progress + MIN_PROGRESS_BYTES:
                progress, progress_at = len(body), self._loop.time()
            if len(body) > MAX_RESPONSE_BODY_BYTES:
                raise AttemptFailed(
                    attempts.AttemptOutcome.UNKNOWN, 'the answer is too large'
                )

    def send(self, params):
        """Sends the request with the AttemptParams."""
        req = self._req
        headers = self._wire_codec.request_headers(req, params)
        data = _codec.request_bytes(req.method, req.target, headers, req.body)
        self._conn.send(data)

    async def read_head(self, read_timeout_s):
        """Returns the head of the response to this request.

        What is skipped before it gets no time of its own.

        Raises:
            AttemptFailed: As of `read_item`, or if too much was skipped.
        """
        until = self._loop.time() + read_timeout_s
        while True:
            head = await self.read_item(until - self._loop.time())
            if not isinstance(head, _codec.Head):
                self._skip(head)
                continue
            reply = self._wire_codec.parse_reply(head)
            if reply.request_id == self._req.id:
                return head
            if not reply.request_id:
                # Only a refusal to execute may lack the request id.
                if reply.not_executed:
                    return head
                raise AttemptFailed(
                    attempts.AttemptOutcome.UNKNOWN, 'an answer without an id'
                )
            self._skip(head)

    def _skip(self, item):
        try:
            self._conn.skip(item)
        except _connection.ConnectionLost as exc:
            raise AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, str(exc)
            ) from exc

    async def read_item(self, timeout_s):
        """Returns the next Head, Data or End.

        Raises:
            AttemptFailed: If the connection failed, the deadline passed, or
                no item arrived within `timeout_s` and the upstream may be
                left. Also if the body ended with the connection, and it is
                not known that the upstream outlived this.
        """
        item = await self._next_item(timeout_s)
        if isinstance(item, _connection.End):
            await self._check_end()
        return item

    async def _check_end(self):
        if self._conn.ending is None:
            return
        ending = await asyncio.shield(self._conn.ending)
        if ending is not _end_checks.Ending.OUTLIVED:
            reason = f'the upstream at the end of its answer: {ending.value}'
            raise AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, reason
            ) from _connection.ConnectionLost(
                _connection.LossCause.CLOSED, reason
            )

    async def _next_item(self, timeout_s):
        # A sender that never stops always has an item waiting.
        if self._left_s() < -OVERTIME_S:
            raise AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, 'the deadline has passed'
            )
        while True:
            try:
                return await self._conn.next_item(
                    min(timeout_s, self._left_s())
                )
            except _connection.ConnectionLost as exc:
                if not await self._awaits_on(exc.cause):
                    raise AttemptFailed(
                        attempts.AttemptOutcome.UNKNOWN, str(exc)
                    ) from exc
            timeout_s = SILENCE_POLL_S

    async def _awaits_on(self, cause):
        if cause is not _connection.LossCause.TIMEOUT or self._left_s() <= 0:
            return False
        return not await self._may_leave(self._conn)

    def check_executed(self, response):
        """Checks that the upstream signed a response and executed it.

        Raises:
            AttemptFailed: If it did not.
        """
        reply = self._wire_codec.parse_reply(response.head)
        status = response.head.status
        if reply.not_executed or status == MISDIRECTED_STATUS:
            raise AttemptFailed(
                attempts.AttemptOutcome.NOT_EXECUTED,
                f'status {status}, not executed',
            )
        if not reply.signed:
            raise AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN,
                f'status {status} without a signature',
            )

    def _left_s(self):
        return self._deadline - self._loop.time()
