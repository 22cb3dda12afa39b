"""Connection pools and the registry of upstreams, kept in step."""

from dandelionwinch.gateway import _pool
from dandelionwinch import upstreams

CONNECTION_SHARE = 0.8
DEFAULT_CONNECTIONS = 64
FORGET_S = 30.0


class Fleet:
    """The upstreams as one instance uses them."""

    __slots__ = (
        '_loop',
        '_pools',
        'registry',
        'instance_count',
        'table',
        'latency_baseline',
    )

    def __init__(self, loop):
        self._loop = loop
        self._pools = {}
        self.registry = upstreams.Registry()
        self.instance_count = 1.0
        self.table = None
        self.latency_baseline = upstreams.LatencyBaseline()

    def pool(self, upstream):
        """Returns the connections to one incarnation of an upstream."""
        entry = upstream.entry
        key = (entry.id, entry.born, entry.address)
        pool = self._pools.get(key)
        limit = self._limit(entry.service)
        if pool is None:
            pool = _pool.Pool(self._loop, entry.address, limit)
            self._pools[key] = pool
        pool.limit = limit
        return pool

    def _limit(self, service):
        known = self.table.services.get(service) if self.table else None
        most = known.max_connections if known else DEFAULT_CONNECTIONS
        return max(2, int(most * CONNECTION_SHARE / self.instance_count))

    def sweep(self, now):
        """Closes idle connections and those to upstreams that are gone."""
        self.registry.forget(now, FORGET_S)
        serving = {
            (b.entry.id, b.entry.born, b.entry.address)
            for b in self.registry
            if b.gone_at is None
        }
        for key, pool in list(self._pools.items()):
            pool.sweep()
            if key not in serving:
                pool.close()
                if not pool.open:
                    del self._pools[key]

    def close(self):
        """Closes idle connections."""
        for pool in self._pools.values():
            pool.close()
