"""Prefills a prompt at another engine than the one that decodes it."""

from dandelionwinch import attempts
from dandelionwinch import dispatch
from dandelionwinch.gateway import _messages
from dandelionwinch.gateway import _upstream_exchange

# Read timeout of a prefill as a multiple of the route's latency objective,
# except for background prompts.
PREFILL_TIMEOUT_FACTOR = 3.0


class SeparatePrefill:
    """Asks the prefill engine of a placement for the KV cache of a prompt.

    Args:
        state: RequestState.
        connections: AttemptConnections.
        next_attempt: NextAttempt.
        note_failure: Coroutine function of an AttemptFailed and an Upstream
            that reports it.
    """

    __slots__ = ('_connections', '_next', '_note_failure', '_state')

    def __init__(self, state, connections, next_attempt, note_failure):
        self._state = state
        self._connections = connections
        self._next = next_attempt
        self._note_failure = note_failure

    async def run(self, placement):
        """Prefills the prompt; returns address and handle of its KV cache.

        Raises:
            AttemptFailed: If it failed; the request was not executed.
        """
        upstream = placement.prefill
        params = _messages.AttemptParams(
            upstream.entry.id,
            self._state.left_s(),
            prefill_only=True,
            priority=placement.priority,
            last_event_id=self._state.last_event_id,
        )
        pool, conn = await self._connections.acquire(upstream)
        self._next.use_token(upstream, pool, conn)
        try:
            async with self._connections.open_exchange(
                upstream, pool, conn, self._next.may_leave_prefill, False
            ) as exchange:
                handle = await self._request(
                    exchange, params, placement.priority_class
                )
        except _upstream_exchange.AttemptFailed as exc:
            self._state.sent_count += 1
            await self._note_failure(exc, upstream)
            raise _upstream_exchange.AttemptFailed(
                attempts.AttemptOutcome.NOT_EXECUTED, f'prefill: {exc}'
            ) from exc
        return f'{upstream.entry.address}/{handle}'

    async def _request(self, exchange, params, priority_class):
        exchange.send(params)
        read_timeout_s = self._state.left_s()
        if priority_class is not dispatch.PriorityClass.BACKGROUND:
            objective_s = self._state.route.objective_s
            read_timeout_s = PREFILL_TIMEOUT_FACTOR * objective_s
        head = await exchange.read_head(read_timeout_s)
        body = await exchange.read_body(read_timeout_s)
        codec = self._state.gateway.wire_codec
        reply = codec.parse_reply(head)
        handle = codec.kv_handle(body)
        if head.status != 200 or not handle:
            outcome = attempts.AttemptOutcome.UNKNOWN
            if reply.not_executed:
                outcome = attempts.AttemptOutcome.NOT_EXECUTED
            raise _upstream_exchange.AttemptFailed(
                outcome, f'status {head.status}, no handle'
            )
        return handle
