"""Sample messages and files of the platform, for stand-ins and tests."""

import json

from dandelionwinch.platform import _boot
from dandelionwinch.platform import _moves
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec
from dandelionwinch import routes

SETTINGS_VARIABLE = _boot.SETTINGS_VARIABLE
CONFIG_KEY = _store_codec.CONFIG_KEY
REQUEST_ID = _wire_codec.REQUEST_ID
UPSTREAM_ID = _wire_codec.UPSTREAM_ID
LAST_EVENT_ID = _wire_codec.LAST_EVENT_ID
TOKEN_USAGE = _wire_codec.TOKEN_USAGE
TEAM = _wire_codec.TEAM
PROMPT_PREFIX = _wire_codec.PROMPT_PREFIX
LEAVING = _wire_codec.LEAVING
KV_SOURCE = _wire_codec.KV_SOURCE
MOVE_PATH = _moves.MOVE_PATH
RATE_LIMIT = _wire_codec.RATE_LIMIT
# Header line by which an upstream announces its shutdown.
LEAVING_LINE = f'{LEAVING}: 1\r\n'


def limit_line(rate_per_s):
    """Returns the header line by which an upstream states its rate limit."""
    return f'{RATE_LIMIT}: {rate_per_s}\r\n'


SETTINGS = """
nodeName = "{name}"
ip = "{ip}"
zone = "{data_centre}"
heartbeatMs = 1200
serves = ["edge"]
somethingNew = [1, 2]
internalPorts = [{peer_port}, {peer_port}]
[zones]
a = "north"
b = "south"
[listen]
frontend = "{ip}:{callers_port}"
readiness = "{ip}:{readiness_port}"
directory = "{ip}:{directory_port}"
[limits]
cpuShare = 0.5
cores = 2
linkMbps = 1000.0
[bounds]
graceS = {grace_s}
leaseMs = 3000
drainMs = 2500
retryBudgetRatio = 0.2
retrySlack = {retry_slack}
budgetWindowS = 10
ttl_max_s = 5
[platform]
address = "{store}"
minTtlMs = 1000
writesPerS = 400
readsPerS = 2000
"""
_SETTINGS_DEFAULTS = {
    'name': 'edge-a-1',
    'ip': '10.1.0.35',
    'data_centre': 'a',
    'callers_port': 8144,
    'readiness_port': 8140,
    'directory_port': 8143,
    'peer_port': 7660,
    'grace_s': 8,
    'retry_slack': 58,
    'store': '10.200.1.7:8142',
}
_ENTRY = {
    'service': 's',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 24,
    'state': 'ready',
    'coldRemainingMs': 0,
    'phase': 'decode',
    'sequence': 4,
    'born': 17,
}
_ROUTE = {
    'name': 'r1',
    'host': 'desk',
    'prefix': '/a/',
    'kind': 'idempotent',
    'timeoutMs': 1200,
    'targetLatencyMs': 150,
    'priority': 2,
    'service': 's',
    'maxAttempts': 2,
}
_SERVICE = {'name': 's', 'healthPath': '/health', 'maxConnections': 4000}
_LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 1 << 20,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def settings(**changes):
    """Returns the text of a settings file."""
    return SETTINGS.format(**{**_SETTINGS_DEFAULTS, **changes})


def entry_key(upstream_id):
    """Returns the key of an upstream's entry."""
    return _store_codec.UPSTREAM_PREFIX + upstream_id


def entry(**changes):
    """Returns the bytes of an upstream's entry.

    Args:
        changes: Fields that differ from the sample, by their wire names.
    """
    return json.dumps({**_ENTRY, **changes}).encode()


def route(**changes):
    """Returns one route of a configuration.

    Args:
        changes: Fields that differ from the sample, by their wire names.
    """
    return {**_ROUTE, **changes}


def route_of(
    name, retry_policy, *, streaming=False, attempts=1, timeout_s=3.0
):
    """Returns one route of a configuration.

    Args:
        name: Name of the route; its prefix is `/name/`.
        retry_policy: RetryPolicy of the route.
        streaming: Whether its responses are event streams.
        attempts: Maximum number of attempts.
        timeout_s: Timeout of a request in seconds.
    """
    kind = 'idempotent'
    if streaming:
        kind = 'streaming'
    elif retry_policy is routes.RetryPolicy.ONCE:
        kind = 'non_idempotent'
    return route(
        name=name,
        prefix=f'/{name}/',
        kind=kind,
        timeoutMs=int(timeout_s * 1e3),
        targetLatencyMs=200,
        maxAttempts=attempts,
        resumable=retry_policy is routes.RetryPolicy.RESUMABLE,
        targetGapMs=500,
    )


def service(**changes):
    """Returns one service of a configuration.

    Args:
        changes: Fields that differ from the sample, by their wire names.
    """
    return {**_SERVICE, **changes}


def team(name, *keys, **changes):
    """Returns one team of a configuration.

    Args:
        name: Name of the team.
        keys: Its keys.
        changes: Further fields, by their wire names.
    """
    return {'name': name, 'apiKeys': list(keys), **changes}


def key_header(key):
    """Returns the header in which a caller sends its key, as a pair."""
    return 'Authorization', f'Token {key}'


def config(version, route_list, services=(), teams=None):
    """Returns the bytes of a configuration; None for one without teams."""
    body = {
        'version': version,
        'routes': route_list,
        'services': list(services),
        'limits': _LIMITS,
    }
    if teams is not None:
        body['tenants'] = teams
    return json.dumps(body).encode()


def request(target, request_id, *, timeout_ms=3000, prompt=None, more=()):
    """Returns the bytes of a caller's request with the body `{}`.

    Args:
        target: Path with its query.
        request_id: Id of the request.
        timeout_ms: Time for which the caller waits.
        prompt: Tokens of each prefix block of the prompt, or None.
        more: Further headers, as pairs.
    """
    lines = [
        f'POST {target} HTTP/1.1',
        'Host: desk',
        f'{REQUEST_ID}: {request_id}',
        f'{_wire_codec.TIMEOUT_MS}: {timeout_ms}',
        'Content-Length: 2',
    ]
    if prompt is not None:
        blocks = ','.join(
            f'{number:x}:{size}' for number, size in enumerate(prompt)
        )
        lines.append(f'{TOKEN_USAGE}: {sum(prompt)},80')
        lines.append(f'{PROMPT_PREFIX}: {blocks}')
    lines += [f'{name}: {value}' for name, value in more]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n{}'


def prompt_headers(parts, tokens=100):
    """Returns the headers of a prompt.

    Args:
        parts: Ids of its parts, the last one its own.
        tokens: Tokens of each part.
    """
    return [
        (TOKEN_USAGE, f'{tokens * len(parts)},80'),
        (PROMPT_PREFIX, ','.join(f'{part}:{tokens}' for part in parts)),
    ]


def resumption(began_as, last_event_id):
    """Returns the headers that take a stream up again, as pairs.

    Args:
        began_as: Id of the request that began it.
        last_event_id: Number of its last event that arrived.
    """
    return (
        (_wire_codec.LAST_EVENT_ID, str(last_event_id)),
        (_wire_codec.RESUMES, began_as),
    )


def resolve_request(data_centre, region):
    """Returns the bytes of a caller's request for addresses to connect to."""
    target = f'/-/resolve?name=desk&region={region}&zone={data_centre}'
    return (
        f'GET {target} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n'
    ).encode()


def resolved_addresses(body):
    """Returns the addresses in the body of the response to that request."""
    return json.loads(body)['addresses']


def response_head(
    request_id, framing='', status='200 OK', more='', signed=True
):
    """Returns the head of an upstream's response.

    Args:
        request_id: Id of the request, or '' to omit it.
        framing: Header line that frames the body, or ''.
        status: Status code and reason phrase.
        more: Further header lines, each with its CRLF.
        signed: Whether it has the upstream's signature.
    """
    lines = [f'HTTP/1.1 {status}']
    if request_id:
        lines.append(f'{REQUEST_ID}: {request_id}')
    if signed:
        lines.append(f'{_wire_codec.SIGNATURE}: sig')
    if framing:
        lines.append(framing)
    return ('\r\n'.join(lines) + f'\r\n{more}\r\n').encode()


def refusal(status='503 Service Unavailable', more=''):
    """Returns an upstream's response that it did not execute a request."""
    return (
        f'HTTP/1.1 {status}\r\n{_wire_codec.NOT_EXECUTED}: 1\r\n{more}'
        'Content-Length: 0\r\n\r\n'
    ).encode()


def retry_after_line(wait_s):
    """Returns the header line by which an upstream asks for a pause."""
    return f'{_wire_codec.RETRY_AFTER}: {wait_s:.3f}\r\n'


def prefill_body(name):
    """Returns the body of the response to a prefill request.

    Args:
        name: The KV cache handle.
    """
    return json.dumps(
        {'kvHandle': name, 'tokens': 5000, 'version': 1}
    ).encode()
