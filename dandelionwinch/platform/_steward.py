"""Holds the lease for orders and gives them to engines."""

import asyncio
import json
import time

from dandelionwinch import dispatch
from dandelionwinch import gateway
from dandelionwinch import leadership
from dandelionwinch.platform import _store

HOLDER_KEY = 'dandelionwinch/orders/holder'
CHANGE_PREFIX = 'dandelionwinch/orders/changes/'
ANNOUNCE_S = 1.2
ORDER_TIMEOUT_S = 1.0
CHANGE_S = 16.0
SETTLE_S = 5.0
PATIENCE_S = 3.0
RETRY_S = 1.0
MAX_VIEW_AGE_S = 4.5


def boot_clock():
    """Returns seconds that also count suspension of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Steward:
    """A task that tries to become the holder and acts while it is."""

    __slots__ = (
        '_dialect',
        '_gateway',
        '_lease',
        '_leadership',
        '_log',
        '_loop',
        '_name',
        '_next_at',
        '_rng',
        '_store',
        '_sync',
        '_task',
        '_ttl_s',
    )

    def __init__(self, loop, store, sync, served, log, rng, boot):
        self._loop = loop
        self._store = store
        self._sync = sync
        self._gateway = served
        self._dialect = served.dialect
        self._log = log
        self._rng = rng
        self._name = boot.instance
        self._ttl_s = max(leadership.LEASE_S, boot.least_lease_s)
        self._leadership = leadership.Leadership(boot.turn_s)
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
                    await self._act()
                    await asyncio.sleep(leadership.RENEW_S)
                else:
                    await self._take()
            except _store.StoreFailed as exc:
                self._log.event('orders.store_failed', reason=str(exc))
                await asyncio.sleep(RETRY_S)

    async def _take(self):
        """Tries to become the holder once nobody is."""
        await asyncio.sleep(RETRY_S + PATIENCE_S * self._rng.random())
        if not self._sync.ready or self._sync.holder:
            return
        if self._lease:
            lease, self._lease = self._lease, 0
            await self._end(lease)
        asked_at = boot_clock()
        self._lease = await self._store.lease(self._ttl_s)
        try:
            token = await self._store.put(
                HOLDER_KEY, self._name.encode(), self._lease, revision=0
            )
        except _store.Conflict:
            await self._end(self._lease)
            self._lease = 0
            return
        self._leadership.taken(token, asked_at)
        self._log.event('orders.held', token=token)

    async def _end(self, lease):
        try:
            await self._store.end(lease)
        except _store.StoreFailed as exc:
            self._log.event('orders.lease_not_ended', reason=str(exc))

    async def _renew(self):
        asked_at = boot_clock()
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

    async def _act(self):
        """Gives the next order, if one is due and allowed."""
        now = self._loop.time()
        if now < self._next_at or not self._leadership.may_order(boot_clock()):
            return
        change = self._plan(now)
        if change is None:
            return
        self._next_at = now + SETTLE_S
        belief = self._gateway.fleet.beliefs.get(change.upstream_id)
        await self._store.put(
            CHANGE_PREFIX + change.upstream_id,
            json.dumps({'role': change.role.value}).encode(),
            self._lease,
        )
        self._gateway.changing(change.upstream_id, CHANGE_S)
        await asyncio.sleep(ANNOUNCE_S)
        await self._renew()
        await self._order(belief, change)
        self._next_at = self._loop.time() + SETTLE_S

    def _plan(self, now):
        fleet = self._gateway.fleet
        for service in fleet.table.services.values():
            if service.engine is None:
                continue
            engines = [
                b
                for b in fleet.beliefs.serving(service.name)
                if b.changing_until <= now
            ]
            change = dispatch.plan_role(
                engines, self._gateway.placer.answers(now)
            )
            if change is not None:
                return change
        return None

    async def _order(self, belief, change):
        pool = self._gateway.fleet.pool(belief)
        try:
            accepted = await self._accepted(pool, change.upstream_id)
            if accepted is None:
                self._log_order(change, 0, 'the engine is busy')
                return
            status = await self._send(pool, change, accepted)
            self._log_order(change, status, '')
        except (gateway.NotConnected, gateway.ConnectionLost) as exc:
            self._log_order(change, 0, str(exc))

    async def _accepted(self, pool, upstream_id):
        """Returns the number of orders that an engine has accepted."""
        request = gateway.request_bytes(
            *self._dialect.report(upstream_id), b''
        )
        conn = await pool.take(ORDER_TIMEOUT_S)
        try:
            conn.begin(request)
            body = await _whole(conn)
        finally:
            pool.discard(conn)
        return self._dialect.accepted_orders(body)

    async def _send(self, pool, change, accepted):
        """Sends an order and returns the status of its answer."""
        request = gateway.request_bytes(
            *self._dialect.order(
                change, self._name, self._leadership.token, accepted
            )
        )
        conn = await pool.take(ORDER_TIMEOUT_S)
        try:
            # The last check before the bytes leave; nothing is awaited.
            if not self._leadership.may_order(boot_clock()):
                raise gateway.NotConnected('the lease is not certain')
            conn.begin(request)
            head = await conn.next(ORDER_TIMEOUT_S)
        finally:
            pool.discard(conn)
        return head.status

    def _log_order(self, change, status, reason):
        self._log.event(
            'orders.sent',
            upstream=change.upstream_id,
            role=change.role.value,
            token=self._leadership.token,
            status=status,
            reason=reason,
        )


async def _whole(conn):
    """Returns the body of the next answer."""
    await conn.next(ORDER_TIMEOUT_S)
    body = bytearray()
    while True:
        item = await conn.next(ORDER_TIMEOUT_S)
        if isinstance(item, gateway.End):
            return bytes(body)
        body += item.data
