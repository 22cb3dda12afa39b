"""Sends role orders while the lease is held."""

import asyncio

from dandelionwinch import dispatch

ROLE_CHANGE_PREFIX = 'dandelionwinch/orders/changes/'
CAPACITY_KEY = 'dandelionwinch/capacity'
# Time for the other instances to read an announced role change.
ANNOUNCE_WAIT_S = 1.2
# How long an engine is excluded after an announced role change, unless its
# entry has the new role before.
ROLE_CHANGE_S = 16.0
# Minimum time between two orders of the holder, and that where capacity is
# ordered: the roles of new engines must follow within seconds, as half of the
# engines are replaced at once at the start.
MIN_ORDER_INTERVAL_S = 5.0
SCALED_ORDER_INTERVAL_S = 1.0


class RoleOrders:
    """The duty of ordering roles of engines.

    Args:
        loop: Event loop.
        store: Store.
        sync: StoreSync, which follows the instances and role changes.
        gateway: Gateway whose engines get the orders.
        sender: OrderSender.
        log: EventLog.

    Attributes:
        name: Name of the duty.
    """

    __slots__ = (
        '_gateway',
        '_log',
        '_loop',
        '_next_order_at',
        '_sender',
        '_store',
        '_stored_under',
        '_sync',
    )

    name = 'roles'

    def __init__(self, loop, store, sync, gateway, sender, log):
        self._loop = loop
        self._store = store
        self._sync = sync
        self._gateway = gateway
        self._sender = sender
        self._log = log
        # Token under which the total capacity was stored last.
        self._stored_under = 0
        self._next_order_at = 0.0

    async def perform(self, authority):
        """Stores what is due, and sends the next order if one is due."""
        await self._store_capacity(authority)
        await self._announce_again(authority)
        await self._send_next_order(authority)

    async def _store_capacity(self, authority):
        """Stores the total capacity for instances that start later."""
        registered = self._sync.registered
        capacity = round(registered.capacity(self._loop.time()))
        first = self._stored_under != authority.token
        if authority.held and (first or registered.should_store(capacity)):
            await self._store.put(CAPACITY_KEY, str(capacity).encode())
            self._stored_under = authority.token
            registered.set_stored_capacity(capacity)

    async def _announce_again(self, authority):
        """Writes announced role changes that a restored store has lost."""
        lost = self._sync.lost_role_changes
        while lost and authority.held:
            upstream_id, (until, role) = lost.popitem()
            if until > self._loop.time():
                await self._store.put(
                    ROLE_CHANGE_PREFIX + upstream_id,
                    role.encode(),
                    authority.lease,
                )

    async def _send_next_order(self, authority):
        """Announces and sends the next order, if one is due and allowed."""
        now = self._loop.time()
        if now < self._next_order_at or not authority.may_send_order():
            return
        role_change = self._plan_role_change(now)
        if role_change is None:
            return
        self._next_order_at = now + MIN_ORDER_INTERVAL_S
        upstream = self._gateway.fleet.registry.get(role_change.upstream_id)
        await self._store.put(
            ROLE_CHANGE_PREFIX + role_change.upstream_id,
            role_change.role.value.encode(),
            authority.lease,
        )
        self._gateway.begin_role_change(role_change.upstream_id, ROLE_CHANGE_S)
        await asyncio.sleep(ANNOUNCE_WAIT_S)
        # The wait has used up most of leadership.RENEWAL_VALID_S.
        await authority.renew()
        if self._gateway.fleet.serves(upstream):
            await self._send(upstream, role_change, authority)
        interval_s = MIN_ORDER_INTERVAL_S
        if self._is_scaled(upstream):
            interval_s = SCALED_ORDER_INTERVAL_S
        self._next_order_at = self._loop.time() + interval_s

    def _is_scaled(self, upstream):
        """Tells whether the upstreams of its service come and go on order."""
        table = self._gateway.fleet.table
        service = table.services.get(upstream.entry.service)
        return service is not None and service.scaling is not None

    def _plan_role_change(self, now):
        fleet = self._gateway.fleet
        for service in fleet.table.services.values():
            if service.engine is None:
                continue
            engines = [
                upstream
                for upstream in fleet.registry.in_service(service.name)
                if upstream.role_change_until <= now
            ]
            role_change = dispatch.plan_role(
                engines, self._gateway.placer.peak_decodes(now)
            )
            if role_change is not None and self._may_order(role_change):
                return role_change
        return None

    def _may_order(self, role_change):
        """Tells whether the engine of a role change may get an order now.

        Engines that are held off count in the plan, as they come back, but
        get no order. Nor does one that is about to leave, by its entry, its
        own word or that of another instance.
        """
        fleet = self._gateway.fleet
        upstream = fleet.registry.get(role_change.upstream_id)
        told_leaving = upstream.told_leaving_until > self._loop.time()
        return fleet.serves(upstream) and not told_leaving

    async def _send(self, upstream, role_change, authority):
        sent = await self._sender.send(
            upstream, role_change, authority.token, authority.may_send_order
        )
        self._log.event(
            'orders.sent',
            upstream=role_change.upstream_id,
            role=role_change.role.value,
            token=authority.token,
            status=sent.status,
            reason=sent.reason,
        )
