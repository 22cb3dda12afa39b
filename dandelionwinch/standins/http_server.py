"""The HTTP server of the stand-ins."""

import abc
import errno
import http
import json
import threading

import attrs
from cheroot import wsgi

DEFAULT_THREADS = 128


@attrs.frozen
class Reply:
    """Response of a handler: a body, or an iterator of chunks.

    Attributes:
        body: Bytes, or a value to be sent as JSON.
        chunks: Iterator of bytes that is sent in place of a body, or None.
        headers: Further headers, as pairs.
    """

    status: int = 200
    body: object = None
    chunks: object = None
    content_type: str = 'application/json'
    headers: tuple = ()


class DropConnection(ConnectionResetError):
    """Raised by a handler to close the connection without a response.

    The server answers any other exception than a lost connection with
    status 500.
    """

    def __init__(self):
        super().__init__(errno.ECONNRESET, 'dropped by the handler')


@attrs.frozen
class Request:
    """A request that is passed to a handler."""

    method: str
    path: str
    query: str
    headers: dict
    raw: bytes

    def json(self):
        """Returns the parsed JSON body, or {} if it is empty."""
        return json.loads(self.raw or b'{}')

    def header(self, name):
        """Returns the value of a header, or an empty string."""
        return self.headers.get(name.lower(), '')


class HttpServer:
    """Serves a handler over HTTP.

    Args:
        handler: Function of a Request that returns a Reply or raises
            DropConnection.
        listen: IP address and port; port 0 lets the system choose one.
        threads: Number of threads that run the handler.

    Attributes:
        address: IP address and port, once started.
    """

    __slots__ = ('_handler', '_server', '_thread', 'address')

    def __init__(self, handler, listen='127.0.0.1:0', threads=DEFAULT_THREADS):
        self._handler = handler
        host, _, port = listen.rpartition(':')
        self._server = wsgi.Server(
            (host, int(port)),
            self._application,
            numthreads=threads,
            request_queue_size=256,
            timeout=30,
        )
        self._server.error_log = lambda *_args, **_kwargs: None
        self._thread = None
        self.address = ''

    def start(self):
        """Binds the port and serves in a separate thread."""
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f'{host}:{port}'
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def close(self):
        """Stops serving and closes the port."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(timeout=5)

    def _application(self, environ, start_response):
        reply = self._handler(_parse_request(environ))
        reason = http.HTTPStatus(reply.status).phrase
        headers = [('Content-Type', reply.content_type), *reply.headers]
        if reply.chunks is not None:
            start_response(f'{reply.status} {reason}', headers)
            return reply.chunks
        body = reply.body
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        headers.append(('Content-Length', str(len(body))))
        start_response(f'{reply.status} {reason}', headers)
        return [body]


class HttpStandIn(abc.ABC):
    """Base of stand-ins with an HTTP server; subclasses define `_handle`."""

    def __init__(self, listen='127.0.0.1:0', threads=DEFAULT_THREADS):
        self._http_server = HttpServer(self._handle, listen, threads)

    @property
    def address(self):
        """IP address and port."""
        return self._http_server.address

    def start(self):
        """Starts the server."""
        self._http_server.start()

    def close(self):
        """Stops the server."""
        self._http_server.close()

    @abc.abstractmethod
    def _handle(self, req):
        """Returns the Reply to a request."""


def _parse_request(environ):
    length = int(environ.get('CONTENT_LENGTH') or 0)
    headers = {
        name[5:].replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    return Request(
        environ['REQUEST_METHOD'],
        environ.get('PATH_INFO', ''),
        environ.get('QUERY_STRING', ''),
        headers,
        environ['wsgi.input'].read(length) if length else b'',
    )
