"""HTTP/1.1 codec: parses with httptools and serializes messages."""

import attrs
import httptools

from dandelionwinch import errors

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'proxy-authenticate',
        'proxy-authorization',
        'content-length',
    )
)
REASON_PHRASES = {
    100: 'Continue',
    200: 'OK',
    204: 'No Content',
    400: 'Bad Request',
    404: 'Not Found',
    408: 'Request Timeout',
    413: 'Content Too Large',
    421: 'Misdirected Request',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class BadMessage(errors.DandelionwinchError):
    """The peer sent bytes that violate HTTP."""

    code = 'bad_message'
    status = 400


class HeadTooLarge(BadMessage):
    """The head of a message exceeds its limit."""

    code = 'head_too_large'
    status = 431


class BodyTooLarge(BadMessage):
    """The body of a message exceeds its limit."""

    code = 'body_too_large'
    status = 413


@attrs.frozen
class Head:
    """Start line and headers of a message.

    Attributes:
        method: Method of a request, '' in responses.
        target: Target of a request with its query, '' in responses.
        status: Status of a response, 0 in requests.
        headers: Pairs of lower-case name and value, in order of receipt.
        keep_alive: Whether the connection persists after this message.
    """

    method: str
    target: str
    status: int
    headers: tuple[tuple[str, str], ...]
    keep_alive: bool

    def header(self, name):
        """Returns the first value of a lower-case name, or ''."""
        for key, value in self.headers:
            if key == name:
                return value
        return ''

    @property
    def path(self):
        """Returns the target without its query."""
        return self.target.partition('?')[0]

    def end_to_end(self):
        """Returns the headers without the hop-by-hop ones (RFC 9110)."""
        listed = self.header('connection').lower()
        dropped = {item.strip() for item in listed.split(',')} | HOP_BY_HOP
        return [pair for pair in self.headers if pair[0] not in dropped]


class _Parser:
    """Parses a stream of messages and passes their parts to a sink.

    The sink has `on_head(head)`, `on_body(data)` and `on_end()`.
    """

    __slots__ = (
        '_head_bytes',
        '_headers',
        '_parser',
        '_sink',
        '_target',
        'max_head_bytes',
    )

    def __init__(self, sink, max_head_bytes):
        self._sink = sink
        self._parser = self._new_parser()
        self._headers = []
        self._target = b''
        self._head_bytes = 0
        self.max_head_bytes = max_head_bytes

    def feed(self, data):
        """Parses received bytes.

        Raises:
            BadMessage: If they violate HTTP, or the sink rejects them.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadMessage('a change of protocol is not supported') from exc
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, errors.DandelionwinchError):
                raise exc.__context__ from exc
            raise
        except httptools.HttpParserError as exc:
            raise BadMessage(f'not a message of HTTP: {exc}') from exc

    def on_message_begin(self):
        self._headers = []
        self._target = b''
        self._head_bytes = 0

    def on_url(self, url):
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name, value):
        self._count_head_bytes(len(name) + len(value) + 4)
        pair = (name.decode('latin-1').lower(), value.decode('latin-1'))
        self._headers.append(pair)

    def _count_head_bytes(self, size):
        self._head_bytes += size
        if self._head_bytes > self.max_head_bytes:
            raise HeadTooLarge(f'the head is over {self.max_head_bytes} bytes')

    def on_body(self, body):
        self._sink.on_body(body)

    def on_message_complete(self):
        self._sink.on_end()


class RequestParser(_Parser):
    """Parses requests of callers."""

    __slots__ = ()

    def _new_parser(self):
        return httptools.HttpRequestParser(self)

    def on_headers_complete(self):
        head = Head(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            0,
            tuple(self._headers),
            self._parser.should_keep_alive(),
        )
        self._sink.on_head(head)


class ResponseParser(_Parser):
    """Parses responses of upstreams."""

    __slots__ = ()

    def _new_parser(self):
        return httptools.HttpResponseParser(self)

    def on_status(self, status):
        self._count_head_bytes(len(status))

    def on_headers_complete(self):
        head = Head(
            '',
            '',
            self._parser.get_status_code(),
            tuple(self._headers),
            self._parser.should_keep_alive(),
        )
        self._sink.on_head(head)


def request_bytes(method, target, headers, body):
    """Serializes a request; adds Content-Length where it has a body."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method in ('POST', 'PUT', 'PATCH'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def response_head(status, headers):
    """Serializes the head of a response."""
    reason = REASON_PHRASES.get(status, 'Status')
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'


def encode_chunk(data):
    """Serializes one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


LAST_CHUNK = b'0\r\n\r\n'
