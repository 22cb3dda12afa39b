"""The route table: what one accepted configuration says."""

import enum

import attrs

from dandelionwinch import utils


class RetryPolicy(enum.Enum):
    """How often one request of a route may be run."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    RESUMABLE = 'resumable'


@attrs.frozen
class TrafficShare:
    """A service and its relative share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route.

    Attributes:
        prefix: Beginning of the paths, with a slash at both ends.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Latency objective of an answer or its first event.
        priority: Priority of the route, 0 is the highest.
        max_attempts: Upstreams that one request may be sent to.
        sticky: Whether requests carry a prompt that upstreams cache.
        gap_s: Longest pause between events, 0 if none is stated.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    streaming: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    shares: tuple[TrafficShare, ...]
    sticky: bool = False
    event_gap_s: float = 0.0

    def service_for(self, request_id):
        """Returns the service of a request, by weight and id."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = utils.stable_hash(request_id) / 2**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@attrs.frozen
class EngineSpec:
    """What a service of model engines says of each of its upstreams.

    Attributes:
        slots: Requests that one engine runs at once.
        kv_tokens: Tokens that its KV cache holds.
        kv_token_bytes: Bytes of one token in the KV cache.
        handle_ttl_s: Seconds that a prefilled prompt is kept.
        role_switch_s: Seconds that a change of role takes.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    handle_ttl_s: float
    role_switch_s: float


@attrs.frozen
class Service:
    """One service; `engine` is None for plain services."""

    name: str
    max_connections: int
    health_path: str = '/'
    engine: EngineSpec | None = None


@attrs.frozen
class Limits:
    """What callers may send, and how long they may take for it."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """Routes, services and limits of one version."""

    __slots__ = ('_by_host', 'limits', 'services', 'version')

    def __init__(self, version, routes, services, limits):
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._by_host = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def match(self, host, path):
        """Finds the route with the longest prefix of a path.

        Args:
            host: Value of the request's Host header.
            path: Path without its query.

        Returns:
            A Route, or None.
        """
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.partition(':')[0], ())
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None
