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
# Maximum size of the trailer section of a body.
MAX_TRAILER_BYTES = 8192
# Maximum size of what frames a body (sizes and extensions of chunks, and
# the trailer section), beyond what its data makes room for: as many bytes
# as they are themselves, and CHUNK_FRAMING_BYTES for each piece of them.
MAX_FRAMING_BYTES = 16384
CHUNK_FRAMING_BYTES = 16
TUNNEL_METHOD = 'CONNECT'
REASON_PHRASES = {
    100: 'Continue',
    200: 'OK',
    204: 'No Content',
    400: 'Bad Request',
    401: 'Unauthorized',
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


class TrailerTooLarge(HeadTooLarge):
    """The trailer section of a body exceeds its limit."""

    code = 'trailer_too_large'


class FramingTooLarge(BadMessage):
    """The framing of a body exceeds its limit."""

    code = 'framing_too_large'


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
        headers: Pairs of lower-case name and value, in order of receipt;
            not in its repr, as keys of callers are among them.
        keep_alive: Whether the connection persists after this message.
        size: Its bytes as counted against the limit of a head.
    """

    method: str
    target: str
    status: int
    headers: tuple[tuple[str, str], ...] = attrs.field(repr=False)
    keep_alive: bool
    size: int

    def header(self, name):
        """Returns the first value of a lower-case name, or ''."""
        for key, value in self.headers:
            if key == name:
                return value
        return ''

    @property
    def framed(self):
        """Tells whether the body has a length or chunks."""
        return bool(
            self.header('content-length') or self.header('transfer-encoding')
        )

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

    httptools keeps a header that is not complete, whatever its size, and
    tells nothing of it. So all received bytes other than data of a body
    are counted too, for each section (a head with what is before it, or a
    body with its framing). The piece in which a section begins does not
    count, as it is not known where it does.

    Attributes:
        max_head_bytes: Maximum size of a head.
        in_message: Whether a message has begun to arrive and not ended.
    """

    __slots__ = (
        '_head_bytes',
        '_headers',
        '_in_body',
        '_parser',
        '_room_bytes',
        '_section_began',
        '_sink',
        '_target',
        '_trailer_bytes',
        '_unread_bytes',
        'in_message',
        'max_head_bytes',
    )

    def __init__(self, sink, max_head_bytes):
        self._sink = sink
        self._parser = self._new_parser()
        self._headers = []
        self._target = b''
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._in_body = False
        self._section_began = False
        # Received bytes of the section that are no data, and the room that
        # the data of the current piece makes for them.
        self._unread_bytes = 0
        self._room_bytes = 0
        self.max_head_bytes = max_head_bytes
        self.in_message = False

    def feed(self, data):
        """Parses received bytes.

        Raises:
            BadMessage: If they violate HTTP, or the sink rejects them.
        """
        self._section_began = False
        self._room_bytes = 0
        self._parse(data)
        self._count_received(len(data))

    def _parse(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            self._go_on_after_upgrade(data[exc.args[0] :])
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, errors.DandelionwinchError):
                raise exc.__context__ from exc
            raise
        except httptools.HttpParserError as exc:
            raise BadMessage(f'not a message of HTTP: {exc}') from exc

    def _go_on_after_upgrade(self, _rest):
        """Goes on where httptools has ended a message with its head.

        Raises:
            BadMessage: If what follows is of another protocol.
        """
        raise BadMessage('a change of protocol is not supported')

    def _count_received(self, size):
        if self._section_began:
            self._unread_bytes = 0
            return
        self._unread_bytes += size - self._room_bytes
        if not self._in_body:
            self._check_head(self._unread_bytes)
        elif self._unread_bytes < 0:
            self._unread_bytes = 0
        elif self._unread_bytes > MAX_FRAMING_BYTES:
            raise FramingTooLarge(
                f'a body has over {MAX_FRAMING_BYTES} bytes of framing'
            )

    def _begin_section(self, in_body):
        self._in_body = in_body
        self._section_began = True

    def on_message_begin(self):
        self.in_message = True
        self._headers = []
        self._target = b''
        self._head_bytes = 0
        self._trailer_bytes = 0

    def on_url(self, url):
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name, value):
        size = len(name) + len(value) + 4
        if self._in_body:
            self._count_trailer_bytes(size)
            return
        self._count_head_bytes(size)
        pair = (name.decode('latin-1').lower(), value.decode('latin-1'))
        self._headers.append(pair)

    def _count_head_bytes(self, size):
        self._head_bytes += size
        self._check_head(self._head_bytes)

    def _check_head(self, size):
        if size > self.max_head_bytes:
            raise HeadTooLarge(f'the head is over {self.max_head_bytes} bytes')

    def _count_trailer_bytes(self, size):
        self._trailer_bytes += size
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise TrailerTooLarge(
                f'the trailer is over {MAX_TRAILER_BYTES} bytes'
            )

    def on_body(self, body):
        self._room_bytes += 2 * len(body) + CHUNK_FRAMING_BYTES
        self._sink.on_body(body)

    def on_message_complete(self):
        self.in_message = False
        self._begin_section(in_body=False)
        self._sink.on_end()


class RequestParser(_Parser):
    """Parses requests of callers.

    A request may offer another protocol, which a server may ignore; httptools
    ends it with its head then, whatever body follows. The framing of its head
    is parsed once more, without the offer, and its body after that.
    """

    __slots__ = ('_framing', '_replays')

    def __init__(self, sink, max_head_bytes):
        # Head that only frames the body of a request with an offer.
        self._framing = None
        # Whether such a head is being parsed, of which the sink knows.
        self._replays = False
        super().__init__(sink, max_head_bytes)

    def _new_parser(self):
        return httptools.HttpRequestParser(self)

    def _go_on_after_upgrade(self, rest):
        framing, self._framing = self._framing, None
        self._parser = self._new_parser()
        self._replays = True
        self._parse(framing)
        self._parse(rest)

    def on_message_begin(self):
        if not self._replays:
            super().on_message_begin()

    def on_url(self, url):
        if not self._replays:
            super().on_url(url)

    def on_header(self, name, value):
        if not self._replays:
            super().on_header(name, value)

    def on_message_complete(self):
        if self._framing is None:
            super().on_message_complete()

    def on_headers_complete(self):
        if self._replays:
            self._replays = False
            return
        self._begin_section(in_body=True)
        if self._parser.should_upgrade():
            self._framing = self._framing_head()
        self._pass_head()

    def _framing_head(self):
        """Returns the bytes of a head that only frames the current body.

        Raises:
            BadMessage: If the request asks for a tunnel.
        """
        method = self._parser.get_method().decode('latin-1')
        if method == TUNNEL_METHOD:
            raise BadMessage('a tunnel is not supported')
        lines = [f'{method} / HTTP/{self._parser.get_http_version()}']
        lines += [
            f'{name}: {value}'
            for name, value in self._headers
            if name in ('content-length', 'transfer-encoding')
        ]
        return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'

    def _pass_head(self):
        head = Head(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            0,
            tuple(self._headers),
            self._parser.should_keep_alive(),
            self._head_bytes,
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
        self._begin_section(in_body=True)
        head = Head(
            '',
            '',
            self._parser.get_status_code(),
            tuple(self._headers),
            self._parser.should_keep_alive(),
            self._head_bytes,
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
