"""Holds the lease for orders and gives them to engines."""

import asyncio
import traceback

from dandelionwinch.control import _store
from dandelionwinch import dispatch
from dandelionwinch import leadership

HOLDER_KEY = 'dandelionwinch/orders/holder'
CHANGE_PREFIX = 'dandelionwinch/orders/changes/'
SIZE_KEY = 'dandelionwinch/capacity'
ANNOUNCE_S = 1.2
CHANGE_S = 16.0
SETTLE_S = 5.0
# By instances, so that few of many try at once.
TAKE_SPREAD_S = 0.35
RETRY_S = 1.0
MAX_VIEW_AGE_S = 4.5


class OrderLeader:
    """A task that tries to become the holder and acts while it is.

    Its clock must also count suspension of the machine.
    """

    __slots__ = (
        '_clock',
        '_gateway',
        '_lease',
        '_leadership',
        '_log',
        '_loop',
        '_name',
        '_next_at',
        '_rng',
        '_sender',
        '_store',
        '_sync',
        '_task',
        '_ttl_s',
    )

    def __init__(
        self, loop, store, sync, served, sender, log, rng, cfg, clock
    ):
        self._loop = loop
        self._store = store
        self._sync = sync
        self._gateway = served
        self._sender = sender
        self._clock = clock
        self._log = log
        self._rng = rng
        self._name = cfg.instance
        self._ttl_s = max(leadership.LEASE_S, cfg.min_lease_s)
        self._leadership = leadership.Leadership(cfg.handover_s)
        self._lease = 0
        self._next_at = 0.0
        self._task = None

    def start(self):
        """Starts the task."""
        self._task = self._loop.create_task(self._run())

    def close(self):
        """Stops the task; the lease lapses."""
        if self._task is not None:
            self._task.cancel()

    async def resign(self):
        """Stops the task and ends the lease, as before a planned stop."""
        self.close()
        lease, self._lease = self._lease, 0
        self._leadership.lost()
        if lease:
            await self._end(lease)

    async def _run(self):
        while True:
            try:
                if self._leadership.held:
                    await self._renew()
                    await self._keep_size()
                    await self._act()
                    await asyncio.sleep(leadership.RENEW_INTERVAL_S)
                else:
                    await self._take()
            except _store.StoreFailed as exc:
                self._log.event('orders.store_failed', reason=str(exc))
                await asyncio.sleep(RETRY_S)
            except Exception:
                # Without this task no role changes until the next start.
                self._log.event('orders.fault', trace=traceback.format_exc())
                await asyncio.sleep(RETRY_S)

    async def _take(self):
        """Tries to become the holder once nobody is."""
        spread_s = TAKE_SPREAD_S * max(1, len(self._sync.members.present))
        await asyncio.sleep(RETRY_S + spread_s * self._rng.random())
        if not self._sync.ready or self._sync.holder:
            return
        if self._lease:
            lease, self._lease = self._lease, 0
            await self._end(lease)
        asked_at = self._clock()
        self._lease = await self._store.lease(self._ttl_s)
        try:
            token = await self._store.put(
                HOLDER_KEY, self._name.encode(), self._lease, revision=0
            )
        except _store.Conflict:
            await self._end(self._lease)
            self._lease = 0
            return
        self._leadership.acquired(token, asked_at)
        self._log.event('orders.held', token=token)

    async def _end(self, lease):
        try:
            await self._store.end(lease)
        except _store.StoreFailed as exc:
            self._log.event('orders.lease_not_ended', reason=str(exc))

    async def _renew(self):
        asked_at = self._clock()
        try:
            await self._store.keep(self._lease)
        except _store.LeaseEnded:
            self._lose('the lease has ended')
            return
        if self._sync.holder not in ('', self._name):
            self._lose('another instance holds it')
        elif self._sync.age_s() <= MAX_VIEW_AGE_S:
            self._leadership.renewed(asked_at)

    def _lose(self, reason):
        self._log.event('orders.lost', reason=reason)
        self._leadership.lost()

    async def _keep_size(self):
        """Keeps the capacity of all instances for those that start."""
        members = self._sync.members
        capacity = round(members.capacity(self._loop.time()))
        if self._leadership.held and members.is_outdated(capacity):
            await self._store.put(SIZE_KEY, str(capacity).encode())
            members.note(capacity)

    async def _act(self):
        """Gives the next order, if one is due and allowed."""
        now = self._loop.time()
        if now < self._next_at or not self._may_order():
            return
        change = self._plan(now)
        if change is None:
            return
        self._next_at = now + SETTLE_S
        upstream = self._gateway.fleet.registry.get(change.upstream_id)
        await self._store.put(
            CHANGE_PREFIX + change.upstream_id,
            change.role.value.encode(),
            self._lease,
        )
        self._gateway.begin_role_change(change.upstream_id, CHANGE_S)
        await asyncio.sleep(ANNOUNCE_S)
        await self._renew()
        if self._gateway.fleet.registry.serves(upstream):
            await self._order(upstream, change)
        self._next_at = self._loop.time() + SETTLE_S

    def _plan(self, now):
        fleet = self._gateway.fleet
        for service in fleet.table.services.values():
            if service.engine is None:
                continue
            engines = [
                b
                for b in fleet.registry.serving(service.name)
                if b.role_change_until <= now
            ]
            change = dispatch.plan_role(
                engines, self._gateway.placer.peak_decodes(now)
            )
            if change is not None:
                return change
        return None

    async def _order(self, upstream, change):
        sent = await self._sender.send(
            upstream, change, self._leadership.token, self._may_order
        )
        self._log.event(
            'orders.sent',
            upstream=change.upstream_id,
            role=change.role.value,
            token=self._leadership.token,
            status=sent.status,
            reason=sent.reason,
        )

    def _may_order(self):
        return self._leadership.may_order(self._clock())
