"""Counters and latency histograms of the data path."""

import functools

import prometheus_client

# Teams with a series of their own; all others share one.
MAX_TEAMS = 100
OTHER_TEAMS = 'others'
LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5, 15)
AWAY_BUCKETS_S = (0.5, 1, 2, 3, 4, 6, 10, 20, 60)


class Metrics:
    """Metrics of one gateway, in a Prometheus registry of their own."""

    __slots__ = (
        '_teams',
        'answers',
        'attempts',
        'capacity_demand',
        'capacity_needed',
        'capacity_orders',
        'capacity_planned',
        'engine_crashes',
        'held_requests',
        'holds',
        'late_usage',
        'limited_upstreams',
        'malformed_headers',
        'registry',
        'relay_messages',
        'seconds',
        'store_away',
        'store_failed_calls',
        'store_return_bound',
        'stream_moves',
        'unauthorized_requests',
        'usage',
    )

    def __init__(self):
        registry = prometheus_client.CollectorRegistry()
        self.registry = registry
        counter = functools.partial(
            prometheus_client.Counter, registry=registry
        )
        gauge = functools.partial(prometheus_client.Gauge, registry=registry)
        self.answers = counter(
            'dandelionwinch_gateway_answers',
            'Final answers to callers',
            ['route', 'status'],
        )
        self.attempts = counter(
            'dandelionwinch_gateway_failed_attempts',
            'Attempts without a whole answer',
            ['fate'],
        )
        self.seconds = prometheus_client.Histogram(
            'dandelionwinch_gateway_seconds',
            'Time from a whole request to a stage of its answer',
            ['route', 'stage', 'outcome'],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )

        self.engine_crashes = counter(
            'dandelionwinch_gateway_engine_crashes',
            'Crashes of upstreams under requests without an answer',
        )
        self.held_requests = counter(
            'dandelionwinch_gateway_held_requests',
            'Requests refused as upstreams crash on them',
        )
        self.holds = gauge(
            'dandelionwinch_gateway_holds',
            'Parts of prompts, and calls, that are held',
        )
        self.limited_upstreams = gauge(
            'dandelionwinch_gateway_limited_upstreams',
            'Upstreams that state a rate limit',
        )
        self.malformed_headers = counter(
            'dandelionwinch_gateway_malformed_headers',
            'Headers of upstreams about themselves that cannot be read',
        )

        self.usage = counter(
            'dandelionwinch_usage_requests',
            'Requests of teams that began to run',
            ['team'],
        )
        self.late_usage = counter(
            'dandelionwinch_usage_late_requests',
            'Requests that were seen after the report of their window',
        )
        self.unauthorized_requests = counter(
            'dandelionwinch_gateway_unauthorized_requests',
            'Requests refused as they had no valid key',
        )
        self.relay_messages = counter(
            'dandelionwinch_relay_messages',
            'Messages about changes of the store, by what became of them',
            ['result'],
        )
        self.stream_moves = prometheus_client.Counter(
            'dandelionwinch_gateway_stream_moves',
            'Streams on engines that leave, by how their migration ended',
            ['result'],
            registry=registry,
        )
        self.store_failed_calls = counter(
            'dandelionwinch_store_failed_calls',
            'Calls that follow the store and had no answer, by what for',
            ['call'],
        )
        self.store_away = prometheus_client.Histogram(
            'dandelionwinch_store_away_seconds',
            'Time from a call that failed to an answer of the store',
            buckets=AWAY_BUCKETS_S,
            registry=registry,
        )
        self.store_return_bound = gauge(
            'dandelionwinch_store_return_bound_seconds',
            'Time after an outage of the store to be up to date',
        )
        self._teams = set()
        self._add_capacity(counter, gauge)

    def record_usage(self, team):
        """Records a request of a team that began to run."""
        if team not in self._teams:
            if len(self._teams) < MAX_TEAMS:
                self._teams.add(team)
            else:
                team = OTHER_TEAMS
        self.usage.labels(team).inc()

    def _add_capacity(self, counter, gauge):
        """Adds what the holder of the order lease plans and orders."""
        self.capacity_demand = gauge(
            'dandelionwinch_gateway_capacity_demand',
            'Work asked for, in engine seconds a second, at the holder',
            ['service'],
        )
        self.capacity_needed = gauge(
            'dandelionwinch_gateway_capacity_needed',
            'Upstreams that the forecast needs, at the holder',
            ['service'],
        )
        self.capacity_planned = gauge(
            'dandelionwinch_gateway_capacity_planned',
            'Upstreams that are planned, at the holder',
            ['service', 'kind'],
        )
        self.capacity_orders = counter(
            'dandelionwinch_gateway_capacity_orders',
            'Orders of capacity by what became of them',
            ['result'],
        )

    def record_response(self, route, status, outcome, stages):
        """Records the final response to a request.

        Args:
            route: Name of the route.
            status: Status of the response, 0 if it was aborted.
            outcome: Outcome of the request, as in `RequestHandler`.
            stages: Seconds by stage, 0 for a stage that was not reached.
        """
        self.answers.labels(route, str(status)).inc()
        for stage, taken_s in stages.items():
            if taken_s:
                labels = (route, stage, outcome)
                self.seconds.labels(*labels).observe(taken_s)

    def text(self):
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
