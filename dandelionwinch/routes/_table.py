"""The route table of one version of the configuration."""

import enum

import attrs

from dandelionwinch import utils

# Callers leave a stream without an event after the longest of these: a time,
# a multiple of the objective and one of the allowed token gap.
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_TOKEN_GAPS = 8.0


class RetryPolicy(enum.Enum):
    """When a request that an upstream may have executed is retried.

    A request that was certainly not executed is retried under each policy.

    Attributes:
        IDEMPOTENT: Retried, as executing it twice is harmless.
        ONCE: Never retried.
        RESUMABLE: Retried, to resume a stream after its last event.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    RESUMABLE = 'resumable'


@attrs.frozen
class TrafficShare:
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """A route from a host and a path prefix to services.

    Attributes:
        host: Host name of the requests, with or without a port.
        prefix: Prefix of the paths, with a slash at both ends.
        retry_policy: RetryPolicy of its requests.
        streaming: Whether responses are streams of server-sent events.
        timeout_s: Maximum time from the request to the final response.
        objective_s: Latency objective of the response, or of the first
            event of a stream.
        priority: Priority of the route, 0 is the highest.
        max_upstreams: Maximum number of upstreams that one request is
            sent to.
        shares: The services and their weights.
        token_gap_s: Objective of the inter-token latency, compared with
            the time between two events of a stream; 0 if there is none.
        public: Whether its requests need no key where there are teams.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    streaming: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_upstreams: int
    shares: tuple[TrafficShare, ...]
    token_gap_s: float = 0.0
    public: bool = False

    @property
    def patience_s(self):
        """Time in seconds after which a caller leaves without an event."""
        longest_s = max(
            MIN_PATIENCE_S,
            PATIENCE_OBJECTIVES * self.objective_s,
            PATIENCE_TOKEN_GAPS * self.token_gap_s,
        )
        return min(longest_s, self.timeout_s)

    def service_for(self, request_id):
        """Returns the service of a request.

        It is chosen by weight and by a hash of the id, so that a request
        and its retries go to one service.
        """
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
    """Properties that all model engines of a service have in common.

    Attributes:
        slots: Maximum number of concurrent requests.
        kv_tokens: Capacity of the KV cache in tokens.
        kv_token_bytes: Size of one token in the KV cache.
        handle_ttl_s: Time for which the KV cache of a prefilled prompt
            is held.
        role_switch_s: Duration of a change between the prefill and the
            decode role.
        moves: Whether the KV cache of a run can be copied to another
            engine, where its stream goes on.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    handle_ttl_s: float
    role_switch_s: float
    moves: bool = False


@attrs.frozen
class Scaling:
    """Within which limits, and at which prices, upstreams are ordered.

    Attributes:
        least: Smallest number of upstreams of both kinds in a data centre.
        most: Largest number of them.
        boot_s: Time from an order until a new upstream serves.
        reclaimable_price: Price of a reclaimable upstream over that of an
            ordinary one, None if there are no reclaimable ones.
        prices: Price of a second of an ordinary upstream by data centre.
    """

    least: int
    most: int
    boot_s: float
    reclaimable_price: float | None
    prices: dict

    def price(self, data_centre):
        """Returns the price of an ordinary upstream's second."""
        return self.prices.get(data_centre, 1.0)

    def price_of(self, place):
        """Returns the price of a second at a capacity.Place."""
        price = self.price(place.data_centre)
        if place.reclaimable and self.reclaimable_price is not None:
            price *= self.reclaimable_price
        return price


@attrs.frozen
class Service:
    """A service.

    Attributes:
        max_connections: Maximum number of connections to one upstream,
            from all instances together.
        engine: Properties of its engines, None for a plain service.
        scaling: Scaling, None if its upstreams are not ordered.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    scaling: Scaling | None = None

    @property
    def moves_streams(self):
        """Tells whether streams are moved off engines that leave."""
        return (
            self.scaling is not None
            and self.engine is not None
            and self.engine.moves
        )


@attrs.frozen
class Limits:
    """Limits on callers' requests and connections.

    Attributes:
        max_header_bytes: Maximum size of the head of a request.
        max_body_bytes: Maximum size of the body of a request.
        header_timeout_s: Maximum time from the first byte of a request
            to the end of its head.
        keep_alive_timeout_s: Time after which a connection without a
            request is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    keep_alive_timeout_s: float = 15.0


class _HostRoutes:
    """The routes of one host.

    A path is looked up once for each of its slashes, so the time does not
    grow with the number of routes. The few prefixes that do not end with a
    slash are compared one by one.
    """

    __slots__ = ('_by_prefix', '_longest', '_others')

    def __init__(self):
        self._by_prefix = {}
        self._longest = 0
        self._others = []

    def add(self, route):
        """Adds a route; the first one of a prefix is kept."""
        if not route.prefix.endswith('/'):
            self._others.append(route)
            self._others.sort(key=lambda r: -len(r.prefix))
            return
        self._by_prefix.setdefault(route.prefix, route)
        self._longest = max(self._longest, len(route.prefix))

    def match(self, path):
        """Returns the route with the longest matching prefix, or None."""
        found = self._match_slash(path)
        for route in self._others:
            if path.startswith(route.prefix):
                longer = not found or len(route.prefix) > len(found.prefix)
                return route if longer else found
        return found

    def _match_slash(self, path):
        end = path.rfind('/', 0, self._longest) + 1
        while end:
            route = self._by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


class RouteTable:
    """Routes, services and limits of one version.

    Attributes:
        limits: Limits on callers' requests and connections.
        services: Mapping of name to Service.
        teams: The TeamDirectory, None if callers need no keys.
        version: Number that the configuration gives itself, higher in a
            newer one; not the revision of the store.
    """

    __slots__ = ('_by_host', 'limits', 'services', 'teams', 'version')

    def __init__(self, version, routes, services, limits, teams=None):
        self.version = version
        self.teams = teams
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._by_host = {}
        for route in routes:
            name = route.host.lower()
            self._by_host.setdefault(name, _HostRoutes()).add(route)

    def match(self, host, path):
        """Returns the route with the longest matching prefix.

        Args:
            host: Value of the request's Host header, with or without port.
            path: Path without the query.

        Returns:
            A Route, or None.
        """
        name = host.lower()
        found = self._by_host.get(name)
        if found is None:
            found = self._by_host.get(name.partition(':')[0])
        return found and found.match(path)
