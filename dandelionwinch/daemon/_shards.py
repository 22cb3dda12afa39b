"""Leads shards of runners: leases, orders and role changes."""

import asyncio
import time

import attrs

from dandelionwinch.daemon import _periodic
from dandelionwinch import orders
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement
from dandelionwinch import settings
from dandelionwinch import utils

HOLD_TTL_S = 10.0
SEND_MARGIN_S = 3.0
STEPS_PER_LEASE = 4
DEMAND_LIFE_S = 10.0


@attrs.frozen
class _Held:
    """How a hold stands: who may live, and who confirmed it."""

    may_live: list
    reports: dict


class Shards:
    """Owns the leases that this instance holds or would take."""

    def __init__(self, core):
        self._core = core
        self._authorities = {}
        self._reasons = {}
        self._drains = {}

    def runs(self):
        """Returns the coroutines of this task."""
        timing = self._core.cfg.timing
        rng = self._core.rng
        period_s = timing.lease_s / STEPS_PER_LEASE
        yield _periodic.every(period_s, self._lead, rng)
        yield _periodic.every(timing.load_s, self._carry_out_all, rng)
        yield _periodic.every(1.0, self._renew_drains, rng)

    def _pools(self):
        return [p for p in self._core.catalog.all('pool') if p.model]

    def authority(self, shard_name):
        """Returns the Authority over a shard, if there is one."""
        return self._authorities.get(shard_name)

    def frozen_reason(self, runner_name):
        """Returns why a runner takes no orders now, or an empty text."""
        return self._reasons.get(runner_name, '')

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
        if core.members.me.leaving or core.unready_reason():
            return False
        usable = core.members.usable(now)
        near = [k for k in usable if k.place == pool.place] or usable
        if not near:
            return False
        best = max(near, key=lambda k: utils.stable_hash(name, k.name))
        return best is core.members.me

    async def _renew_or_release(self, name, pool, authority, now):
        if self._core.members.me.leaving:
            await self._core.run(authority.release())
            self._core.event('shard.released', name)
        else:
            await self._acquire(name, pool)

    async def _acquire(self, name, pool):
        core = self._core
        authority = self._authorities.get(name)
        if authority is None:
            authority = orders.Authority(
                name, core.name, core.incarnation, core.cfg.timing
            )
            self._authorities[name] = authority
        held = authority.shard is not None
        runners = core.catalog.runners_of(pool.name)
        fenced = all(runner.checks_fencing for runner in runners)
        result = await core.run(
            authority.acquire(fenced, core.departures.is_gone)
        )
        match result:
            case orders.Owned(shard=shard) if not held:
                core.event('shard.taken', name, f'epoch {shard.epoch}')
            case orders.Lost(reason=reason):
                core.event('shard.lost', name, reason)
        reason = '' if authority.shard else authority.wait_reason
        for runner in runners:
            self._reasons[runner.name] = reason

    async def _carry_out_all(self):
        core = self._core
        for pool in self._pools():
            authority = self._authorities.get(orders.shard_of(pool))
            if authority is None or not authority.holds(core.now()):
                continue
            runners = core.catalog.runners_of(pool.name)
            await asyncio.gather(
                *(self._carry_out(authority, runner) for runner in runners)
            )
            if not any(authority.shard.open_order(r.name) for r in runners):
                await self._plan(authority, pool, runners)

    async def _carry_out(self, authority, runner):
        shard = authority.shard
        if shard is None:
            return
        order = shard.open_order(runner.name)
        if order is not None:
            await self._finish(authority, runner, order)
            return
        wanted = self._wanted_by_operators(shard, runner)
        if wanted is not None:
            await self._write(authority, wanted)

    def _wanted_by_operators(self, shard, runner):
        core = self._core
        last = shard.orders.get(runner.name)
        source = core.documents.revision_of(f'runner/{runner.name}')
        if runner.state is settings.RunnerState.RETIRED:
            return None
        if last is not None and last.source >= source:
            return None
        seen = core.loads.latest(runner.name)
        if seen is None or seen.message.failed or not seen.message.role:
            return None
        if seen.message.role == runner.role and last is None:
            return None
        if seen.message.role == runner.role:
            return None
        return self._order(shard, runner, runner.role, source)

    def _order(self, shard, runner, role, source):
        suffix = utils.stable_hash(runner.name, shard.renewals, shard.epoch)
        return orders.Order(
            id=f'{runner.name}-{shard.epoch}-{suffix:016x}',
            epoch=shard.epoch,
            runner=runner.name,
            role=str(role),
            source=source,
        )

    async def _write(self, authority, order):
        def add(shard):
            if shard.open_order(order.runner) is not None:
                return None
            return shard.with_order(order)

        written = await self._core.run(authority.update(add))
        if written is not None:
            self._core.event(
                'order.written', order.id, f'{order.runner} to {order.role}'
            )

    async def _finish(self, authority, runner, order):
        core = self._core
        load = await core.loads.poll(runner)
        if load is not None and load.order_id == order.id:
            if not load.away:
                await self._close(authority, order, orders.OrderState.DONE)
            return
        held = await self._hold(runner.name, order.id)
        running = None if load is None else load.running + load.waiting
        reason = orders.may_send(
            held.may_live, held.reports, running, core.now(), SEND_MARGIN_S
        )
        self._reasons[runner.name] = reason
        if reason:
            core.event('order.waits', order.id, reason)
            return
        await self._send(authority, runner, order)

    async def _hold(self, runner_name, order_id):
        core = self._core
        asked_at = core.now()
        request = peer_pb2.HoldRequest(
            runner=runner_name, order_id=order_id, ttl_s=HOLD_TTL_S
        )
        own = core.loads.hold(request)
        replies = await core.peers.all('Hold', request)
        replies[core.name] = own
        reports = {
            name: orders.DrainReport(name, reply.jobs, asked_at, HOLD_TTL_S)
            for name, reply in replies.items()
            if reply is not None
        }
        names = [k.name for k in core.members.may_live(core.now())]
        return _Held(names, reports)

    async def _send(self, authority, runner, order):
        core = self._core
        sent = attrs.evolve(order, epoch=authority.shard.epoch)

        def send():
            # The lease is checked last, right before the send.
            if time.monotonic() >= authority.until:
                return None
            return core.runners.order(runner.address, sent)

        answer = await core.call(send)
        if answer is None:
            core.event('order.unanswered', order.id, runner.name)
        elif answer.fenced:
            core.event('order.fenced', order.id, runner.name)
        else:
            core.event('order.sent', order.id, runner.name)

    async def _close(self, authority, order, state):
        core = self._core

        def close(shard):
            held = shard.orders.get(order.runner)
            if held is None or held.id != order.id:
                return None
            return shard.with_order(attrs.evolve(held, state=state))

        written = await core.run(authority.update(close))
        if written is None:
            return
        self._reasons[order.runner] = ''
        core.event('order.closed', order.id, str(state))
        await self._release_hold(order.runner, order.id)

    async def _release_hold(self, runner_name, order_id):
        request = peer_pb2.HoldRequest(
            runner=runner_name, order_id=order_id, release=True
        )
        self._core.loads.hold(request)
        await self._core.peers.all('Hold', request)

    async def _plan(self, authority, pool, runners):
        core = self._core
        now = core.now()
        beliefs = [core.work.beliefs.get(r.name) for r in runners]
        beliefs = [b for b in beliefs if b is not None and b.report]
        if len(beliefs) < len(runners) or len(beliefs) < 2:
            return
        change = placement.plan_roles(
            beliefs,
            self._rates(pool, now),
            core.catalog.policy_of(pool),
            0,
            now,
        )
        if change is None:
            return
        runner = core.catalog.get('runner', change.runner)
        source = core.documents.revision_of(f'runner/{runner.name}')
        order = self._order(authority.shard, runner, change.role, source)
        core.event('role.planned', runner.name, change.terms)
        await self._write(authority, order)

    def _rates(self, pool, now):
        own = self._core.work.demands(now).get(pool.name)
        found = [own] if own else []
        for at, demands in self._core.beats.demands.values():
            if now - at < DEMAND_LIFE_S and pool.name in demands:
                found.append(demands[pool.name])
        return [
            tuple(sum(rates[view][side] for rates in found) for side in (0, 1))
            for view in (0, 1)
        ]

    async def hold_for_drain(self, runner_name):
        """Holds a runner everywhere at once, also without the store.

        Returns:
            Names of the live instances that did not confirm it.
        """
        self._drains[runner_name] = self._core.now()
        held = await self._hold(runner_name, f'drain:{runner_name}')
        live = self._core.members.live(self._core.now())
        return [k.name for k in live if k.name not in held.reports]

    async def end_drain(self, runner_name):
        """Takes the hold of a drain back."""
        self._drains.pop(runner_name, None)
        await self._release_hold(runner_name, f'drain:{runner_name}')

    async def _renew_drains(self):
        for name in list(self._drains):
            runner = self._core.catalog.get('runner', name)
            stored = (
                runner is None
                or runner.state is not settings.RunnerState.ACTIVE
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
