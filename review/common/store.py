"""A sound stand-in of the platform's store, after PROTOCOL.md."""

import asyncio
import base64
import json
import time
import urllib.parse


class Store:
    """Items with revisions, leases that expire, and watches, over HTTP."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self._changed = asyncio.Condition()
        self._server = None
        self.address = ''

    async def start(self, host='127.0.0.1'):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'
        asyncio.create_task(self._expire())

    async def put(self, key, value, lease=0):
        """Writes a key, as the operator or a runner does."""
        async with self._changed:
            self._put(key, json.dumps(value).encode(), lease)
            self._changed.notify_all()

    async def remove(self, key):
        """Deletes a key."""
        async with self._changed:
            self._remove(key)
            self._changed.notify_all()

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        row = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = row
        self.history.append(row)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, row in list(self.items.items()):
            if row['lease'] == lease:
                self._remove(key)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            due = [k for k, (until, _) in self.leases.items() if until < now]
            if due:
                async with self._changed:
                    for lease in due:
                        self._end_lease(lease)
                    self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                first, *lines = head.strip().split('\r\n')
                fields = dict(line.split(': ', 1) for line in lines)
                fields = {k.lower(): v for k, v in fields.items()}
                size = int(fields.get('content-length', 0))
                body = await reader.readexactly(size)
                method, target, _ = first.split(' ')
                path, _, query = target.partition('?')
                query = dict(urllib.parse.parse_qsl(query))
                status, data = await self._answer(
                    method, path, query, json.loads(body or b'{}')
                )
                text = json.dumps(data).encode()
                writer.write(
                    f'HTTP/1.1 {status} Status\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(text)}\r\n\r\n'.encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body):
        call, _, argument = path.removeprefix('/-/').partition('/')
        if call == 'kv-key':
            row = self.items.get(query['key'])
            if row is None:
                return 404, {}
            return 200, {**row, 'storeRevision': self.revision}
        if call == 'kv-range':
            return 200, self._range(query)
        if call == 'kv-watch':
            return await self._watch(query)
        async with self._changed:
            try:
                return self._change(method, call, argument, body)
            finally:
                self._changed.notify_all()

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return {
            'items': [self.items[k] for k in keys[:500]],
            'hasMore': len(keys) > 500,
            'storeRevision': self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])

        def events():
            return [
                row
                for row in self.history
                if row['revision'] > after and row['key'].startswith(prefix)
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(int(query['waitMs']) / 1e3):
                    await self._changed.wait_for(events)
            except TimeoutError:
                pass
            return 200, {'events': events(), 'storeRevision': self.revision}

    def _change(self, method, call, argument, body):
        now = time.monotonic()
        if call == 'kv-lease':
            self.next_lease += 1
            ttl_s = body['ttlMs'] / 1e3
            self.leases[self.next_lease] = (now + ttl_s, ttl_s)
            return 200, {'lease': self.next_lease, 'ttlMs': body['ttlMs']}
        if call == 'kv-keep':
            if int(argument) not in self.leases:
                return 404, {}
            _, ttl_s = self.leases[int(argument)]
            self.leases[int(argument)] = (now + ttl_s, ttl_s)
            return 200, {'ttlMs': int(ttl_s * 1e3)}
        if call == 'kv-lease-end':
            if int(argument) not in self.leases:
                return 404, {}
            self._end_lease(int(argument))
            return 200, {}
        for row in body['precondition']:
            known = self.items.get(row['key'], {'revision': 0})
            if known['revision'] != row['revision']:
                return 412, {'items': [known] if known['revision'] else []}
        for row in body['puts']:
            if row['lease'] and row['lease'] not in self.leases:
                return 404, {}
        for row in body['puts']:
            self._put(row['key'], base64.b64decode(row['value']), row['lease'])
        for key in body['remove']:
            self._remove(key)
        return 200, {'revision': self.revision}
