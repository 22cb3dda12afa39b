"""A stand-in of the platform's key-value store with leases and watches."""

import base64
import threading
import time
import urllib.parse

import attrs

from dandelionwinch.standins import http_server
from dandelionwinch.standins import kvitems

MAX_COMMIT_ENTRIES = 32
EPOCH_HEADER = 'Store-Era'


class KvStore(http_server.HttpStandIn):
    """Serves items, leases, watches and conditional commits over HTTP.

    Calls that are being served while the store goes away or is restored
    get no response.

    Attributes:
        items: The KvItems.
        epoch_text: Text of the epoch in all responses, None for the epoch
            of the items, '' for no header.
        error_status: Status of all responses, or 0 to serve requests.
        replies_to_drop: Number of next commits that are made without a
            response.
        page_size: Items on one page of a listing.
        expire_leases: Whether a lease expires when it is not renewed.
        calls: Names of all calls, such as ``kv-txn``.
        on_change: Called after each call and each change, from any thread.
    """

    def __init__(
        self,
        page_size=500,
        expire_leases=False,
        threads=http_server.DEFAULT_THREADS,
    ):
        super().__init__(threads=threads)
        self._changed = threading.Condition()
        # Values that operators and upstreams wrote last, by key.
        self._external = {}
        self._away = False
        self.items = kvitems.KvItems()
        self.epoch_text = None
        self.error_status = 0
        self.replies_to_drop = 0
        self.page_size = page_size
        self.expire_leases = expire_leases
        self.calls = []
        self.on_change = lambda: None

    def write(self, key, value, lease=0):
        """Sets a key on behalf of an operator or an upstream."""
        self._external[key] = value
        self._change(self.items.put, key, value, lease)

    def remove(self, key):
        """Deletes a key on behalf of an operator or an upstream."""
        self._external[key] = None
        self._change(self.items.remove, key)

    def snapshot(self):
        """Returns a Snapshot of the items."""
        return self._change(self.items.snapshot)

    def go_away(self):
        """Ends all calls without a response until `come_back`."""
        self._away = True
        self._change(lambda: None)

    def come_back(self, snapshot):
        """Serves calls again, from a snapshot of the items."""
        self._change(self.items.restore, snapshot)
        self._away = False

    def write_again(self):
        """Repeats what operators and upstreams wrote and has been lost."""
        for key, value in list(self._external.items()):
            if self.value(key) == value:
                continue
            if value is None:
                self.remove(key)
            else:
                self.write(key, value)

    def revoke_leases(self):
        """Revokes all leases."""
        self._change(self.items.revoke_all)

    def compact(self):
        """Drops the history of changes."""
        self._change(self.items.compact)

    def value(self, key):
        """Returns the value of a key, or None."""
        item = self.items.get(key)
        return item and item.value

    def _change(self, change, *args):
        with self._changed:
            result = change(*args)
            self._changed.notify_all()
        self.on_change()
        return result

    def _handle(self, req):
        epoch = self.items.epoch
        try:
            reply = self._serve(req)
        finally:
            self.on_change()
        if self._away or self.items.epoch != epoch:
            raise http_server.DropConnection
        text = str(epoch) if self.epoch_text is None else self.epoch_text
        if not text:
            return reply
        return attrs.evolve(reply, headers=((EPOCH_HEADER, text),))

    def _serve(self, req):
        query = dict(urllib.parse.parse_qsl(req.query))
        call, _, argument = req.path.removeprefix('/-/').partition('/')
        self.calls.append(call)
        self.on_change()
        if self._away:
            raise http_server.DropConnection
        if self.error_status:
            return http_server.Reply(self.error_status, {})
        if self.expire_leases:
            self._change(self.items.expire, time.monotonic())
        match call:
            case 'kv-key':
                return self._key(query)
            case 'kv-range':
                return self._range(query)
            case 'kv-watch':
                return self._watch(query)
            case 'kv-txn':
                reply = self._change(self._commit, req.json())
                if self.replies_to_drop:
                    self.replies_to_drop -= 1
                    raise http_server.DropConnection
                return reply
        return self._change(self._lease_call, call, argument, req)

    def _key(self, query):
        item = self.items.get(query['key'])
        if item is None:
            return http_server.Reply(404, {})
        row = {**_row(item), 'storeRevision': self.items.revision}
        return http_server.Reply(200, row)

    def _range(self, query):
        found, more = self.items.page(
            query.get('prefix', ''), query.get('after', ''), self.page_size
        )
        body = {
            'items': [_row(item) for item in found],
            'hasMore': more,
            'storeRevision': self.items.revision,
        }
        return http_server.Reply(200, body)

    def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        epoch = self.items.epoch

        def changes():
            return self.items.changes(prefix, after)

        def ended():
            restored = self.items.epoch != epoch
            return self._away or restored or changes() != []

        with self._changed:
            self._changed.wait_for(ended, int(query['waitMs']) / 1e3)
            found = changes()
            if found is None:
                return http_server.Reply(410, {})
            body = {
                'events': [_row(item) for item in found],
                'storeRevision': self.items.revision,
            }
        return http_server.Reply(200, body)

    def _lease_call(self, call, argument, req):
        now = time.monotonic()
        match call:
            case 'kv-lease':
                ttl_ms = req.json()['ttlMs']
                lease = self.items.grant(ttl_ms / 1e3, now)
                return http_server.Reply(
                    200, {'lease': lease, 'ttlMs': ttl_ms}
                )
            case 'kv-keep':
                renewed = self.items.renew(int(argument), now)
                return http_server.Reply(
                    200 if renewed else 404, {'ttlMs': 1000}
                )
            case 'kv-lease-end':
                self.items.revoke(int(argument))
                return http_server.Reply(200, {})
        return http_server.Reply(400, {})

    def _commit(self, body):
        conditions, puts = body['precondition'], body['puts']
        if (
            len(conditions) + len(puts) + len(body['remove'])
            > MAX_COMMIT_ENTRIES
        ):
            return http_server.Reply(400, {})
        result = self.items.commit(
            [(row['key'], row['revision']) for row in conditions],
            [
                (row['key'], base64.b64decode(row['value']), row['lease'])
                for row in puts
            ],
            body['remove'],
        )
        match result:
            case kvitems.Rejection.CONDITION:
                found = [self.items.get(row['key']) for row in conditions]
                rows = [_row(item) for item in found if item]
                return http_server.Reply(412, {'items': rows})
            case kvitems.Rejection.LEASE:
                return http_server.Reply(404, {})
        return http_server.Reply(200, {'revision': result})


def _row(item):
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'deleted': True}
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }
