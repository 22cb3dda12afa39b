"""One instance: its gateway and its tasks, wired and stopped in order."""

import asyncio
import random

from dandelionwinch import addresses
from dandelionwinch.control import _order_leader
from dandelionwinch.control import _order_sender
from dandelionwinch.control import _registration
from dandelionwinch.control import _sync
from dandelionwinch import eventlog
from dandelionwinch import gateway
from dandelionwinch import routes

ANSWER_TTL_S = 2
LINGER_S = 4.0
STOP_MARGIN_S = 0.4
STOP_STEP_S = 0.1


class Instance:
    """Serves callers, follows the store, and stops without a cut.

    Attributes:
        log: The EventLog.
    """

    def __init__(self, loop, cfg, store, wire_codec, store_codec, log=None):
        self._loop = loop
        self._cfg = cfg
        self._store = store
        self.log = log or eventlog.EventLog(cfg.instance)
        self._rng = rng = random.Random()
        self._gateway = gateway.Gateway(loop, wire_codec, self.log, cfg, rng)
        self._sync = _sync.StoreSync(
            loop,
            store,
            store_codec,
            self._gateway,
            cfg.capacity,
            self.log,
            rng,
            self._configured,
        )
        self._presence = addresses.InstanceEntry(
            cfg.instance,
            cfg.callers,
            cfg.data_centre,
            cfg.region,
            cfg.capacity,
        )
        self._registration = _registration.Registration(
            loop,
            store,
            self.log,
            self._presence,
            max(_registration.LEASE_S, cfg.min_lease_s),
        )
        self._order_leader = _order_leader.OrderLeader(
            loop,
            store,
            self._sync,
            self._gateway,
            _order_sender.OrderSender(
                self._gateway.fleet, wire_codec, cfg.instance
            ),
            self.log,
            rng,
            cfg,
            _order_sender.boot_clock,
        )
        self._servers = {}
        self._callers = gateway.Server(
            loop,
            self._gateway.handle,
            routes.Limits(),
            self._gateway.log_early_refusal,
        )
        if cfg.callers:
            self._servers['callers'] = (cfg.callers, self._callers)
        self._flusher = None
        self._registered = False
        self._stopping = False
        self._stopped = loop.create_future()

    def add_server(self, name, address, handler):
        """Adds a server for questions; without an address there is none.

        Args:
            name: Name in `ports`.
            address: IP:PORT, or ''.
            handler: Coroutine function of a request and its caller.
        """
        if address:
            server = gateway.Server(self._loop, handler, routes.Limits())
            self._servers[name] = (address, server)

    async def start(self):
        """Binds all addresses and starts all tasks."""
        for finding in self._cfg.findings:
            self.log.event('settings.finding', finding=finding)
        self._gateway.start()
        self._sync.start()
        for address, server in self._servers.values():
            await server.start(address)
        self._flush()
        self.log.event('instance.started')

    def ports(self):
        """Returns the bound port of each server, by its name."""
        return {
            name: server.port for name, (_, server) in self._servers.items()
        }

    def _flush(self):
        self.log.flush()
        self._flusher = self._loop.call_later(
            eventlog.FLUSH_INTERVAL_S, self._flush
        )

    def _configured(self, table):
        self._callers.limits = table.limits
        if not self._registered and not self._stopping:
            self._registered = True
            self._registration.start()
            self._order_leader.start()

    @property
    def ready(self):
        """Tells whether callers should be sent here."""
        return self._sync.ready and not self._stopping

    def addresses_for(self, data_centre, region):
        """Returns addresses for a caller, and seconds that they hold."""
        present = {p.name: p for p in self._sync.members.present.values()}
        present.pop(self._presence.name, None)
        if self.ready:
            present[self._presence.name] = self._presence
        found = addresses.nearest(
            present.values(), data_centre, region, self._rng
        )
        return found, min(ANSWER_TTL_S, self._cfg.max_ttl_s)

    def metrics(self):
        """Returns all metrics as text."""
        return self._gateway.metrics.text()

    def stop(self):
        """Begins a planned stop."""
        if self._stopping:
            return
        self._stopping = True
        self.log.event('instance.stopping', active=self._gateway.active)
        self._loop.create_task(self._leave())

    async def _leave(self):
        """Ends a planned stop once nothing is left, or time is over."""
        began = self._loop.time()
        self._loop.create_task(self._registration.withdraw())
        self._loop.create_task(self._order_leader.resign())
        self._callers.drain()
        limit = began + self._cfg.grace_s - STOP_MARGIN_S
        while self._loop.time() < limit:
            await asyncio.sleep(STOP_STEP_S)
            lingered = self._loop.time() - began > LINGER_S
            if lingered and not self._gateway.active:
                break
        self.log.event('instance.stopped', active=self._gateway.active)
        self.log.flush()
        self._stopped.set_result(None)

    async def wait(self):
        """Returns when a planned stop has ended."""
        await self._stopped

    def close(self):
        """Stops all tasks and closes all sockets."""
        self._sync.close()
        self._registration.close()
        self._order_leader.close()
        self._gateway.close()
        if self._flusher is not None:
            self._flusher.cancel()
        for _address, server in self._servers.values():
            server.close()
        self._store.close()
