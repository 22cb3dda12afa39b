"""Wires the gateway and the tasks of one instance and shuts them down."""

import asyncio
import random

import prometheus_client

from dandelionwinch import addresses
from dandelionwinch.control import _capacity_duty
from dandelionwinch.control import _config
from dandelionwinch.control import _duty_calls
from dandelionwinch.control import _duty_status
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _order_sender
from dandelionwinch.control import _registration
from dandelionwinch.control import _role_orders
from dandelionwinch.control import _share_duty
from dandelionwinch.control import _sync
from dandelionwinch.control import _usage_duty
from dandelionwinch.control import _workers
from dandelionwinch import eventlog
from dandelionwinch import gateway
from dandelionwinch import routes

# How long a caller may use the addresses that the directory returned.
ADDRESS_TTL_S = 2
# A graceful stop serves at least this long, as callers may still connect.
MIN_DRAIN_S = 4.0
# A graceful stop ends this long before SIGKILL, and this part of it is for
# responses that are written and not yet sent.
STOP_MARGIN_S = 0.4
SEND_TIMEOUT_S = 0.25
DRAIN_POLL_S = 0.1
SEND_POLL_S = 0.02
# Instances beside the holder that get the totals of usage.
USAGE_SUCCESSORS = 2
# Characters of a malformed epoch that are logged.
MAX_LOGGED_EPOCH = 40


class Instance:
    """Serves callers, follows the store, and drains before it stops.

    Args:
        loop: Event loop.
        cfg: InstanceConfig.
        store: Store.
        wire_codec: WireCodec of the requests and responses.
        store_codec: StoreCodec of the entries in the store.
        log: EventLog, or None for a new one.
        duty_api: DutyApi, or None if the settings name no duty.

    Attributes:
        log: The EventLog.
    """

    def __init__(
        self,
        loop,
        cfg,
        store,
        wire_codec,
        store_codec,
        log=None,
        duty_api=None,
    ):
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
            cfg,
            self.log,
            rng,
            self._on_config,
            _order_sender.boot_clock,
        )
        self._gateway.authenticator.view_age_s = self._sync.ages.age_s
        self._gateway.fair_sharing.holder = lambda: self._sync.holder
        self._entry = addresses.InstanceEntry(
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
            self._entry,
            max(_registration.LEASE_S, cfg.min_lease_s),
            self._restore_delay_s,
        )
        self._capacity_duty = None
        self._calls = None
        if cfg.duty_settings.enabled and duty_api is not None:
            self._calls = _duty_calls.DutyCalls(
                loop, duty_api, self.log, self._gateway.metrics.registry
            )
        self._holder = _lease_holder.LeaseHolder(
            loop,
            store,
            self._sync,
            self._create_worker(wire_codec),
            self.log,
            rng,
            cfg,
            _order_sender.boot_clock,
        )
        self._epoch_changes = prometheus_client.Counter(
            'dandelionwinch_store_epoch_changes',
            'Restores of the store from a backup',
            registry=self._gateway.metrics.registry,
        )
        store.epochs.on_change = self._on_epoch
        store.epochs.on_invalid = self._on_invalid_epoch
        self._servers = {}
        self._caller_server = gateway.Server(
            loop,
            self._gateway.handle,
            routes.Limits(),
            self._gateway.log_early_rejection,
            cfg.max_held_bytes,
            self._gateway.log_stalled_caller,
        )
        if cfg.callers:
            self._servers['callers'] = (cfg.callers, self._caller_server)
        self._flusher = None
        self._registered = False
        self._stopping = False
        self._stopped = loop.create_future()

    def _create_worker(self, wire_codec):
        """Returns what the holder of the lease has to do."""
        role_orders = _role_orders.RoleOrders(
            self._loop,
            self._store,
            self._sync,
            self._gateway,
            _order_sender.OrderSender(
                self._gateway.fleet, wire_codec, self._cfg.instance
            ),
            self.log,
        )
        if self._calls is None:
            return _workers.InlineWorker(role_orders)
        duties = [role_orders, *self._create_duties()]
        return _workers.DutyRunner(self._loop, duties, self._calls, self.log)

    def _create_duties(self):
        """Returns the duties that are performed at the duty API.

        Each is created for its item in `cfg.duty_settings.duties`, and makes
        its calls through `self._calls`, a DutyApi.
        """
        duties = []
        wanted = self._cfg.duty_settings.duties
        if _config.Duty.USAGE in wanted:
            duties.append(self._create_usage_duty())
            duties.append(_share_duty.ShareDuty(self._gateway.fair_sharing))
        if _config.Duty.CAPACITY in wanted:
            self._capacity_duty = _capacity_duty.CapacityDuty(
                self._loop,
                self._gateway,
                self._sync,
                self._calls,
                self.log,
                self._cfg.instance,
            )
            duties.append(self._capacity_duty)
        return duties

    def _create_usage_duty(self):
        duty = _usage_duty.UsageDuty(
            self._store,
            self._gateway.usage,
            self._calls,
            self._instance_names,
            self.log,
            self._cfg.duty_settings.usage_late_s,
        )
        self._gateway.usage.receivers = self._usage_receivers
        self._sync.on_usage_report = duty.saw
        return duty

    def _instance_names(self):
        return [e.name for e in self._sync.registered.entries.values()]

    def _usage_receivers(self):
        """Returns the holder and the instances that would follow it."""
        holder = self._sync.holder
        candidates = self._sync.candidates()
        if not holder:
            return candidates[: USAGE_SUCCESSORS + 1]
        return [holder, *candidates[:USAGE_SUCCESSORS]]

    def add_server(self, name, address, handler):
        """Adds a server beside that for callers, such as a probe.

        Args:
            name: Key in `ports`.
            address: IP:PORT to listen on, or '' to add no server.
            handler: Coroutine function of a request and its connection.
        """
        if address:
            server = gateway.Server(self._loop, handler, routes.Limits())
            self._servers[name] = (address, server)

    async def start(self):
        """Starts all tasks and listens on all addresses."""
        for finding in self._cfg.findings:
            self.log.event('settings.finding', finding=finding)
        self._gateway.start()
        if self._cfg.peer_port:
            await self._gateway.peers.start(self._cfg.ip, self._cfg.peer_port)
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

    def _on_config(self, table):
        self._caller_server.limits = table.limits
        self._gateway.usage.in_use = self._usage_in_use(table)
        if not self._registered and not self._stopping:
            self._registered = True
            self._registration.start()
            self._holder.start()

    def _usage_in_use(self, table):
        reports_usage = self._cfg.duty_settings.reports_usage
        return reports_usage and table.teams is not None

    def _on_epoch(self, previous, epoch):
        self._epoch_changes.inc()
        self.log.event('store.era', previous=previous, epoch=epoch)
        self._sync.epoch_changed()

    def _on_invalid_epoch(self, verdict, text):
        self.log.event(
            'store.era_invalid',
            finding=verdict.value,
            text=text[:MAX_LOGGED_EPOCH],
        )

    def _restore_delay_s(self):
        spread_s = self._sync.registered.registration_spread_s()
        return spread_s * self._rng.random()

    @property
    def ready(self):
        """Whether callers should be sent to this instance."""
        return self._sync.has_routes and not self._stopping

    def addresses_for(self, data_centre, region):
        """Returns the nearest instances to a caller.

        Args:
            data_centre: Data centre of the caller, or ''.
            region: Region of the caller, or ''.

        Returns:
            Addresses, and the seconds for which they are valid.
        """
        entries = {e.name: e for e in self._sync.registered.entries.values()}
        entries.pop(self._entry.name, None)
        if self.ready:
            entries[self._entry.name] = self._entry
        found = addresses.nearest(
            entries.values(), data_centre, region, self._rng
        )
        return found, min(ADDRESS_TTL_S, self._cfg.max_ttl_s)

    def metrics(self):
        """Returns all metrics in the text format of Prometheus."""
        return self._gateway.metrics.text()

    def holds(self):
        """Returns the Holds in force, in loop seconds."""
        return self._gateway.crash_guard.holds()

    def lift_hold(self, subject):
        """Lifts a hold at all instances; tells whether it was held here."""
        return self._gateway.crash_guard.lift(subject)

    def capacity(self):
        """Returns the plan of capacity as data, None without that duty."""
        if self._capacity_duty is None:
            return None
        return self._capacity_duty.report()

    def duties(self):
        """Returns the DutyStatus, None if the settings name no duty."""
        if self._calls is None:
            return None
        return _duty_status.read(
            self._cfg, self._store, self._sync, self._holder, self._calls
        )

    def shares(self):
        """Returns the SharesStatus, None if the settings name no usage."""
        if not self._cfg.duty_settings.reports_usage:
            return None
        views = self._gateway.fair_sharing.view()
        return _duty_status.read_shares(
            self._cfg, self._store, self._sync, views
        )

    def usage(self):
        """Returns the gateway.UsageView of the last windows, in their order.

        It is None if the settings name no reports of usage.
        """
        if not self._cfg.duty_settings.reports_usage:
            return None
        return self._gateway.usage.view()

    def stop(self):
        """Begins a graceful stop."""
        if self._stopping:
            return
        self._stopping = True
        began = self._loop.time()
        stop_at = began + self._cfg.grace_s - STOP_MARGIN_S
        self._gateway.begin_stop(stop_at)
        self.log.event('instance.stopping', active=self._gateway.active)
        self._loop.create_task(self._drain(began, stop_at))

    async def _drain(self, began, stop_at):
        """Ends a graceful stop when no request is left or time is up."""
        self._loop.create_task(self._registration.withdraw())
        self._loop.create_task(self._holder.resign())
        self._caller_server.drain()
        while self._loop.time() < stop_at:
            await asyncio.sleep(DRAIN_POLL_S)
            min_time_passed = self._loop.time() - began > MIN_DRAIN_S
            if min_time_passed and not self._caller_server.busy:
                break
        await self._finish(stop_at)
        self.log.event('instance.stopped', active=self._gateway.active)
        self.log.flush()
        self._stopped.set_result(None)

    async def _finish(self, stop_at):
        """Answers what is left and waits until the responses are sent."""
        self.log.event('instance.finishing', active=self._gateway.active)
        self._caller_server.finish()
        self._gateway.end_requests()
        self._gateway.streams.hand_over()
        connections = self._caller_server.connections
        # Connections that wait to be accepted are in it after a first pause.
        await asyncio.sleep(SEND_POLL_S)
        while connections and self._loop.time() < stop_at + SEND_TIMEOUT_S:
            await asyncio.sleep(SEND_POLL_S)

    async def wait(self):
        """Waits until a graceful stop has ended."""
        await self._stopped

    def close(self):
        """Stops all tasks and closes all sockets."""
        self._sync.close()
        self._registration.close()
        self._holder.close()
        self._gateway.close()
        if self._calls is not None:
            self._calls.close()
        if self._flusher is not None:
            self._flusher.cancel()
        for _address, server in self._servers.values():
            server.close()
        self._store.close()
