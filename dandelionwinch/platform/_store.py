"""Client of the platform's store."""

import base64
import json
import urllib.parse

from dandelionwinch import control
from dandelionwinch import gateway

CALL_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 0.6
CONNECTIONS = 4
END_TRIES = 3


class Store:
    """Calls of the store's protocol, one method each."""

    __slots__ = ('_pool', 'calls')

    def __init__(self, loop, address):
        self._pool = gateway.Pool(loop, address, CONNECTIONS)
        self.calls = 0

    def close(self):
        """Closes idle connections."""
        self._pool.close()

    async def list(self, prefix):
        """Returns a Listing of all items with a prefix.

        Its revision is that of the first page, so that a watch from it
        misses nothing.
        """
        items, after, revision = [], '', None
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            data = await self._call('GET', _path('kv-range', query))
            items += [_item(row) for row in data['items']]
            if revision is None:
                revision = data['storeRevision']
            if not data.get('hasMore') or not data['items']:
                return control.Listing(tuple(items), revision)
            after = items[-1].key

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of changes after a revision.

        Raises:
            HistoryGone: If that history is no longer available.
        """
        query = {
            'prefix': prefix,
            'after': after,
            'waitMs': int(wait_s * 1e3),
        }
        data = await self._call(
            'GET', _path('kv-watch', query), wait_s + WATCH_MARGIN_S
        )
        items = tuple(_item(row) for row in data['events'])
        return control.Listing(items, data['storeRevision'])

    async def lease(self, ttl_s):
        """Returns the id of a new lease."""
        body = {'ttlMs': int(ttl_s * 1e3)}
        return (await self._call('POST', '/-/kv-lease', body=body))['lease']

    async def keep(self, lease):
        """Renews a lease."""
        await self._call('POST', f'/-/kv-keep/{lease}')

    async def end(self, lease):
        """Ends a lease and removes its keys; a lost call is repeated."""
        for tries_left in reversed(range(END_TRIES)):
            try:
                await self._call('DELETE', f'/-/kv-lease-end/{lease}')
                return
            except control.LeaseEnded:
                return
            except control.StoreFailed:
                if not tries_left:
                    raise

    async def put(self, key, value, lease=0, revision=None):
        """Writes a key.

        Args:
            key: The key.
            value: Bytes.
            lease: Lease that the key ends with, 0 for none.
            revision: Revision that it must have now, None for any.

        Returns:
            The revision of the change.
        """
        row = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'lease': lease,
        }
        on = []
        if revision is not None:
            on.append({'key': key, 'revision': revision})
        body = {'precondition': on, 'puts': [row], 'remove': []}
        data = await self._call('POST', '/-/kv-txn', body=body)
        return data['revision']

    async def _call(self, method, path, timeout_s=CALL_TIMEOUT_S, body=None):
        self.calls += 1
        data = b'' if body is None else json.dumps(body).encode()
        headers = [('Host', 'store')]
        if body is not None:
            headers.append(('Content-Type', 'application/json'))
        request = gateway.request_bytes(method, path, headers, data)
        status, text = await self._exchange(request, timeout_s)
        return _judge(status, text, path)

    async def _exchange(self, request, timeout_s):
        try:
            conn = await self._pool.acquire(timeout_s)
        except gateway.NotConnected as exc:
            raise control.StoreRefused(str(exc)) from exc
        try:
            conn.send(request)
            head, text = await gateway.read_response(conn, timeout_s)
        except gateway.ConnectionLost as exc:
            self._pool.discard(conn)
            raise control.StoreFailed(f'the store: {exc}') from exc
        except BaseException:
            self._pool.discard(conn)
            raise
        self._pool.release(conn)
        return head.status, text


def _judge(status, text, path):
    if status == 410:
        raise control.HistoryGone(f'410 to "{path}"')
    if status == 412:
        raise control.Conflict(f'412 to "{path}"')
    if status == 404:
        raise control.LeaseEnded(f'404 to "{path}"')
    if status in (429, 503):
        raise control.StoreRefused(f'{status} to "{path}"')
    if status != 200:
        raise control.StoreFailed(f'{status} to "{path}": {text[:200]!r}')
    try:
        return json.loads(text)
    except ValueError as exc:
        raise control.StoreFailed(f'not JSON from "{path}"') from exc


def _path(call, query):
    return f'/-/{call}?' + urllib.parse.urlencode(query)


def _item(row):
    if row.get('deleted'):
        return control.Item(row['key'], None, row['revision'])
    value = base64.b64decode(row['value'])
    return control.Item(row['key'], value, row['revision'])
