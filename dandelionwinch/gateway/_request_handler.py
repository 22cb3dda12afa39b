"""Serves a caller's request: attempts at upstreams, one final response.

The kinds of requests differ in how an attempt is made; each has a
subclass, in `_call_handler` and `_generation_handler`.
"""

import abc
import asyncio
import contextlib

import attrs

from dandelionwinch import attempts
from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _messages
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _reservation
from dandelionwinch.gateway import _suspicion
from dandelionwinch.gateway import _upstream_exchange
from dandelionwinch import quarantine
from dandelionwinch import routes

# No attempt starts with less time than this before the deadline.
MIN_TIME_LEFT_S = 0.02
# Failed attempts, whether sent or not, after which an attempt that could
# not be sent is the last one.
MAX_FAILED_ATTEMPTS = 4
ACQUIRE_TIMEOUT_S = 0.5
# A request that is sent just as the upstream closes the unused connection
# fails with a reset and may have been executed, so a request that must not
# be executed twice is sent only well before the keep-alive timeout.
ONCE_MIN_KEEP_ALIVE_S = 1.0
# Read timeout as a multiple of the route's latency objective.
READ_TIMEOUT_FACTOR = 4.0
MIN_READ_TIMEOUT_S = 0.8
MIN_RETRY_AFTER_S = 0.2
RETRY_AFTER_JITTER_S = 0.4
SERVER_ERROR_STATUS = 500
_NOT_EXECUTED = attempts.AttemptOutcome.NOT_EXECUTED


@attrs.frozen(eq=False)
class _Prepared:
    """An attempt that is ready to be sent.

    Attributes:
        choice: What `_choose` returned.
        upstream: Upstream that the connection leads to.
        reservation: Reservation for the upstreams of the choice.
    """

    choice: object
    upstream: object
    pool: _pool.Pool
    conn: object
    reservation: _reservation.Reservation


class RequestHandler(abc.ABC):
    """Serves one request of a caller; subclasses make the attempts.

    Args:
        gateway: The Gateway.
        req: The CallerRequest.
        route: The Route that matches it.
        caller: The CallerConnection that receives the response.
        started_at: Loop time at which the request began to arrive.

    Attributes:
        first_event_s: Seconds from the request to the first event, 0 if
            there was none.
        longest_gap_s: Longest time between two events of a stream.
        prefill_s: Duration of a prefill at a separate engine, 0 if there
            was none.
        placement: Placement of the last attempt, None if there was none or
            for a plain call.
        outcome: Outcome of the request for the log and the metrics.
        upstream_id: Id of the upstream of the last attempt.
    """

    __slots__ = (
        '_sent_count',
        '_failed_outcomes',
        '_caller_conn',
        '_usage_counted',
        '_deadline',
        '_error_response',
        '_fleet',
        '_gateway',
        '_last_event_id',
        '_loop',
        '_prepared',
        '_req',
        '_reservation',
        '_retry_spent',
        '_route',
        '_service',
        '_silence_noted',
        '_started_at',
        '_streaming',
        '_suspicion',
        '_tried',
        '_unavailable',
        'first_event_s',
        'longest_gap_s',
        'outcome',
        'placement',
        'prefill_s',
        'upstream_id',
    )

    def __init__(self, gateway, req, route, caller, started_at):
        self._gateway = gateway
        self._fleet = gateway.fleet
        self._loop = gateway.loop
        self._req = req
        self._route = route
        self._caller_conn = caller
        self._started_at = started_at
        limit_s = route.timeout_s
        if req.timeout_s is not None:
            limit_s = min(limit_s, req.timeout_s)
        self._deadline = started_at + limit_s
        self._service = route.service_for(req.id)
        # AttemptOutcome of each failed attempt, also of those not sent.
        self._failed_outcomes = []
        # Ids of upstreams that the request was sent to, and of those that
        # it could not be sent to; neither are tried again.
        self._tried = set()
        self._unavailable = set()
        # Requests sent for a response, and failed prefills.
        self._sent_count = 0
        # What `_may_leave` has prepared and spent for the next attempt.
        self._prepared = None
        self._retry_spent = False
        # Tokens of rate limits for the attempt that is being made.
        self._reservation = _reservation.Reservation(self._loop)
        self._silence_noted = False
        # Whether the request counts as usage of its team.
        self._usage_counted = False
        self._error_response = None
        self._last_event_id = req.last_event_id
        self._streaming = False
        self._suspicion = _suspicion.Suspicion(
            gateway.crash_guard,
            self._prompt_parts(),
            quarantine.call_keys(
                req.method, req.host, req.target, req.body, caller.address
            ),
        )
        self.first_event_s = 0.0
        self.longest_gap_s = 0.0
        self.prefill_s = 0.0
        self.placement = None
        self.outcome = ''
        self.upstream_id = ''

    @property
    def route(self):
        """Returns the route of the request."""
        return self._route

    @property
    def service(self):
        """Returns the name of the service."""
        return self._service

    @property
    def held(self):
        """Tells whether it was refused as upstreams crash on it."""
        return self._suspicion.hold is not None

    @property
    def request_id(self):
        """Returns the id of the request."""
        return self._req.id

    @property
    def answer_tokens(self):
        """Returns the maximum number of tokens of its answer."""
        return self._req.answer_tokens

    @property
    def started_at(self):
        """Returns the loop time at which the request began to arrive."""
        return self._started_at

    @property
    def attempts(self):
        """Returns how often the request was sent, or its prefill failed."""
        return self._sent_count

    def elapsed_s(self):
        """Returns the seconds since the request arrived."""
        return self._loop.time() - self._started_at

    def _left_s(self):
        return self._deadline - self._loop.time()

    async def run(self):
        """Serves the request until its final response, or refuses it."""
        if self._suspicion.is_held():
            self._respond_failed(str(self._no_upstream()))
            return
        refusal = await self._find_refusal()
        if refusal:
            self._respond_failed(refusal)
            return
        now = self._loop.time()
        self._gateway.budget.record_request(self._service, now)
        try:
            while await self._try_once():
                pass
        except _upstream_exchange.AttemptFailed as exc:
            self._respond_failed(str(exc))
        finally:
            self._drop_prepared()
            self._reservation.release()

    def _prompt_parts(self):
        """Returns the keys of the parts that its prompt shares."""
        return ()

    async def _find_refusal(self):
        """Returns why the request may not be sent at all, or ''."""
        return ''

    def respond_stopped(self):
        """Sends the final response after `run` was cancelled by a stop."""
        self._respond_failed('the instance stops')

    async def _try_once(self):
        """Makes one attempt; returns whether another one follows.

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
            self._failed_outcomes.append(exc.outcome)
            self._error_response = exc.error_response or self._error_response
            self._log_attempt(exc)
            return self._check_retry(exc)
        finally:
            self._reservation.release()
        return False

    @abc.abstractmethod
    def _choose(self):
        """Chooses where the next attempt goes.

        Returns:
            An object that `_make_attempt` uses, or None if no upstream can
            serve the request.
        """

    @abc.abstractmethod
    def _serves(self, choice):
        """Tells whether the upstreams of a choice accept requests."""

    @abc.abstractmethod
    def _targets(self, choice):
        """Returns the Upstreams that a choice sends to, in their order."""

    def _take_choice(self):
        """Returns the choice of `_may_leave`, or a new one.

        Raises:
            NoFurtherAttempt: If no upstream can serve the request.
        """
        prepared = self._prepared
        if prepared is not None and self._serves(prepared.choice):
            self._reservation = prepared.reservation
            return prepared.choice
        self._drop_prepared()
        now = self._loop.time()
        self._fleet.registry.record_refused(self._service, now)
        choice = self._choose()
        if choice is None:
            raise self._no_upstream()
        for upstream in self._targets(choice):
            self._reservation.reserve(upstream)
        return choice

    async def _may_leave(self, conn):
        """Prepares another attempt, so that a silent upstream may be left.

        A sound upstream may be silent for a second and go on, so it is left
        only if the request can be sent elsewhere at once: the upstream is
        chosen, a connection to it acquired and the retry spent here.

        Args:
            conn: Connection to the silent upstream.

        Returns:
            Whether the next attempt is prepared, and the upstream has sent
            nothing meanwhile.
        """
        policy = self._route.retry_policy
        choice = None
        if (
            attempts.may_retry(policy, attempts.AttemptOutcome.UNKNOWN)
            and len(self._tried) < self._route.max_upstreams
            and self._gateway.allows_retry(self._service)
        ):
            choice = self._choose()
        prepared = choice is not None and await self._prepare(choice)
        if prepared and not conn.heard and self._pay_retry():
            self._retry_spent = True
            return True
        self._drop_prepared()
        if not conn.heard:
            self._note_silence()
        return False

    async def _may_leave_prefill(self, _conn):
        """Tells whether a late prefill may be left for another attempt."""
        return self._gateway.allows_retry(self._service)

    async def _prepare(self, choice):
        """Acquires a connection for a choice; tells whether it has one."""
        silent_id = self.upstream_id
        upstream, *others = self._targets(choice)
        reservation = _reservation.Reservation(self._loop)
        try:
            # Without them the silent upstream would be left for nothing.
            for target in (upstream, *others):
                reservation.reserve(target)
            pool, conn = await self._acquire(upstream)
        except _upstream_exchange.AttemptFailed as exc:
            self._gateway.log.event(
                'attempt.not_prepared',
                request=self._req.id,
                upstream=upstream.entry.id,
                reason=str(exc),
            )
            reservation.release()
            return False
        finally:
            self.upstream_id = silent_id
        self._prepared = _Prepared(choice, upstream, pool, conn, reservation)
        return True

    def _drop_prepared(self):
        prepared, self._prepared = self._prepared, None
        if prepared is not None:
            prepared.pool.release_unused(prepared.conn)
            prepared.reservation.release()

    def _note_silence(self):
        """Counts a silence against its upstream, once an attempt."""
        if self._silence_noted:
            return
        self._silence_noted = True
        upstream = self._fleet.registry.get(self.upstream_id)
        if upstream is not None:
            upstream.record_failure(self._loop.time())
        self._log_waits()

    def _log_waits(self):
        self._gateway.log.event(
            'attempt.waits',
            request=self._req.id,
            upstream=self.upstream_id,
            left_ms=round(self._left_s() * 1e3),
        )

    def _pay_retry(self):
        """Spends a retry unless `_may_leave` has; tells if there is one."""
        if self._retry_spent:
            self._retry_spent = False
            return True
        return self._gateway.spend_retry(self._service)

    @abc.abstractmethod
    async def _make_attempt(self):
        """Makes one attempt at an upstream.

        Raises:
            AttemptFailed: If it brought no whole response.
        """

    def _check_retry(self, exc):
        """Checks that a retry may follow.

        Returns:
            Always True.

        Raises:
            AttemptFailed: `exc` itself, if no retry may follow.
        """
        if self._suspicion.forbids_retry():
            raise exc
        if not attempts.may_retry(self._route.retry_policy, exc.outcome):
            raise exc
        if exc.outcome is attempts.AttemptOutcome.NOT_SENT:
            if len(self._failed_outcomes) >= MAX_FAILED_ATTEMPTS:
                raise exc
            return True
        limit = self._route.max_upstreams
        # What refuses a stream that has begun does not run it.
        if self._streaming and exc.outcome is _NOT_EXECUTED:
            limit = max(limit, MAX_FAILED_ATTEMPTS)
        if len(self._tried) >= limit:
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
            **self._attempt_details(),
        )

    def _attempt_details(self):
        """Returns further fields of the event of a failed attempt."""
        return {'subjects': self._suspicion.subjects}

    def _respond_failed(self, reason):
        """Sends the final response after the last failed attempt."""
        if self._streaming:
            self.outcome = 'cut'
            self._caller_conn.abort()
            self._gateway.record_response(self, 0, reason)
            return
        response = self._error_response
        if response is not None:
            self._relay(response)
            self._gateway.record_response(self, response.head.status, reason)
            return
        timed_out = self._left_s() < MIN_TIME_LEFT_S
        status = attempts.final_status(self._failed_outcomes, timed_out)
        headers = []
        if status is attempts.FinalStatus.NOT_RUN:
            headers = self._gateway.wire_codec.retry_after_headers(
                self._retry_after_s()
            )
        self.outcome = status.name.lower()
        self._caller_conn.respond(int(status), headers, reason.encode())
        self._gateway.record_response(self, int(status), reason)

    def _retry_after_s(self):
        """Returns when the caller should retry, spread over the callers."""
        now = self._loop.time()
        hold = self._suspicion.hold
        if hold is not None:
            least_s = max(0.0, hold.ends_at() - now)
        else:
            back_s = self._fleet.back_in_s(self._service, self._in_time(), now)
            least_s = max(MIN_RETRY_AFTER_S, back_s or 0.0)
        return least_s + self._gateway.rng.random() * RETRY_AFTER_JITTER_S

    def _in_time(self):
        """Tells whether the latency objective can still be met."""
        return self.elapsed_s() <= self._route.objective_s

    def _relay(self, response):
        self.outcome = 'relayed'
        headers = response.head.end_to_end()
        self._caller_conn.respond(response.head.status, headers, response.body)

    async def _check_end(self, head, upstream):
        """Checks a body that ended with its connection.

        The system closes the connections of a process that was killed in the
        same way as those of one that has sent all. A body that ends with the
        death of its upstream may have broken off.

        Raises:
            AttemptFailed: If the upstream crashed.
        """
        without_body = (
            self._req.method == 'HEAD'
            or head.status in _connection.NO_BODY_STATUSES
        )
        if head.framed or without_body:
            return
        if await self._gateway.crash_guard.has_crashed(upstream):
            reason = 'the upstream crashed at the end of its answer'
            raise _upstream_exchange.AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, reason
            ) from _connection.ConnectionLost(
                _connection.LossCause.CLOSED, reason
            )

    def _accept_response(self, upstream, response, started_at):
        """Relays a complete response, unless it is an error to retry.

        Each complete response counts as a success of the upstream,
        whatever its status.

        Raises:
            AttemptFailed: If it is a server error and the retry policy of
                the route allows a retry.
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
        excess_s = self._fleet.latency_baseline.observe(
            self._service, service_s
        )
        upstream.record_success(excess_s, now)
        if retryable:
            raise _upstream_exchange.AttemptFailed(
                attempts.AttemptOutcome.SERVER_ERROR,
                f'status {response.head.status}',
                error_response=response,
            )
        self._relay(response)
        self._gateway.record_response(self, response.head.status, '')

    def _no_upstream(self):
        outcome = attempts.AttemptOutcome.NOT_SENT
        if self._failed_outcomes:
            outcome = self._failed_outcomes[-1]
        hold = self._suspicion.hold
        if hold is not None:
            reason = f'upstreams crash on subject "{hold.subject}"'
            return _upstream_exchange.NoFurtherAttempt(outcome, reason)
        return _upstream_exchange.NoFurtherAttempt(
            outcome,
            f'service "{self._service}" has no upstream left to try',
            error_response=self._error_response,
        )

    def _read_timeout_s(self):
        """Returns the read timeout: how long an upstream may send nothing.

        The last attempt, and one that may not be retried, gets all the
        time until the deadline.
        """
        left_s = self._left_s()
        route = self._route
        last = len(self._tried) >= route.max_upstreams
        if route.retry_policy is routes.RetryPolicy.ONCE or last:
            return left_s
        timeout_s = READ_TIMEOUT_FACTOR * route.objective_s
        return min(left_s, max(MIN_READ_TIMEOUT_S, timeout_s))

    async def _acquire(self, upstream, min_keep_alive_s=0.0):
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
                min_keep_alive_s=min_keep_alive_s,
                body_bytes=len(self._req.body),
            )
        except _pool.PoolBusy as exc:
            raise self._not_sent(upstream, str(exc)) from exc
        except _pool.NotConnected as exc:
            now = self._loop.time()
            upstream.record_failure(now)
            upstream.eject(now)
            raise self._not_sent(upstream, str(exc)) from exc
        if not self._fleet.serves(upstream):
            # It began to drain or to turn away while this request waited.
            pool.release_unused(conn)
            reason = f'upstream "{upstream.entry.id}" accepts no requests'
            raise self._not_sent(upstream, reason)
        return pool, conn

    def _not_sent(self, upstream, reason):
        self._unavailable.add(upstream.entry.id)
        size = len(self._req.body)
        self._unavailable |= self._fleet.without_room(self._service, size)
        return _upstream_exchange.AttemptFailed(
            attempts.AttemptOutcome.NOT_SENT, reason
        )

    async def _begin_attempt(self, upstream):
        """Acquires a connection, and spends a retry if this is one.

        Raises:
            AttemptFailed: If there is no connection.
            NoFurtherAttempt: If the retry budget is spent.
        """
        pool, conn = await self._connect(upstream)
        self._use_token(upstream, pool, conn)
        if self._sent_count and not self._pay_retry():
            pool.release_unused(conn)
            raise _upstream_exchange.NoFurtherAttempt(
                self._failed_outcomes[-1],
                'the retry budget is spent',
                self._error_response,
            )
        self._sent_count += 1
        self._silence_noted = False
        self._tried.add(upstream.entry.id)
        return pool, conn

    def _use_token(self, upstream, pool, conn):
        """Uses a token of an upstream's rate limit, right before a send.

        Raises:
            AttemptFailed: If the upstream is at its limit.
        """
        if not self._reservation.use(upstream):
            pool.release_unused(conn)
            reason = f'upstream "{upstream.entry.id}" is at its rate limit'
            raise self._not_sent(upstream, reason)

    async def _connect(self, upstream):
        """Returns the prepared connection to an upstream, or acquires one."""
        prepared = self._prepared
        if prepared is not None and prepared.upstream is upstream:
            self._prepared = None
            if prepared.conn.usable:
                self.upstream_id = upstream.entry.id
                return prepared.pool, prepared.conn
            prepared.pool.discard(prepared.conn)
        min_keep_alive_s = 0.0
        if self._route.retry_policy is routes.RetryPolicy.ONCE:
            min_keep_alive_s = ONCE_MIN_KEEP_ALIVE_S
        return await self._acquire(upstream, min_keep_alive_s)

    def _params(self, upstream, **more):
        return _messages.AttemptParams(
            upstream.entry.id,
            self._left_s(),
            last_event_id=self._last_event_id,
            **more,
        )

    @contextlib.asynccontextmanager
    async def _open_exchange(self, upstream, pool, conn, *, executes=True):
        """Yields an UpstreamExchange for one attempt.

        The connection goes back to the pool after a complete response
        and is closed after any exception.

        Args:
            upstream: The Upstream.
            pool: Its connection pool.
            conn: The connection.
            executes: Whether the upstream may execute the request.
        """
        upstream.active += 1
        try:
            yield _upstream_exchange.UpstreamExchange(
                self._loop,
                conn,
                self._gateway.wire_codec,
                self._req,
                self._deadline,
                self._may_leave if executes else self._may_leave_prefill,
            )
        except BaseException as exc:
            pool.discard(conn)
            if isinstance(exc, asyncio.CancelledError):
                self._failed_outcomes.append(
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
        pool.release(conn)
