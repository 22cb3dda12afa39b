"""A consumer: one request on a channel, and what came back."""

import asyncio
import itertools
import os

HOST = 'desk.example'
# Port of all instances; Site sets it.
PORT = 0
_numbers = itertools.count(1)


def new_id():
    """Returns the id of a new consumer attempt."""
    return f'{os.getpid():x}-{next(_numbers):06d}'


class Answer:
    """What a consumer saw.

    Attributes:
        status: Status, 0 without an answer.
        headers: By lower-case name.
        body: Bytes of the body that arrived.
        complete: Whether the answer ended as HTTP says.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False


class Channel:
    """A channel of a consumer to an instance."""

    def __init__(self, ip):
        self._ip = ip
        self._reader = None
        self._writer = None

    async def open(self):
        """Opens the channel."""
        self._reader, self._writer = await asyncio.open_connection(
            self._ip, PORT
        )

    def close(self):
        """Closes it."""
        if self._writer is not None:
            self._writer.close()

    async def ask(
        self, method, path, request_id, body=b'', more=(), timeout_ms=5000
    ):
        """Sends a request and returns the Answer."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Dandelionwinch-Request-Id: {request_id}',
            f'X-Dandelionwinch-Request-Timeout-Ms: {timeout_ms}',
            *(f'{name}: {value}' for name, value in more),
        ]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        answer = Answer()
        try:
            if self._writer is None:
                await self.open()
            head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
            self._writer.write(head + body)
            async with asyncio.timeout(timeout_ms / 1e3 + 1):
                await self._read(answer)
        except (OSError, EOFError, ValueError, TimeoutError):
            pass
        return answer

    async def _read(self, answer):
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.strip().split('\r\n')
        answer.status = int(first.split()[1])
        for line in lines:
            name, _, value = line.partition(': ')
            answer.headers[name.lower()] = value
        if 'chunked' in answer.headers.get('transfer-encoding', ''):
            while size := int(await self._reader.readline(), 16):
                answer.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        else:
            size = int(answer.headers.get('content-length', 0))
            answer.body = await self._reader.readexactly(size)
        answer.complete = True


async def ask(ip, method, path, request_id, **more):
    """Sends a request on a new channel and returns the Answer."""
    channel = Channel(ip)
    try:
        return await channel.ask(method, path, request_id, **more)
    finally:
        channel.close()
