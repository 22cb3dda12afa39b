"""One request on its way: attempts at upstreams, then one final answer.

Kinds of requests differ in how one attempt is made; the modules `_call`
and `_generation` have one each.
"""

import contextlib

from dandelionwinch import attempts
from dandelionwinch.gateway import _conversation
from dandelionwinch.gateway import _inquiry
from dandelionwinch.gateway import _pool
from dandelionwinch import routes

LEAST_LEFT_S = 0.02
MAX_CONNECT_TRIES = 4
TAKE_TIMEOUT_S = 0.5
FRESH_ONCE_S = 1.0
FIRST_SILENCE_FACTOR = 4.0
LEAST_SILENCE_S = 0.8
RETRY_AFTER_S = 0.2
RETRY_SPREAD_S = 0.4
SERVER_ERROR = 500


class Exchange:
    """Serves one request of a caller; subclasses make the attempts."""

    __slots__ = (
        '_attempt',
        '_began',
        '_caller',
        '_deadline',
        '_fates',
        '_fleet',
        '_full',
        '_gateway',
        '_inquiry',
        '_last_event',
        '_loop',
        '_relayed',
        '_route',
        '_service',
        '_streaming',
        '_tried',
        'first_event_s',
        'longest_gap_s',
        'outcome',
        'prefill_s',
        'upstream_id',
    )

    def __init__(self, gateway, req, route, caller, began):
        self._gateway = gateway
        self._fleet = gateway.fleet
        self._loop = gateway.loop
        self._inquiry = req
        self._route = route
        self._caller = caller
        self._began = began
        limit_s = route.timeout_s
        if req.timeout_s is not None:
            limit_s = min(limit_s, req.timeout_s)
        self._deadline = began + limit_s
        self._service = route.service_for(req.id)
        self._fates = []
        self._tried = set()
        self._full = set()
        self._attempt = 0
        self._relayed = None
        self._last_event = req.last_event_id
        self._streaming = False
        self.first_event_s = 0.0
        self.longest_gap_s = 0.0
        self.prefill_s = 0.0
        self.outcome = ''
        self.upstream_id = ''

    @property
    def route(self):
        """Returns the route of the request."""
        return self._route

    @property
    def request_id(self):
        """Returns the id of the request."""
        return self._inquiry.id

    @property
    def attempts(self):
        """Returns the number of times that the request was sent."""
        return self._attempt

    def taken_s(self):
        """Returns the seconds since the request came."""
        return self._loop.time() - self._began

    def _left_s(self):
        return self._deadline - self._loop.time()

    async def run(self):
        """Serves the request to its final answer."""
        now = self._loop.time()
        self._gateway.budget.record_request(self._service, now)
        try:
            while await self._try_once():
                pass
        except _conversation.AttemptFailed as exc:
            self._finish(str(exc))

    async def _try_once(self):
        """Makes one attempt; returns whether another one follows."""
        if self._left_s() < LEAST_LEFT_S:
            raise _conversation.NoFurtherAttempt(
                attempts.AttemptOutcome.NOT_SENT, 'no time is left'
            )
        try:
            await self._attempt_once()
        except _conversation.NoFurtherAttempt:
            raise
        except _conversation.AttemptFailed as exc:
            self._fates.append(exc.fate)
            self._relayed = exc.relayed or self._relayed
            self._log_attempt(exc)
            return self._another(exc)
        return False

    async def _attempt_once(self):
        raise NotImplementedError

    def _another(self, exc):
        if not attempts.may_retry(self._route.retry_policy, exc.fate):
            raise exc
        if exc.fate is attempts.AttemptOutcome.NOT_SENT:
            if len(self._fates) >= MAX_CONNECT_TRIES:
                raise exc
            return True
        if len(self._tried) >= self._route.max_attempts:
            raise exc
        if self._left_s() < LEAST_LEFT_S:
            raise exc
        return True

    def _log_attempt(self, exc):
        self._gateway.metrics.attempts.labels(exc.fate.value).inc()
        self._gateway.log.event(
            'attempt.failed',
            request=self._inquiry.id,
            upstream=self.upstream_id,
            fate=exc.fate.value,
            reason=str(exc),
            left_ms=round(self._left_s() * 1e3),
        )

    def _finish(self, reason):
        """Gives the final answer after the last failed attempt."""
        if self._streaming:
            self.outcome = 'cut'
            self._caller.cut()
            self._gateway.closed(self, 0, reason)
            return
        relayed = self._relayed
        if relayed is not None:
            self._relay_whole(relayed)
            self._gateway.closed(self, relayed.head.status, reason)
            return
        timed_out = self._left_s() < LEAST_LEFT_S
        status = attempts.final_status(self._fates, timed_out)
        headers = []
        if status is attempts.FinalStatus.NOT_RUN:
            wait_s = RETRY_AFTER_S + self._gateway.rng.random() * (
                RETRY_SPREAD_S
            )
            headers = self._gateway.wire_codec.retry_after_headers(wait_s)
        self.outcome = status.name.lower()
        self._caller.respond(int(status), headers, reason.encode())
        self._gateway.closed(self, int(status), reason)

    def _relay_whole(self, answer):
        self.outcome = 'relayed'
        headers = answer.head.end_to_end()
        self._caller.respond(answer.head.status, headers, answer.body)

    def _accept(self, upstream, answer, began):
        now = self._loop.time()
        again = (
            answer.head.status >= SERVER_ERROR
            and self._route.retry_policy is not routes.RetryPolicy.ONCE
        )
        way_s = self._gateway.distances.round_trip_s(
            upstream.entry.data_centre
        )
        taken_s = now - began - way_s
        excess_s = self._fleet.latency_baseline.excess_s(
            self._service, taken_s
        )
        upstream.succeeded(excess_s, now)
        if again:
            raise _conversation.AttemptFailed(
                attempts.AttemptOutcome.FAILED,
                f'status {answer.head.status}',
                relayed=answer,
            )
        self._relay_whole(answer)
        self._gateway.closed(self, answer.head.status, '')

    def _nowhere(self):
        return _conversation.NoFurtherAttempt(
            self._fates[-1]
            if self._fates
            else attempts.AttemptOutcome.NOT_SENT,
            f'service "{self._service}" has no upstream left to try',
            relayed=self._relayed,
        )

    def _patience_s(self):
        """Returns how long an upstream may stay silent."""
        left_s = self._left_s()
        route = self._route
        last = len(self._tried) >= route.max_attempts
        if route.retry_policy is routes.RetryPolicy.ONCE or last:
            return left_s
        silence_s = FIRST_SILENCE_FACTOR * route.objective_s
        return min(left_s, max(LEAST_SILENCE_S, silence_s))

    async def _take(self, upstream, fresh_s=0.0):
        """Takes a connection to an upstream that still serves.

        Raises:
            AttemptFailed: If there is none; nothing was sent.
        """
        pool = self._fleet.pool(upstream)
        self.upstream_id = upstream.entry.id
        try:
            conn = await pool.acquire(
                min(TAKE_TIMEOUT_S, self._left_s()), fresh_s=fresh_s
            )
        except _pool.PoolBusy as exc:
            raise self._not_sent(upstream, str(exc)) from exc
        except _pool.NotConnected as exc:
            now = self._loop.time()
            upstream.failed(now)
            upstream.eject(now)
            raise self._not_sent(upstream, str(exc)) from exc
        if not self._fleet.registry.serves(upstream):
            # It has begun to leave while this request waited.
            pool.release_unused(conn)
            reason = f'upstream "{upstream.entry.id}" is leaving'
            raise self._not_sent(upstream, reason)
        return pool, conn

    def _not_sent(self, upstream, reason):
        self._full.add(upstream.entry.id)
        return _conversation.AttemptFailed(
            attempts.AttemptOutcome.NOT_SENT, reason
        )

    async def _connect(self, upstream):
        """Takes a connection, and a retry out of the budget if need be."""
        fresh_s = 0.0
        if self._route.retry_policy is routes.RetryPolicy.ONCE:
            fresh_s = FRESH_ONCE_S
        pool, conn = await self._take(upstream, fresh_s)
        if self._attempt and not self._gateway.spend_retry(self._service):
            pool.release_unused(conn)
            raise _conversation.NoFurtherAttempt(
                self._fates[-1], 'the retry budget is spent', self._relayed
            )
        self._attempt += 1
        self._tried.add(upstream.entry.id)
        return pool, conn

    def _sending(self, upstream, **more):
        return _inquiry.AttemptParams(
            upstream.entry.id,
            self._left_s(),
            last_event_id=self._last_event,
            **more,
        )

    @contextlib.asynccontextmanager
    async def _talk(self, upstream, pool, conn):
        """Lends a connection for one attempt; a whole answer keeps it."""
        upstream.active += 1
        try:
            yield _conversation.Conversation(
                self._loop,
                conn,
                self._gateway.wire_codec,
                self._inquiry,
                self._deadline,
            )
        except BaseException as exc:
            pool.discard(conn)
            fate = getattr(exc, 'fate', None)
            if fate is attempts.AttemptOutcome.UNKNOWN:
                upstream.failed(self._loop.time())
            raise
        finally:
            upstream.active -= 1
        pool.release(conn)
