"""Applies changes of the store to the local instance."""

import asyncio

from dandelionwinch.control import _epoch
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _registered
from dandelionwinch.control import _registration
from dandelionwinch.control import _role_orders
from dandelionwinch.control import _store
from dandelionwinch.control import _usage_duty
from dandelionwinch import leadership
from dandelionwinch import upstreams


class ChangeApplier:
    """What the local instance knows of the store, and what follows from it.

    Args:
        loop: Event loop.
        store_codec: StoreCodec of the entries.
        gateway: Gateway that gets routes, upstreams and the instance count.
        cfg: InstanceConfig of the local instance.
        log: EventLog.
        on_config: Function that is called with each new RouteTable.

    Attributes:
        guard: The DeregistrationGuard.
        holder: Name of the holder of the order lease, or ''.
        holder_revision: Number of the revision of the holder's key, 0
            without a holder.
        last_holder: Name of the last holder that was seen, or ''.
        last_holder_token: Fencing token of that holder, or 0.
        lost_role_changes: Latest time and role of announced role changes
            that a restored store has lost, by upstream.
        on_usage_report: Function that is called with each Item of the report
            of usage.
        registered: The RegisteredInstances.
    """

    __slots__ = (
        '_cfg',
        '_gateway',
        '_log',
        '_loop',
        '_role_changes',
        '_store_codec',
        '_unconfirmed',
        'guard',
        'holder',
        'holder_revision',
        'last_holder',
        'last_holder_token',
        'lost_role_changes',
        'on_config',
        'on_usage_report',
        'registered',
    )

    def __init__(self, loop, store_codec, gateway, cfg, log, on_config):
        self._loop = loop
        self._store_codec = store_codec
        self._gateway = gateway
        self._cfg = cfg
        self._log = log
        self._role_changes = {}
        # Upstreams whose entry may be an older one since a restore.
        self._unconfirmed = set()
        self.guard = upstreams.DeregistrationGuard()
        self.holder = ''
        self.holder_revision = 0
        self.last_holder = ''
        self.last_holder_token = 0
        self.lost_role_changes = {}
        self.registered = _registered.RegisteredInstances(cfg.writes_per_s)
        self.on_config = on_config
        self.on_usage_report = _ignore

    def candidates(self):
        """Returns names of the instances that may follow the last holder.

        They try in this order, which is the same at all instances that know
        the same holder and instances.
        """
        return leadership.candidate_order(
            [entry.name for entry in self.registered.entries.values()],
            self.last_holder,
            self.last_holder_token,
        )

    def known_keys(self):
        """Returns the keys whose deletion a listing would tell of."""
        keys = {
            self._store_codec.key_of(upstream.entry.id)
            for upstream in self._gateway.fleet.registry
            if upstream.gone_at is None
        }
        keys.update(self.registered.entries)
        if self.holder:
            keys.add(_lease_holder.HOLDER_KEY)
        return keys

    async def apply_listing(self, listing, now, restored):
        """Applies a listing of the whole store.

        Args:
            listing: Listing.
            now: Time in seconds.
            restored: Whether it is the first one after a restore.
        """
        items, epoch = listing.items, listing.revision.epoch
        self._gateway.streams.interrupted()
        keys = {item.key for item in items}
        if restored:
            self._store_restored(keys, now)
        if _lease_holder.HOLDER_KEY not in keys:
            self.holder, self.holder_revision = '', 0
        # An announced role change is compared with its engine's entry, so
        # entries come first.
        ordered = sorted(items, key=_is_role_change)
        for item in ordered:
            if not self._is_outdated(item):
                self._apply(item, epoch, now)
        await self.apply_config(items)
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
        self.end_response(now)

    def apply_changes(self, items, epoch, now):
        """Applies changes in their order, except to the configuration.

        Args:
            items: Items or relay.Change items.
            epoch: Epoch of the store that they are of, or None.
            now: Time in seconds.
        """
        gone = []
        for item in items:
            upstream_id = self._store_codec.upstream_of(item.key)
            self._unconfirmed.discard(upstream_id)
            if upstream_id is not None and item.value is None:
                gone.append(upstream_id)
                continue
            gone = [other for other in gone if other != upstream_id]
            self._apply(item, epoch, now)
        if gone:
            self._remove_upstreams(gone, now)

    def _store_restored(self, keys, now):
        """Prepares for the first listing after a restore.

        Args:
            keys: Keys of the listing.
            now: Time in seconds.
        """
        # Upstreams that the store has lost write their entries again, as
        # after an outage; instances do after a pause.
        self.guard.store_failed(now)
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

    def _apply(self, item, epoch, now):
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
                revision = _epoch.Revision(epoch, item.revision)
                self.last_holder_token = revision.fencing_token
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

    async def apply_config(self, items):
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
        self.guard.registered(upstream_id)
        if registry.apply(entry):
            self._gateway.placer.forget(upstream_id)
        if previous is not None and not entry.ready:
            upstream = registry.get(upstream_id)
            if previous.ready:
                self._gateway.upstream_drains(upstream)
            else:
                self._gateway.departures.engine_leaves(upstream)
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
        for upstream_id in self.guard.deregistered(
            upstream_ids, registered, now
        ):
            self._remove_upstream(upstream_id, now, held=False)

    def end_response(self, now, known_at=None):
        """Applies what is due after each response of the store.

        Args:
            now: Time in seconds.
            known_at: Time up to which the changes of the store are known,
                None for `now`.
        """
        known_at = now if known_at is None else known_at
        self._gateway.set_capacity_ratio(
            self.registered.capacity_ratio(self._cfg.capacity, now)
        )
        for upstream_id in self.guard.pop_due(known_at):
            self._remove_upstream(upstream_id, now, held=True)
        for key in self.registered.pop_due(known_at):
            self._remove_instance(key)
        peers = self.registered.peers(self._cfg.peer_port)
        self._gateway.peers.set_peers(peers)
        versions = self._gateway.fleet.registry.take_versions()
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
