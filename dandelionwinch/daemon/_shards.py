"""Leads shards of upstreams: leases, orders and role changes."""

import asyncio
import time

from dandelionwinch.daemon import _periodic
from dandelionwinch import orders
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement
from dandelionwinch import settings
from dandelionwinch import utils

HOLD_TTL_S = 10.0
DEMAND_LIFE_S = 10.0


class Shards:
    """Owns the leases that this instance holds or would take."""

    def __init__(self, core):
        self._core = core
        self._authorities = {}
        self._reasons = {}
        self._drains = {}
        self._conductors = {}

    def runs(self):
        """Returns the coroutines of this task."""
        timing = self._core.cfg.timing
        rng = self._core.rng
        period_s = timing.lease_s / orders.RENEWALS_PER_LEASE
        yield _periodic.every(period_s, self._lead, rng)
        yield _periodic.every(timing.load_s, self._carry_out_all, rng)
        yield _periodic.every(1.0, self._renew_drains, rng)

    def _pools(self):
        return [p for p in self._core.catalog.all('pool') if p.model]

    def authority(self, shard_name):
        """Returns the Authority over a shard, if there is one."""
        return self._authorities.get(shard_name)

    def frozen_reason(self, upstream_name):
        """Returns why an upstream takes no orders now, or an empty text."""
        return self._reasons.get(upstream_name, '')

    async def _lead(self):
        core = self._core
        now = core.now()
        pools = {orders.shard_of(pool): pool for pool in self._pools()}
        for name, pool in pools.items():
            authority = self._authorities.get(name)
            if authority is not None and authority.shard is not None:
                await self._renew_or_release(name, pool, authority, now)
            elif self._should_lead(name, pool, now):
                await self._acquire(name, pool)
        held = sum(
            1 for a in self._authorities.values() if a.holds(core.now())
        )
        core.metrics.shards.set(held)
        core.metrics.frozen.set(len([r for r in self._reasons.values() if r]))

    def _should_lead(self, name, pool, now):
        core = self._core
        if core.members.local.leaving or core.unready_reason():
            return False
        usable = core.members.usable(now)
        near = [
            k for k in usable if k.data_centre == pool.data_centre
        ] or usable
        if not near:
            return False
        best = max(near, key=lambda k: utils.stable_hash(name, k.name))
        return best is core.members.local

    async def _renew_or_release(self, name, pool, authority, now):
        if self._core.members.local.leaving:
            await self._core.run(authority.release())
            self._core.event('shard.released', name)
        else:
            await self._acquire(name, pool)

    async def _acquire(self, name, pool):
        core = self._core
        authority = self._authorities.get(name)
        if authority is None:
            authority = orders.ShardLease(
                name, core.name, core.incarnation, core.cfg.timing
            )
            self._authorities[name] = authority
        held = authority.shard is not None
        upstreams = core.catalog.upstreams_of(pool.name)
        fenced = all(upstream.checks_fencing for upstream in upstreams)
        result = await core.run(
            authority.acquire(fenced, core.departures.is_gone)
        )
        match result:
            case orders.Owned(shard=shard) if not held:
                core.event('shard.taken', name, f'epoch {shard.epoch}')
            case orders.Lost(reason=reason):
                core.event('shard.lost', name, reason)
        reason = '' if authority.shard else authority.wait_reason
        for upstream in upstreams:
            self._reasons[upstream.name] = reason

    async def _carry_out_all(self):
        core = self._core
        for pool in self._pools():
            authority = self._authorities.get(orders.shard_of(pool))
            if authority is None or not authority.holds(core.now()):
                continue
            upstreams = core.catalog.upstreams_of(pool.name)
            await asyncio.gather(
                *(
                    self._carry_out(authority, upstream)
                    for upstream in upstreams
                )
            )
            if not any(authority.shard.open_order(r.name) for r in upstreams):
                await self._plan(authority, pool, upstreams)

    async def _carry_out(self, authority, upstream):
        if authority.shard is None:
            return
        wish = self._wish_of_operators(authority.shard, upstream)
        await self._step(authority, upstream, wish)

    async def _step(self, authority, upstream, wish):
        progress = await self._run(
            self._conductor(authority).step(upstream, wish),
            authority,
            upstream,
        )
        closed = progress.event == 'order.closed'
        self._reasons[upstream.name] = '' if closed else progress.reason
        if progress.event:
            self._core.event(
                progress.event, progress.order_id, progress.reason
            )

    def _conductor(self, authority):
        conductor = self._conductors.get(authority)
        if conductor is None:
            settle_s = self._core.cfg.timing.gone_margin_s
            conductor = orders.OrderExecutor(authority, settle_s)
            self._conductors[authority] = conductor
        return conductor

    async def _run(self, program, authority, upstream):
        core = self._core

        async def handle(request):
            match request:
                case orders.PollUpstream():
                    return _status_of(await core.loads.poll(upstream))
                case orders.HoldUpstream(order_id=order_id):
                    return await self._hold(upstream.name, order_id)
                case orders.ReleaseHold(order_id=order_id):
                    return await self._release_hold(upstream.name, order_id)
                case orders.SendOrder(order=order):
                    return await self._send(authority, upstream, order)
            return await core.run_request(request)

        return await core.run(program, handle)

    def _wish_of_operators(self, shard, upstream):
        core = self._core
        last = shard.orders.get(upstream.name)
        source = core.documents.revision_of(f'upstream/{upstream.name}')
        if upstream.state is settings.UpstreamState.RETIRED:
            return None
        if last is not None and last.source >= source:
            return None
        seen = core.loads.latest(upstream.name)
        if seen is None or seen.message.failed or not seen.message.role:
            return None
        if seen.message.role == upstream.role:
            return None
        return self._wish(shard, upstream, upstream.role)

    def _wish(self, shard, upstream, role):
        source = self._core.documents.revision_of(f'upstream/{upstream.name}')
        order_id = f'{upstream.name}-{shard.epoch + 1}'
        return orders.DesiredRole(str(role), source, order_id)

    async def _hold(self, upstream_name, order_id):
        core = self._core
        asked_at = core.now()
        request = peer_pb2.HoldRequest(
            upstream=upstream_name, order_id=order_id, ttl_s=HOLD_TTL_S
        )
        own = core.loads.hold(request)
        replies = await core.peers.all('Hold', request)
        replies[core.name] = own
        reports = {
            name: orders.DrainReport(name, reply.jobs, asked_at, HOLD_TTL_S)
            for name, reply in replies.items()
            if reply is not None
        }
        names = [k.name for k in core.members.maybe_alive(core.now())]
        return orders.HoldState(tuple(names), reports)

    async def _send(self, authority, upstream, order):
        core = self._core

        def send():
            # The lease is checked last, right before the send.
            if time.monotonic() >= authority.expires_at:
                return None
            return core.upstreams.send_order(upstream.address, order)

        if not authority.begin_send():
            return None
        try:
            answer = await core.call(send)
        finally:
            authority.end_send()
        return None if answer is None else answer.accepted

    async def _release_hold(self, upstream_name, order_id):
        request = peer_pb2.HoldRequest(
            upstream=upstream_name, order_id=order_id, release=True
        )
        self._core.loads.hold(request)
        await self._core.peers.all('Hold', request)

    async def _plan(self, authority, pool, upstreams):
        core = self._core
        now = core.now()
        estimates = [core.scheduler.estimates.get(r.name) for r in upstreams]
        estimates = [b for b in estimates if b is not None and b.report]
        if len(estimates) < len(upstreams) or len(estimates) < 2:
            return
        change = placement.plan_roles(
            estimates,
            self._rates(pool, now),
            core.catalog.policy_of(pool),
            0,
            now,
        )
        if change is None:
            return
        upstream = core.catalog.get('upstream', change.upstream)
        core.event('role.planned', upstream.name, change.terms)
        wish = self._wish(authority.shard, upstream, change.role)
        await self._step(authority, upstream, wish)

    def _rates(self, pool, now):
        own = self._core.scheduler.demands(now).get(pool.name)
        found = [own] if own else []
        for at, demands in self._core.beats.demands.values():
            if now - at < DEMAND_LIFE_S and pool.name in demands:
                found.append(demands[pool.name])
        return [
            tuple(sum(rates[view][side] for rates in found) for side in (0, 1))
            for view in (0, 1)
        ]

    async def hold_for_drain(self, upstream_name):
        """Holds an upstream everywhere at once, also without the store.

        Returns:
            Names of the live instances that did not confirm it.
        """
        self._drains[upstream_name] = self._core.now()
        held = await self._hold(upstream_name, f'drain:{upstream_name}')
        live = self._core.members.live(self._core.now())
        return [k.name for k in live if k.name not in held.reports]

    async def end_drain(self, upstream_name):
        """Takes the hold of a drain back."""
        self._drains.pop(upstream_name, None)
        await self._release_hold(upstream_name, f'drain:{upstream_name}')

    async def _renew_drains(self):
        for name in list(self._drains):
            upstream = self._core.catalog.get('upstream', name)
            stored = (
                upstream is None
                or upstream.state is not settings.UpstreamState.ACTIVE
            )
            if stored:
                # Every instance follows the stored state from now on.
                del self._drains[name]
            else:
                await self.hold_for_drain(name)

    async def release_all(self):
        """Releases every shard that is held."""
        for name, authority in self._authorities.items():
            if authority.shard is not None:
                await self._core.run(authority.release())
                self._core.event('shard.released', name)


def _status_of(load):
    if load is None:
        return None
    jobs = load.running + load.waiting
    return orders.UpstreamStatus(
        load.order_id, load.applying_order, jobs, load.epoch
    )
