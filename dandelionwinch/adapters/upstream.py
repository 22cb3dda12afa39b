"""Model engines with an OpenAI-style interface and role orders."""

import json

import attrs
import urllib3
from urllib3 import exceptions

from dandelionwinch.adapters import connection_pools

_LOAD_TIMEOUT_S = 0.5
_ORDER_TIMEOUT_S = 2.0
_CANCEL_TIMEOUT_S = 0.5
_PREFILL_MARGIN_S = 5.0
_DONE = '[DONE]'
_NEVER_SENT = (
    exceptions.NewConnectionError,
    exceptions.ConnectTimeoutError,
)


class UpstreamUnreachable(Exception):
    """No connection to the upstream; nothing was sent."""


class UpstreamRefused(Exception):
    """The upstream answered that it does not take the job.

    Attributes:
        status: HTTP status of the answer.
        body: Text of the answer.
    """

    def __init__(self, status, body):
        super().__init__(f'upstream refused with status {status}')
        self.status = status
        self.body = body


class IncompleteResponse(Exception):
    """The connection ended or fell silent before the answer's end."""


@attrs.frozen
class Chunk:
    """Part of an answer.

    Attributes:
        offset: Index of the piece in the whole answer.
        text: New text; empty for pieces without text.
        choices: The piece as the upstream sent it.
    """

    offset: int
    text: str
    choices: list


@attrs.frozen
class End:
    """The explicit end of an answer."""


@attrs.frozen
class Load:
    """An upstream's own report.

    Attributes:
        boot: Changes when the upstream was restarted.
        order_id: Identifier of the last order that it took.
        applying_order: Whether it is carrying out an order.
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
        path: Interface path, such as ``/v1/completions``.
        body: The request as the engine understands it.
        resume_after: Offset of the last piece seen, or -1.
        silence_s: Longest wait for the next piece.
        first_chunk_timeout_s: Longest wait for the first piece.
    """

    job_id: str
    path: str
    body: dict
    resume_after: int
    chunk_timeout_s: float
    first_chunk_timeout_s: float


@attrs.frozen
class OrderReply:
    """What an upstream said to an order."""

    accepted: bool
    fenced: bool


class UpstreamAdapter:
    """Speaks to model engines."""

    __slots__ = ('_connect_s', '_pools')

    def __init__(self, connect_s, idle_s):
        self._connect_s = connect_s
        self._pools = connection_pools.ConnectionPools(idle_s)

    def stream(self, address, call):
        """Opens an answer as a stream.

        Yields:
            Piece for each part and one End.

        Raises:
            UpstreamUnreachable: Before anything was sent.
            UpstreamRefused: If the upstream does not take the job.
            UpstreamBroke: If the stream ends early or falls silent.
        """
        body = {**call.body, 'stream': True}
        reply = self._open(address, call, body)
        try:
            for item in _pieces(reply):
                yield item
                _set_timeout(reply, call.chunk_timeout_s)
        except (exceptions.HTTPError, OSError, ValueError) as exc:
            raise IncompleteResponse(str(exc)) from exc
        finally:
            reply.close()

    def fetch(self, address, call):
        """Fetches an answer in one piece and returns it parsed."""
        body = {**call.body, 'stream': False}
        reply = self._open(address, call, body)
        try:
            return json.loads(reply.read())
        except (exceptions.HTTPError, OSError, ValueError) as exc:
            raise IncompleteResponse(str(exc)) from exc
        finally:
            reply.close()

    def prefill(self, address, call):
        """Prefills a prompt and exports its KV cache.

        Returns:
            Parameters with which another upstream imports the cache.
        """
        body = {
            **call.body,
            'max_tokens': 1,
            'kv_transfer_params': {'do_remote_decode': True},
        }
        answer = self.fetch(address, attrs.evolve(call, body=body))
        return {
            **answer.get('kv_transfer_params', {}),
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
            connect=self._connect_s,
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
        except _NEVER_SENT as exc:
            self._pools.discard(address)
            raise UpstreamUnreachable(str(exc)) from exc
        except exceptions.HTTPError as exc:
            self._pools.discard(address)
            raise IncompleteResponse(str(exc)) from exc
        if reply.status != 200:
            text = _read_refusal(reply)
            raise UpstreamRefused(reply.status, text)
        return reply

    def cancel(self, address, job_id):
        """Tells an upstream that nobody wants a job's answer."""
        body = {'request_id': job_id}
        self._ask(address, 'POST', '/v1/cancel', body, _CANCEL_TIMEOUT_S)

    def fetch_load(self, address):
        """Returns an upstream's Load, or None if it does not answer."""
        answer = self._ask(address, 'GET', '/load', None, _LOAD_TIMEOUT_S)
        if answer is None or answer.status != 200:
            return None
        try:
            return _load_of(answer.json())
        except (ValueError, TypeError, AttributeError):
            return None

    def send_order(self, address, order):
        """Sends an order and returns an OrderAnswer or None.

        None means that no answer came: it may have been taken.
        """
        body = {
            'order_id': order.id,
            'epoch': order.epoch,
            'role': order.role,
        }
        answer = self._ask(address, 'POST', '/role', body, _ORDER_TIMEOUT_S)
        if answer is None or answer.status not in (202, 409):
            return None
        return OrderReply(answer.status == 202, answer.status == 409)

    def _ask(self, address, method, path, body, timeout_s):
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


def _set_timeout(reply, seconds):
    conn = reply.connection
    if conn is not None and conn.sock is not None:
        conn.sock.settimeout(seconds)


def _read_refusal(reply):
    try:
        return reply.read().decode('utf-8', 'replace')
    except exceptions.HTTPError:
        return ''
    finally:
        reply.close()


def _load_of(body):
    return Load(
        running=_count(body.get('running', 0)),
        waiting=_count(body.get('waiting', 0)),
        waiting_tokens=_count(body.get('waiting_tokens', 0)),
        kv_tokens=_count(body.get('kv_tokens', 0)),
        role=str(body.get('role', '')),
        epoch=_count(body.get('epoch', 0)),
        order_id=str(body.get('order_id', '')),
        applying_order=bool(body.get('away', False)),
        boot=_count(body.get('boot', 0)),
    )


def _count(value):
    number = int(value)
    if number < 0:
        raise ValueError(f'count {number} is negative')
    return number


def _pieces(reply):
    offset = -1
    for line in _lines(reply):
        name, _, value = line.partition(':')
        value = value.strip()
        if name == 'id':
            offset = int(value)
        elif name == 'data' and value == _DONE:
            yield End()
            return
        elif name == 'data':
            choices = json.loads(value).get('choices', [])
            yield Chunk(offset, _text_of(choices), choices)
    raise IncompleteResponse('the stream has no end mark')


def _lines(reply):
    rest = b''
    for data in _chunks(reply):
        rest += data
        while (cut := rest.find(b'\n')) >= 0:
            line, rest = rest[:cut], rest[cut + 1 :]
            if line:
                yield line.decode('utf-8')


def _chunks(reply):
    if reply.chunked:
        yield from reply.read_chunked()
        return
    while data := reply.read1():
        yield data


def _text_of(choices):
    if not choices:
        return ''
    first = choices[0]
    if 'text' in first:
        return first['text'] or ''
    return (first.get('delta') or {}).get('content') or ''
