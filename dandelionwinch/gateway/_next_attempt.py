"""The next attempt at a request: its choice, its retry and its time."""

import collections.abc

import attrs

from dandelionwinch import attempts
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _reservation
from dandelionwinch.gateway import _upstream_exchange
from dandelionwinch import routes

# No attempt starts with less time than this before the deadline.
MIN_TIME_LEFT_S = 0.02
# Failed attempts, whether sent or not, after which an attempt that could
# not be sent is the last one.
MAX_FAILED_ATTEMPTS = 4
# A request that is sent just as the upstream closes the unused connection
# fails with a reset and may have been executed, so a request that must not
# be executed twice is sent only well before the keep-alive timeout.
ONCE_MIN_KEEP_ALIVE_S = 1.0
# Read timeout as a multiple of the route's latency objective.
READ_TIMEOUT_FACTOR = 4.0
MIN_READ_TIMEOUT_S = 0.8
_NOT_EXECUTED = attempts.AttemptOutcome.NOT_EXECUTED


@attrs.frozen
class Chooser:
    """How a kind of requests chooses upstreams.

    Attributes:
        choose: Returns where the next attempt goes, or None.
        serves: Tells whether the upstreams of a choice accept requests.
        targets: Returns the Upstreams that a choice sends to, in order.
    """

    choose: collections.abc.Callable
    serves: collections.abc.Callable
    targets: collections.abc.Callable


@attrs.frozen(eq=False)
class _Prepared:
    """An attempt that is ready to be sent.

    Attributes:
        choice: What the Chooser returned.
        upstream: Upstream that the connection leads to.
        reservation: Reservation for the upstreams of the choice.
    """

    choice: object
    upstream: object
    pool: _pool.Pool
    conn: object
    reservation: _reservation.Reservation


class NextAttempt:
    """Decides whether and where a request is sent next, and prepares it.

    Args:
        state: RequestState.
        chooser: Chooser.
        connections: AttemptConnections.
        report: RequestReport.
    """

    __slots__ = (
        '_chooser',
        '_connections',
        '_fleet',
        '_gateway',
        '_loop',
        '_prepared',
        '_report',
        '_reservation',
        '_retry_spent',
        '_route',
        '_state',
    )

    def __init__(self, state, chooser, connections, report):
        self._state = state
        self._chooser = chooser
        self._connections = connections
        self._report = report
        self._gateway = state.gateway
        self._fleet = state.gateway.fleet
        self._loop = state.gateway.loop
        self._route = state.route
        # What `may_leave` has prepared and spent for the next attempt.
        self._prepared = None
        self._retry_spent = False
        # Tokens of rate limits for the attempt that is being made.
        self._reservation = _reservation.Reservation(self._loop)

    def check_time(self):
        """Checks that there is time for an attempt.

        Raises:
            NoFurtherAttempt: If there is none.
        """
        if self._state.left_s() < MIN_TIME_LEFT_S:
            raise _upstream_exchange.NoFurtherAttempt(
                attempts.AttemptOutcome.NOT_SENT, 'no time is left'
            )

    def check_retry(self, exc):
        """Checks that a retry may follow.

        Returns:
            Always True.

        Raises:
            AttemptFailed: `exc` itself, if no retry may follow.
        """
        state = self._state
        if state.suspicion.forbids_retry():
            raise exc
        if not attempts.may_retry(self._route.retry_policy, exc.outcome):
            raise exc
        if exc.outcome is attempts.AttemptOutcome.NOT_SENT:
            if len(state.failed_outcomes) >= MAX_FAILED_ATTEMPTS:
                raise exc
            return True
        limit = self._route.max_upstreams
        # What refuses a stream that has begun does not run it.
        if state.streaming and exc.outcome is _NOT_EXECUTED:
            limit = max(limit, MAX_FAILED_ATTEMPTS)
        if len(state.tried) >= limit:
            raise exc
        if state.left_s() < MIN_TIME_LEFT_S:
            raise exc
        return True

    def no_upstream(self):
        """Returns the NoFurtherAttempt for want of an upstream."""
        state = self._state
        outcome = attempts.AttemptOutcome.NOT_SENT
        if state.failed_outcomes:
            outcome = state.failed_outcomes[-1]
        hold = state.suspicion.hold
        if hold is not None:
            reason = f'upstreams crash on subject "{hold.subject}"'
            return _upstream_exchange.NoFurtherAttempt(outcome, reason)
        return _upstream_exchange.NoFurtherAttempt(
            outcome,
            f'service "{state.service}" has no upstream left to try',
            error_response=state.error_response,
        )

    def read_timeout_s(self):
        """Returns the read timeout: how long an upstream may send nothing.

        The last attempt, and one that may not be retried, gets all the
        time until the deadline.
        """
        left_s = self._state.left_s()
        route = self._route
        last = len(self._state.tried) >= route.max_upstreams
        if route.retry_policy is routes.RetryPolicy.ONCE or last:
            return left_s
        timeout_s = READ_TIMEOUT_FACTOR * route.objective_s
        return min(left_s, max(MIN_READ_TIMEOUT_S, timeout_s))

    def take_choice(self):
        """Returns the choice of `may_leave`, or a new one.

        Raises:
            NoFurtherAttempt: If no upstream can serve the request.
        """
        prepared = self._prepared
        if prepared is not None and self._chooser.serves(prepared.choice):
            self._reservation = prepared.reservation
            return prepared.choice
        self.drop_prepared()
        now = self._loop.time()
        self._fleet.registry.record_refused(self._state.service, now)
        choice = self._chooser.choose()
        if choice is None:
            raise self.no_upstream()
        for upstream in self._chooser.targets(choice):
            self._reservation.reserve(upstream)
        return choice

    async def may_leave(self, conn):
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
            and len(self._state.tried) < self._route.max_upstreams
            and self._gateway.allows_retry(self._state.service)
        ):
            choice = self._chooser.choose()
        prepared = choice is not None and await self._prepare(choice)
        if prepared and not conn.heard and self._pay_retry():
            self._retry_spent = True
            return True
        self.drop_prepared()
        if not conn.heard:
            self._report.upstream_is_silent()
        return False

    async def may_leave_prefill(self, _conn):
        """Tells whether a late prefill may be left for another attempt."""
        return self._gateway.allows_retry(self._state.service)

    async def _prepare(self, choice):
        """Acquires a connection for a choice; tells whether it has one."""
        silent_id = self._state.upstream_id
        upstream, *others = self._chooser.targets(choice)
        reservation = _reservation.Reservation(self._loop)
        try:
            # Without them the silent upstream would be left for nothing.
            for target in (upstream, *others):
                reservation.reserve(target)
            pool, conn = await self._connections.acquire(upstream)
        except _upstream_exchange.AttemptFailed as exc:
            self._report.not_prepared(upstream, exc)
            reservation.release()
            return False
        finally:
            self._state.upstream_id = silent_id
        self._prepared = _Prepared(choice, upstream, pool, conn, reservation)
        return True

    def drop_prepared(self):
        """Gives up what `may_leave` has prepared."""
        prepared, self._prepared = self._prepared, None
        if prepared is not None:
            prepared.pool.release_unused(prepared.conn)
            prepared.reservation.release()

    def release(self):
        """Gives the tokens back that the last attempt did not use."""
        self._reservation.release()

    def _pay_retry(self):
        """Spends a retry unless `may_leave` has; tells if there is one."""
        if self._retry_spent:
            self._retry_spent = False
            return True
        return self._gateway.spend_retry(self._state.service)

    async def begin(self, upstream):
        """Acquires a connection, and spends a retry if this is one.

        Raises:
            AttemptFailed: If there is no connection.
            NoFurtherAttempt: If the retry budget is spent.
        """
        state = self._state
        pool, conn = await self._connect(upstream)
        self.use_token(upstream, pool, conn)
        if state.sent_count and not self._pay_retry():
            pool.release_unused(conn)
            raise _upstream_exchange.NoFurtherAttempt(
                state.failed_outcomes[-1],
                'the retry budget is spent',
                state.error_response,
            )
        state.sent_count += 1
        self._report.attempt_begins()
        state.tried.add(upstream.entry.id)
        return pool, conn

    def use_token(self, upstream, pool, conn):
        """Uses a token of an upstream's rate limit, right before a send.

        Raises:
            AttemptFailed: If the upstream is at its limit.
        """
        if not self._reservation.use(upstream):
            pool.release_unused(conn)
            reason = f'upstream "{upstream.entry.id}" is at its rate limit'
            raise self._connections.not_sent(upstream, reason)

    async def _connect(self, upstream):
        """Returns the prepared connection to an upstream, or acquires one."""
        prepared = self._prepared
        if prepared is not None and prepared.upstream is upstream:
            self._prepared = None
            if prepared.conn.usable:
                self._state.upstream_id = upstream.entry.id
                return prepared.pool, prepared.conn
            prepared.pool.discard(prepared.conn)
        min_keep_alive_s = 0.0
        if self._route.retry_policy is routes.RetryPolicy.ONCE:
            min_keep_alive_s = ONCE_MIN_KEEP_ALIVE_S
        return await self._connections.acquire(upstream, min_keep_alive_s)
