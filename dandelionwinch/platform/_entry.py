"""Runs one instance as a process on the platform."""

import asyncio
import gc
import json
import os
import signal
import sys
import urllib.parse

import uvloop

from dandelionwinch import control
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _duty_api
from dandelionwinch.platform import _holds
from dandelionwinch.platform import _operator_pages
from dandelionwinch.platform import _store
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec

METRICS_PORT = 9464
_JSON = (('Content-Type', 'application/json'),)


class PlatformProcess:
    """An instance with the servers and signal handlers of the platform.

    Args:
        loop: Event loop.
        cfg: InstanceConfig.
        path: Path of the settings file, for reload().
        metrics_port: Port of the metrics server, 0 for any.
        log: EventLog, or None for a new one.

    Attributes:
        instance: The Instance.
    """

    def __init__(self, loop, cfg, path, metrics_port=METRICS_PORT, log=None):
        self._loop = loop
        self._cfg = cfg
        self._path = path
        self.instance = control.Instance(
            loop,
            cfg,
            _store.Store(loop, cfg.store),
            _wire_codec.WireCodec(),
            _store_codec.StoreCodec(),
            log,
            _create_duty_api(loop, cfg.duty_settings),
        )
        add = self.instance.add_server
        add('readiness', cfg.readiness, self._answer_readiness)
        add('directory', cfg.directory, self._answer_addresses)
        add('metrics', f'{cfg.ip}:{metrics_port}', self._answer_metrics)

    async def start(self):
        """Installs the signal handlers and starts the instance.

        Without a handler either signal would end the process at once, with
        what it has read.
        """
        self._loop.add_signal_handler(signal.SIGTERM, self.instance.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.instance.start()

    async def _answer_readiness(self, incoming, caller):
        caller.respond(200 if self.instance.ready else 503, (), b'')

    async def _answer_metrics(self, incoming, caller):
        head, now = incoming.head, self._loop.time()
        if _holds.is_request(head):
            _holds.respond(self.instance, now, head, caller)
            return
        page = _operator_pages.find(head)
        if page is not None:
            page.respond(self.instance, now, caller)
            return
        caller.respond(200, (), self.instance.metrics())

    async def _answer_addresses(self, incoming, caller):
        query = urllib.parse.parse_qs(incoming.head.target.partition('?')[2])
        found, ttl_s = self.instance.addresses_for(
            query.get('zone', [''])[0], query.get('region', [''])[0]
        )
        if not found:
            caller.respond(503, (), b'no instance is known')
            return
        body = json.dumps({'addresses': found, 'ttlS': ttl_s})
        caller.respond(200, _JSON, body.encode())

    def reload(self):
        """Checks the settings file and logs whether it has changed.

        Changes take effect at the next restart.
        """
        log = self.instance.log
        try:
            cfg = _boot.load(self._path)
        except (OSError, _boot.SettingsInvalid) as exc:
            log.event('settings.invalid', reason=str(exc))
            return
        log.event('settings.reloaded', changed=cfg != self._cfg)

    def close(self):
        """Closes the instance."""
        self.instance.close()


def _create_duty_api(loop, settings):
    """Returns the client of the duty API, None if there is no duty."""
    return _duty_api.DutyApi(loop, settings) if settings.enabled else None


async def _serve(path):
    loop = asyncio.get_running_loop()
    process = PlatformProcess(loop, _boot.load(path), path)
    await process.start()
    gc.collect()
    gc.freeze()
    await process.instance.wait()
    process.close()
    return process.instance.log


def main():
    """Runs an instance with the settings file named in DANDELIONWINCH_BOOT."""
    path = os.environ.get(_boot.SETTINGS_VARIABLE)
    if not path:
        sys.exit(f'variable "{_boot.SETTINGS_VARIABLE}" is not set')
    try:
        log = uvloop.run(_serve(path))
    except _boot.SettingsInvalid as exc:
        sys.exit(f'{path}: {exc.message}')
    # Requests that were cut by the end log that after the last flush.
    log.flush()
