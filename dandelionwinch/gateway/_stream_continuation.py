"""Goes on with a stream whose run was stopped to be moved."""

import attrs

from dandelionwinch import attempts
from dandelionwinch import dispatch
from dandelionwinch.gateway import _attempt_connections
from dandelionwinch.gateway import _messages
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _reservation
from dandelionwinch.gateway import _stream_migration
from dandelionwinch.gateway import _upstream_exchange
from dandelionwinch import migration


@attrs.frozen
class Leg:
    """The part of a stream that one engine sends.

    Attributes:
        placement: Placement with the engine that decodes.
        params: AttemptParams.
        started_at: Loop time from which the first event is measured.
        moved: MovingStream that the stream was at the engine before, None
            for a run that begins.
    """

    placement: dispatch.Placement
    params: _messages.AttemptParams
    started_at: float
    moved: _stream_migration.MovingStream | None = None


class StreamContinuation:
    """Sends the request on to the engine that has the copy of its run.

    It is sent to the target, and to the source if the target certainly does
    not run it. It counts as the same run, so no retry policy applies, and
    the retry was spent before the run was stopped.

    Args:
        state: RequestState.
        report: RequestReport.
        relay: Coroutine function of a Leg, a pool and a connection that
            relays the stream.
    """

    __slots__ = ('_fleet', '_loop', '_relay', '_report', '_state')

    def __init__(self, state, report, relay):
        self._state = state
        self._report = report
        self._relay = relay
        self._fleet = state.gateway.fleet
        self._loop = state.gateway.loop

    async def run(self, stopped, placement):
        """Relays the rest of a stream, wherever it moves.

        Args:
            stopped: RunStopped of the stream.
            placement: Placement of the prompt.

        Raises:
            AttemptFailed: If it broke off.
        """
        while stopped is not None:
            stream = stopped.stream
            result = migration.Result.LEFT
            try:
                stopped = await self._go_on(stopped, placement)
            except _upstream_exchange.AttemptFailed:
                result = migration.Result.BROKEN
                raise
            finally:
                stream.close(result)

    async def _go_on(self, stopped, placement):
        """Sends the request on once; returns the RunStopped that follows."""
        if stopped.go_on is None:
            raise _broken_off('the answer to the last copy is not known')
        for engine in self._engines(stopped):
            try:
                return await self._go_on_at(engine, stopped, placement)
            except _upstream_exchange.AttemptFailed as exc:
                if not _is_not_run(exc):
                    raise _broken_off(str(exc)) from exc
                self._report.attempt_failed(exc, {'moved': True})
        raise _broken_off('no engine goes on with the copy')

    @staticmethod
    def _engines(stopped):
        """Returns the engines that may go on, in order."""
        stream = stopped.stream
        if stopped.go_on.target is None:
            return [stream.source]
        return [stream.target, stream.source]

    async def _go_on_at(self, engine, stopped, placement):
        stream = stopped.stream
        pool, conn = await self._connect(engine, stream.source)
        state = self._state
        state.sent_count += 1
        state.tried.add(engine.entry.id)
        self._report.attempt_begins()
        source = stream.source.entry.address
        params = _messages.AttemptParams(
            engine.entry.id,
            state.left_s(),
            placement.prefilled_priority,
            kv_source=f'{source}/{stopped.go_on.handle}',
            last_event_id=state.last_event_id,
        )
        moved = attrs.evolve(placement, prefill=None, decode=engine)
        leg = Leg(moved, params, self._loop.time(), stream)
        following = None
        try:
            await self._relay(leg, pool, conn)
        except _stream_migration.RunStopped as exc:
            following = exc
        stream.continued(engine)
        return following

    async def _connect(self, engine, source):
        """Returns the pool of an engine and a new connection.

        The source has stopped to accept requests, but not this one.

        Raises:
            AttemptFailed: If there is none; nothing was sent.
        """
        self._state.upstream_id = engine.entry.id
        pool = self._fleet.pool(engine)
        try:
            conn = await pool.acquire(
                _attempt_connections.ACQUIRE_TIMEOUT_S,
                new=True,
                body_bytes=len(self._state.req.body),
            )
        except _pool.NotConnected as exc:
            if not isinstance(exc, _pool.PoolBusy):
                engine.record_failure(self._loop.time())
                engine.eject(self._loop.time())
            raise _not_sent(str(exc)) from exc
        if engine is source:
            return pool, conn
        reservation = _reservation.Reservation(self._loop)
        if self._fleet.serves(engine) and reservation.use(engine):
            return pool, conn
        pool.release_unused(conn)
        raise _not_sent(f'upstream "{engine.entry.id}" accepts no requests')


def _not_sent(reason):
    outcome = attempts.AttemptOutcome.NOT_SENT
    return _upstream_exchange.AttemptFailed(outcome, reason)


def _is_not_run(exc):
    return exc.outcome in (
        attempts.AttemptOutcome.NOT_SENT,
        attempts.AttemptOutcome.NOT_EXECUTED,
    )


def _broken_off(reason):
    """Returns the failure of a stream that has run, but not to its end."""
    return _upstream_exchange.AttemptFailed(
        attempts.AttemptOutcome.UNKNOWN, reason
    )
