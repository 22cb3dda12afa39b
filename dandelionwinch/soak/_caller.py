"""Callers of the soak: kept connections, and a check of each answer."""

import asyncio

import attrs

from dandelionwinch.platform import samples
from dandelionwinch.soak import _upstream

TIMEOUT_S = 4.0
KEEP_ADDRESS_S = 2.0
PAUSE_S = 0.02
NOT_RUN = (408, 421, 429, 503)


@attrs.define
class Seen:
    """What all callers saw.

    Attributes:
        statuses: Number of final answers by status, 0 for none.
        not_run: Ids of requests that were said not to have run.
        wrong: Findings about single answers.
        sent_to: Address of the instance that each request was sent to.
    """

    statuses: dict = attrs.Factory(dict)
    not_run: list = attrs.Factory(list)
    wrong: list = attrs.Factory(list)
    sent_to: dict = attrs.Factory(dict)

    def note(self, request_id, status):
        """Notes a final answer."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status in NOT_RUN:
            self.not_run.append(request_id)


class Caller:
    """Sends requests one after another until it is stopped."""

    def __init__(self, name, directories, fronts, seen, rng):
        self._name = name
        self._directories = directories
        self._fronts = fronts
        self._seen = seen
        self._rng = rng
        self._addresses = []
        self._asked_at = float('-inf')
        self._conn = None
        self._instance = ''
        self._number = 0

    async def run(self):
        """Sends requests until it is cancelled."""
        while True:
            self._number += 1
            kind = self._rng.choice(('once', 'safe', 'resume'))
            request_id = f'{kind}-{self._name}-{self._number}'
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    status = await self._one(kind, request_id)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                status = 0
            if status == 0:
                self._drop()
            self._seen.note(request_id, status)
            await asyncio.sleep(PAUSE_S)

    def _drop(self):
        if self._conn is not None:
            self._conn[1].close()
            self._conn = None

    async def _one(self, kind, request_id):
        if self._conn is None:
            self._conn = await self._connect()
        reader, writer = self._conn
        self._seen.sent_to[request_id] = self._instance
        prompt = (40, 60) if kind == 'resume' else None
        writer.write(samples.request(f'/{kind}/1', request_id, prompt=prompt))
        status, headers, body = await _answer(reader)
        if headers.get('connection') == 'close':
            self._drop()
        if status == 200:
            self._check(kind, request_id, headers, body)
        return status

    def _check(self, kind, request_id, headers, body):
        expected = f'answer to {request_id}'.encode()
        if kind == 'resume':
            numbers = range(1, _upstream.EVENTS + 1)
            expected = b''.join(
                f'id: {n}\ndata: {request_id}\n\n'.encode() for n in numbers
            )
        if body != expected:
            self._seen.wrong.append(f'{request_id}: body {body[:80]!r}')
        if headers.get(samples.REQUEST_ID) != request_id:
            self._seen.wrong.append(f'{request_id}: another id')

    async def _connect(self):
        loop = asyncio.get_running_loop()
        if loop.time() - self._asked_at > KEEP_ADDRESS_S:
            await self._resolve(loop)
        if not self._addresses:
            raise OSError('no address is known')
        self._instance = self._rng.choice(self._addresses)
        address = self._fronts[self._instance]
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
                    status, _headers, body = await _answer(reader)
                    writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                continue
            if status == 200:
                self._addresses = samples.resolved_addresses(body)
                self._asked_at = loop.time()
                return


async def _answer(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    pairs = (line.split(': ', 1) for line in lines)
    headers = {name.lower(): value for name, value in pairs}
    status = int(first.split(' ')[1])
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
        return status, headers, body
    body = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return status, headers, body
        body += data[:-2]
