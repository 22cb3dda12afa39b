"""Counters and latency histograms of the data path."""

import prometheus_client

SECONDS = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5, 15)


class Metrics:
    """The metrics of one gateway, in a registry of its own."""

    __slots__ = ('answers', 'attempts', 'first_event', 'registry', 'seconds')

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
            'Time from a whole request to the end of its answer',
            ['route'],
            buckets=SECONDS,
            registry=registry,
        )
        self.first_event = prometheus_client.Histogram(
            'dandelionwinch_gateway_first_event_seconds',
            'Time from a whole request to the first event of its answer',
            ['route'],
            buckets=SECONDS,
            registry=registry,
        )

    def text(self):
        """Returns all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)
