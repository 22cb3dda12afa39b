"""Client of model engines: OpenAI-compatible API, load and role orders."""

import json

import attrs
import urllib3
from urllib3 import exceptions

from dandelionwinch.adapters import connection_pools
from dandelionwinch import errors

# As long as the default of timing.load_s, the period of load reads.
_LOAD_TIMEOUT_S = 0.5
_ORDER_TIMEOUT_S = 2.0
_CANCEL_TIMEOUT_S = 0.5
# Added to the timeout of the first chunk, which ends the prefill.
_PREFILL_MARGIN_S = 5.0
_END_MARK = '[DONE]'
_NOT_SENT_ERRORS = (
    exceptions.NewConnectionError,
    exceptions.ConnectTimeoutError,
)


_RESPONSE_ERRORS = (exceptions.HTTPError, OSError, *errors.SHAPE_ERRORS)


class UpstreamUnreachable(Exception):
    """No connection to the upstream was made; the request was not sent."""


class UpstreamRefused(Exception):
    """The upstream responded with a status other than 200.

    Attributes:
        status: HTTP status of the response.
        body: Body of the response as text.
    """

    def __init__(self, status, body):
        super().__init__(f'upstream refused with status {status}')
        self.status = status
        self.body = body


class IncompleteResponse(Exception):
    """The response ended early, timed out or is malformed."""


class UpstreamSilent(IncompleteResponse):
    """A timeout passed; the upstream may be sound and go on."""


@attrs.frozen
class Chunk:
    """A chunk of a streamed completion.

    Attributes:
        offset: Index of the chunk in the completion, by the id of the
            last event that has one; -1 if there is none.
        text: Text that the chunk adds; may be empty.
        choices: The field `choices` of the chunk.
    """

    offset: int
    text: str
    choices: list


@attrs.frozen
class End:
    """The end mark of a streamed completion."""


@attrs.frozen
class Load:
    """Load and role that an upstream reports.

    Attributes:
        running: Jobs that decode.
        waiting: Jobs that wait for the end of their prefill.
        waiting_tokens: Prompt tokens that are not prefilled yet.
        kv_tokens: Tokens in the KV cache.
        epoch: Highest fencing epoch of the orders received.
        order_id: Identifier of the last accepted order, or empty.
        applying_order: Whether the upstream is executing an order.
        boot: Number that changes when the upstream restarts.
    """

    running: int
    waiting: int
    waiting_tokens: int
    kv_tokens: int
    role: str
    epoch: int
    order_id: str
    applying_order: bool
    boot: int


@attrs.frozen
class Call:
    """One attempt at a job on one upstream.

    Attributes:
        job_id: Request id, by which the upstream finds a job to resume.
        path: API path, such as ``/v1/completions``.
        body: Parsed request body.
        resume_after: Offset of the last chunk received, or -1.
        chunk_timeout_s: Timeout between chunks in seconds.
        first_chunk_timeout_s: Timeout of the first chunk in seconds, to
            which _PREFILL_MARGIN_S is added.
    """

    job_id: str
    path: str
    body: dict
    resume_after: int
    chunk_timeout_s: float
    first_chunk_timeout_s: float


@attrs.frozen
class OrderReply:
    """Response of an upstream to an order.

    Attributes:
        accepted: Whether the upstream accepted the order.
        fenced: Whether it rejected the order for an old epoch.
    """

    accepted: bool
    fenced: bool


class UpstreamAdapter:
    """Client of model engines.

    Args:
        connect_timeout_s: Timeout of opening a connection in seconds.
        idle_s: Seconds after which idle connections are closed.
    """

    __slots__ = ('_connect_timeout_s', '_pools')

    def __init__(self, connect_timeout_s, idle_s):
        self._connect_timeout_s = connect_timeout_s
        self._pools = connection_pools.ConnectionPools(idle_s)

    def stream(self, address, call):
        """Streams a completion.

        Yields:
            A Chunk for each event, then End.

        Raises:
            UpstreamUnreachable: If no connection was made.
            UpstreamRefused: If the status is not 200.
            UpstreamSilent: If a timeout passes.
            IncompleteResponse: If the stream ends early or an event is
                malformed.
        """
        body = {**call.body, 'stream': True}
        reply = self._open(address, call, body)
        try:
            for item in _parse_stream(reply):
                yield item
                # Up to here the read timeout was that of the first chunk.
                _set_read_timeout(reply, call.chunk_timeout_s)
        except exceptions.ReadTimeoutError as exc:
            raise UpstreamSilent(str(exc)) from exc
        except _RESPONSE_ERRORS as exc:
            raise IncompleteResponse(str(exc)) from exc
        finally:
            reply.close()

    def fetch(self, address, call):
        """Fetches a completion without streaming.

        Returns:
            The parsed response body.

        Raises:
            UpstreamUnreachable: If no connection was made.
            UpstreamRefused: If the status is not 200.
            IncompleteResponse: If the response ends early, a timeout passes
                or the body is not JSON.
        """
        body = {**call.body, 'stream': False}
        reply = self._open(address, call, body)
        try:
            body = json.loads(reply.read())
            if not isinstance(body, dict):
                raise IncompleteResponse('the body is no JSON object')
            return body
        except _RESPONSE_ERRORS as exc:
            raise IncompleteResponse(str(exc)) from exc
        finally:
            reply.close()

    def prefill(self, address, call):
        """Prefills a prompt and exports its KV cache.

        Returns:
            The field `kv_transfer_params` of the decode request, with
            which another upstream imports the KV cache.

        Raises:
            UpstreamUnreachable: If no connection was made.
            UpstreamRefused: If the status is not 200.
            IncompleteResponse: If the response ends early, a timeout passes
                or the body is not JSON.
        """
        body = {
            **call.body,
            'max_tokens': 1,
            'kv_transfer_params': {'do_remote_decode': True},
        }
        answer = self.fetch(address, attrs.evolve(call, body=body))
        params = answer.get('kv_transfer_params') or {}
        if not isinstance(params, dict):
            raise IncompleteResponse('"kv_transfer_params" is no JSON object')
        return {
            **params,
            'do_remote_prefill': True,
            'remote_address': address,
        }

    def _open(self, address, call, body):
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': call.job_id,
        }
        if call.resume_after >= 0:
            headers['Last-Event-ID'] = str(call.resume_after)
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s,
            read=call.first_chunk_timeout_s + _PREFILL_MARGIN_S,
        )
        try:
            reply = self._pools.pool_for(address).request(
                'POST',
                call.path,
                body=json.dumps(body),
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
        except _NOT_SENT_ERRORS as exc:
            self._pools.discard(address)
            raise UpstreamUnreachable(str(exc)) from exc
        except exceptions.ReadTimeoutError as exc:
            self._pools.discard(address)
            raise UpstreamSilent(str(exc)) from exc
        except exceptions.HTTPError as exc:
            self._pools.discard(address)
            raise IncompleteResponse(str(exc)) from exc
        if reply.status != 200:
            text = _read_error_body(reply)
            raise UpstreamRefused(reply.status, text)
        return reply

    def cancel(self, address, job_id):
        """Cancels a job on an upstream; errors are ignored."""
        body = {'request_id': job_id}
        self._request(address, 'POST', '/v1/cancel', body, _CANCEL_TIMEOUT_S)

    def fetch_load(self, address):
        """Returns the Load of an upstream.

        Returns None if the upstream does not respond or the response is
        invalid.
        """
        reply = self._request(address, 'GET', '/load', None, _LOAD_TIMEOUT_S)
        if reply is None or reply.status != 200:
            return None
        try:
            return _parse_load(reply.json())
        except errors.SHAPE_ERRORS:
            return None

    def send_order(self, address, order):
        """Sends a role order.

        Args:
            address: IP address and port of the upstream.
            order: An order with `id`, `epoch` and `role`.

        Returns:
            An OrderReply, or None if no valid response was received; the
            upstream may have accepted the order then.
        """
        body = {
            'order_id': order.id,
            'epoch': order.epoch,
            'role': order.role,
        }
        reply = self._request(address, 'POST', '/role', body, _ORDER_TIMEOUT_S)
        if reply is None or reply.status not in (202, 409):
            return None
        return OrderReply(reply.status == 202, reply.status == 409)

    def _request(self, address, method, path, body, timeout_s):
        try:
            return self._pools.pool_for(address).request(
                method,
                path,
                body=None if body is None else json.dumps(body),
                timeout=timeout_s,
            )
        except exceptions.HTTPError:
            self._pools.discard(address)
            return None

    def close(self):
        """Closes all idle connections."""
        self._pools.close()


def _set_read_timeout(reply, timeout_s):
    conn = reply.connection
    if conn is not None and conn.sock is not None:
        conn.sock.settimeout(timeout_s)


def _read_error_body(reply):
    try:
        return reply.read().decode('utf-8', 'replace')
    except exceptions.HTTPError:
        return ''
    finally:
        reply.close()


def _parse_load(body):
    return Load(
        running=_parse_count(body.get('running', 0)),
        waiting=_parse_count(body.get('waiting', 0)),
        waiting_tokens=_parse_count(body.get('waiting_tokens', 0)),
        kv_tokens=_parse_count(body.get('kv_tokens', 0)),
        role=str(body.get('role', '')),
        epoch=_parse_count(body.get('epoch', 0)),
        order_id=str(body.get('order_id', '')),
        # The field is named `away` in the API of the upstreams.
        applying_order=bool(body.get('away', False)),
        boot=_parse_count(body.get('boot', 0)),
    )


def _parse_count(value):
    number = int(value)
    if number < 0:
        raise ValueError(f'count {number} is negative')
    return number


def _parse_stream(reply):
    offset = -1
    for line in _lines(reply):
        name, _, value = line.partition(':')
        value = value.strip()
        if name == 'id':
            offset = int(value)
        elif name == 'data' and value == _END_MARK:
            yield End()
            return
        elif name == 'data':
            choices = json.loads(value).get('choices', [])
            if not isinstance(choices, list):
                raise ValueError('field "choices" is no array')
            yield Chunk(offset, _chunk_text(choices), choices)
    raise IncompleteResponse('the stream has no end mark')


def _lines(reply):
    pending = b''
    for data in _body_parts(reply):
        pending += data
        while (end := pending.find(b'\n')) >= 0:
            line, pending = pending[:end], pending[end + 1 :]
            if line:
                yield line.decode('utf-8')


def _body_parts(reply):
    if reply.chunked:
        yield from reply.read_chunked()
        return
    while data := reply.read1():
        yield data


def _chunk_text(choices):
    if not choices:
        return ''
    first = choices[0]
    if 'text' in first:
        return first['text'] or ''
    return (first.get('delta') or {}).get('content') or ''
