"""What is logged and counted of the attempts at a request."""


class RequestReport:
    """Logs the attempts, and counts them for or against their upstreams.

    Args:
        state: RequestState.
    """

    __slots__ = ('_gateway', '_loop', '_silence_noted', '_state')

    def __init__(self, state):
        self._state = state
        self._gateway = state.gateway
        self._loop = state.gateway.loop
        self._silence_noted = False

    def attempt_begins(self):
        """Records that a request is sent."""
        self._silence_noted = False

    def attempt_failed(self, exc, details):
        """Counts and logs a failed attempt.

        Args:
            exc: The AttemptFailed.
            details: Further fields of the event.
        """
        self._gateway.metrics.attempts.labels(exc.outcome.value).inc()
        self._gateway.log.event(
            'attempt.failed',
            request=self._state.req.id,
            upstream=self._state.upstream_id,
            fate=exc.outcome.value,
            reason=str(exc),
            left_ms=round(self._state.left_s() * 1e3),
            **details,
        )

    def not_prepared(self, upstream, exc):
        """Logs why an attempt elsewhere could not be prepared."""
        self._gateway.log.event(
            'attempt.not_prepared',
            request=self._state.req.id,
            upstream=upstream.entry.id,
            reason=str(exc),
        )

    def upstream_is_silent(self):
        """Counts a silence against its upstream, once an attempt."""
        if self._silence_noted:
            return
        self._silence_noted = True
        upstream_id = self._state.upstream_id
        upstream = self._gateway.fleet.registry.get(upstream_id)
        if upstream is not None:
            upstream.record_failure(self._loop.time())
        self._gateway.log.event(
            'attempt.waits',
            request=self._state.req.id,
            upstream=upstream_id,
            left_ms=round(self._state.left_s() * 1e3),
        )

    def upstream_answered(self, upstream, started_at):
        """Counts a complete response as a success, whatever its status.

        Args:
            upstream: The Upstream.
            started_at: Loop time at which the request was sent.
        """
        now = self._loop.time()
        round_trip_s = self._gateway.distances.round_trip_s(
            upstream.entry.data_centre
        )
        service_s = now - started_at - round_trip_s
        excess_s = self._gateway.fleet.latency_baseline.observe(
            self._state.service, service_s
        )
        upstream.record_success(excess_s, now)
