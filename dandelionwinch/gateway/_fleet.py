"""The registry of upstreams, and a connection pool for each of them."""

import functools
import math

from dandelionwinch.gateway import _answer_bytes
from dandelionwinch.gateway import _pool
from dandelionwinch import ratelimits
from dandelionwinch import upstreams

# Part of a service's connection limit that all instances use together.
CONNECTION_LIMIT_RATIO = 0.8
DEFAULT_MAX_CONNECTIONS = 64
FORGET_UPSTREAM_AFTER_S = 30.0


class Fleet:
    """The upstreams as one instance uses them.

    Attributes:
        answer_bytes: AnswerBytes of the answers of all upstreams.
        registry: State of each upstream.
        capacity_ratio: Capacity of all instances over this instance's,
            which divides the connection limits.
        table: The RouteTable, None before the first one is known.
        observe_head: Called with the incarnation of an upstream and the
            head of each of its responses, or None.
        end_checks: The EndChecks, None for no check.
        latency_baseline: Typical latency of each service.
        byte_limits: The ByteLimits, None if they are not in force.
    """

    __slots__ = (
        '_loop',
        '_pools',
        '_returns',
        'answer_bytes',
        'byte_limits',
        'capacity_ratio',
        'end_checks',
        'latency_baseline',
        'observe_head',
        'registry',
        'table',
    )

    def __init__(self, loop):
        self._loop = loop
        self._pools = {}
        self._returns = ratelimits.ReturnSchedule()
        self.answer_bytes = _answer_bytes.AnswerBytes(math.inf)
        self.registry = upstreams.Registry()
        self.capacity_ratio = 1.0
        self.table = None
        self.observe_head = None
        self.byte_limits = None
        self.end_checks = None
        self.latency_baseline = upstreams.LatencyBaseline()

    def pool(self, upstream):
        """Returns the connection pool of one incarnation of an upstream."""
        entry = upstream.entry
        key = entry.incarnation
        pool = self._pools.get(key)
        limit = self._connection_limit(entry.service)
        if pool is None:
            guard = None
            if self.byte_limits is not None:
                guard = self.byte_limits.guard(entry)
            observe_head = functools.partial(self._observe_head, key, guard)
            check_end = None
            if self.end_checks is not None:
                check_end = functools.partial(self.end_checks.begin, upstream)
            pool = _pool.Pool(
                self._loop,
                entry.address,
                limit,
                observe_head,
                guard,
                check_end,
            )
            self._pools[key] = pool
        pool.limit = limit
        return pool

    def _observe_head(self, incarnation, guard, head):
        if guard is not None:
            guard.record_response()
        if self.observe_head is not None:
            self.observe_head(incarnation, head)

    def turn_away(self, incarnation):
        """Ends the waits for a connection to an incarnation."""
        pool = self._pools.get(incarnation)
        if pool is not None:
            pool.turn_away()

    def serves(self, upstream):
        """Tells whether an upstream may get a request at this moment.

        It is asked right before each send, with nothing awaited between.
        """
        return self.registry.serves(upstream, self._loop.time())

    def serving(self, service):
        """Returns the upstreams of a service that may get requests now."""
        serving = self.registry.serving(service, self._loop.time())
        if self.byte_limits is None:
            return serving
        return self.byte_limits.admitted(serving)

    def without_room(self, service, size):
        """Returns the ids of upstreams that have no room for a body.

        Args:
            service: Name of the service.
            size: Bytes of the body.
        """
        if self.byte_limits is None:
            return set()
        return self.byte_limits.without_room(service, size)

    def upstream_crashed(self, upstream):
        """Records that an upstream crashed."""
        if self.byte_limits is not None:
            self.byte_limits.crashed(upstream)

    def back_in_s(self, service, urgent, now):
        """Returns in how many seconds a refused caller should retry.

        Args:
            service: Name of the service that takes no request now.
            urgent: Whether the request can still be in time.
            now: Time in seconds.

        Returns:
            Seconds, or None if no hold-off and no rate limit tells.
        """
        back_s = self.registry.back_in_s(service, now)
        rate_per_s = self.registry.limited_rate_per_s(service, now)
        if back_s is None or not rate_per_s:
            return back_s
        return self._returns.wait_s(service, back_s, rate_per_s, urgent, now)

    def _connection_limit(self, service_name):
        service = self.table.services.get(service_name) if self.table else None
        total = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        return max(
            2, int(total * CONNECTION_LIMIT_RATIO / self.capacity_ratio)
        )

    def sweep(self, now):
        """Closes idle connections and those to deregistered upstreams."""
        self.registry.forget(now, FORGET_UPSTREAM_AFTER_S)
        for key, pool in list(self._pools.items()):
            pool.sweep()
            if not self.registry.is_registered(key):
                pool.close()
                if not pool.open:
                    del self._pools[key]

    def close(self):
        """Closes idle connections."""
        for pool in self._pools.values():
            pool.close()
