"""Encodes and decodes the platform's HTTP messages."""

import http
import json
import math
import re

import attrs

from dandelionwinch import dispatch
from dandelionwinch import errors
from dandelionwinch import gateway
from dandelionwinch.platform import _moves
from dandelionwinch.platform import _retry_after

REQUEST_ID = 'x-dandelionwinch-request-id'
TIMEOUT_MS = 'x-dandelionwinch-request-timeout-ms'
# The platform calls an upstream an instance.
UPSTREAM_ID = 'x-dandelionwinch-target-instance'
NOT_EXECUTED = 'x-dandelionwinch-not-executed'
SIGNATURE = 'x-dandelionwinch-response-signature'
LEAVING = 'server-leaving'
RETRY_AFTER = 'retry-after'
RATE_LIMIT = 'server-limit'
MODEL = 'x-dandelionwinch-model'
TOKEN_USAGE = 'x-dandelionwinch-token-usage'
PROMPT_PREFIX = 'x-dandelionwinch-prompt-prefix'
STAGE = 'x-dandelionwinch-stage'
KV_SOURCE = 'x-dandelionwinch-kv-source'
PRIORITY = 'x-dandelionwinch-request-priority'
LAST_EVENT_ID = 'last-event-id'
RESUMES = 'resumes'
AUTHORIZATION = 'authorization'
# The platform calls a team a tenant.
TEAM = 'x-dandelionwinch-tenant'
KEY_SCHEME = 'token'
# Longer values are not parsed; no key of a configuration is as long.
MAX_CREDENTIALS_CHARS = 4096

# Removed from callers' requests where there are teams.
CREDENTIAL_HEADERS = frozenset((AUTHORIZATION, TEAM))
# Removed from callers' requests, as only the instance may set them for an
# upstream. TIMEOUT_MS and LAST_EVENT_ID are read from the request and sent
# anew with each attempt. The instance sets no header that has no constant.
INTERNAL_HEADERS = frozenset(
    (
        UPSTREAM_ID,
        STAGE,
        KV_SOURCE,
        PRIORITY,
        TIMEOUT_MS,
        LAST_EVENT_ID,
        'x-dandelionwinch-kv-hold',
        'x-dandelionwinch-kv-backup',
        'x-dandelionwinch-pin-ms',
        'x-dandelionwinch-expected-version',
        'kv-fetch',
        'x-dandelionwinch-kv-fetch',
    )
)

UNAVAILABLE_STATUS = 503
# Numbers with more digits are not read: floating-point numbers are not exact.
MAX_DIGITS = 15
_DECIMAL = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')


class WireCodec:
    """Translates between the platform's messages and the gateway's types."""

    __slots__ = ()

    def parse_request(self, head, body):
        """Parses a caller's request.

        Args:
            head: Head of the request.
            body: Bytes of the body.

        Returns:
            CallerRequest.

        Raises:
            BadRequest: If the request has no id.
        """
        request_id = head.header(REQUEST_ID)
        if not request_id:
            raise errors.BadRequest(f'header "{REQUEST_ID}" is missing')
        headers = tuple(
            pair
            for pair in head.end_to_end()
            if pair[0] not in INTERNAL_HEADERS
        )
        timeout_ms = _parse_int(head.header(TIMEOUT_MS))
        return gateway.CallerRequest(
            request_id,
            head.method,
            head.target,
            headers,
            body,
            None if timeout_ms is None else timeout_ms / 1e3,
            _parse_prompt(head),
            _parse_int(head.header(LAST_EVENT_ID)),
            head.header(RESUMES),
        )

    def parse_key(self, head):
        """Returns the key that a caller sends, as bytes, or None.

        It is None unless there is exactly one header of the known scheme
        with a value.
        """
        values = [v for name, v in head.headers if name == AUTHORIZATION]
        if len(values) != 1 or len(values[0]) > MAX_CREDENTIALS_CHARS:
            return None
        scheme, _, key = values[0].strip(' \t').partition(' ')
        if scheme.lower() != KEY_SCHEME:
            return None
        return key.strip(' \t').encode('latin-1') or None

    def with_team(self, req, team):
        """Returns a CallerRequest as that of a team.

        What its caller sent to identify itself is removed.

        Args:
            req: CallerRequest.
            team: The Team, None for a caller without one.
        """
        headers = tuple(
            pair for pair in req.headers if pair[0] not in CREDENTIAL_HEADERS
        )
        if team is None:
            return attrs.evolve(req, headers=headers)
        return attrs.evolve(
            req,
            headers=headers,
            team=team.name,
            team_priority=team.priority,
        )

    def unauthorized_headers(self):
        """Returns the headers that tell a caller to send a key."""
        return [('WWW-Authenticate', KEY_SCHEME.title())]

    def request_headers(self, req, params):
        """Returns the headers of a request to an upstream, as pairs.

        Args:
            req: CallerRequest.
            params: AttemptParams.
        """
        pairs = list(req.headers)
        pairs.append((UPSTREAM_ID, params.upstream_id))
        pairs.append((TIMEOUT_MS, str(max(1, int(params.timeout_s * 1e3)))))
        if req.team:
            # The bytes of a header are sent as latin-1.
            pairs.append((TEAM, req.team.encode().decode('latin-1')))
        if params.last_event_id is not None:
            pairs.append((LAST_EVENT_ID, str(params.last_event_id)))
        if params.priority is not None:
            pairs.append((PRIORITY, str(params.priority)))
        if params.prefill_only:
            pairs.append((STAGE, 'prefill'))
        if params.kv_source:
            pairs.append((KV_SOURCE, params.kv_source))
        return pairs

    def parse_reply(self, head):
        """Parses the head of an upstream's response as ReplyHeaders."""
        return gateway.ReplyHeaders(
            head.header(REQUEST_ID),
            bool(head.header(NOT_EXECUTED)),
            bool(head.header(SIGNATURE)),
        )

    def parse_upstream_status(self, head):
        """Parses what a response head says of its upstream.

        A value of LEAVING or RATE_LIMIT that cannot be read has no effect;
        see `_retry_after` for the other header.

        Returns:
            UpstreamStatus.
        """
        malformed = []
        leaving = head.header(LEAVING).strip()
        if leaving not in ('', '1'):
            malformed.append((LEAVING, leaving))
        wait_s = None
        value = head.header(RETRY_AFTER)
        if value and head.status == UNAVAILABLE_STATUS:
            retry_after = _retry_after.parse(value, head.header('date'))
            wait_s = retry_after.wait_s
            if retry_after.malformed:
                malformed.append((RETRY_AFTER, value))
        limit = _parse_rate_limit(head)
        if isinstance(limit, str):
            malformed.append((RATE_LIMIT, limit))
            limit = None
        return gateway.UpstreamStatus(
            leaving == '1', wait_s, limit, tuple(malformed)
        )

    def kv_handle(self, body):
        """Returns the KV cache handle in a prefill response, or ''."""
        try:
            value = json.loads(body)
        except ValueError:
            return ''
        handle = value.get('kvHandle') if isinstance(value, dict) else None
        return handle if isinstance(handle, str) else ''

    def move_request(self, upstream_id, request_id, target, last):
        """Builds the request to copy a run's KV cache to another engine.

        Args:
            upstream_id: Id of the engine that runs the request.
            request_id: Id of the request.
            target: Address of the other engine.
            last: Whether the run is to be stopped first.

        Returns:
            Method, path, headers and body.
        """
        headers = [
            ('Host', 'engine'),
            ('Content-Type', 'application/json'),
            (UPSTREAM_ID, upstream_id),
        ]
        body = _moves.move_body(request_id, target, last)
        return 'POST', _moves.MOVE_PATH, headers, body

    def parse_move_reply(self, head, body):
        """Returns the message for the Migration that asked for a copy."""
        return _moves.parse_reply(head.status, body)

    def free_request(self, upstream_id, handle):
        """Returns method, path and headers of a request to free a copy."""
        headers = [('Host', 'engine'), (UPSTREAM_ID, upstream_id)]
        return 'DELETE', _moves.free_path(handle), headers

    def order_request(self, role_change, holder, token, accepted_count):
        """Builds the request that carries a role order to an engine.

        Args:
            role_change: RoleChange.
            holder: Name of the instance that holds the order lease.
            token: Fencing token.
            accepted_count: Number of orders that the engine must have accepted
                so far; sent as the precondition of the order.

        Returns:
            Method, path, headers and body.
        """
        body = {
            'op': 'phase',
            'phase': role_change.role.value,
            'holder': holder,
            'fencingToken': token,
            'precondition': accepted_count,
        }
        headers = [
            ('Host', 'engine'),
            ('Content-Type', 'application/json'),
            (UPSTREAM_ID, role_change.upstream_id),
        ]
        return 'POST', '/-/order', headers, json.dumps(body).encode()

    def report_request(self, upstream_id):
        """Returns method, path and headers of a request for a report."""
        headers = [('Host', 'engine'), (UPSTREAM_ID, upstream_id)]
        return 'GET', '/-/report', headers

    def cache_events_request(self, upstream_id, position, wait_s):
        """Returns method, target and headers of a call for cache events.

        Args:
            upstream_id: Id of the engine.
            position: Position after the last change that is known, 0 for
                all.
            wait_s: How long the engine may wait for changes.
        """
        headers = [
            ('Host', 'engine'),
            (UPSTREAM_ID, upstream_id),
            ('Wait-Ms', str(round(wait_s * 1e3))),
        ]
        return 'GET', f'/-/kv-events?since={position}', headers

    def parse_cache_events(self, body):
        """Returns the CacheEvents of a response, None if it is malformed.

        Each change is a list: number, "+" or "-", an empty text, the id of
        the block, its tokens and its model.
        """
        try:
            value = json.loads(body)
            changes = tuple(_parse_change(row) for row in value['events'])
            return dispatch.CacheEvents(
                int(value['epoch']),
                int(value['next']),
                bool(value['lost']),
                changes,
            )
        except errors.SHAPE_ERRORS:
            return None

    def accepted_order_count(self, body):
        """Returns how many orders an engine accepted.

        The result is None if the engine is busy or its report is malformed.

        Only the `sequence` of a report counts orders; that of an entry in
        the store counts heartbeats.

        Args:
            body: Body of the report.
        """
        try:
            value = json.loads(body)
        except ValueError:
            return None
        if not isinstance(value, dict) or value.get('busy') is not False:
            return None
        count = value.get('sequence')
        return count if type(count) is int else None

    def retry_after_headers(self, wait_s):
        """Returns the headers that tell a caller when to retry."""
        return [('Retry-After', f'{wait_s:.2f}')]


def _is_number(text):
    return text.isdecimal() and len(text) <= MAX_DIGITS


def _parse_int(text):
    return int(text) if _is_number(text) else None


def _parse_rate_limit(head):
    """Returns the RateLimit that a response states, or its malformed value.

    Returns:
        None if the response states nothing: it is of another process, or
        answers no caller's request.
    """
    values = [value for name, value in head.headers if name == RATE_LIMIT]
    if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return None
    if not values:
        answers_caller = bool(head.header(REQUEST_ID))
        return gateway.RateLimit(None) if answers_caller else None
    value = values[0].strip()
    if len(values) > 1 or not _DECIMAL.fullmatch(value):
        return ', '.join(values)
    rate_per_s = float(value)
    return (
        gateway.RateLimit(rate_per_s) if math.isfinite(rate_per_s) else value
    )


def _block_name(model, block_id):
    """Names a block with its model, as two models may use the same id."""
    return f'{model}/{block_id}'


def _parse_change(row):
    _number, sign, _empty, block_id, tokens, model = row
    if sign not in ('+', '-'):
        raise ValueError(f'sign {sign!r} of a cache event')
    kept = int(tokens) if sign == '+' else None
    return _block_name(model, block_id), kept


def _parse_prompt(head):
    usage = head.header(TOKEN_USAGE).split(',')
    if len(usage) != 2 or not all(_is_number(item.strip()) for item in usage):
        return None
    blocks = []
    for item in head.header(PROMPT_PREFIX).split(','):
        block_id, _, tokens = item.strip().partition(':')
        if block_id and _is_number(tokens):
            blocks.append((block_id, int(tokens)))
    model = head.header(MODEL)
    named_blocks = tuple(
        (_block_name(model, block_id), tokens) for block_id, tokens in blocks
    )
    return dispatch.Prompt(int(usage[0]), int(usage[1]), named_blocks)
