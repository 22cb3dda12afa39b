"""Decodes the platform's store: configuration and entries of upstreams."""

import json
import math

from dandelionwinch import control
from dandelionwinch import routes
from dandelionwinch import teams
from dandelionwinch import upstreams

CONFIG_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'
READY = 'ready'
DRAINING = 'draining'
STATES = (READY, DRAINING)
# Routes or teams that are decoded in one step.
ITEMS_PER_STEP = 64
MAX_NAME_CHARS = 128
# An integer in JSON may be beyond the range of floating-point numbers.
MAX_LEAVES_MS = 1e12
MAX_KEY_CHARS = 1024
_ROLES = {
    'prefill': upstreams.Role.PREFILL,
    'decode': upstreams.Role.DECODE,
}


def _read_object(value, path):
    try:
        data = json.loads(value)
    except (ValueError, RecursionError) as exc:
        raise control.EntryInvalid(f'"{path}" is not JSON: {exc}') from exc
    if not isinstance(data, dict):
        raise control.EntryInvalid(f'"{path}" is not an object')
    return data


def _read_field(data, name, types, path):
    value = data.get(name)
    if isinstance(value, bool) or not isinstance(value, types):
        raise control.EntryInvalid(f'field "{name}" of "{path}" is {value!r}')
    return value


def read_upstream(upstream_id, value):
    """Decodes an upstream's entry.

    Args:
        upstream_id: Id of the upstream, from the key of the entry.
        value: Bytes of the entry.

    Returns:
        The Entry.

    Raises:
        EntryInvalid: If a field is missing or of another type.
    """
    path = UPSTREAM_PREFIX + upstream_id
    data = _read_object(value, path)
    address = _read_field(data, 'address', str, path)
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise control.EntryInvalid(
            f'field "address" of "{path}" is {address!r}'
        )
    state = _read_field(data, 'state', str, path)
    if state not in STATES:
        raise control.EntryInvalid(f'field "state" of "{path}" is {state!r}')
    born = data.get('born', 0)
    if type(born) is not int:
        raise control.EntryInvalid(f'field "born" of "{path}" is {born!r}')
    cold_ms = data.get('coldRemainingMs', 0)
    if isinstance(cold_ms, bool) or not isinstance(cold_ms, (int, float)):
        raise control.EntryInvalid(
            f'field "coldRemainingMs" of "{path}" is wrong'
        )
    role = upstreams.Role.PLAIN
    if 'phase' in data:
        phase = _read_field(data, 'phase', str, path)
        role = _ROLES.get(phase)
        if role is None:
            raise control.EntryInvalid(
                f'field "phase" of "{path}" is {phase!r}'
            )
    return upstreams.Entry(
        upstream_id,
        _read_field(data, 'service', str, path),
        address,
        _read_field(data, 'zone', str, path),
        born,
        state == READY,
        role,
        _read_field(data, 'slots', int, path),
        _read_field(data, 'version', str, path),
        _read_sequence(data),
        _read_reclaimable(data, path),
        _read_leaves_in_s(data, path),
    )


def _read_reclaimable(data, path):
    value = data.get('spot', False)
    if not isinstance(value, bool):
        raise control.EntryInvalid(f'field "spot" of "{path}" is {value!r}')
    return value


def _read_leaves_in_s(data, path):
    if data.get('leaves_ms') is None:
        return None
    value = _read_field(data, 'leaves_ms', (int, float), path)
    if not abs(value) <= MAX_LEAVES_MS:
        raise control.EntryInvalid(
            f'field "leaves_ms" of "{path}" is {value!r}'
        )
    return max(0.0, value / 1e3)


def _read_sequence(data):
    sequence = data.get('sequence')
    return sequence if type(sequence) is int else 0


def read_config(value):
    """Decodes the operators' configuration at once.

    See `read_config_in_steps`.
    """
    steps = read_config_in_steps(value)
    while True:
        try:
            next(steps)
        except StopIteration as exc:
            return exc.value


def read_config_in_steps(value):
    """Decodes the operators' configuration.

    It yields every few milliseconds, so that requests are served meanwhile.

    Args:
        value: Bytes of the configuration.

    Returns:
        The RouteTable.

    Raises:
        EntryInvalid: If a field is missing or of another type.
    """
    try:
        return (yield from _read_table(_read_object(value, CONFIG_KEY)))
    except (AttributeError, TypeError, ValueError, OverflowError) as exc:
        raise control.EntryInvalid(
            f'"{CONFIG_KEY}" is malformed: {exc}'
        ) from exc


def _read_table(data):
    version = _read_field(data, 'version', int, CONFIG_KEY)
    yield
    table_routes = []
    for item in _read_field(data, 'routes', list, CONFIG_KEY):
        table_routes.append(_read_route(item))
        if len(table_routes) % ITEMS_PER_STEP == 0:
            yield
    services = [
        _read_service(item)
        for item in _read_field(data, 'services', list, CONFIG_KEY)
    ]
    limits = _read_limits(data.get('limits') or {})
    directory = yield from _read_teams(data)
    yield
    return routes.RouteTable(
        version, table_routes, services, limits, directory
    )


def _read_teams(data):
    """Reads the TeamDirectory, None if there are no teams, in steps.

    A field may hold a key by mistake, so findings name no values.
    """
    items = data.get('tenants')
    if items is None:
        return None
    if not isinstance(items, list):
        raise control.EntryInvalid(f'"{CONFIG_KEY}.tenants" is not a list')
    if not items:
        return None
    found = []
    for index, item in enumerate(items):
        found.append(_read_team(item, index))
        if index % ITEMS_PER_STEP == 0:
            yield
    try:
        return teams.TeamDirectory(found)
    except teams.TeamsInvalid as exc:
        raise control.EntryInvalid(
            f'"{CONFIG_KEY}.tenants" is invalid: {exc}'
        ) from exc


def _read_team(item, index):
    path = f'{CONFIG_KEY}.tenants[{index}]'
    if not isinstance(item, dict):
        raise control.EntryInvalid(f'"{path}" is not an object')
    name = item.get('name')
    if not _is_team_name(name):
        raise control.EntryInvalid(f'field "name" of "{path}" is no name')
    priority = item.get('priority')
    if priority is not None and type(priority) is not int:
        raise control.EntryInvalid(f'field "priority" of "{path}" is no int')
    keys = item.get('apiKeys')
    if keys is None:
        keys = []
    if not isinstance(keys, list) or not all(map(_is_key, keys)):
        raise control.EntryInvalid(
            f'field "apiKeys" of "{path}" is no list of keys'
        )
    digests = [teams.digest(key.encode()) for key in keys]
    return teams.Team(name, priority), digests


def _is_team_name(name):
    """Tells whether a name may be sent as the value of a header."""
    return (
        isinstance(name, str)
        and 0 < len(name) <= MAX_NAME_CHARS
        and name.isprintable()
        and name.strip() == name
    )


def _is_key(key):
    """Tells whether a key is text that a caller can send in a header."""
    return (
        isinstance(key, str)
        and 0 < len(key) <= MAX_KEY_CHARS
        and key.isprintable()
        and key.strip() == key
    )


def _read_route(item):
    path = f'{CONFIG_KEY}.routes.{item.get("name")}'
    kind = _read_field(item, 'kind', str, path)
    streaming = kind == 'streaming'
    retry_policy = routes.RetryPolicy.ONCE
    if kind == 'idempotent':
        retry_policy = routes.RetryPolicy.IDEMPOTENT
    elif streaming and item.get('resumable') is True:
        retry_policy = routes.RetryPolicy.RESUMABLE
    return routes.Route(
        _read_field(item, 'name', str, path),
        _read_field(item, 'host', str, path),
        _read_field(item, 'prefix', str, path),
        retry_policy,
        streaming,
        _read_field(item, 'timeoutMs', (int, float), path) / 1e3,
        _read_field(item, 'targetLatencyMs', (int, float), path) / 1e3,
        _read_field(item, 'priority', int, path),
        _read_field(item, 'maxAttempts', int, path),
        _read_shares(item, path),
        float(item.get('targetGapMs') or 0) / 1e3,
        _read_flag(item, 'public', path),
    )


def _read_flag(data, name, path):
    value = data.get(name, False)
    if not isinstance(value, bool):
        raise control.EntryInvalid(f'field "{name}" of "{path}" is {value!r}')
    return value


def _read_shares(item, path):
    split = item.get('trafficSplit')
    if not split:
        return (
            routes.TrafficShare(_read_field(item, 'service', str, path), 1.0),
        )
    return tuple(
        routes.TrafficShare(
            _read_field(share, 'service', str, path),
            float(_read_field(share, 'weight', (int, float), path)),
        )
        for share in split
    )


def _read_service(item):
    path = f'{CONFIG_KEY}.services.{item.get("name")}'
    engine = item.get('engine')
    return routes.Service(
        _read_field(item, 'name', str, path),
        _read_field(item, 'maxConnections', int, path),
        _read_engine(engine, path) if engine else None,
        _read_scaling(item.get('scaling'), path + '.scaling'),
    )


def _read_scaling(item, path):
    if item is None:
        return None
    least = _read_field(item, 'minReplicas', int, path)
    most = _read_field(item, 'maxReplicas', int, path)
    if not 0 <= least <= most:
        raise control.EntryInvalid(
            f'"{path}" allows {least} to {most} replicas'
        )
    price = None
    if item.get('spotPrice') is not None:
        price = _read_number(item, 'spotPrice', path)
    prices = item.get('zonePrices') or {}
    return routes.Scaling(
        least,
        most,
        _read_number(item, 'bootS', path),
        price,
        {name: _read_number(prices, name, path) for name in prices},
    )


def _read_number(data, name, path):
    value = float(_read_field(data, name, (int, float), path))
    if not 0 <= value < math.inf:
        raise control.EntryInvalid(f'field "{name}" of "{path}" is {value}')
    return value


def _read_engine(item, path):
    return routes.EngineSpec(
        _read_field(item, 'slots', int, path),
        _read_field(item, 'kvTokens', int, path),
        _read_field(item, 'kvTokenBytes', (int, float), path),
        float(item.get('handleTtlS') or 5.0),
        float(item.get('roleSwitchS') or 3.0),
        item.get('moves') is True,
    )


def _read_limits(item):
    default = routes.Limits()
    return routes.Limits(
        int(item.get('maxHeaderBytes') or default.max_header_bytes),
        int(item.get('maxBodyBytes') or default.max_body_bytes),
        _read_seconds(item.get('headerTimeoutMs'), default.header_timeout_s),
        _read_seconds(item.get('idleTimeoutMs'), default.keep_alive_timeout_s),
    )


def _read_seconds(value_ms, default_s):
    return value_ms / 1e3 if value_ms else default_s


class StoreCodec:
    """Decodes keys and values of the platform's store."""

    __slots__ = ()

    config_key = CONFIG_KEY
    read_config_in_steps = staticmethod(read_config_in_steps)
    read_upstream = staticmethod(read_upstream)

    @staticmethod
    def upstream_of(key):
        """Returns the id of the upstream whose entry has a key, or None."""
        if key.startswith(UPSTREAM_PREFIX):
            return key.removeprefix(UPSTREAM_PREFIX)
        return None

    @staticmethod
    def key_of(upstream_id):
        """Returns the key of an upstream's entry."""
        return UPSTREAM_PREFIX + upstream_id
