"""Instances that the others do not hear for 3 s, and that go on."""

import asyncio
import random

import prometheus_client
import pytest

from dandelionwinch import capacity
from dandelionwinch.control import _duty_calls
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _workers
from dandelionwinch.tests import relay_harness
from dandelionwinch.tests import test_capacity_duty
from dandelionwinch.tests import test_control
from dandelionwinch.tests import test_fair_sharing
from dandelionwinch.tests import test_lease_holder
from dandelionwinch.tests import test_limit_sharing
from dandelionwinch.tests import test_usage
from dandelionwinch.tests import usage_harness
from dandelionwinch.tests import virtual

SILENT_S = 3.0
# Earliest time after its last renewal but one at which an entry lapses.
LAPSED_S = 2.7


@pytest.mark.parametrize('begun_s', [2.0, 3.5, 4.0])
@pytest.mark.parametrize('back_s', [0.0, 2.5])
def test_requests_of_a_silent_instance_are_reported(begun_s, back_s):
    """Its entry lapsed, and its window was reported without its last total.

    Up to 10 of its requests were missing in the report.
    """

    async def scenario(site):
        loop = asyncio.get_running_loop()
        await site.serve(10.0 + begun_s)
        site.network.cut_off.add(site.addresses['i4'])
        loop.call_later(LAPSED_S, site.registered.discard, 'i4')
        loop.call_later(SILENT_S, site.network.cut_off.clear)
        loop.call_later(SILENT_S + back_s, site.registered.add, 'i4')
        await site.serve(14.0)
        await test_usage.settle(site)
        site.check(test_usage.full_windows(site))

    usage_harness.run(scenario)


def shares(site):
    """Returns the share of a limit that each instance uses now."""
    now = asyncio.get_running_loop().time()
    return {n: site.upstream(n).rate_limit.share(now) for n in site.links}


@pytest.mark.parametrize('wanted', ['even', 'one_has_most', 'few_have_all'])
@pytest.mark.parametrize('grants', [True, False])
def test_shares_of_a_limit_never_exceed_it_while_one_is_silent(wanted, grants):
    """A silent granting instance granted itself what others had used.

    These used even parts meanwhile, and all together 1.83 times the limit.
    """

    async def scenario():
        rates = getattr(test_limit_sharing, wanted)(6)
        site = test_limit_sharing.Site(6, rates, 8.0)
        await asyncio.sleep(8.0)
        found = shares(site)
        name = site.sharings['i0']._owner(test_limit_sharing._key(site))
        if not grants:
            del found[name]
            name = max(found, key=found.get)
        site.network.cut_off.add(site.addresses[name])
        loop = asyncio.get_running_loop()
        loop.call_later(SILENT_S, site.network.cut_off.clear)
        totals = []
        while loop.time() < 8.0 + 2 * SILENT_S:
            await asyncio.sleep(0.05)
            totals.append(sum(shares(site).values()))
        site.close()
        return max(totals), site.sent(12.0, 14.0) / 2.0

    total, used_after = virtual.run(scenario())
    assert total <= 1.01
    assert used_after >= 0.7 * 8.0


def test_the_holder_of_the_duties_stays_while_it_is_silent():
    """Whether it is the holder is asked of the store alone."""

    async def scenario(world):
        world.items.remove(_lease_holder.HOLDER_KEY)
        test_control.put_config(world.items, 1)
        loop = asyncio.get_running_loop()
        holders, held = [], []
        for node in world.nodes.values():
            calls = _duty_calls.DutyCalls(
                loop,
                test_lease_holder.Api(),
                node.log,
                prometheus_client.CollectorRegistry(),
            )
            holder = _lease_holder.LeaseHolder(
                loop,
                node.store,
                node.sync,
                _workers.DutyRunner(loop, [], calls, node.log),
                node.log,
                random.Random(node.name),
                node.cfg,
                loop.time,
            )
            holder.start()
            holders.append(holder)
        await asyncio.sleep(10.0)
        (name,) = [h._name for h in holders if h.token]
        world.network.cut_off.add(world.nodes[name].addr)
        for _step in range(int(2 * SILENT_S / 0.1)):
            await asyncio.sleep(0.1)
            held.append([h._name for h in holders if h.may_act(h.token)])
            if len(held) == SILENT_S / 0.1:
                world.network.cut_off.clear()
        acquired = [
            node.log.names().count('orders.held')
            for node in world.nodes.values()
        ]
        for holder in holders:
            holder.close()
        return held, name, sum(acquired)

    held, name, acquired = relay_harness.run(scenario, 6, 2)
    assert acquired == 1
    assert held == [[name]] * len(held)


@pytest.mark.parametrize('silent', [0, 5])
@pytest.mark.parametrize('demands', [[1.5] * 6, [0.1] * 5 + [8.0]])
def test_no_capacity_is_ordered_as_an_instance_is_silent(demands, silent):
    """The demand is scaled for those that are not heard, and sinks slowly."""

    async def scenario(holder):
        test_control.put_instances(holder.items, 6)
        site = test_capacity_duty.Site(6, {})
        for link, work in zip(site.links, demands, strict=True):
            link._meter.demands = {'s': capacity.Demand(work, 0.0)}
        holder.gateway.demand = site.links[0]
        await holder.perform(100.0)
        before = list(holder.platform.calls)
        site.network.cut_off.add((f'10.0.0.{silent}', 7000))
        await holder.perform(SILENT_S)
        site.network.cut_off.clear()
        await holder.perform(20.0)
        site.close()
        assert before
        assert holder.platform.calls == before

    test_capacity_duty.run_holder(scenario)


@pytest.mark.parametrize('silent', [0, 3])
def test_shares_of_teams_stay_while_an_instance_is_silent(silent):
    """Counts lapsed after 3.2 s, and came 4 s after those before the silence.

    With the holder silent, no team had to give way for a second.
    """
    large_at = {'large': 3} | dict.fromkeys(test_fair_sharing.TEAMS[1:], 2)

    async def scenario(site):
        await site.run(8, large_at)
        site.network.cut_off.add(site.addresses[f'i{silent}'])
        for second in range(6):
            await site.run(1, large_at)
            if second == SILENT_S - 1:
                site.network.cut_off.clear()
            assert all(s.excess('s', 'large') for s in site.sharings)

    test_fair_sharing.run_site(scenario, 6)
