"""Client of the key-value store: etcd's v3 JSON API."""

import base64
import json

import loguru
from urllib3 import exceptions

from dandelionwinch.adapters import connection_pools
from dandelionwinch import effects
from dandelionwinch import errors

_NOT_SENT_ERRORS = (
    exceptions.NewConnectionError,
    exceptions.ConnectTimeoutError,
)
READ_ATTEMPTS = 2

logger = loguru.logger


def _encode(data):
    return base64.b64encode(data).decode()


def _decode(text):
    return base64.b64decode(text)


def prefix_end(prefix):
    """Returns the end (exclusive) of the range of keys with a prefix."""
    # The sum can't exceed 255, as no byte of UTF-8 text is greater than 244.
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def _parse_commit(reply):
    if reply.get('succeeded'):
        return effects.Committed(int(reply['header']['revision']))
    # A failed guard is told by a response with a header.
    int(reply['header']['revision'])
    return effects.GuardFailed()


def _log_malformed(exc):
    logger.warning('a response of the store is malformed: {!r}', exc)


class EtcdStore:
    """Executes store requests; a failure is returned as a reply.

    Watches are not used, for two reasons: the store counts a pending watch
    as a call, too, and only a read confirms how old the data is.

    Attributes:
        calls: Number of requests, counted as the store counts them.
    """

    __slots__ = ('_cfg', '_pools', 'calls')

    def __init__(self, cfg, idle_s):
        self._cfg = cfg
        self._pools = connection_pools.ConnectionPools(idle_s)
        self.calls = 0

    def execute(self, request):
        """Executes a Read, Scan or Commit of the effects module.

        Returns:
            A reply of the effects module: Uncertain if a commit was sent
            and got no valid response, so that it may have been applied;
            Unavailable if a read failed or a commit was not sent.

        Raises:
            TypeError: If the request is of another class.
        """
        match request:
            case effects.Read():
                return self._read(request)
            case effects.Scan():
                return self._scan(request)
            case effects.Commit():
                return self._commit(request)
        raise TypeError(f'"{request!r}" is not a store request')

    def _read(self, request):
        def parse(reply):
            records = self._records(reply)
            if records:
                return effects.Found(records[0])
            return effects.Found(effects.Record(request.key, None, 0))

        body = {'key': self._key(request.key)}
        return self._post_read('/v3/kv/range', body, parse)

    def _scan(self, request):
        full = self._cfg.prefix + request.prefix
        body = {
            'key': _encode(full.encode()),
            'range_end': _encode(prefix_end(full)),
        }
        if request.after:
            body['min_mod_revision'] = str(request.after + 1)
        return self._post_read('/v3/kv/range', body, self._parse_scan)

    def _parse_scan(self, reply):
        revision = int(reply['header']['revision'])
        return effects.Scanned(self._records(reply), revision)

    def _commit(self, request):
        body = {
            'compare': [self._compare(guard) for guard in request.guards],
            'success': [self._operation(put) for put in request.puts],
        }
        try:
            reply = self._send('/v3/kv/txn', body)
            return _parse_commit(reply)
        except _NOT_SENT_ERRORS:
            return effects.Unavailable()
        except exceptions.HTTPError:
            return effects.Uncertain()
        except errors.SHAPE_ERRORS as exc:
            _log_malformed(exc)
            return effects.Uncertain()

    def _compare(self, guard):
        return {
            'key': self._key(guard.key),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(guard.revision),
        }

    def _operation(self, put):
        if put.value is None:
            return {'requestDeleteRange': {'key': self._key(put.key)}}
        value = _encode(put.value)
        return {'requestPut': {'key': self._key(put.key), 'value': value}}

    def _key(self, key):
        return _encode((self._cfg.prefix + key).encode())

    def _records(self, reply):
        # A response without records has no field `kvs`.
        return tuple(self._record(kv) for kv in reply.get('kvs') or ())

    def _record(self, kv):
        key = _decode(kv['key']).decode().removeprefix(self._cfg.prefix)
        value = _decode(kv.get('value', ''))
        return effects.Record(key, value, int(kv['mod_revision']))

    def _post_read(self, path, body, parse):
        """Sends a read, with a retry for a connection closed by the store.

        Args:
            path: Path of the call.
            body: Request as JSON.
            parse: Function from the parsed response to a reply.

        Returns:
            The reply, or Unavailable if all attempts failed.
        """
        for _attempt in range(READ_ATTEMPTS):
            try:
                return parse(self._send(path, body))
            except exceptions.HTTPError:
                continue
            except errors.SHAPE_ERRORS as exc:
                _log_malformed(exc)
        return effects.Unavailable()

    def _send(self, path, body):
        """Sends a request to the first endpoint that accepts connections.

        Raises:
            urllib3.exceptions.HTTPError: If no endpoint accepts a
                connection, or the request fails after connecting.
            ValueError: If the response is not JSON.
        """
        last_error = None
        for endpoint in self._cfg.endpoints:
            self.calls += 1
            try:
                return self._send_to(endpoint, path, body)
            except _NOT_SENT_ERRORS as exc:
                self._pools.discard(endpoint)
                last_error = exc
        raise last_error

    def _send_to(self, endpoint, path, body):
        try:
            reply = self._pools.pool_for(endpoint).request(
                'POST',
                path,
                body=json.dumps(body),
                headers={'Content-Type': 'application/json'},
                timeout=self._cfg.timeout_s,
            )
        except exceptions.HTTPError:
            self._pools.discard(endpoint)
            raise
        if reply.status != 200:
            raise exceptions.HTTPError(
                f'store "{endpoint}" responded with status {reply.status}'
            )
        return reply.json()

    def close(self):
        """Closes all connections."""
        self._pools.close()
