"""The operators' configuration and the upstreams' entries in the store."""

import json

from dandelionwinch import control
from dandelionwinch import routes
from dandelionwinch import upstreams

CONFIG_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'
READY = 'ready'
DRAINING = 'draining'
STATES = (READY, DRAINING)
_ROLES = {
    'prefill': upstreams.Role.PREFILL,
    'decode': upstreams.Role.DECODE,
}


def _object(value, place):
    try:
        found = json.loads(value)
    except ValueError as exc:
        raise control.EntryInvalid(f'"{place}" is not JSON: {exc}') from exc
    if not isinstance(found, dict):
        raise control.EntryInvalid(f'"{place}" is not an object')
    return found


def _field(data, name, kinds, place):
    value = data.get(name)
    if isinstance(value, bool) or not isinstance(value, kinds):
        raise control.EntryInvalid(f'field "{name}" of "{place}" is {value!r}')
    return value


def read_upstream(upstream_id, value):
    """Reads an upstream's entry.

    Args:
        upstream_id: The id under which it stands.
        value: Bytes of the entry.

    Raises:
        EntryInvalid: If a field is missing or of another type.
    """
    place = UPSTREAM_PREFIX + upstream_id
    data = _object(value, place)
    address = _field(data, 'address', str, place)
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise control.EntryInvalid(
            f'field "address" of "{place}" is {address!r}'
        )
    state = _field(data, 'state', str, place)
    if state not in STATES:
        raise control.EntryInvalid(f'field "state" of "{place}" is {state!r}')
    born = data.get('born', 0)
    if type(born) is not int:
        raise control.EntryInvalid(f'field "born" of "{place}" is {born!r}')
    cold_ms = data.get('coldRemainingMs', 0)
    if isinstance(cold_ms, bool) or not isinstance(cold_ms, (int, float)):
        raise control.EntryInvalid(
            f'field "coldRemainingMs" of "{place}" is wrong'
        )
    role = upstreams.Role.PLAIN
    if 'phase' in data:
        phase = _field(data, 'phase', str, place)
        role = _ROLES.get(phase)
        if role is None:
            raise control.EntryInvalid(
                f'field "phase" of "{place}" is {phase!r}'
            )
    return upstreams.Entry(
        upstream_id,
        _field(data, 'service', str, place),
        address,
        _field(data, 'zone', str, place),
        born,
        state == READY,
        role,
        _field(data, 'slots', int, place),
        cold_ms / 1e3,
    )


def read_config(value):
    """Reads the operators' configuration.

    Returns:
        A RouteTable.

    Raises:
        EntryInvalid: If a field is missing or of another type.
    """
    try:
        return _table(_object(value, CONFIG_KEY))
    except (AttributeError, TypeError, ValueError) as exc:
        raise control.EntryInvalid(
            f'"{CONFIG_KEY}" is malformed: {exc}'
        ) from exc


def _table(data):
    version = _field(data, 'version', int, CONFIG_KEY)
    found = [_route(item) for item in _field(data, 'routes', list, CONFIG_KEY)]
    services = [
        _service(item) for item in _field(data, 'services', list, CONFIG_KEY)
    ]
    limits = _limits(data.get('limits') or {})
    return routes.RouteTable(version, found, services, limits)


def _route(item):
    place = f'{CONFIG_KEY}.routes.{item.get("name")}'
    kind = _field(item, 'kind', str, place)
    streaming = kind == 'streaming'
    retry_policy = routes.RetryPolicy.ONCE
    if kind == 'idempotent':
        retry_policy = routes.RetryPolicy.IDEMPOTENT
    elif streaming and item.get('resumable') is True:
        retry_policy = routes.RetryPolicy.RESUMABLE
    return routes.Route(
        _field(item, 'name', str, place),
        _field(item, 'host', str, place),
        _field(item, 'prefix', str, place),
        retry_policy,
        streaming,
        _field(item, 'timeoutMs', (int, float), place) / 1e3,
        _field(item, 'targetLatencyMs', (int, float), place) / 1e3,
        _field(item, 'priority', int, place),
        _field(item, 'maxAttempts', int, place),
        _shares(item, place),
        bool(item.get('stickySessions')),
        float(item.get('targetGapMs') or 0) / 1e3,
    )


def _shares(item, place):
    split = item.get('trafficSplit')
    if not split:
        return (routes.TrafficShare(_field(item, 'service', str, place), 1.0),)
    return tuple(
        routes.TrafficShare(
            _field(share, 'service', str, place),
            float(_field(share, 'weight', (int, float), place)),
        )
        for share in split
    )


def _service(item):
    place = f'{CONFIG_KEY}.services.{item.get("name")}'
    engine = item.get('engine')
    return routes.Service(
        _field(item, 'name', str, place),
        _field(item, 'maxConnections', int, place),
        item.get('healthPath') or '/',
        _engine(engine, place) if engine else None,
    )


def _engine(item, place):
    return routes.EngineSpec(
        _field(item, 'slots', int, place),
        _field(item, 'kvTokens', int, place),
        _field(item, 'kvTokenBytes', (int, float), place),
        float(item.get('handleTtlS') or 5.0),
        float(item.get('roleSwitchS') or 3.0),
    )


def _limits(item):
    default = routes.Limits()
    return routes.Limits(
        int(item.get('maxHeaderBytes') or default.max_header_bytes),
        int(item.get('maxBodyBytes') or default.max_body_bytes),
        _seconds(item.get('headerTimeoutMs'), default.header_timeout_s),
        _seconds(item.get('idleTimeoutMs'), default.idle_timeout_s),
    )


def _seconds(value_ms, default_s):
    return value_ms / 1e3 if value_ms else default_s


class StoreCodec:
    """Keys and values of the platform in the product's types."""

    __slots__ = ()

    config_key = CONFIG_KEY
    read_config = staticmethod(read_config)
    read_upstream = staticmethod(read_upstream)

    @staticmethod
    def upstream_of(key):
        """Returns the id of the upstream whose entry a key is, or None."""
        if key.startswith(UPSTREAM_PREFIX):
            return key.removeprefix(UPSTREAM_PREFIX)
        return None

    @staticmethod
    def key_of(upstream_id):
        """Returns the key of an upstream's entry."""
        return UPSTREAM_PREFIX + upstream_id
