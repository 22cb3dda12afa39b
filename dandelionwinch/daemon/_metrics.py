"""Prometheus metrics of one instance."""

import prometheus_client


class Metrics:
    """Metrics in a registry that belongs to this instance alone."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.jobs = self._counter(
            'jobs', 'Jobs by how they ended', ['state', 'code']
        )
        self.tokens = self._counter(
            'delivered_tokens', 'Output tokens of delivered jobs', []
        )
        self.running = self._gauge('jobs_running', 'Jobs being served', [])
        self.retries = self._counter('retries', 'Attempts after the first', [])
        self.store_calls = self._counter(
            'store_calls', 'Calls of the store by request', ['request']
        )
        self.revision = self._gauge(
            'settings_revision', 'Configuration revision in force', []
        )
        self.members = self._gauge('members_live', 'Live instances', [])
        self.ready = self._gauge('ready', '1 while new work is taken', [])
        self.shards = self._gauge('shards_held', 'Shards held', [])
        self.frozen = self._gauge(
            'upstreams_frozen', 'Upstreams that take no orders at present', []
        )
        self.claims_open = self._gauge(
            'claims_unresolved', 'Claims without a known outcome', []
        )
        self.first_token = prometheus_client.Histogram(
            'dandelionwinch_first_token_seconds',
            'Time to the first token',
            registry=self.registry,
            buckets=(0.05, 0.1, 0.2, 0.5, 0.8, 1.1, 2, 5, 10),
        )

    def _counter(self, name, text, labels):
        return prometheus_client.Counter(
            f'dandelionwinch_{name}', text, labels, registry=self.registry
        )

    def _gauge(self, name, text, labels):
        return prometheus_client.Gauge(
            f'dandelionwinch_{name}', text, labels, registry=self.registry
        )

    def exposition(self):
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
