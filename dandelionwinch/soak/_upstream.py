"""Upstreams of the soak, which record executions and inject faults."""

import asyncio

import attrs

from dandelionwinch.platform import samples
from dandelionwinch.soak import _stream_moves

EVENTS_PER_STREAM = 6
EXECUTION_S = 0.01
FAULT_PROBABILITY = 0.04
# Covers the removal of the entry, the delay between watches, and the time
# for which an outage of the store delays deregistrations.
DRAIN_S = 8.0
# lose: executes the request and closes the connection without a response.
# refuse: responds with a refusal and does not execute the request.
# truncate: ends the response early and closes the connection.
# extra: sends a response that is not a stream twice.
# close_framed: responds without a length; the connection's end is the end.
# endless: sends bytes that are no response until the connection is closed.
FAULTS = ('lose', 'refuse', 'truncate', 'extra', 'close_framed', 'endless')
# What is sent again and again by `endless`.
FILLER = b'a' * 16384
KEY_HEADER = samples.key_header('')[0].lower()
# Refusals that ask for a pause, rare enough that an instance seldom has no
# upstream left, and the length of the pause.
PAUSE_PROBABILITY = 0.003
MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 2.5


@attrs.frozen
class Pause:
    """A response that asked the sender of a request for a pause.

    Attributes:
        upstream_id: Upstream that sent it.
        request_id: Request that it answered.
        at: Event loop time of the response.
        wait_s: Length of the pause in seconds.
    """

    upstream_id: str
    request_id: str
    at: float
    wait_s: float


def event(number, request_id, version):
    """Returns the bytes of an event of a stream."""
    return f'id: {number}\ndata: {request_id} {version}\n\n'.encode()


def _chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


@attrs.define
class ExecutionLog:
    """The requests that the upstreams of one soak executed.

    Attributes:
        arrived: Ids of the requests that reached an upstream.
        runs: Number of executions by request id.
        late: Request id and time of each request that reached an upstream
            more than DRAIN_S after its withdrawal.
        arrivals: Upstream id, request id and time of each arrival.
        announced: Upstream that announced its shutdown in the response to
            a request, by request id.
        pauses: The Pauses that upstreams asked for.
        identities: Request id, name of the team, '' for none, and whether
            there was a key, of each request that arrived.
        begun: Name of the team and event loop time at which it first began
            to run, by request id: a stream with its first event.
        faulty: Ids of the requests under which an upstream had a fault.
        crashed: Ids of the upstreams that have crashed.
        moves: StreamMoves.
    """

    arrived: set = attrs.Factory(set)
    runs: dict = attrs.Factory(dict)
    late: list = attrs.Factory(list)
    arrivals: list = attrs.Factory(list)
    announced: dict = attrs.Factory(dict)
    pauses: list = attrs.Factory(list)
    identities: list = attrs.Factory(list)
    begun: dict = attrs.Factory(dict)
    faulty: set = attrs.Factory(set)
    crashed: set = attrs.Factory(set)
    moves: _stream_moves.StreamMoves = attrs.Factory(_stream_moves.StreamMoves)

    def record_run(self, request_id):
        """Records an execution."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1

    def record_begin(self, request_id, team):
        """Records that a request began to run, unless it did before."""
        now = asyncio.get_running_loop().time()
        self.begun.setdefault(request_id, (team, now))


class SoakUpstream:
    """An upstream that streams for prompts and sends other bodies whole.

    Args:
        upstream_id: Id of its entry in the store.
        version: Version of its software, which each event names.
        executions: ExecutionLog of the soak.
        rng: Random generator that selects the faults.
        poison: The Poison of the soak, or None.
        limits: The Limits of the soak, or None.

    Attributes:
        withdrawn_at: When its entry was marked as draining or removed, None
            while it serves.
        announces: Whether its responses announce its shutdown.
        proxy: The Proxy in front of it.
        place: capacity.Place, its kind and data centre.
        limit: The Limit that it states, or None.
        crashed: Whether it has crashed.
        on_crash: Called with it and the Part under which it has crashed.
    """

    def __init__(
        self, upstream_id, version, executions, rng, poison=None, limits=None
    ):
        self.id = upstream_id
        self.version = version
        self._executions = executions
        self._rng = rng
        self._poison = poison
        self._limits = limits
        self._server = None
        self._writers = set()
        self.address = ''
        self.withdrawn_at = None
        self.announces = False
        self.proxy = None
        self.place = None
        self.limit = None
        self.crashed = False
        self.on_crash = None

    async def start(self):
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self):
        """Stops listening."""
        self._server.close()

    def _crash(self, part):
        if not self.crashed:
            self.on_crash(self, part)
            self.crash()

    def crash(self):
        """Resets all connections and refuses new ones."""
        self.crashed = True
        self._executions.crashed.add(self.id)
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def _poison_part(self, headers):
        """Returns the Part that crashes it under a request, or None."""
        if self._poison is None or samples.PROMPT_PREFIX not in headers:
            return None
        entries = headers[samples.PROMPT_PREFIX].split(',')
        return self._poison.in_request(
            [entry.partition(':')[0] for entry in entries]
        )

    def _crash_under(self, request_line):
        """Crashes if a call is a poison one; tells whether it has."""
        name = request_line.split(' ')[1].rpartition('/')[2]
        part = self._poison and self._poison.in_request([name])
        if part is None:
            return False
        self._crash(part)
        return True

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The instance closed the connection, or the soak ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        request_line, *lines = head.strip().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines)
        headers = {name.lower(): value for name, value in headers.items()}
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        request_id = headers.get(samples.REQUEST_ID)
        if request_id is None:
            answer = await self._executions.moves.answer(
                self, request_line, body, self._rng
            )
            writer.write(answer or b'')
            return answer is not None
        if headers[samples.UPSTREAM_ID] != self.id:
            writer.write(samples.refusal('421 Misdirected Request'))
            return True
        if samples.KV_SOURCE in headers:
            return await self._go_on(writer, headers)
        self._record_arrival(request_id)
        self._executions.identities.append(
            (
                request_id,
                headers.get(samples.TEAM, ''),
                KEY_HEADER in headers,
            )
        )
        fault = self._choose_fault()
        if fault:
            self._executions.faulty.add(request_id)
        if fault == 'refuse':
            writer.write(samples.refusal(more=self._more(request_id)))
            return True
        if fault == 'pause':
            writer.write(self._refuse_with_pause(request_id))
            return True
        self._executions.record_run(request_id)
        team = headers.get(samples.TEAM, '')
        if samples.TOKEN_USAGE not in headers:
            self._executions.record_begin(request_id, team)
        await asyncio.sleep(EXECUTION_S)
        if self.crashed or self._crash_under(request_line):
            return False
        if fault == 'lose':
            writer.transport.abort()
            return False
        if fault == 'endless':
            await self._send_endless(writer, request_id)
        if samples.TOKEN_USAGE in headers:
            return await self._send_stream(writer, headers, fault)
        return self._send_whole(writer, request_id, fault)

    def _choose_fault(self):
        """Returns the fault of the next request, or ''."""
        if self._rng.random() < PAUSE_PROBABILITY:
            return 'pause'
        if self._rng.random() < FAULT_PROBABILITY:
            return self._rng.choice(FAULTS)
        return ''

    def _more(self, request_id):
        """Returns the header lines that the response to a request has."""
        more = ''
        if self.limit is not None:
            more += samples.limit_line(
                self._limits.line(self.limit, request_id)
            )
        if self.announces:
            self._executions.announced[request_id] = self.id
            more += samples.LEAVING_LINE
        return more

    def _refuse_with_pause(self, request_id):
        now = asyncio.get_running_loop().time()
        wait_s = self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        self._executions.pauses.append(Pause(self.id, request_id, now, wait_s))
        more = samples.retry_after_line(wait_s) + self._more(request_id)
        return samples.refusal(more=more)

    async def _send_endless(self, writer, request_id):
        """Sends bytes until the connection ends, which raises an OSError."""
        chunked = samples.response_head(
            request_id, 'Transfer-Encoding: chunked'
        )
        starts = (
            b'',
            b'HTTP/1.1 200 OK\r\nX-Endless: ',
            chunked,
            chunked + b'1;',
            chunked + b'0\r\nX-Endless: ',
        )
        writer.write(self._rng.choice(starts))
        while True:
            writer.write(FILLER)
            await writer.drain()

    def _record_arrival(self, request_id):
        now = asyncio.get_running_loop().time()
        self._executions.arrived.add(request_id)
        self._executions.arrivals.append((self.id, request_id, now))
        if self.withdrawn_at is not None and now - self.withdrawn_at > DRAIN_S:
            self._executions.late.append((request_id, now))

    def _send_whole(self, writer, request_id, fault):
        body = f'answer to {request_id}'.encode()
        close_framed = fault == 'close_framed'
        framing = '' if close_framed else f'Content-Length: {len(body)}'
        more = self._more(request_id)
        data = samples.response_head(request_id, framing, more=more) + body
        if fault == 'truncate':
            writer.write(data[:-3])
            return False
        writer.write(data * 2 if fault == 'extra' else data)
        return not close_framed

    async def _send_stream(self, writer, headers, fault):
        part = self._poison_part(headers)
        if part is not None:
            self._crash(part)
            return False
        request_id = headers[samples.REQUEST_ID]
        if _stream_moves.is_long(request_id):
            return await self._send_long(writer, headers)
        team = headers.get(samples.TEAM, '')
        first = int(headers.get(samples.LAST_EVENT_ID, 0)) + 1
        close_framed = fault == 'close_framed'
        framing = '' if close_framed else 'Transfer-Encoding: chunked'
        more = self._more(request_id)
        writer.write(samples.response_head(request_id, framing, more=more))
        for number in range(first, EVENTS_PER_STREAM + 1):
            data = event(number, request_id, self.version)
            self._executions.record_begin(request_id, team)
            if fault == 'truncate' and number == EVENTS_PER_STREAM // 2:
                writer.write(b'%x\r\n%b' % (len(data), data[:5]))
                return False
            writer.write(data if close_framed else _chunk(data))
            await asyncio.sleep(EXECUTION_S)
            if self.crashed:
                return False
        if not close_framed:
            writer.write(b'0\r\n\r\n')
        return not close_framed

    async def _go_on(self, writer, headers):
        """Goes on with a run whose copy an instance names."""
        own = headers[samples.KV_SOURCE].startswith(f'{self.proxy.address}/')
        if not own:
            # One that leaves may get back what it has stopped itself.
            self._record_arrival(headers[samples.REQUEST_ID])
        return await self._send_long(writer, headers)

    async def _send_long(self, writer, headers):
        """Sends the events of a long stream until its run is stopped."""
        request_id = headers[samples.REQUEST_ID]
        run = self._executions.moves.begin(self, headers)
        if run is None:
            writer.write(samples.refusal())
            return True
        framing = 'Transfer-Encoding: chunked'
        more = self._more(request_id)
        writer.write(samples.response_head(request_id, framing, more=more))
        team = headers.get(samples.TEAM, '')
        try:
            while run.created < _stream_moves.EVENTS_PER_STREAM:
                if run.stopped or self.crashed:
                    return False
                run.created += 1
                self._executions.record_begin(request_id, team)
                data = event(run.created, request_id, self.version)
                writer.write(_chunk(data))
                await asyncio.sleep(_stream_moves.EVENT_INTERVAL_S)
        finally:
            run.ended = True
        writer.write(b'0\r\n\r\n')
        return True
