"""Connections for the attempts at a request."""

import asyncio
import contextlib

from dandelionwinch import attempts
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _upstream_exchange

ACQUIRE_TIMEOUT_S = 0.5


class AttemptConnections:
    """Acquires connections to upstreams, and opens exchanges on them.

    Args:
        state: RequestState.
    """

    __slots__ = ('_fleet', '_loop', '_state')

    def __init__(self, state):
        self._state = state
        self._fleet = state.gateway.fleet
        self._loop = state.gateway.loop

    async def acquire(self, upstream, min_keep_alive_s=0.0):
        """Acquires a connection to an upstream; returns its pool and it.

        Raises:
            AttemptFailed: If there is none, or the upstream stopped
                serving meanwhile; nothing was sent.
        """
        pool = self._fleet.pool(upstream)
        self._state.upstream_id = upstream.entry.id
        try:
            conn = await pool.acquire(
                min(ACQUIRE_TIMEOUT_S, self._state.left_s()),
                min_keep_alive_s=min_keep_alive_s,
                body_bytes=len(self._state.req.body),
            )
        except _pool.PoolBusy as exc:
            raise self.not_sent(upstream, str(exc)) from exc
        except _pool.NotConnected as exc:
            now = self._loop.time()
            upstream.record_failure(now)
            upstream.eject(now)
            raise self.not_sent(upstream, str(exc)) from exc
        if not self._fleet.serves(upstream):
            # It began to drain or to turn away while this request waited.
            pool.release_unused(conn)
            reason = f'upstream "{upstream.entry.id}" accepts no requests'
            raise self.not_sent(upstream, reason)
        return pool, conn

    def not_sent(self, upstream, reason):
        """Excludes an upstream; returns the AttemptFailed to raise."""
        state = self._state
        size = len(state.req.body)
        state.unavailable.add(upstream.entry.id)
        state.unavailable.update(self._fleet.without_room(state.service, size))
        return _upstream_exchange.AttemptFailed(
            attempts.AttemptOutcome.NOT_SENT, reason
        )

    @contextlib.asynccontextmanager
    async def open_exchange(self, upstream, pool, conn, may_leave, executes):
        """Yields an UpstreamExchange for one attempt.

        The connection goes back to the pool after a complete response
        and is closed after any exception.

        Args:
            upstream: The Upstream.
            pool: Its connection pool.
            conn: The connection.
            may_leave: As for UpstreamExchange.
            executes: Whether the upstream may execute the request.
        """
        upstream.active += 1
        exchange = _upstream_exchange.UpstreamExchange(
            self._loop,
            conn,
            self._state.gateway.wire_codec,
            self._state.req,
            self._state.deadline,
            may_leave,
            self._fleet.answer_bytes,
        )
        try:
            yield exchange
        except BaseException as exc:
            pool.discard(conn)
            if isinstance(exc, asyncio.CancelledError):
                self._state.failed_outcomes.append(
                    attempts.AttemptOutcome.UNKNOWN
                    if executes
                    else attempts.AttemptOutcome.NOT_EXECUTED
                )
            outcome = getattr(exc, 'outcome', None)
            # NOT_EXECUTED and SERVER_ERROR come from a proper response.
            if outcome is attempts.AttemptOutcome.UNKNOWN:
                upstream.record_failure(self._loop.time())
            raise
        finally:
            upstream.active -= 1
            exchange.close()
        pool.release(conn)
