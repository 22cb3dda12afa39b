"""Upstreams of the soak: they record each run and misbehave by seed."""

import asyncio

import attrs

from dandelionwinch.platform import samples

EVENTS = 6
WORK_S = 0.01
FAULT_SHARE = 0.04
# The entry's removal, the pause between watches, and an outage's hold.
DRAIN_S = 8.0
FAULTS = ('lose', 'refuse', 'truncate', 'extra')


@attrs.define
class Record:
    """What the upstreams of one soak have run.

    Attributes:
        runs: Runs of each request id.
        late: Requests that reached an upstream long after it had left,
            each with the time.
    """

    runs: dict = attrs.Factory(dict)
    late: list = attrs.Factory(list)

    def ran(self, request_id):
        """Notes a run."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1


class SoakUpstream:
    """One upstream; streams for prompts, whole answers for the rest."""

    def __init__(self, upstream_id, record, rng):
        self.id = upstream_id
        self._record = record
        self._rng = rng
        self._server = None
        self.address = ''
        self.left_at = None
        self.proxy = None

    async def start(self):
        """Listens on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self):
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while await self._one(reader, writer):
                pass
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The caller has left, or the soak ends.
            pass
        finally:
            writer.close()

    async def _one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        _first, *lines = head.strip().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines)
        headers = {name.lower(): value for name, value in headers.items()}
        await reader.readexactly(int(headers.get('content-length', 0)))
        request_id = headers[samples.REQUEST_ID]
        if headers[samples.TARGET] != self.id:
            writer.write(samples.refusal('421 Misdirected Request'))
            return True
        self._note_late(request_id)
        fault = ''
        if self._rng.random() < FAULT_SHARE:
            fault = self._rng.choice(FAULTS)
        if fault == 'refuse':
            writer.write(samples.refusal())
            return True
        self._record.ran(request_id)
        await asyncio.sleep(WORK_S)
        if fault == 'lose':
            writer.transport.abort()
            return False
        if samples.TOKEN_USAGE in headers:
            return await self._stream(writer, headers, fault)
        return self._whole(writer, request_id, fault)

    def _note_late(self, request_id):
        now = asyncio.get_running_loop().time()
        if self.left_at is not None and now - self.left_at > DRAIN_S:
            self._record.late.append((request_id, now))

    @staticmethod
    def _whole(writer, request_id, fault):
        body = f'answer to {request_id}'.encode()
        data = (
            samples.response_head(request_id, f'Content-Length: {len(body)}')
            + body
        )
        if fault == 'truncate':
            writer.write(data[:-3])
            return False
        writer.write(data * 2 if fault == 'extra' else data)
        return True

    @staticmethod
    async def _stream(writer, headers, fault):
        request_id = headers[samples.REQUEST_ID]
        first = int(headers.get(samples.LAST_EVENT_ID, 0)) + 1
        writer.write(
            samples.response_head(request_id, 'Transfer-Encoding: chunked')
        )
        for number in range(first, EVENTS + 1):
            data = f'id: {number}\ndata: {request_id}\n\n'.encode()
            if fault == 'truncate' and number == EVENTS // 2:
                writer.write(b'%x\r\n%b' % (len(data), data[:5]))
                return False
            writer.write(b'%x\r\n%b\r\n' % (len(data), data))
            await asyncio.sleep(WORK_S)
        writer.write(b'0\r\n\r\n')
        return True
