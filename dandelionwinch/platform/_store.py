"""Client of the platform's store."""

import base64
import json
import urllib.parse

from dandelionwinch import control
from dandelionwinch import gateway

CALL_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 0.6
CONNECTIONS = 4
REVOKE_ATTEMPTS = 3


class Store:
    """Client of the store's protocol, with one method per call.

    Attributes:
        calls: Number of calls.
    """

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
        misses no change made while the later pages were read.
        """
        items, after, revision = [], '', None
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            data = await self._call('GET', _path('kv-range', query))
            items += [_parse_item(item) for item in data['items']]
            if revision is None:
                revision = data['storeRevision']
            if not data.get('hasMore') or not data['items']:
                return control.Listing(tuple(items), revision)
            after = items[-1].key

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of the changes after a revision.

        Args:
            prefix: Prefix of the keys.
            after: Revision.
            wait_s: Seconds to wait for a change.

        Raises:
            HistoryGone: If the store no longer has these changes.
        """
        query = {
            'prefix': prefix,
            'after': after,
            'waitMs': int(wait_s * 1e3),
        }
        data = await self._call(
            'GET', _path('kv-watch', query), wait_s + WATCH_MARGIN_S
        )
        items = tuple(_parse_item(item) for item in data['events'])
        return control.Listing(items, data['storeRevision'])

    async def grant_lease(self, ttl_s):
        """Returns the id of a new lease."""
        body = {'ttlMs': int(ttl_s * 1e3)}
        return (await self._call('POST', '/-/kv-lease', body=body))['lease']

    async def renew_lease(self, lease):
        """Renews a lease."""
        await self._call('POST', f'/-/kv-keep/{lease}')

    async def revoke_lease(self, lease):
        """Revokes a lease and deletes its keys; retries a failed call."""
        for attempts_left in reversed(range(REVOKE_ATTEMPTS)):
            try:
                await self._call('DELETE', f'/-/kv-lease-end/{lease}')
                return
            except control.LeaseEnded:
                return
            except control.StoreFailed:
                if not attempts_left:
                    raise

    async def put(self, key, value, lease=0, revision=None):
        """Writes a key.

        Args:
            key: The key.
            value: Bytes.
            lease: Id of the lease that the key is attached to, 0 for none.
            revision: Revision that the key must have, 0 if it must not
                exist, None for any.

        Returns:
            The revision of the change.
        """
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'lease': lease,
        }
        preconditions = []
        if revision is not None:
            preconditions.append({'key': key, 'revision': revision})
        body = {'precondition': preconditions, 'puts': [item], 'remove': []}
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
        return _parse_response(status, text, path)

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


def _parse_response(status, text, path):
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


def _parse_item(item):
    if item.get('deleted'):
        return control.Item(item['key'], None, item['revision'])
    value = base64.b64decode(item['value'])
    return control.Item(item['key'], value, item['revision'])
