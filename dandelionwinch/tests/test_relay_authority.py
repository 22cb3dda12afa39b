"""What other instances tell gives no instance the authority to act."""

import asyncio
import base64
import json
import random

import prometheus_client
import pytest

from dandelionwinch.control import _duty_calls
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _workers
from dandelionwinch.platform import samples
from dandelionwinch import relay
from dandelionwinch.tests import relay_faults
from dandelionwinch.tests import relay_harness
from dandelionwinch.tests import test_lease_holder

# More than it takes to acquire a free lease and to wait for duties.
ACTING_S = 8.0


class Holding:
    """A node of a World with a LeaseHolder that performs a duty."""

    def __init__(self, node):
        loop = asyncio.get_running_loop()
        self.node = node
        self.api = test_lease_holder.Api()
        calls = _duty_calls.DutyCalls(
            loop, self.api, node.log, prometheus_client.CollectorRegistry()
        )
        duties = [test_lease_holder.Reporting(calls)]
        self.holder = _lease_holder.LeaseHolder(
            loop,
            node.store,
            node.sync,
            _workers.DutyRunner(loop, duties, calls, node.log),
            node.log,
            random.Random(1),
            node.cfg,
            loop.time,
        )
        self.holder.start()

    @property
    def calls(self):
        """Number of calls that the duty API accepted."""
        return len(self.api.calls)

    def acts(self):
        """Tells whether it may do anything in the name of the holder."""
        token = self.holder.token
        return self.holder.may_act(token) or self.holder.may_send_order(token)

    def tell(self, sender, before, after, name):
        """Delivers a message that names a holder, '' for none."""
        change = relay.Change(
            _lease_holder.HOLDER_KEY, name.encode() or None, after
        )
        (piece,) = relay.encode((change,))
        text = base64.b64encode(piece).decode()
        now = asyncio.get_running_loop().time()
        epoch = self.node.sync.view.epoch
        message = [epoch, before, after, before, now, 0.0, 0.0, None]
        self.node.gateway.peers.datagram_received(
            json.dumps(['changes', *message, 0, 1, text]).encode(),
            sender.addr,
        )


def run_bare(scenario, *args, **kwargs):
    """Runs a scenario after its instances have started."""

    async def started(world):
        config = samples.config(1, [samples.route()], [samples.service()])
        world.items.put(samples.CONFIG_KEY, config)
        await asyncio.sleep(5.0)
        await scenario(world)

    relay_harness.run(started, *args, **kwargs)


def run(scenario):
    """Runs a scenario with two instances of a data centre that may hold."""

    async def started(world):
        nodes = [n for n in world.of('dc-1') if n.role() == 'listener'][:2]
        holdings = [Holding(node) for node in nodes]
        try:
            await scenario(world, *holdings)
        finally:
            for holding in holdings:
                holding.holder.close()

    run_bare(started, 24, 2)


async def acquire(world, holding):
    """Lets an instance hold the lease, and returns when it acts."""
    world.items.remove(_lease_holder.HOLDER_KEY)
    await asyncio.sleep(ACTING_S)
    assert holding.acts()


def test_a_stale_message_that_names_this_instance_gives_no_authority():
    """It was the holder, is cut off, and is told so again by a late message.

    Fails if the holder's name in the view is taken for the lease.
    """

    async def scenario(world, first, second):
        second.holder.close()
        await acquire(world, first)
        revision = world.items.get(_lease_holder.HOLDER_KEY).revision
        sender = world.watchers('dc-1')[0]
        first.node.store.unavailable = True
        world.network.cut_off.add(first.node.addr)
        world.items.remove(_lease_holder.HOLDER_KEY)
        world.items.put(_lease_holder.HOLDER_KEY, b'other')
        await asyncio.sleep(ACTING_S)
        calls = first.calls
        for _ in range(50):
            number = first.node.sync.view.number
            first.tell(sender, revision - 1, revision, first.node.name)
            first.tell(sender, number, number + 1, first.node.name)
            await asyncio.sleep(0.1)
            assert not first.acts()
        assert first.node.sync.holder == first.node.name
        assert first.calls == calls

    run(scenario)


@pytest.mark.parametrize('name', ['own', ''])
def test_a_message_names_this_instance_or_none_though_another_one_holds(name):
    """Told so, it may ask the store for the lease, which refuses it."""

    async def scenario(world, first, second):
        second.holder.close()
        sender = world.watchers('dc-1')[0]
        told = first.node.name if name else ''
        for _ in range(100):
            number = first.node.sync.view.number
            first.tell(sender, number, number + 1, told)
            world.write()
            assert first.node.sync.holder == told
            await asyncio.sleep(0.1)
            assert not first.acts()
        assert (first.calls, first.holder.token) == (0, 0)
        assert world.items.get(_lease_holder.HOLDER_KEY).value == b'n-0'

    run(scenario)


def test_a_message_that_names_another_one_takes_no_authority():
    """The holder trusts its reads of the key; the other one gets none."""

    async def scenario(world, first, second):
        second.holder.close()
        await acquire(world, first)
        sender = world.watchers('dc-1')[0]
        number = first.node.sync.view.number
        for holding in (first, second):
            holding.tell(sender, number - 1, number, second.node.name)
            holding.tell(sender, number, number + 1, second.node.name)
        assert first.node.sync.holder == second.node.name
        calls = first.calls
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert first.acts()
            assert not second.acts()
        assert first.calls > calls + 3
        assert 'orders.lost' not in first.node.log.names()

    run(scenario)


@pytest.mark.parametrize('loss', [0.0, 0.1])
def test_a_successor_acts_as_soon_as_without_the_relay(loss):
    """All are candidates, and most of them hear of the loss from others."""

    async def scenario(world):
        loop = asyncio.get_running_loop()
        holdings = [Holding(node) for node in world.nodes.values()]
        world.items.remove(_lease_holder.HOLDER_KEY)
        await asyncio.sleep(ACTING_S)
        (holder,) = (holding for holding in holdings if holding.acts())
        holdings.remove(holder)
        holder.holder.close()
        world.kill(holder.node.name)
        began = loop.time()
        while not any(holding.acts() for holding in holdings):
            await asyncio.sleep(0.02)
        # The lease of the killed holder, the wait of the next one, and 1 s.
        assert loop.time() < began + 7.8
        for holding in holdings:
            holding.holder.close()

    run_bare(scenario, 24, 2, loss=loss)


@pytest.mark.parametrize('seed', [1, 2])
def test_random_faults_let_no_two_instances_act(seed):
    """Kills, restores, store refusals; late, lost and doubled datagrams."""

    async def scenario(world):
        holdings = {}

        def watch_over(node):
            holdings[node.name] = Holding(node)

        for node in world.nodes.values():
            watch_over(node)
        world.on_add, world.on_kill = (
            watch_over,
            lambda node: holdings.pop(node.name).holder.close(),
        )
        world.network.doubled, world.network.late = 0.1, 0.05
        world.items.remove(_lease_holder.HOLDER_KEY)
        faults = asyncio.create_task(relay_faults.Run(world).run(25.0))
        acted = 0
        while not faults.done():
            acting = sum(h.acts() for h in holdings.values())
            assert acting <= 1
            acted += acting
            await asyncio.sleep(0.02)
        await faults
        calls = [call for h in holdings.values() for call in h.api.calls]
        tokens = [token for _at, _name, token in sorted(calls)]
        assert tokens == sorted(tokens)
        assert acted > 500
        for holding in holdings.values():
            holding.holder.close()

    run_bare(scenario, 40, 4, seed=seed, loss=0.05)
