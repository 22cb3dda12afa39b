"""A small HTTP frame that all stand-ins share."""

import http
import json
import threading

import attrs
from cheroot import wsgi

STAND_IN_THREADS = 128


@attrs.frozen
class Reply:
    """What a handler answers: a body or an iterator of chunks."""

    status: int = 200
    body: object = None
    chunks: object = None
    content_type: str = 'application/json'


class HungUp(Exception):
    """Raised by a handler to drop the connection without an answer."""


@attrs.frozen
class Request:
    """One request as a handler sees it."""

    method: str
    path: str
    query: str
    headers: dict
    raw: bytes

    def json(self):
        """Returns the body as parsed JSON; an empty body is {}."""
        return json.loads(self.raw or b'{}')

    def header(self, name):
        """Returns a header's value, or an empty string."""
        return self.headers.get(name.lower(), '')


class WebServer:
    """Serves one handler on a port that the system may choose."""

    __slots__ = ('_handler', '_server', '_thread', 'address')

    def __init__(
        self, handler, listen='127.0.0.1:0', threads=STAND_IN_THREADS
    ):
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
        """Binds the port and serves in a thread of its own."""
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
        reply = self._handler(_request_of(environ))
        reason = http.HTTPStatus(reply.status).phrase
        headers = [('Content-Type', reply.content_type)]
        if reply.chunks is not None:
            start_response(f'{reply.status} {reason}', headers)
            return reply.chunks
        body = reply.body
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        headers.append(('Content-Length', str(len(body))))
        start_response(f'{reply.status} {reason}', headers)
        return [body]


class Served:
    """A stand-in behind a web server; subclasses have `_handle`."""

    def __init__(self, listen='127.0.0.1:0', threads=STAND_IN_THREADS):
        self._web = WebServer(self._handle, listen, threads)

    @property
    def address(self):
        """IP number and port."""
        return self._web.address

    def start(self):
        """Starts to serve."""
        self._web.start()

    def close(self):
        """Stops serving."""
        self._web.close()

    def _handle(self, req):
        raise NotImplementedError


def _request_of(environ):
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
