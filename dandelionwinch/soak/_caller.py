"""Callers of the soak: persistent connections and checked responses."""

import asyncio

import attrs

from dandelionwinch.platform import samples
from dandelionwinch.soak import _poison
from dandelionwinch.soak import _stream_moves
from dandelionwinch.soak import _upstream

# Time that a request states, and how much longer a caller waits.
REQUEST_TIMEOUT_S = 3.0
EXTRA_TIMEOUT_S = 1.0
TIMEOUT_S = REQUEST_TIMEOUT_S + EXTRA_TIMEOUT_S
ADDRESS_TTL_S = 2.0
REQUEST_PAUSE_S = 0.02
CUT_STATUSES = (0, 502)
KINDS = ('once', 'safe', 'resume')
LONG_KINDS = (_stream_moves.ROUTE,)
NOT_RUN_STATUSES = (408, 421, 429, 503)


class _Broken(Exception):
    """A response whose body broke off.

    Attributes:
        body: What arrived of it.
    """

    def __init__(self, body):
        super().__init__('the response broke off')
        self.body = body


@attrs.define
class _Stream:
    """A stream that broke off and is taken up again.

    Attributes:
        began_as: Id of the request that began it.
        events: Its whole events so far.
    """

    began_as: str
    events: list


@attrs.define
class Observations:
    """The responses that all callers received.

    Attributes:
        statuses: Number of final responses by status, 0 for none.
        long_streams: The same of long streams.
        taken_up: The same, for requests that take up a broken stream.
        not_run: Ids of requests whose status says that they did not run.
        violations: Descriptions of incorrect responses.
        sent_to: Frontend address that each request was sent to, by id.
        closed: When the connection of a request was closed before its
            response, by id, in event loop time.
        announced: When a response was read that announced the shutdown of
            its upstream, by request id, in event loop time.
        limited: The same of responses that stated a rate limit.
        cut: When a request ended without a complete response or with status
            502, by id, in event loop time.
    """

    statuses: dict = attrs.Factory(dict)
    long_streams: dict = attrs.Factory(dict)
    taken_up: dict = attrs.Factory(dict)
    not_run: list = attrs.Factory(list)
    violations: list = attrs.Factory(list)
    sent_to: dict = attrs.Factory(dict)
    closed: dict = attrs.Factory(dict)
    announced: dict = attrs.Factory(dict)
    limited: dict = attrs.Factory(dict)
    cut: dict = attrs.Factory(dict)

    def record(self, request_id, status):
        """Records a final response."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if _stream_moves.is_long(request_id):
            counts = self.long_streams
            counts[status] = counts.get(status, 0) + 1
        if status in NOT_RUN_STATUSES:
            self.not_run.append(request_id)


class Caller:
    """A caller that sends one request at a time.

    Args:
        name: Name of the caller, a part of its request ids.
        directories: Addresses that resolve a data centre to instances.
        frontends: Address of the proxy by frontend address.
        observations: Observations that all callers share.
        rng: Random generator of this caller.
        poison: The Poison of the soak.
        teams: The Teams of the soak, or None.
        kinds: Kinds of the requests that it sends.
    """

    def __init__(
        self,
        name,
        directories,
        frontends,
        observations,
        rng,
        poison,
        teams=None,
        kinds=KINDS,
    ):
        self._kinds = kinds
        self._name = name
        self._directories = directories
        self._frontends = frontends
        self._observations = observations
        self._rng = rng
        self._poison = poison
        self._teams = teams
        self._addresses = []
        self._resolved_at = float('-inf')
        self._conn = None
        self._instance = ''
        self._sequence = 0
        self._path = ''

    async def run(self):
        """Sends requests until the task is cancelled."""
        while True:
            self._sequence += 1
            kind = self._rng.choice(self._kinds)
            request_id = f'{kind}-{self._name}-{self._sequence}'
            parts = self._parts(kind, request_id)
            self._path = self._choose_path(kind, request_id)
            sent_at = asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(
                    _request_timeout_s(kind) + EXTRA_TIMEOUT_S
                ):
                    status = await self._send_request(kind, request_id, parts)
            except TimeoutError:
                status = 0
            except (OSError, asyncio.IncompleteReadError):
                status = 0
                now = asyncio.get_running_loop().time()
                self._observations.closed[request_id] = now
            except _Broken as exc:
                status = 0
                await self._take_up(kind, request_id, parts, exc)
            if status == 0:
                self._disconnect()
            self._observations.record(request_id, status)
            if status in CUT_STATUSES:
                now = asyncio.get_running_loop().time()
                self._observations.cut[request_id] = now
            self._end_use(request_id, status)
            if kind == 'resume' or request_id in self._poison.part_of:
                self._poison.outcomes.append(
                    _poison.Outcome(request_id, sent_at, status)
                )
            await asyncio.sleep(REQUEST_PAUSE_S)

    def _parts(self, kind, request_id):
        """Returns the parts of a request's prompt, none for calls."""
        if kind == _stream_moves.ROUTE:
            return [request_id]
        if kind != 'resume':
            return []
        part = self._poison.choose(asyncio.get_running_loop().time())
        return self._poison.prompt(self._name, request_id, part)

    def _choose_path(self, kind, request_id):
        """Returns the path of a request; the poison call has its own."""
        if kind in ('resume', _stream_moves.ROUTE):
            return f'/{kind}/1'
        now = asyncio.get_running_loop().time()
        return f'/{kind}/{self._poison.choose_call(kind, request_id, now)}'

    async def _take_up(self, kind, request_id, parts, broken):
        """Takes a stream up again after its last whole event."""
        events = _whole_events(broken.body)
        if kind != 'resume' or not events:
            return
        self._disconnect()
        stream = _Stream(request_id, events)
        again_id = f'{request_id}-again'
        try:
            async with asyncio.timeout(TIMEOUT_S):
                status = await self._send_request(
                    kind, again_id, parts, stream
                )
        except (OSError, asyncio.IncompleteReadError, _Broken):
            status = 0
        self._end_use(again_id, status)
        counts = self._observations.taken_up
        counts[status] = counts.get(status, 0) + 1

    def _end_use(self, request_id, status):
        """Records the end of a request with a key, if it was sent."""
        if self._teams is not None and request_id in self._teams.uses:
            now = asyncio.get_running_loop().time()
            self._teams.answered(request_id, status, now)

    def _disconnect(self):
        if self._conn is not None:
            self._conn[1].close()
            self._conn = None

    async def _send_request(self, kind, request_id, parts, stream=None):
        if self._conn is None:
            self._conn = await self._connect()
        reader, writer = self._conn
        self._observations.sent_to[request_id] = self._instance
        more = samples.prompt_headers(parts) if parts else []
        began_as = None
        if stream is not None:
            began_as = stream.began_as
            more += samples.resumption(began_as, len(stream.events))
        if self._teams is not None:
            now = asyncio.get_running_loop().time()
            more += self._teams.headers(request_id, now, began_as)
        writer.write(
            samples.request(
                self._path,
                request_id,
                timeout_ms=round(_request_timeout_s(kind) * 1e3),
                more=more,
            )
        )
        status, headers, body = await _read_response(reader)
        if headers.get('connection') == 'close':
            self._disconnect()
        now = asyncio.get_running_loop().time()
        if headers.get(samples.LEAVING) == '1':
            self._observations.announced[request_id] = now
        if samples.RATE_LIMIT in headers:
            self._observations.limited[request_id] = now
        if status == 200:
            self._check(kind, request_id, headers, body, stream)
        return status

    def _check(self, kind, request_id, headers, body, stream):
        expected = f'answer to {request_id}'.encode()
        if kind == 'resume':
            begun = stream.events if stream else []
            count = _upstream.EVENTS_PER_STREAM
            expected = _rest_of_stream(request_id, begun, body, count)
        if kind == _stream_moves.ROUTE:
            count = _stream_moves.EVENTS_PER_STREAM
            expected = _rest_of_stream(request_id, [], body, count)
        if body != expected:
            self._observations.violations.append(
                f'{request_id}: body {body[:80]!r}'
            )
        if headers.get(samples.REQUEST_ID) != request_id:
            self._observations.violations.append(
                f'{request_id}: the response has another id'
            )

    async def _connect(self):
        loop = asyncio.get_running_loop()
        if loop.time() - self._resolved_at > ADDRESS_TTL_S:
            await self._resolve(loop)
        if not self._addresses:
            raise OSError('no directory returned an address')
        self._instance = self._rng.choice(self._addresses)
        address = self._frontends[self._instance]
        host, _, port = address.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def _resolve(self, loop):
        for address in self._rng.sample(self._directories, 3):
            host, _, port = address.rpartition(':')
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        host, int(port)
                    )
                    writer.write(samples.resolve_request('a', 'north'))
                    status, _headers, body = await _read_response(reader)
                    writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                continue
            if status == 200:
                self._addresses = samples.resolved_addresses(body)
                self._resolved_at = loop.time()
                return


def _request_timeout_s(kind):
    """Returns the time that a caller states in its request."""
    if kind == _stream_moves.ROUTE:
        return _stream_moves.TIMEOUT_S
    return REQUEST_TIMEOUT_S


def _whole_events(body):
    return [part + b'\n\n' for part in body.split(b'\n\n')[:-1]]


def _version(events):
    return events[0].rsplit(b' ', 1)[-1].strip().decode() if events else ''


def _rest_of_stream(request_id, begun, body, count):
    """Returns the events after those that have begun a stream.

    All of them are of the version of the first one.
    """
    version = _version(begun or _whole_events(body))
    numbers = range(len(begun) + 1, count + 1)
    return b''.join(
        _upstream.event(number, request_id, version) for number in numbers
    )


async def _read_response(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    status_line, *lines = head.strip().split('\r\n')
    pairs = (line.split(': ', 1) for line in lines)
    headers = {name.lower(): value for name, value in pairs}
    status = int(status_line.split(' ')[1])
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
        return status, headers, body
    body = b''
    try:
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return status, headers, body
            body += data[:-2]
    except (ConnectionError, asyncio.IncompleteReadError) as exc:
        raise _Broken(body) from exc
