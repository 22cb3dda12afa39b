"""A stand-in of the users' store, by its published protocol."""

import base64
import json
import threading
import time
import urllib.parse

from dandelionwinch.standins import web

MAX_ENTRIES = 32


class KvStore:
    """Items, leases, watches and changes under a condition.

    Attributes:
        refuse: Status of all answers while set, 0 for none.
        lose: Changes of keys that are done and not answered.
        page: Items on one page of a listing.
        lapse: Whether leases end by themselves when they are not renewed.
    """

    def __init__(self, page=500, lapse=False):
        self._server = web.WebServer(self._handle)
        self._changed = threading.Condition()
        self._items = {}
        self._history = []
        self._dropped = 0
        self._revision = 1
        self._leases = {}
        self._ttls = {}
        self._next_lease = 100
        self.refuse = 0
        self.lose = 0
        self.page = page
        self.lapse = lapse
        self.calls = []

    def start(self):
        """Listens on a port that the system chooses."""
        self._server.start()

    def close(self):
        """Stops serving."""
        self._server.close()

    @property
    def address(self):
        """Returns IP:PORT."""
        return self._server.address

    def write(self, key, value, lease=0):
        """Writes as an operator or an upstream does."""
        with self._changed:
            self._put(key, value, lease)
            self._changed.notify_all()

    def remove(self, key):
        """Removes a key."""
        with self._changed:
            self._delete(key)
            self._changed.notify_all()

    def end_leases(self):
        """Lets all leases lapse."""
        with self._changed:
            for lease in list(self._leases):
                self._end(lease)
            self._changed.notify_all()

    def drop_history(self):
        """Forgets all changes up to now."""
        with self._changed:
            self._history.clear()
            self._dropped = self._revision
            self._changed.notify_all()

    def value(self, key):
        """Returns the bytes of a key, or None."""
        item = self._items.get(key)
        return item and base64.b64decode(item['value'])

    def _put(self, key, value, lease):
        self._revision += 1
        old = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self._revision,
            'created': old['created'] if old else self._revision,
            'lease': lease,
        }
        self._items[key] = item
        self._history.append(item)

    def _delete(self, key):
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._history.append(
            {'key': key, 'revision': self._revision, 'deleted': True}
        )

    def _end(self, lease):
        self._leases.pop(lease, None)
        self._ttls.pop(lease, None)
        held = [k for k, i in self._items.items() if i['lease'] == lease]
        for key in held:
            self._delete(key)

    def _expire(self):
        """Ends leases that were not renewed in time."""
        if not self.lapse:
            return
        now = time.monotonic()
        for lease, until in list(self._leases.items()):
            if until < now:
                self._end(lease)

    def _handle(self, request):
        query = dict(urllib.parse.parse_qsl(request.query))
        call = request.path.removeprefix('/-/').partition('/')
        self.calls.append(call[0])
        if self.refuse:
            return web.Reply(self.refuse, {})
        match call[0]:
            case 'kv-key':
                return self._key(query)
            case 'kv-range':
                return self._range(query)
            case 'kv-watch':
                return self._watch(query)
        with self._changed:
            self._expire()
            reply = self._change(call[0], call[2], request.json())
            self._changed.notify_all()
        if self.lose and call[0] == 'kv-txn':
            self.lose -= 1
            raise web.HungUp
        return reply

    def _key(self, query):
        item = self._items.get(query['key'])
        if item is None:
            return web.Reply(404, {})
        return web.Reply(200, {**item, 'storeRevision': self._revision})

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        found = [self._items[key] for key in keys[: self.page]]
        body = {
            'items': found,
            'hasMore': len(keys) > self.page,
            'storeRevision': self._revision,
        }
        return web.Reply(200, body)

    def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])

        def events():
            return [
                change
                for change in self._history
                if change['revision'] > after
                and change['key'].startswith(prefix)
            ]

        def due():
            return after < self._dropped or events()

        with self._changed:
            self._changed.wait_for(due, int(query['waitMs']) / 1e3)
            if after < self._dropped:
                return web.Reply(410, {})
            body = {'events': events(), 'storeRevision': self._revision}
        return web.Reply(200, body)

    def _change(self, call, argument, body):
        match call:
            case 'kv-lease':
                self._next_lease += 1
                self._ttls[self._next_lease] = body['ttlMs'] / 1e3
                self._renew(self._next_lease)
                answer = {'lease': self._next_lease, 'ttlMs': body['ttlMs']}
                return web.Reply(200, answer)
            case 'kv-keep':
                known = int(argument) in self._leases
                if known:
                    self._renew(int(argument))
                return web.Reply(200 if known else 404, {'ttlMs': 1000})
            case 'kv-lease-end':
                self._end(int(argument))
                return web.Reply(200, {})
            case 'kv-txn':
                return self._transact(body)
        return web.Reply(400, {})

    def _renew(self, lease):
        self._leases[lease] = time.monotonic() + self._ttls[lease]

    def _transact(self, body):
        rows = body['precondition']
        size = len(rows) + len(body['puts']) + len(body['remove'])
        if size > MAX_ENTRIES:
            return web.Reply(400, {})
        for row in rows:
            item = self._items.get(row['key'], {})
            if item.get('revision', 0) != row['revision']:
                return web.Reply(412, {'items': [item] if item else []})
        for row in body['puts']:
            if row['lease'] and row['lease'] not in self._leases:
                return web.Reply(404, {})
        for row in body['puts']:
            value = base64.b64decode(row['value'])
            self._put(row['key'], value, row['lease'])
        for key in body['remove']:
            self._delete(key)
        return web.Reply(200, {'revision': self._revision})


def config_bytes(version, routes, services):
    """Returns a configuration as the operators write it."""
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1 << 20,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    }
    body = {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': limits,
    }
    return json.dumps(body).encode()
