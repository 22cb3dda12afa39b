"""Follows the store and applies its changes to the local instance."""

import asyncio
import traceback

from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _registered
from dandelionwinch.control import _registration
from dandelionwinch.control import _role_orders
from dandelionwinch.control import _store
from dandelionwinch.control import _usage_duty
from dandelionwinch import leadership
from dandelionwinch import upstreams

ALL_KEYS = ''
WATCH_TIMEOUT_S = 3.0
# Part of the bound on the age of the view that a watch may take.
STRICT_WATCH_RATIO = 0.5
# Pause between watches, so that each one returns several changes.
COALESCE_S = 0.4
COALESCE_PER_INSTANCE_S = 0.01
MAX_COALESCE_S = 1.2
BACKOFF_S = 0.3
MAX_BACKOFF_S = 1.5
# After a restore all instances list the store: the items that one call
# returns, and the part of the store's read rate that these calls may take.
ITEMS_PER_CALL = 400
LISTING_READ_RATIO = 0.5


class StoreSync:
    """A task that watches the store and applies each change.

    Args:
        loop: Event loop.
        store: Store.
        store_codec: StoreCodec of the entries.
        gateway: Gateway that gets routes, upstreams and the instance count.
        cfg: InstanceConfig of the local instance.
        log: EventLog.
        rng: Random number generator.
        on_config: Function that is called with each new RouteTable.

    Attributes:
        holder: Name of the holder of the order lease, or ''.
        holder_revision: Number of the revision of the holder's key, 0
            without a holder.
        last_holder: Name of the last holder that was seen, or ''.
        last_holder_revision: Number of the revision of its key.
        lost_role_changes: Latest time and role of announced role changes
            that a restored store has lost, by upstream.
        on_usage_report: Function that is called with each Item of the report
            of usage.
        registered: The RegisteredInstances.
    """

    __slots__ = (
        '_cfg',
        '_gateway',
        '_guard',
        '_log',
        '_loop',
        '_revision',
        '_rng',
        '_role_changes',
        '_store',
        '_store_codec',
        '_store_reached_at',
        '_synced',
        '_task',
        '_unconfirmed',
        '_watch_call',
        'holder',
        'holder_revision',
        'last_holder',
        'last_holder_revision',
        'lost_role_changes',
        'on_config',
        'on_usage_report',
        'registered',
    )

    def __init__(
        self, loop, store, store_codec, gateway, cfg, log, rng, on_config
    ):
        self._loop = loop
        self._store = store
        self._store_codec = store_codec
        self._gateway = gateway
        self._cfg = cfg
        self._log = log
        self._rng = rng
        self._guard = upstreams.DeregistrationGuard()
        self._revision = None
        self._role_changes = {}
        # Upstreams whose entry may be an older one since a restore.
        self._unconfirmed = set()
        self._task = None
        self._watch_call = None
        self._synced = False
        self._store_reached_at = float('-inf')
        self.holder = ''
        self.holder_revision = 0
        self.last_holder = ''
        self.last_holder_revision = 0
        self.lost_role_changes = {}
        self.registered = _registered.RegisteredInstances(cfg.writes_per_s)
        self.on_config = on_config
        self.on_usage_report = _ignore

    def start(self):
        """Starts following the store."""
        self._task = self._loop.create_task(self._run())

    def close(self):
        """Stops following the store."""
        if self._task is not None:
            self._task.cancel()

    def epoch_changed(self):
        """Ends a call that still waits in an older epoch of the store."""
        if self._watch_call is not None:
            self._watch_call.cancel()

    def age_s(self):
        """Returns the seconds since the store last answered.

        They are infinite while nothing of the store's epoch is known.
        """
        if not self.current:
            return float('inf')
        return self._loop.time() - self._store_reached_at

    @property
    def current(self):
        """Whether the store was listed since its last restore."""
        return (
            self._revision is not None
            and self._revision.epoch == self._store.epochs.current
        )

    def candidates(self):
        """Returns names of the instances that may follow the last holder.

        They try in this order, which is the same at all instances that know
        the same holder and instances.
        """
        return leadership.candidate_order(
            [entry.name for entry in self.registered.entries.values()],
            self.last_holder,
            self.last_holder_revision,
        )

    @property
    def has_routes(self):
        """Whether a valid configuration was received."""
        return self._gateway.fleet.table is not None

    async def _run(self):
        backoff_s = BACKOFF_S
        listed = False
        while True:
            try:
                if not listed:
                    await asyncio.sleep(self._listing_delay_s())
                    await self._list()
                    listed = True
                await self._watch()
                backoff_s = BACKOFF_S
            except _store.EpochChanged:
                listed = False
            except _store.HistoryGone as exc:
                self._log.event('store.history_gone', reason=str(exc))
                listed = False
            except _store.StoreFailed as exc:
                self._store_failed(exc)
                await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            except Exception:
                # One malformed response must not end the watch.
                self._log.event('store.fault', trace=traceback.format_exc())
                listed = False
                await asyncio.sleep(MAX_BACKOFF_S)

    def _store_failed(self, exc):
        if self._synced:
            self._log.event('store.lost', reason=str(exc))
        self._synced = False
        self._guard.store_failed(self._loop.time())

    def _store_reached(self):
        if not self._synced:
            self._log.event('store.reached', revision=self._revision.number)
        self._synced = True
        self._store_reached_at = self._loop.time()

    def _listing_delay_s(self):
        """Returns the pause before a listing, random after a restore."""
        if self._revision is None or self.current:
            return 0.0
        instances = len(self.registered.entries)
        items = instances + len(self._gateway.fleet.registry)
        calls = instances * (1 + items // ITEMS_PER_CALL)
        spread_s = calls / (LISTING_READ_RATIO * self._cfg.reads_per_s)
        return spread_s * self._rng.random()

    async def _list(self):
        listing = await self._store.list(ALL_KEYS)
        now = self._loop.time()
        previous, self._revision = self._revision, listing.revision
        self._store_reached()
        keys = {item.key for item in listing.items}
        if previous is not None and previous.epoch != listing.revision.epoch:
            self._store_restored(keys, now)
        if _lease_holder.HOLDER_KEY not in keys:
            self.holder, self.holder_revision = '', 0
        # An announced role change is compared with its engine's entry, so
        # entries come first.
        ordered = sorted(listing.items, key=_is_role_change)
        for item in ordered:
            if not self._is_outdated(item):
                self._apply(item, now)
        await self._apply_config(listing.items)
        self._remove_upstreams(
            [
                upstream.entry.id
                for upstream in self._gateway.fleet.registry
                if upstream.gone_at is None
                and self._store_codec.key_of(upstream.entry.id) not in keys
            ],
            now,
        )
        for key in list(self.registered.entries):
            if key not in keys:
                self._remove_unlisted_instance(key, now)
        self._after_response(now)

    def _store_restored(self, keys, now):
        """Prepares for the first listing after a restore.

        Args:
            keys: Keys of the listing.
            now: Time in seconds.
        """
        # Upstreams that the store has lost write their entries again, as
        # after an outage; instances do after a pause.
        self._guard.store_failed(now)
        self.registered.hold(now)
        self._unconfirmed = {
            upstream.entry.id for upstream in self._gateway.fleet.registry
        }
        self.lost_role_changes = {
            upstream_id: (until, role)
            for upstream_id, (until, role) in self._role_changes.items()
            if until > now
            and _role_orders.ROLE_CHANGE_PREFIX + upstream_id not in keys
        }

    def _is_outdated(self, item):
        """Tells whether an item was listed from an old copy of the store."""
        upstream_id = self._store_codec.upstream_of(item.key)
        if upstream_id not in self._unconfirmed:
            return False
        upstream = self._gateway.fleet.registry.get(upstream_id)
        try:
            entry = self._store_codec.read_upstream(upstream_id, item.value)
        except _store.EntryInvalid:
            return False
        return upstream is not None and upstream.is_outdated(entry)

    async def _watch(self):
        due_s = self._guard.next_due_s(self._loop.time())
        wait_s = self._watch_timeout_s()
        if due_s is not None:
            wait_s = min(wait_s, due_s)
        listing = await self._call_watch(wait_s)
        now = self._loop.time()
        self._revision = max(self._revision, listing.revision)
        self._store_reached()
        gone = []
        for item in listing.items:
            upstream_id = self._store_codec.upstream_of(item.key)
            self._unconfirmed.discard(upstream_id)
            if upstream_id is not None and item.value is None:
                gone.append(upstream_id)
                continue
            gone = [other for other in gone if other != upstream_id]
            self._apply(item, now)
        if gone:
            self._remove_upstreams(gone, now)
        await self._apply_config(listing.items)
        self._after_response(now)
        if listing.items:
            await asyncio.sleep(self._coalesce_s())

    def _watch_timeout_s(self):
        """Returns the time after which a watch without changes ends.

        With strict revocation of keys the view of the store must not age
        beyond a bound while nothing changes.
        """
        if not self._cfg.strict_revoke:
            return WATCH_TIMEOUT_S
        return min(WATCH_TIMEOUT_S, STRICT_WATCH_RATIO * self._cfg.revoke_s)

    async def _call_watch(self, wait_s):
        self._watch_call = self._loop.create_task(
            self._store.watch(ALL_KEYS, self._revision, wait_s)
        )
        try:
            return await self._watch_call
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise _store.EpochChanged('during a watch') from None
        finally:
            self._watch_call = None

    def _coalesce_s(self):
        """Returns the pause before the next watch.

        It grows with the number of instances, as all of them call the
        store.
        """
        instances = len(self.registered.entries)
        return min(
            MAX_COALESCE_S, COALESCE_S + COALESCE_PER_INSTANCE_S * instances
        )

    def _apply(self, item, now):
        upstream_id = self._store_codec.upstream_of(item.key)
        if upstream_id is not None:
            self._apply_upstream(upstream_id, item, now)
        elif item.key.startswith(_registration.INSTANCE_PREFIX):
            self._apply_instance(item)
        elif item.key == _lease_holder.HOLDER_KEY:
            self.holder = (item.value or b'').decode(errors='replace')
            self.holder_revision = item.revision if self.holder else 0
            if self.holder:
                self.last_holder = self.holder
                self.last_holder_revision = item.revision
        elif item.key == _role_orders.CAPACITY_KEY:
            self._apply_capacity(item)
        elif item.key == _usage_duty.REPORT_KEY:
            self.on_usage_report(item)
        elif _is_role_change(item):
            self._apply_role_change(item)

    def _apply_capacity(self, item):
        text = (item.value or b'').decode(errors='replace')
        if text.isdigit():
            self.registered.set_stored_capacity(float(text))

    def _apply_role_change(self, item):
        if item.value is None:
            return
        upstream_id = item.key.removeprefix(_role_orders.ROLE_CHANGE_PREFIX)
        role = item.value.decode(errors='replace')
        upstream = self._gateway.fleet.registry.get(upstream_id)
        if upstream is None or upstream.entry.role.value == role:
            return
        self._gateway.begin_role_change(
            upstream_id, _role_orders.ROLE_CHANGE_S
        )
        until = self._loop.time() + _role_orders.ROLE_CHANGE_S
        self._role_changes[upstream_id] = (until, role)
        self.lost_role_changes.pop(upstream_id, None)
        self._log.event('upstream.changing', upstream=upstream_id, role=role)

    async def _apply_config(self, items):
        """Applies the configuration if it is among items."""
        key = self._store_codec.config_key
        for item in items:
            if item.key == key and item.value is not None:
                await self._apply_table(item)

    async def _apply_table(self, item):
        try:
            table = await self._read_config(item.value)
        except _store.EntryInvalid as exc:
            self._log.event('config.invalid', finding=exc.message)
            return
        current = self._gateway.fleet.table
        if current is not None and table.version <= current.version:
            return
        self._gateway.set_table(table)
        self._log.event(
            'config.applied', version=table.version, revision=item.revision
        )
        self.on_config(table)

    async def _read_config(self, value):
        """Decodes a configuration; a large one must delay no request."""
        steps = self._store_codec.read_config_in_steps(value)
        while True:
            try:
                next(steps)
            except StopIteration as exc:
                return exc.value
            await asyncio.sleep(0)

    def _apply_upstream(self, upstream_id, item, now):
        registry = self._gateway.fleet.registry
        try:
            entry = self._store_codec.read_upstream(upstream_id, item.value)
        except _store.EntryInvalid as exc:
            self._log.event('upstream.invalid', finding=exc.message)
            registry.remove(upstream_id, now)
            return
        upstream = registry.get(upstream_id)
        previous = upstream.entry if upstream else None
        self._guard.registered(upstream_id)
        if registry.apply(entry):
            self._gateway.placer.forget(upstream_id)
        if previous is not None and previous.ready and not entry.ready:
            self._gateway.upstream_drains(registry.get(upstream_id))
        if previous is not None and previous.role is not entry.role:
            self._gateway.end_role_change(upstream_id)
            self._role_changes.pop(upstream_id, None)
            self.lost_role_changes.pop(upstream_id, None)
        if previous is None or (
            previous.ready,
            previous.role,
            previous.started_at_ms,
            previous.software_version,
        ) != (
            entry.ready,
            entry.role,
            entry.started_at_ms,
            entry.software_version,
        ):
            self._log.event(
                'upstream.changed',
                upstream=upstream_id,
                service=entry.service,
                data_centre=entry.data_centre,
                ready=entry.ready,
                role=entry.role.value,
                born=entry.started_at_ms,
                version=entry.software_version,
                revision=item.revision,
                reclaimable=entry.reclaimable,
                leaves_in_s=entry.leaves_in_s,
            )

    def _remove_upstreams(self, upstream_ids, now):
        registered = sum(
            1
            for upstream in self._gateway.fleet.registry
            if upstream.gone_at is None
        )
        for upstream_id in self._guard.deregistered(
            upstream_ids, registered, now
        ):
            self._remove_upstream(upstream_id, now, held=False)

    def _after_response(self, now):
        """Applies what is due after each response of the store."""
        self._gateway.set_capacity_ratio(
            self.registered.capacity_ratio(self._cfg.capacity, now)
        )
        for upstream_id in self._guard.pop_due(now):
            self._remove_upstream(upstream_id, now, held=True)
        for key in self.registered.pop_due(now):
            self._remove_instance(key)
        peers = self.registered.peers(self._cfg.peer_port)
        self._gateway.peers.set_peers(peers)
        self._gateway.session_sharing.set_regions(self.registered.regions())
        versions = self._gateway.fleet.registry.software_versions()
        self._gateway.streams.observe(versions)

    def _remove_upstream(self, upstream_id, now, held):
        self._gateway.fleet.registry.remove(upstream_id, now)
        self._log.event('upstream.gone', upstream=upstream_id, held=held)

    def _apply_instance(self, item):
        if item.value is None:
            self._remove_instance(item.key)
            return
        try:
            entry = _registration.read_entry(item.value)
        except _store.EntryInvalid as exc:
            self._log.event(
                'instance.invalid', key=item.key, reason=exc.message
            )
            return
        if self.registered.add(item.key, entry):
            self._log.event('instance.added', key=item.key)

    def _remove_unlisted_instance(self, key, now):
        if not self.registered.held(key, now):
            self._remove_instance(key)

    def _remove_instance(self, key):
        if self.registered.remove(key):
            self._log.event('instance.gone', key=key)


def _ignore(_item):
    pass


def _is_role_change(item):
    return item.key.startswith(_role_orders.ROLE_CHANGE_PREFIX)
