"""Records what upstreams state about themselves in their responses."""

# Length to which a value that cannot be read is cut in the log.
MAX_LOGGED_CHARS = 80


class ResponseObserver:
    """Applies the UpstreamStatus of response heads to the upstreams.

    Args:
        loop: Event loop.
        fleet: Fleet with the upstreams.
        wire_codec: WireCodec.
        rng: Source of randomness.
        log: Event log.
        metrics: Metrics.
        on_leaving: Function of the incarnation of an upstream that said
            for the first time that it shuts down.
        on_limit: Function of an Upstream and the rate limit in requests a
            second that a response states, None for none.
    """

    __slots__ = (
        '_fleet',
        '_log',
        '_loop',
        '_metrics',
        '_on_leaving',
        '_on_limit',
        '_rng',
        '_wire_codec',
    )

    def __init__(
        self, loop, fleet, wire_codec, rng, log, metrics, on_leaving, on_limit
    ):
        self._loop = loop
        self._rng = rng
        self._fleet = fleet
        self._wire_codec = wire_codec
        self._log = log
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._on_limit = on_limit

    def observe_head(self, incarnation, head):
        """Applies a response head, also one that no request waits for.

        Args:
            incarnation: Incarnation of the upstream that was called.
            head: Head of the response.
        """
        upstream = self._fleet.registry.find(incarnation)
        if upstream is None:
            return
        status = self._wire_codec.parse_upstream_status(head)
        if status.malformed:
            self._log_malformed(upstream, status.malformed[0])
        if status.leaving and not upstream.leaving:
            self._record_leaving(upstream)
        if status.rate_limit is not None:
            self._on_limit(upstream, status.rate_limit.rate_per_s)
        if status.retry_after_s is not None:
            self._hold_off(upstream, status.retry_after_s)

    def _record_leaving(self, upstream):
        upstream.leaving = True
        self._fleet.turn_away(upstream.entry.incarnation)
        self._log.event(
            'upstream.leaving',
            upstream=upstream.entry.id,
            born=upstream.entry.started_at_ms,
        )
        self._on_leaving(upstream.entry.incarnation)

    def _hold_off(self, upstream, wait_s):
        now = self._loop.time()
        if not upstream.hold_off(wait_s, now, self._rng.random()):
            return
        self._fleet.turn_away(upstream.entry.incarnation)
        self._log.event(
            'upstream.held_off',
            upstream=upstream.entry.id,
            held_s=round(upstream.held_off_until - now, 3),
        )

    def _log_malformed(self, upstream, header):
        """Counts malformed headers; logs the first one of an upstream."""
        self._metrics.malformed_headers.inc()
        if upstream.sent_malformed_header:
            return
        upstream.sent_malformed_header = True
        name, value = header
        self._log.event(
            'upstream.header_invalid',
            upstream=upstream.entry.id,
            header=name,
            value=value[:MAX_LOGGED_CHARS],
        )
