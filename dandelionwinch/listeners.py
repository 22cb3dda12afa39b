"""HTTP listeners of the entry daemon, based on cheroot.

A Request here is an HTTP request; what handlers send to the core by
``core.request`` is a message.
"""

import hmac
import http
import json
import threading
import urllib.parse
import uuid

import attrs
from cheroot import errors as cheroot_errors
from cheroot.ssl import builtin
from cheroot import wsgi
import loguru

from dandelionwinch import errors

BACKLOG = 512
# cheroot's own limit on a body is higher by this, so that a body slightly
# over the limit is refused here, with a JSON error.
BODY_MARGIN_BYTES = 4096
SHUTDOWN_TIMEOUT_S = 5

logger = loguru.logger


@attrs.frozen
class Request:
    """One HTTP request of a client or an operator.

    Attributes:
        id: Identifier, which the answer carries as X-Request-Id.
        method: HTTP method.
        path: Path without the query.
        query: Parameters of the query by name; the last value counts.
        headers: Header values by lower-case name.
        body: Whole body.
    """

    id: str
    method: str
    path: str
    query: dict
    headers: dict
    body: bytes

    def header(self, name, default=''):
        """Returns the value of a header, or a default."""
        return self.headers.get(name.lower(), default)


@attrs.define
class Response:
    """An answer with a whole body or with a stream of chunks.

    Attributes:
        status: HTTP status.
        body: Whole body, if there are no chunks.
        content_type: Value of the header Content-Type.
        headers: Other headers by name.
        chunks: Iterator of bytes that is sent instead of the body, or
            None; closed if the client disconnects.
    """

    status: int = 200
    body: bytes = b''
    content_type: str = 'application/json'
    headers: dict = attrs.field(factory=dict)
    chunks: object = None


def json_response(value, status=200, headers=None):
    """Returns a response with a JSON body."""
    body = json.dumps(value, default=str).encode()
    return Response(status, body, headers=dict(headers or {}))


def error_body(exc, request_id):
    """Returns the JSON object that reports an error.

    Args:
        exc: A DandelionwinchError.
        request_id: Identifier of the request.

    Returns:
        A dict with the single field ``error``.
    """
    error = {
        'code': exc.code,
        'message': exc.message,
        'truth': str(exc.execution),
        'request_id': request_id,
    }
    if exc.retry_after_s is not None:
        error['retry_after_s'] = exc.retry_after_s
    if isinstance(exc, errors.StatementInvalid):
        error['column'] = exc.column
        error['expected'] = list(exc.expected)
    if isinstance(exc, errors.SettingsInvalid):
        error['findings'] = [attrs.asdict(f) for f in exc.findings]
    return {'error': error}


def error_response(exc, request_id):
    """Returns the response that reports an error."""
    response = json_response(error_body(exc, request_id), exc.status)
    if exc.retry_after_s is not None:
        seconds = max(1, round(exc.retry_after_s))
        response.headers['Retry-After'] = str(seconds)
    return response


def check_token(request, token):
    """Checks the bearer token of a request, in constant time.

    Args:
        request: The Request.
        token: The expected token; an empty one allows every request.

    Raises:
        Unauthorized: If the request's token is missing or differs.
    """
    if not token:
        return
    given = request.header('authorization').encode()
    if not hmac.compare_digest(given, f'Bearer {token}'.encode()):
        raise errors.Unauthorized('the bearer token is missing or wrong')


class Listener:
    """Serves requests on one address by one handler.

    Args:
        address: IP address and port.
        handler: Function from Request to Response; it may raise a
            DandelionwinchError.
        threads: Number of worker threads.
        cfg: The instance's EntrySettings.
    """

    def __init__(self, address, handler, threads, cfg):
        self._handler = handler
        self._limit = cfg.relay.max_body_bytes
        host, _, port = address.rpartition(':')
        self._server = wsgi.Server(
            (host.strip('[]'), int(port)),
            self._application,
            numthreads=threads,
            request_queue_size=BACKLOG,
            timeout=cfg.relay.client_timeout_s,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.max_request_header_size = cfg.relay.max_header_bytes
        self._server.max_request_body_size = self._limit + BODY_MARGIN_BYTES
        self._server.error_log = _log_server_error
        security = cfg.security
        if security.certificate_file:
            self._server.ssl_adapter = builtin.BuiltinSSLAdapter(
                security.certificate_file, security.key_file
            )
        self._thread = threading.Thread(
            target=self._server.serve, name=f'http-{address}', daemon=True
        )

    def start(self):
        """Binds the address and serves it in a thread."""
        self._server.prepare()
        self._thread.start()

    def close(self):
        """Stops serving."""
        self._server.stop()
        self._thread.join(timeout=SHUTDOWN_TIMEOUT_S)

    def _application(self, environ, start_response):
        request_id = uuid.uuid4().hex
        try:
            request = self._parse(environ, request_id)
            response = self._handler(request)
        except errors.DandelionwinchError as exc:
            response = error_response(exc, request_id)
        except Exception:
            logger.bind(request=request_id).exception('request failed')
            exc = errors.DandelionwinchError('an internal error occurred')
            exc.execution = errors.ExecutionStatus.UNKNOWN
            response = error_response(exc, request_id)
        return _start(response, request_id, start_response)

    def _parse(self, environ, request_id):
        headers = {
            name[5:].replace('_', '-').lower(): value
            for name, value in environ.items()
            if name.startswith('HTTP_')
        }
        if environ.get('CONTENT_TYPE'):
            headers['content-type'] = environ['CONTENT_TYPE']
        query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
        return Request(
            request_id,
            environ['REQUEST_METHOD'],
            environ.get('PATH_INFO', ''),
            {name: values[-1] for name, values in query.items()},
            headers,
            self._read_body(environ),
        )

    def _read_body(self, environ):
        too_large = errors.TooLarge(
            f'body is larger than the limit of {self._limit} bytes'
        )
        length = environ.get('CONTENT_LENGTH')
        chunked = environ.get('HTTP_TRANSFER_ENCODING', '')
        if not length and chunked.lower() != 'chunked':
            return b''
        if length and int(length) > self._limit:
            raise too_large
        try:
            source = environ['wsgi.input']
            body = source.read(int(length)) if length else source.read()
        except cheroot_errors.MaxSizeExceeded:
            raise too_large from None
        except (OSError, ValueError) as exc:
            raise errors.BadRequest(f'body was cut off: {exc}') from exc
        if len(body) > self._limit:
            raise too_large
        if length and len(body) < int(length):
            raise errors.BadRequest('body is shorter than announced')
        return body


def _start(response, request_id, start_response):
    headers = [
        ('Content-Type', response.content_type),
        ('X-Request-Id', request_id),
        *response.headers.items(),
    ]
    status = http.HTTPStatus(response.status)
    line = f'{status.value} {status.phrase}'
    if response.chunks is not None:
        start_response(line, headers)
        return response.chunks
    headers.append(('Content-Length', str(len(response.body))))
    start_response(line, headers)
    return [response.body]


def _log_server_error(message='', level=20, traceback=False):
    logger.opt(exception=traceback).debug('http server: {}', message)
