"""Runs one instance on the platform, from start to planned stop."""

import asyncio
import gc
import json
import os
import random
import signal
import sys
import urllib.parse

import uvloop

from dandelionwinch import addresses
from dandelionwinch import eventlog
from dandelionwinch import gateway
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _dialect
from dandelionwinch.platform import _registration
from dandelionwinch.platform import _steward
from dandelionwinch.platform import _store
from dandelionwinch.platform import _sync
from dandelionwinch import routes

LEASE_S = 4.0
ANSWER_TTL_S = 2
LINGER_S = 4.0
STOP_MARGIN_S = 0.4
STOP_STEP_S = 0.1
METRICS_PORT = 9464


class Entry:
    """One instance: its servers, its gateway and its tasks."""

    def __init__(self, loop, boot, path, metrics_port=METRICS_PORT):
        self._loop = loop
        self._boot = boot
        self._path = path
        rng = random.Random()
        self._log = eventlog.EventLog(boot.instance)
        self._gateway = gateway.Gateway(
            loop, _dialect.Dialect(), self._log, boot, rng
        )
        self._store = _store.Store(loop, boot.store)
        self._sync = _sync.Sync(
            loop, self._store, self._gateway, self._log, rng, self._configured
        )
        self._presence = addresses.Presence(
            boot.instance,
            boot.callers,
            boot.data_centre,
            boot.regions.get(boot.data_centre, ''),
        )
        self._registration = _registration.Registration(
            loop,
            self._store,
            self._log,
            self._presence,
            max(LEASE_S, boot.least_lease_s),
        )
        self._steward = _steward.Steward(
            loop, self._store, self._sync, self._gateway, self._log, rng, boot
        )
        limits = routes.Limits()
        self._callers = gateway.Server(
            loop, self._gateway.handle, limits, self._gateway.refused_early
        )
        self._servers = {
            'callers': (boot.callers, self._callers),
            'readiness': (
                boot.readiness,
                gateway.Server(loop, self._ask_ready, limits),
            ),
            'directory': (
                boot.directory,
                gateway.Server(loop, self._resolve, limits),
            ),
            'metrics': (
                f'{boot.ip}:{metrics_port}',
                gateway.Server(loop, self._metrics, limits),
            ),
        }
        self._flusher = None
        self._registered = False
        self._stopping = False
        self._stopped = loop.create_future()

    async def start(self):
        """Binds all addresses and starts all tasks."""
        for finding in self._boot.findings:
            self._log.event('settings.finding', finding=finding)
        self._gateway.start()
        self._sync.start()
        for address, server in self._servers.values():
            if address:
                await server.start(address)
        self._flush()
        self._loop.add_signal_handler(signal.SIGTERM, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._log.event('instance.started', pid=os.getpid())

    def ports(self):
        """Returns the bound port of each server, by its name."""
        return {
            name: server.port
            for name, (address, server) in self._servers.items()
            if address
        }

    def _flush(self):
        self._log.flush()
        self._flusher = self._loop.call_later(eventlog.FLUSH_S, self._flush)

    def _configured(self, table):
        self._callers.limits = table.limits
        if not self._registered and not self._stopping:
            self._registered = True
            self._registration.start()
            self._steward.start()

    @property
    def _ready(self):
        return self._sync.ready and not self._stopping

    async def _ask_ready(self, incoming, caller):
        caller.answer(200 if self._ready else 503, (), b'')

    async def _metrics(self, incoming, caller):
        caller.answer(200, (), self._gateway.metrics.text())

    async def _resolve(self, incoming, caller):
        head = incoming.head
        query = urllib.parse.parse_qs(head.target.partition('?')[2])
        present = {p.name: p for p in self._sync.present.values()}
        if self._ready:
            present[self._presence.name] = self._presence
        else:
            present.pop(self._presence.name, None)
        found = addresses.nearest(
            list(present.values()),
            query.get('zone', [''])[0],
            query.get('region', [''])[0],
        )
        ttl_s = min(ANSWER_TTL_S, self._boot.max_ttl_s)
        if not found:
            caller.answer(503, (), b'no instance is known')
            return
        body = json.dumps({'addresses': found, 'ttlS': ttl_s}).encode()
        caller.answer(200, (('Content-Type', 'application/json'),), body)

    def reload(self):
        """Reads the settings again; addresses stay until a restart."""
        try:
            boot = _boot.load(self._path)
        except (OSError, _boot.SettingsInvalid) as exc:
            self._log.event('settings.invalid', reason=str(exc))
            return
        changed = boot != self._boot
        self._log.event('settings.reloaded', changed=changed)

    def stop(self):
        """Begins a planned stop."""
        if self._stopping:
            return
        self._stopping = True
        self._log.event('instance.stopping', active=self._gateway.active)
        self._loop.create_task(self._leave())

    async def _leave(self):
        """Ends a planned stop once nothing is left, or time is over."""
        began = self._loop.time()
        self._loop.create_task(self._registration.withdraw())
        self._loop.create_task(self._steward.resign())
        self._callers.drain()
        limit = began + self._boot.grace_s - STOP_MARGIN_S
        while self._loop.time() < limit:
            await asyncio.sleep(STOP_STEP_S)
            lingered = self._loop.time() - began > LINGER_S
            if lingered and not self._gateway.active:
                break
        self._log.event('instance.stopped', active=self._gateway.active)
        self._log.flush()
        self._stopped.set_result(None)

    async def wait(self):
        """Returns when a planned stop has ended."""
        await self._stopped

    def close(self):
        """Stops all tasks and closes all sockets."""
        self._sync.close()
        self._registration.close()
        self._steward.close()
        self._gateway.close()
        if self._flusher is not None:
            self._flusher.cancel()
        for address, server in self._servers.values():
            if address:
                server.close()
        self._store.close()


async def _serve(path):
    loop = asyncio.get_running_loop()
    entry = Entry(loop, _boot.load(path), path)
    await entry.start()
    gc.collect()
    gc.freeze()
    await entry.wait()
    entry.close()


def main():
    """Runs an instance with the settings that the platform names."""
    path = os.environ.get(_boot.VARIABLE)
    if not path:
        sys.exit(f'variable "{_boot.VARIABLE}" is not set')
    try:
        uvloop.run(_serve(path))
    except _boot.SettingsInvalid as exc:
        sys.exit(f'{path}: {exc.message}')
