"""One request on one connection: what is sent, and what comes back."""

import attrs

from dandelionwinch import attempts
from dandelionwinch.gateway import _codec
from dandelionwinch.gateway import _connection

MAX_BUFFERED_BYTES = 1 << 20
MISDIRECTED = 421


class AttemptFailed(Exception):
    """An attempt brought no whole answer.

    Attributes:
        fate: Fate of the request at the upstream.
        relayed: A whole failure answer of the upstream, or None.
    """

    def __init__(self, fate, reason, relayed=None):
        super().__init__(reason)
        self.fate = fate
        self.relayed = relayed


class NoFurtherAttempt(AttemptFailed):
    """There is no upstream or no retry left for another attempt."""


@attrs.frozen
class Answer:
    """A whole answer of an upstream."""

    head: _codec.Head
    body: bytes


class Conversation:
    """Sends a request and reads its answer; other answers are skipped."""

    __slots__ = ('_conn', '_deadline', '_wire_codec', '_inquiry', '_loop')

    def __init__(self, loop, conn, wire_codec, req, deadline):
        self._loop = loop
        self._conn = conn
        self._wire_codec = wire_codec
        self._inquiry = req
        self._deadline = deadline

    async def ask(self, params, patience_s):
        """Sends the request and returns the whole Answer."""
        self.send(params)
        head = await self.head(patience_s)
        answer = Answer(head, await self.body(patience_s))
        self.check_executed(answer)
        return answer

    async def body(self, patience_s):
        """Returns the whole body of the present answer."""
        body = bytearray()
        if self._inquiry.method == 'HEAD':
            self._conn.spoil()
            return b''
        while True:
            item = await self.item(patience_s)
            if isinstance(item, _connection.End):
                return bytes(body)
            body += item.data
            if len(body) > MAX_BUFFERED_BYTES:
                raise AttemptFailed(
                    attempts.AttemptOutcome.UNKNOWN, 'the answer is too large'
                )

    def send(self, params):
        """Sends the request."""
        req = self._inquiry
        headers = self._wire_codec.upstream_headers(req, params)
        data = _codec.request_bytes(req.method, req.target, headers, req.body)
        self._conn.send(data)

    async def head(self, patience_s):
        """Returns the head that answers this request; skips others."""
        deadline = self._loop.time() + patience_s
        while True:
            left_s = min(deadline - self._loop.time(), self._left_s())
            head = await self.item(left_s)
            while not isinstance(head, _codec.Head):
                head = await self.item(left_s)
            reply = self._wire_codec.parse_reply(head)
            if reply.request_id == self._inquiry.id:
                return head
            if not reply.request_id:
                # Refusals need not bear an id; no other answer lacks it.
                if reply.not_executed:
                    return head
                raise AttemptFailed(
                    attempts.AttemptOutcome.UNKNOWN, 'an answer without an id'
                )
            self._conn.spoil()

    async def item(self, timeout_s):
        """Returns the next Head, Data or End.

        Raises:
            AttemptFailed: If the answer broke off or time is over.
        """
        try:
            return await self._conn.next_item(min(timeout_s, self._left_s()))
        except _connection.ConnectionLost as exc:
            raise AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, str(exc)
            ) from exc

    def check_executed(self, answer):
        """Raises AttemptFailed unless the upstream vouches for an answer."""
        reply = self._wire_codec.parse_reply(answer.head)
        status = answer.head.status
        if reply.not_executed or status == MISDIRECTED:
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
