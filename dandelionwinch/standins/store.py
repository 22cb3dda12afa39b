"""A stand-in of etcd: a store in memory, also with the v3 JSON API."""

import base64
import threading

from dandelionwinch import effects
from dandelionwinch.standins import http_server


class MemoryStore:
    """Executes store requests on records in memory, one at a time.

    Attributes:
        revision: Revision of the last commit.
        calls: Number of requests.
        writes: Number of commits.
    """

    __slots__ = ('_lock', '_records', 'calls', 'revision', 'writes')

    def __init__(self):
        self._records = {}
        self._lock = threading.Lock()
        self.revision = 1
        self.calls = 0
        self.writes = 0

    def execute(self, request):
        """Executes a Read, Scan or Commit of the effects module."""
        with self._lock:
            self.calls += 1
            match request:
                case effects.Read(key):
                    return effects.Found(self._get(key))
                case effects.Scan(prefix, after):
                    return self._scan(prefix, after)
                case effects.Commit(guards, puts):
                    return self._commit(guards, puts)
        raise TypeError(f'"{request!r}" is not a store request')

    def _get(self, key):
        return self._records.get(key, effects.Record(key, None, 0))

    def _scan(self, prefix, after):
        records = tuple(
            record
            for key, record in sorted(self._records.items())
            if key.startswith(prefix) and record.revision > after
        )
        return effects.Scanned(records, self.revision)

    def _commit(self, guards, puts):
        self.writes += 1
        for guard in guards:
            if self._get(guard.key).revision != guard.revision:
                return effects.GuardFailed()
        self.revision += 1
        for put in puts:
            if put.value is None:
                self._records.pop(put.key, None)
            else:
                self._records[put.key] = effects.Record(
                    put.key, put.value, self.revision
                )
        return effects.Committed(self.revision)


class StoreServer(http_server.HttpStandIn):
    """Serves a MemoryStore by etcd's v3 JSON API.

    Attributes:
        store: The MemoryStore.
        down: While True, all requests get status 503.
        replies_to_drop: Number of next commits that are executed without a
            response.
    """

    __slots__ = ('down', 'replies_to_drop', 'store')

    def __init__(self, listen='127.0.0.1:0'):
        self.store = MemoryStore()
        self.down = False
        self.replies_to_drop = 0
        super().__init__(listen)

    def _handle(self, req):
        if self.down:
            return http_server.Reply(503, {'error': 'no leader', 'code': 14})
        body = req.json()
        match req.path:
            case '/v3/kv/range':
                return http_server.Reply(body=self._range(body))
            case '/v3/kv/txn':
                return self._txn(body)
        return http_server.Reply(404, {'error': f'no path "{req.path}"'})

    def _range(self, body):
        key = _decode(body['key'])
        if 'range_end' in body:
            after = int(body.get('min_mod_revision', 1)) - 1
            reply = self.store.execute(effects.Scan(key, after))
            records = reply.records
        else:
            record = self.store.execute(effects.Read(key)).record
            records = [record] if record.value is not None else []
        kvs = [_encode_record(record) for record in records]
        return {'header': self._header(), 'kvs': kvs, 'count': len(kvs)}

    def _txn(self, body):
        guards = tuple(
            effects.Guard(_decode(item['key']), int(item['mod_revision']))
            for item in body.get('compare', ())
        )
        puts = tuple(_parse_put(item) for item in body.get('success', ()))
        reply = self.store.execute(effects.Commit(guards, puts))
        if self.replies_to_drop > 0:
            self.replies_to_drop -= 1
            raise http_server.DropConnection
        succeeded = isinstance(reply, effects.Committed)
        return http_server.Reply(
            body={'header': self._header(), 'succeeded': succeeded}
        )

    def _header(self):
        return {'revision': str(self.store.revision)}


def _decode(encoded):
    return base64.b64decode(encoded).decode()


def _parse_put(item):
    if 'requestDeleteRange' in item:
        key = _decode(item['requestDeleteRange']['key'])
        return effects.Put(key, None)
    put = item['requestPut']
    return effects.Put(_decode(put['key']), base64.b64decode(put['value']))


def _encode_record(record):
    return {
        'key': base64.b64encode(record.key.encode()).decode(),
        'value': base64.b64encode(record.value).decode(),
        'mod_revision': str(record.revision),
    }
