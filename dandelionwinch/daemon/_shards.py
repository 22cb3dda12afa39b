"""Shards of upstreams: their leases, and role changes under them."""

import asyncio
import time

from dandelionwinch.daemon import _periodic
from dandelionwinch import errors
from dandelionwinch import orders
from dandelionwinch import placement
from dandelionwinch import settings
from dandelionwinch import utils

# Demand that a peer sent longer ago than this is not counted.
DEMAND_MAX_AGE_S = 10.0


class Shards:
    """Holds shard leases and carries out role changes under them.

    A shard has the upstreams of one model in one data centre. For each shard
    one usable instance there, chosen by rendezvous hashing, tries to acquire
    the lease. Its holder alone sends orders to the shard's upstreams.
    """

    def __init__(self, core):
        self._core = core
        self._shard_leases = {}
        self._frozen_reasons = {}
        self._executors = {}

    def coroutines(self):
        """Returns the coroutines of the background tasks."""
        timing = self._core.cfg.timing
        rng = self._core.rng
        period_s = timing.lease_s / orders.RENEWALS_PER_LEASE
        yield _periodic.every(period_s, self._renew_leases, rng)
        yield _periodic.every(timing.load_s, self._advance_all_orders, rng)

    def _pools(self):
        return [p for p in self._core.catalog.all('pool') if p.model]

    def _pools_by_shard(self):
        """Returns the pools of each shard, by its name.

        The pools of a shard have one model and data centre.
        """
        shards = {}
        for pool in self._pools():
            shards.setdefault(orders.shard_of(pool), []).append(pool)
        return shards

    def shard_lease(self, shard_name):
        """Returns the orders.ShardLease of a shard, or None."""
        return self._shard_leases.get(shard_name)

    def frozen_reason(self, upstream_name):
        """Returns why an upstream is frozen, or an empty string if it is not.

        A frozen upstream gets no new order at present, for example because
        this instance does not hold the shard lease or an order is open. It
        still gets jobs, unless there is a hold on it, too.
        """
        return self._frozen_reasons.get(upstream_name, '')

    async def _renew_leases(self):
        core = self._core
        now = core.now()
        for name, pools in self._pools_by_shard().items():
            lease = self._shard_leases.get(name)
            if lease is not None and lease.shard is not None:
                await self._renew_or_release(name, pools, lease)
            elif self._should_acquire(name, pools[0].data_centre, now):
                await self._acquire_lease(name, pools)
        held = sum(
            1
            for lease in self._shard_leases.values()
            if lease.is_held(core.now())
        )
        core.metrics.shards.set(held)
        core.metrics.frozen.set(
            len([r for r in self._frozen_reasons.values() if r])
        )

    def _should_acquire(self, name, data_centre, now):
        """Tells whether this instance is ready and chosen by hashing."""
        core = self._core
        if core.members.local.leaving or core.unready_reason():
            return False
        usable = core.members.usable(now)
        nearby = [
            peer for peer in usable if peer.data_centre == data_centre
        ] or usable
        if not nearby:
            return False
        best = max(nearby, key=lambda peer: utils.stable_hash(name, peer.name))
        return best is core.members.local

    async def _renew_or_release(self, name, pools, lease):
        if self._core.members.local.leaving:
            await self._release_lease(name, lease)
        else:
            await self._acquire_lease(name, pools)

    async def _release_lease(self, name, lease):
        reason = 'an order is being sent, or the store was not reached'
        try:
            released = await self._core.run_program(lease.release())
        except errors.MalformedValue as exc:
            released = False
            reason = exc.message
        if released:
            self._core.event('shard.released', name)
        else:
            self._core.event('shard.not_released', name, reason)

    async def _acquire_lease(self, name, pools):
        """Acquires or renews a lease; a malformed record freezes the shard."""
        try:
            await self._acquire_or_renew(name, pools)
        except errors.MalformedValue as exc:
            self._freeze(self._upstreams_of(pools), exc.message)
            self._core.finding('shard.malformed', name, exc.message)

    def _upstreams_of(self, pools):
        return [
            upstream
            for pool in pools
            for upstream in self._core.catalog.upstreams_of(pool.name)
        ]

    def _freeze(self, upstreams, reason):
        for upstream in upstreams:
            self._frozen_reasons[upstream.name] = reason

    async def _acquire_or_renew(self, name, pools):
        core = self._core
        lease = self._shard_leases.get(name)
        if lease is None:
            lease = orders.ShardLease(
                name, core.name, core.incarnation, core.cfg.timing
            )
            self._shard_leases[name] = lease
        held = lease.shard is not None
        upstreams = self._upstreams_of(pools)
        fenced = all(upstream.checks_fencing for upstream in upstreams)
        result = await core.run_program(
            lease.acquire_or_renew(fenced, core.departures.is_gone)
        )
        match result:
            case orders.Owned() if held:
                # The reasons of open orders stay.
                return
            case orders.Owned(shard=shard):
                core.event('shard.taken', name, f'epoch {shard.epoch}')
                frozen_reason = ''
            case orders.Lost(reason=reason):
                core.event('shard.lost', name, reason)
                frozen_reason = reason
            case orders.Waiting(reason=reason):
                frozen_reason = reason
        self._freeze(upstreams, frozen_reason)

    async def _advance_all_orders(self):
        core = self._core
        for pool in self._pools():
            lease = self._shard_leases.get(orders.shard_of(pool))
            if lease is None or not lease.is_held(core.now()):
                continue
            upstreams = core.catalog.upstreams_of(pool.name)
            await asyncio.gather(
                *(
                    self._advance_upstream(lease, upstream)
                    for upstream in upstreams
                )
            )
            # The lease may have been lost while the orders were advanced.
            if lease.shard is None:
                continue
            if not any(lease.shard.open_order(u.name) for u in upstreams):
                await self._plan_role_change(lease, pool, upstreams)

    async def _advance_upstream(self, lease, upstream):
        """Advances the open order, or orders the configured role."""
        if lease.shard is None:
            return
        desired = self._configured_role(lease.shard, upstream)
        try:
            await self._run_step(lease, upstream, desired)
        except errors.MalformedValue as exc:
            self._freeze([upstream], exc.message)

    async def _run_step(self, lease, upstream, desired):
        """Runs one step of the OrderExecutor and logs its event."""
        progress = await self._run(
            self._executor(lease).step(upstream, desired),
            lease,
            upstream,
        )
        # The reason of a closed order is its final state, not a reason to
        # wait.
        closed = progress.event == 'order.closed'
        self._frozen_reasons[upstream.name] = '' if closed else progress.reason
        if progress.event:
            self._core.event(
                progress.event, progress.order_id, progress.reason
            )

    def _executor(self, lease):
        executor = self._executors.get(lease)
        if executor is None:
            # Also covers the longest life of a connection on which an order
            # may be in flight; see membership.Departures.
            max_transit_s = self._core.cfg.timing.gone_margin_s
            executor = orders.OrderExecutor(lease, max_transit_s)
            self._executors[lease] = executor
        return executor

    async def _run(self, program, lease, upstream):
        """Runs a program of the OrderExecutor and performs its effects."""
        core = self._core

        async def handle(request):
            match request:
                case orders.PollUpstream():
                    return _status_of(await core.load_reports.poll(upstream))
                case orders.HoldUpstream(order_id=order_id):
                    return await core.holds.hold(upstream.name, order_id)
                case orders.ReleaseHold(order_id=order_id):
                    return await core.holds.release(upstream.name, order_id)
                case orders.SendOrder(order=order):
                    return await self._send(lease, upstream, order)
            return await core.run_effect(request)

        return await core.run_program(program, handle)

    def _configured_role(self, shard, upstream):
        """Returns the DesiredRole of the configuration, None without a change.

        Nothing is ordered as long as the present role of the upstream is
        unknown.
        """
        core = self._core
        last = shard.orders.get(upstream.name)
        revision = core.documents.revision_of(f'upstream/{upstream.name}')
        if upstream.state is settings.UpstreamState.RETIRED:
            return None
        # An order was already made at this revision of the document. So a
        # role that a plan ordered since is not changed back.
        if last is not None and last.source >= revision:
            return None
        report = core.load_reports.latest(upstream.name)
        if report is None or report.message.failed or not report.message.role:
            return None
        if report.message.role == upstream.role:
            return None
        return self._desired_role(shard, upstream, upstream.role)

    def _desired_role(self, shard, upstream, role):
        """Returns a DesiredRole at the current revision of the document."""
        revision = self._core.documents.revision_of(
            f'upstream/{upstream.name}'
        )
        # The order gets the next epoch when it is written.
        order_id = f'{upstream.name}-{shard.epoch + 1}'
        return orders.DesiredRole(str(role), revision, order_id)

    async def _send(self, lease, upstream, order):
        """Sends an order; returns the reply to orders.SendOrder."""
        core = self._core

        def send():
            # Checked in the worker thread, right before sending, as the
            # lease may end while the call waits for a thread.
            if time.monotonic() >= lease.expires_at:
                return None
            return core.upstreams.send_order(upstream.address, order)

        if not lease.begin_send():
            return None
        try:
            answer = await core.run_blocking(send)
        finally:
            lease.end_send()
        return None if answer is None else answer.accepted

    async def _plan_role_change(self, lease, pool, upstreams):
        """Orders the role change that the policy of a pool plans, if any.

        Nothing is planned for a single upstream, or until there is a report
        of every one.
        """
        core = self._core
        now = core.now()
        estimates = [core.scheduler.estimates.get(u.name) for u in upstreams]
        estimates = [e for e in estimates if e is not None and e.report]
        if len(estimates) < len(upstreams) or len(estimates) < 2:
            return
        change = placement.plan_roles(
            estimates,
            self._demand_rates(pool, now),
            core.catalog.policy_of(pool),
            # No upstream is changing its role, as no order is open; see
            # _advance_all_orders.
            0,
            now,
        )
        if change is None:
            return
        upstream = core.catalog.get('upstream', change.upstream)
        core.event('role.planned', upstream.name, change.terms)
        desired = self._desired_role(lease.shard, upstream, change.role)
        await self._run_step(lease, upstream, desired)

    def _demand_rates(self, pool, now):
        """Returns the demand on a pool at all instances.

        Returns:
            List of two pairs, for the short and the long window. A pair has
            the prefill and the decode stage's tokens per second.
        """
        own = self._core.scheduler.demands(now).get(pool.name)
        found = [own] if own else []
        for at, demands in self._core.heartbeats.demands.values():
            if now - at < DEMAND_MAX_AGE_S and pool.name in demands:
                found.append(demands[pool.name])
        return [
            tuple(
                sum(rates[window][stage] for rates in found)
                for stage in (0, 1)
            )
            for window in (0, 1)
        ]

    async def release_all(self):
        """Releases the leases of all shards that this instance holds."""
        for name, lease in self._shard_leases.items():
            if lease.shard is not None:
                await self._release_lease(name, lease)


def _status_of(load):
    if load is None:
        return None
    jobs = load.running + load.waiting
    return orders.UpstreamStatus(
        load.order_id, load.applying_order, jobs, load.epoch
    )
