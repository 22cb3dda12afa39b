"""Serves a caller's request: attempts at upstreams, one final response.

The kinds of requests differ in how an attempt is made; each has a
subclass, in `_call_handler` and `_generation_handler`.
"""

import abc

from dandelionwinch import attempts
from dandelionwinch.gateway import _attempt_connections
from dandelionwinch.gateway import _final_response
from dandelionwinch.gateway import _messages
from dandelionwinch.gateway import _next_attempt
from dandelionwinch.gateway import _request_report
from dandelionwinch.gateway import _request_state
from dandelionwinch.gateway import _suspicion
from dandelionwinch.gateway import _upstream_exchange
from dandelionwinch import quarantine
from dandelionwinch import routes

SERVER_ERROR_STATUS = 500


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
    """

    __slots__ = (
        '_caller_conn',
        '_connections',
        '_final',
        '_fleet',
        '_gateway',
        '_loop',
        '_next',
        '_report',
        '_req',
        '_route',
        '_service',
        '_started_at',
        '_state',
        '_suspicion',
        '_tried',
        '_unavailable',
        '_usage_counted',
        'first_event_s',
        'longest_gap_s',
        'placement',
        'prefill_s',
    )

    def __init__(self, gateway, req, route, caller, started_at):
        self._gateway = gateway
        self._fleet = gateway.fleet
        self._loop = gateway.loop
        self._req = req
        self._route = route
        self._caller_conn = caller
        self._started_at = started_at
        self._service = route.service_for(req.id)
        self._suspicion = self._make_suspicion()
        self._state = self._make_state()
        self._tried = self._state.tried
        self._unavailable = self._state.unavailable
        self._report = _request_report.RequestReport(self._state)
        self._connections = _attempt_connections.AttemptConnections(
            self._state
        )
        self._next = _next_attempt.NextAttempt(
            self._state,
            _next_attempt.Chooser(self._choose, self._serves, self._targets),
            self._connections,
            self._report,
        )
        self._final = _final_response.FinalResponse(self._state, caller)
        # Whether the request counts as usage of its team.
        self._usage_counted = False
        self.first_event_s = 0.0
        self.longest_gap_s = 0.0
        self.prefill_s = 0.0
        self.placement = None

    def _make_suspicion(self):
        req = self._req
        return _suspicion.Suspicion(
            self._gateway.crash_guard,
            self._prompt_parts(),
            quarantine.call_keys(
                req.method,
                req.host,
                req.target,
                req.body,
                self._caller_conn.address,
            ),
        )

    def _make_state(self):
        limit_s = self._route.timeout_s
        if self._req.timeout_s is not None:
            limit_s = min(limit_s, self._req.timeout_s)
        return _request_state.RequestState(
            self._gateway,
            self._req,
            self._route,
            self._service,
            self._started_at,
            self._started_at + limit_s,
            self._suspicion,
            self._req.last_event_id,
        )

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
        return self._state.sent_count

    @property
    def outcome(self):
        """Returns the outcome of the request for the log and the metrics."""
        return self._state.outcome

    @property
    def upstream_id(self):
        """Returns the id of the upstream of the last attempt."""
        return self._state.upstream_id

    def elapsed_s(self):
        """Returns the seconds since the request arrived."""
        return self._state.elapsed_s()

    def _left_s(self):
        return self._state.left_s()

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
            self._next.drop_prepared()
            self._next.release()

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
        self._next.check_time()
        try:
            await self._make_attempt()
        except _upstream_exchange.NoFurtherAttempt:
            raise
        except _upstream_exchange.AttemptFailed as exc:
            state = self._state
            state.failed_outcomes.append(exc.outcome)
            state.error_response = exc.error_response or state.error_response
            self._log_attempt(exc)
            return self._next.check_retry(exc)
        finally:
            self._next.release()
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

    @abc.abstractmethod
    async def _make_attempt(self):
        """Makes one attempt at an upstream.

        Raises:
            AttemptFailed: If it brought no whole response.
        """

    def _take_choice(self):
        """Returns a prepared choice, or a new one."""
        return self._next.take_choice()

    def _no_upstream(self):
        return self._next.no_upstream()

    def _read_timeout_s(self):
        """Returns the read timeout: how long an upstream may send nothing."""
        return self._next.read_timeout_s()

    async def _begin_attempt(self, upstream):
        """Acquires a connection, and spends a retry if this is one."""
        return await self._next.begin(upstream)

    def _open_exchange(self, upstream, pool, conn):
        """Returns a context manager with the UpstreamExchange of an attempt.

        Args:
            upstream: The Upstream.
            pool: Its connection pool.
            conn: The connection.
        """
        return self._connections.open_exchange(
            upstream, pool, conn, self._next.may_leave, True
        )

    def _params(self, upstream, **more):
        return _messages.AttemptParams(
            upstream.entry.id,
            self._left_s(),
            last_event_id=self._state.last_event_id,
            **more,
        )

    def _log_attempt(self, exc):
        self._report.attempt_failed(exc, self._attempt_details())

    def _attempt_details(self):
        """Returns further fields of the event of a failed attempt."""
        return {'subjects': self._suspicion.subjects}

    def _in_time(self):
        """Tells whether the latency objective can still be met."""
        return self.elapsed_s() <= self._route.objective_s

    def _respond_failed(self, reason):
        """Sends the final response after the last failed attempt."""
        status = self._final.respond_failed(reason, self._in_time())
        self._gateway.record_response(self, status, reason)

    def _accept_response(self, upstream, response, started_at):
        """Relays a complete response, unless it is an error to retry.

        Raises:
            AttemptFailed: If it is a server error and the retry policy of
                the route allows a retry.
        """
        self._report.upstream_answered(upstream, started_at)
        if (
            response.head.status >= SERVER_ERROR_STATUS
            and self._route.retry_policy is not routes.RetryPolicy.ONCE
        ):
            raise _upstream_exchange.AttemptFailed(
                attempts.AttemptOutcome.SERVER_ERROR,
                f'status {response.head.status}',
                error_response=response,
            )
        status = self._final.relay(response)
        self._gateway.record_response(self, status, '')
