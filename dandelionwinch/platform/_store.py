"""Client of the platform's store."""

import base64
import collections
import json
import urllib.parse

import attrs

from dandelionwinch import control
from dandelionwinch import gateway
from dandelionwinch.platform import _store_answers

CONNECTIONS = 4
REVOKE_ATTEMPTS = 3
EPOCH_HEADER = 'store-era'
# Leases of which a late copy of the answer is known as such.
KNOWN_LEASES = 64

# A page of a listing has about 1 MB.
MAX_BODY_BYTES = 1 << 24


@attrs.frozen
class _Response:
    """Data of a response, and the epoch in which it holds."""

    data: dict
    epoch: int | None


class _Doubtful(control.StoreFailed):
    """What was read may be a late copy of an earlier answer."""


class Store:
    """Client of the store's protocol, with one method per call.

    A connection is used again only after an answer with status 200. If one
    may be a late copy, the connection is closed, and calls that may be
    repeated are sent again on a new one, which can carry no copy.

    Attributes:
        calls: Number of calls.
        epochs: EpochTracker of all responses.
    """

    __slots__ = ('_leases', '_loop', '_pool', '_seen', 'calls', 'epochs')

    def __init__(self, loop, address):
        self._loop = loop
        # Highest revision that an answer stated, and leases with their epochs.
        self._seen = control.Revision(None, -1)
        self._leases = collections.deque(maxlen=KNOWN_LEASES)
        self._pool = gateway.Pool(loop, address, CONNECTIONS)
        self.epochs = control.EpochTracker()
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
            check = _store_answers.is_page(prefix, after)
            response = await self._call('GET', _path('kv-range', query), check)
            data = response.data
            items += [_parse_item(item) for item in data['items']]
            if revision is None:
                revision = control.Revision(
                    response.epoch, data['storeRevision']
                )
            if response.epoch != revision.epoch:
                raise control.EpochChanged('between two pages')
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
            EpochChanged: If the revision is of an older epoch.
            HistoryGone: If the store no longer has these changes.
        """
        if after.epoch != self.epochs.current:
            raise control.EpochChanged('before a watch')
        query = {
            'prefix': prefix,
            'after': after.number,
            'waitMs': int(wait_s * 1e3),
        }
        check = _store_answers.is_change(after.number, wait_s)
        response = await self._call(
            'GET',
            _path('kv-watch', query),
            check,
            wait_s + control.WATCH_MARGIN_S,
        )
        if response.epoch != after.epoch:
            raise control.EpochChanged('during a watch')
        data = response.data
        items = tuple(_parse_item(item) for item in data['events'])
        revision = control.Revision(response.epoch, data['storeRevision'])
        return control.Listing(items, revision)

    async def grant_lease(self, ttl_s):
        """Returns a new Lease."""
        body = {'ttlMs': int(ttl_s * 1e3)}
        epoch = self.epochs.current
        granted = {lease.id for lease in self._leases if lease.epoch == epoch}
        check = _store_answers.is_new_lease(granted)
        response = await self._call(
            'POST', '/-/kv-lease', check, body=body, repeatable=False
        )
        lease = control.Lease(response.data['lease'], response.epoch)
        self._leases.append(lease)
        return lease

    async def renew_lease(self, lease):
        """Renews a lease."""
        self._check_lease(lease, self.epochs.current)
        check = _store_answers.is_of_lease(lease.id)
        response = await self._call('POST', f'/-/kv-keep/{lease.id}', check)
        self._check_lease(lease, response.epoch)

    async def revoke_lease(self, lease):
        """Revokes a lease and deletes its keys; retries a failed call.

        Does nothing if it is of an older epoch, as its id may be that of
        another lease.
        """
        check = _store_answers.is_of_lease(lease.id)
        for attempts_left in reversed(range(REVOKE_ATTEMPTS)):
            if lease.epoch != self.epochs.current:
                return
            try:
                path = f'/-/kv-lease-end/{lease.id}'
                await self._call('DELETE', path, check)
                return
            except control.LeaseEnded:
                return
            except control.StoreFailed:
                if not attempts_left:
                    raise

    @staticmethod
    def _check_lease(lease, epoch):
        if lease.epoch != epoch:
            raise control.LeaseEnded(f'it is of epoch {lease.epoch}')

    async def put(self, key, value, lease=None, revision=None):
        """Writes a key.

        Args:
            key: The key.
            value: Bytes.
            lease: Lease that the key is attached to, or None.
            revision: Number of the revision that the key must have, 0 if it
                must not exist, None for any.

        Returns:
            The Revision of the change.
        """
        if lease is not None:
            self._check_lease(lease, self.epochs.current)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'lease': 0 if lease is None else lease.id,
        }
        preconditions = []
        if revision is not None:
            preconditions.append({'key': key, 'revision': revision})
        body = {'precondition': preconditions, 'puts': [item], 'remove': []}
        check = _store_answers.is_write
        response = await self._call(
            'POST', '/-/kv-txn', check, body=body, repeatable=False
        )
        if lease is not None:
            self._check_lease(lease, response.epoch)
        return control.Revision(response.epoch, response.data['revision'])

    async def _call(
        self,
        method,
        path,
        check,
        timeout_s=control.CALL_TIMEOUT_S,
        body=None,
        *,
        repeatable=True,
    ):
        data = b'' if body is None else json.dumps(body).encode()
        headers = [('Host', 'store')]
        if body is not None:
            headers.append(('Content-Type', 'application/json'))
        request = gateway.request_bytes(method, path, headers, data)
        try:
            return await self._exchange(request, path, check, timeout_s)
        except _Doubtful as exc:
            if not repeatable:
                raise control.StoreFailed(str(exc)) from exc
        return await self._exchange(request, path, None, timeout_s)

    async def _exchange(self, request, path, check, timeout_s):
        """Sends a request; returns the _Response.

        Args:
            request: Bytes of the request.
            path: Its path, for error messages.
            check: Check of _store_answers, None for a new connection.
            timeout_s: Timeout in seconds.
        """
        self.calls += 1
        deadline = self._loop.time() + timeout_s
        try:
            conn = await self._pool.acquire(timeout_s, new=check is None)
        except gateway.NotConnected as exc:
            raise control.StoreRefused(str(exc)) from exc
        used = conn.written_bytes > 0
        epoch_at_send, known = self.epochs.current, self._known()
        sent_at = self._loop.time()
        try:
            conn.send(request)
            left_s = max(0.0, deadline - sent_at)
            head, text = await gateway.read_response(
                conn, left_s, max_bytes=MAX_BODY_BYTES
            )
        except gateway.ConnectionLost as exc:
            self._pool.discard(conn)
            # What silenced one connection may have silenced the others, each
            # of which would let another call fail.
            self._pool.close_idle()
            raise control.StoreFailed(f'the store: {exc}') from exc
        except BaseException:
            self._pool.discard(conn)
            raise
        epoch_text = head.header(EPOCH_HEADER)
        is_current = self.epochs.observe(epoch_text, epoch_at_send)
        if epoch_at_send != self.epochs.current:
            known = -1
        doubtful = (
            used
            and head.status == 200
            and not _fits(text, check, known, self._loop.time() - sent_at)
        )
        if head.status == 200 and not doubtful:
            self._pool.release(conn)
        else:
            self._pool.discard(conn)
        if not is_current:
            self._raise_not_current(epoch_text)
        if doubtful:
            raise _Doubtful(f'maybe a late copy of an answer to "{path}"')
        data = _parse_response(head.status, text, path)
        self._learn(data, known)
        # No other response was read since, so it is the epoch of this one.
        return _Response(data, self.epochs.current)

    def _raise_not_current(self, epoch_text):
        if self.epochs.awaits_confirmation:
            raise control.StoreFailed(f'unconfirmed epoch {epoch_text}')
        raise control.EpochChanged('a response is of an older epoch')

    def _known(self):
        """Returns the highest revision number of the epoch, -1 without one."""
        same_epoch = self._seen.epoch == self.epochs.current
        return self._seen.number if same_epoch else -1

    def _learn(self, data, known):
        """Learns the revision of an answer.

        One that is lower than what was known as its request was sent is of a
        store that was restored and states no epoch.
        """
        if not isinstance(data, dict):
            return
        number = data.get('storeRevision', data.get('revision'))
        if isinstance(number, int):
            if number >= known:
                number = max(number, self._known())
            self._seen = control.Revision(self.epochs.current, number)


def _fits(text, check, known, waited_s):
    """Tells whether what was read is known to be the answer."""
    try:
        return check(json.loads(text), known, waited_s)
    except (AttributeError, KeyError, TypeError, ValueError):
        return False


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
