"""Counters and latency histograms of the data path."""

import prometheus_client

SECONDS = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5, 15)


class Metrics:
    """The metrics of one gateway, in a registry of its own."""

    __slots__ = ('answers', 'attempts', 'registry', 'seconds')

    def __init__(self):
        registry = prometheus_client.CollectorRegistry()
        self.registry = registry
        self.answers = prometheus_client.Counter(
            'dandelionwinch_gateway_answers',
            'Final answers to callers',
            ['route', 'status'],
            registry=registry,
        )
        self.attempts = prometheus_client.Counter(
            'dandelionwinch_gateway_failed_attempts',
            'Attempts without a whole answer',
            ['fate'],
            registry=registry,
        )
        self.seconds = prometheus_client.Histogram(
            'dandelionwinch_gateway_seconds',
            'Time from a whole request to a stage of its answer',
            ['route', 'stage', 'outcome'],
            buckets=SECONDS,
            registry=registry,
        )

    def ended(self, route, status, outcome, stages):
        """Notes the final answer of a request.

        Args:
            route: Name of the route.
            status: Status of the answer, 0 if it was cut.
            outcome: What became of it.
            stages: Seconds by stage; a stage that was not reached has 0.
        """
        self.answers.labels(route, str(status)).inc()
        for stage, taken_s in stages.items():
            if taken_s:
                labels = (route, stage, outcome)
                self.seconds.labels(*labels).observe(taken_s)

    def text(self):
        """Returns all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)
