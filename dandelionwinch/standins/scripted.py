"""An upstream on raw sockets that answers by a script, faults included."""

import asyncio
import socket
import struct

import attrs

RESET = 'reset'
CLOSE = 'close'
HANG = 'hang'
HOLD = 'hold'
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.frozen
class ReceivedRequest:
    """A request as it reached the stand-in."""

    method: str
    target: str
    headers: dict
    body: bytes


class ScriptedUpstream:
    """Answers requests one after another by the steps of a script.

    Each request takes the next list of steps; the last list stays. A
    step is bytes to send, or RESET, CLOSE, HANG (until the caller leaves)
    or HOLD (until `release` is set). In bytes, `{id}` is replaced by the
    request's id.
    """

    def __init__(self, id_header, scripts, on_change=lambda: None):
        self._id_header = id_header
        self._on_change = on_change
        self._scripts = list(scripts)
        self._server = None
        self._tasks = set()
        self.address = ''
        self.release = asyncio.Event()
        self.requests = []
        self.closed_connections = 0

    async def start(self):
        """Listens on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def close(self):
        """Stops listening and ends all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._one(reader, writer):
                pass
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass
        finally:
            self.closed_connections += 1
            self._on_change()
            self._tasks.discard(task)
            writer.close()

    async def _one(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        seen = await self._read(head.decode('latin-1'), reader)
        self.requests.append(seen)
        self._on_change()
        steps = self._scripts[0]
        if len(self._scripts) > 1:
            self._scripts.pop(0)
        request_id = seen.headers.get(self._id_header, '').encode()
        for step in steps:
            if step == RESET:
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                writer.transport.abort()
                return False
            if step == HOLD:
                await self.release.wait()
                continue
            if step == CLOSE:
                return False
            if step == HANG:
                await reader.read()
                return False
            writer.write(step.replace(b'{id}', request_id))
            await writer.drain()
        return True

    @staticmethod
    async def _read(head, reader):
        first, *lines = head.strip().split('\r\n')
        method, target, _version = first.split(' ')
        pairs = (line.split(': ', 1) for line in lines)
        headers = {name.lower(): value for name, value in pairs}
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
        return ReceivedRequest(method, target, headers, body)
