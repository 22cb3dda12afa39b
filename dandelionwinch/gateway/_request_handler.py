"""Serves a caller's request: attempts at upstreams, one final response.

The kinds of requests differ in how an attempt is made; each has a
subclass, in `_call_handler` and `_generation_handler`.
"""

import contextlib

from dandelionwinch import attempts
from dandelionwinch.gateway import _messages
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _upstream_exchange
from dandelionwinch import routes

# No attempt starts with less time than this before the deadline.
MIN_TIME_LEFT_S = 0.02
MAX_CONNECT_ATTEMPTS = 4
ACQUIRE_TIMEOUT_S = 0.5
# A request that is sent as the upstream closes the idle connection is
# reset and may have run, so one that must not run twice needs a margin.
ONCE_MIN_IDLE_LEFT_S = 1.0
# Multiple of the route's latency objective.
IDLE_TIMEOUT_FACTOR = 4.0
MIN_IDLE_TIMEOUT_S = 0.8
MIN_RETRY_AFTER_S = 0.2
RETRY_AFTER_JITTER_S = 0.4
SERVER_ERROR_STATUS = 500


class RequestHandler:
    """Serves one request of a caller; subclasses make the attempts.

    Attributes:
        first_event_s: Seconds from the request to the first event, 0 if
            there was none.
        longest_gap_s: Longest time between two events of a stream.
        prefill_s: Duration of a prefill at a separate engine, 0 if there
            was none.
        outcome: Outcome of the request for the log and the metrics.
        upstream_id: Id of the upstream of the last attempt.
    """

    __slots__ = (
        '_attempt_count',
        '_attempt_outcomes',
        '_caller',
        '_deadline',
        '_error_response',
        '_fleet',
        '_gateway',
        '_last_event_id',
        '_loop',
        '_req',
        '_route',
        '_service',
        '_started_at',
        '_streaming',
        '_tried',
        '_unavailable',
        'first_event_s',
        'longest_gap_s',
        'outcome',
        'prefill_s',
        'upstream_id',
    )

    def __init__(self, gateway, req, route, caller, started_at):
        self._gateway = gateway
        self._fleet = gateway.fleet
        self._loop = gateway.loop
        self._req = req
        self._route = route
        self._caller = caller
        self._started_at = started_at
        limit_s = route.timeout_s
        if req.timeout_s is not None:
            limit_s = min(limit_s, req.timeout_s)
        self._deadline = started_at + limit_s
        self._service = route.service_for(req.id)
        self._attempt_outcomes = []
        self._tried = set()
        self._unavailable = set()
        self._attempt_count = 0
        self._error_response = None
        self._last_event_id = req.last_event_id
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
        return self._req.id

    @property
    def attempts(self):
        """Returns the number of times that the request was sent."""
        return self._attempt_count

    def elapsed_s(self):
        """Returns the seconds since the request arrived."""
        return self._loop.time() - self._started_at

    def _left_s(self):
        return self._deadline - self._loop.time()

    async def run(self):
        """Serves the request until its final response."""
        now = self._loop.time()
        self._gateway.budget.record_request(self._service, now)
        try:
            while await self._try_once():
                pass
        except _upstream_exchange.AttemptFailed as exc:
            self._respond_failed(str(exc))

    async def _try_once(self):
        """Makes one attempt; tells whether another one should follow.

        Raises:
            AttemptFailed: If it failed and no other one may follow.
        """
        if self._left_s() < MIN_TIME_LEFT_S:
            raise _upstream_exchange.NoFurtherAttempt(
                attempts.AttemptOutcome.NOT_SENT, 'no time is left'
            )
        try:
            await self._make_attempt()
        except _upstream_exchange.NoFurtherAttempt:
            raise
        except _upstream_exchange.AttemptFailed as exc:
            self._attempt_outcomes.append(exc.outcome)
            self._error_response = exc.error_response or self._error_response
            self._log_attempt(exc)
            return self._check_retry(exc)
        return False

    async def _make_attempt(self):
        raise NotImplementedError

    def _check_retry(self, exc):
        """Returns True if a retry may follow, and raises `exc` if not."""
        if not attempts.may_retry(self._route.retry_policy, exc.outcome):
            raise exc
        if exc.outcome is attempts.AttemptOutcome.NOT_SENT:
            if len(self._attempt_outcomes) >= MAX_CONNECT_ATTEMPTS:
                raise exc
            return True
        if len(self._tried) >= self._route.max_attempts:
            raise exc
        if self._left_s() < MIN_TIME_LEFT_S:
            raise exc
        return True

    def _log_attempt(self, exc):
        self._gateway.metrics.attempts.labels(exc.outcome.value).inc()
        self._gateway.log.event(
            'attempt.failed',
            request=self._req.id,
            upstream=self.upstream_id,
            fate=exc.outcome.value,
            reason=str(exc),
            left_ms=round(self._left_s() * 1e3),
        )

    def _respond_failed(self, reason):
        """Sends the final response after the last failed attempt."""
        if self._streaming:
            self.outcome = 'cut'
            self._caller.abort()
            self._gateway.record_response(self, 0, reason)
            return
        response = self._error_response
        if response is not None:
            self._relay(response)
            self._gateway.record_response(self, response.head.status, reason)
            return
        timed_out = self._left_s() < MIN_TIME_LEFT_S
        status = attempts.final_status(self._attempt_outcomes, timed_out)
        headers = []
        if status is attempts.FinalStatus.NOT_RUN:
            wait_s = MIN_RETRY_AFTER_S + self._gateway.rng.random() * (
                RETRY_AFTER_JITTER_S
            )
            headers = self._gateway.wire_codec.retry_after_headers(wait_s)
        self.outcome = status.name.lower()
        self._caller.respond(int(status), headers, reason.encode())
        self._gateway.record_response(self, int(status), reason)

    def _relay(self, response):
        self.outcome = 'relayed'
        headers = response.head.end_to_end()
        self._caller.respond(response.head.status, headers, response.body)

    def _accept_response(self, upstream, response, started_at):
        """Relays a complete response, or fails to have it retried.

        Raises:
            AttemptFailed: If it is a server error and the route allows
                retries.
        """
        now = self._loop.time()
        retryable = (
            response.head.status >= SERVER_ERROR_STATUS
            and self._route.retry_policy is not routes.RetryPolicy.ONCE
        )
        round_trip_s = self._gateway.distances.round_trip_s(
            upstream.entry.data_centre
        )
        service_s = now - started_at - round_trip_s
        excess_s = self._fleet.latency_baseline.excess_s(
            self._service, service_s
        )
        upstream.succeeded(excess_s, now)
        if retryable:
            raise _upstream_exchange.AttemptFailed(
                attempts.AttemptOutcome.FAILED,
                f'status {response.head.status}',
                error_response=response,
            )
        self._relay(response)
        self._gateway.record_response(self, response.head.status, '')

    def _no_upstream(self):
        return _upstream_exchange.NoFurtherAttempt(
            self._attempt_outcomes[-1]
            if self._attempt_outcomes
            else attempts.AttemptOutcome.NOT_SENT,
            f'service "{self._service}" has no upstream left to try',
            error_response=self._error_response,
        )

    def _idle_timeout_s(self):
        """Returns how long an upstream may send nothing.

        The last attempt, and one that may not be retried, gets all the
        time until the deadline.
        """
        left_s = self._left_s()
        route = self._route
        last = len(self._tried) >= route.max_attempts
        if route.retry_policy is routes.RetryPolicy.ONCE or last:
            return left_s
        idle_s = IDLE_TIMEOUT_FACTOR * route.objective_s
        return min(left_s, max(MIN_IDLE_TIMEOUT_S, idle_s))

    async def _acquire(self, upstream, min_idle_left_s=0.0):
        """Acquires a connection to an upstream.

        Raises:
            AttemptFailed: If there is none, or the upstream stopped
                serving meanwhile; nothing was sent.
        """
        pool = self._fleet.pool(upstream)
        self.upstream_id = upstream.entry.id
        try:
            conn = await pool.acquire(
                min(ACQUIRE_TIMEOUT_S, self._left_s()),
                min_idle_left_s=min_idle_left_s,
            )
        except _pool.PoolBusy as exc:
            raise self._not_sent(upstream, str(exc)) from exc
        except _pool.NotConnected as exc:
            now = self._loop.time()
            upstream.failed(now)
            upstream.eject(now)
            raise self._not_sent(upstream, str(exc)) from exc
        if not self._fleet.registry.serves(upstream):
            # It began to drain while this request waited.
            pool.release_unused(conn)
            reason = f'upstream "{upstream.entry.id}" is leaving'
            raise self._not_sent(upstream, reason)
        return pool, conn

    def _not_sent(self, upstream, reason):
        self._unavailable.add(upstream.entry.id)
        return _upstream_exchange.AttemptFailed(
            attempts.AttemptOutcome.NOT_SENT, reason
        )

    async def _begin_attempt(self, upstream):
        """Acquires a connection, and spends a retry if this is one."""
        min_idle_left_s = 0.0
        if self._route.retry_policy is routes.RetryPolicy.ONCE:
            min_idle_left_s = ONCE_MIN_IDLE_LEFT_S
        pool, conn = await self._acquire(upstream, min_idle_left_s)
        if self._attempt_count and not self._gateway.spend_retry(
            self._service
        ):
            pool.release_unused(conn)
            raise _upstream_exchange.NoFurtherAttempt(
                self._attempt_outcomes[-1],
                'the retry budget is spent',
                self._error_response,
            )
        self._attempt_count += 1
        self._tried.add(upstream.entry.id)
        return pool, conn

    def _params(self, upstream, **more):
        return _messages.AttemptParams(
            upstream.entry.id,
            self._left_s(),
            last_event_id=self._last_event_id,
            **more,
        )

    @contextlib.asynccontextmanager
    async def _open_exchange(self, upstream, pool, conn):
        """Yields an UpstreamExchange for one attempt.

        The connection goes back to the pool after a complete response
        and is closed after any exception.
        """
        upstream.active += 1
        try:
            yield _upstream_exchange.UpstreamExchange(
                self._loop,
                conn,
                self._gateway.wire_codec,
                self._req,
                self._deadline,
            )
        except BaseException as exc:
            pool.discard(conn)
            outcome = getattr(exc, 'outcome', None)
            if outcome is attempts.AttemptOutcome.UNKNOWN:
                upstream.failed(self._loop.time())
            raise
        finally:
            upstream.active -= 1
        pool.release(conn)
