"""Following the store, registering and giving orders, in virtual time."""

import asyncio
import json
import random

import attrs
import pytest

from dandelionwinch import addresses
from dandelionwinch import control
from dandelionwinch.control import _order_leader
from dandelionwinch.control import _order_sender
from dandelionwinch import gateway
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual

CFG = _boot.read(samples.settings())
CAPACITY = CFG.capacity
INSTANCE = 'dandelionwinch/instances/'


class Node:
    """One instance's control tasks on a shared store."""

    def __init__(self, items, name='edge-a-1'):
        loop = asyncio.get_running_loop()
        self.items = items
        self.name = name
        self.log = recorder.Recorder()
        self.store = virtual.StorePath(loop, items)
        rng = random.Random(name)
        self.gateway = gateway.Gateway(
            loop, _wire_codec.WireCodec(), self.log, CFG, rng
        )
        self.tables = []
        self.sync = control.StoreSync(
            loop,
            self.store,
            _store_codec.StoreCodec(),
            self.gateway,
            CAPACITY,
            self.log,
            rng,
            self.tables.append,
        )
        self.sync.start()

    def serving(self):
        """Returns ids of the upstreams that take requests."""
        found = self.gateway.fleet.registry.serving('s')
        return sorted(upstream.entry.id for upstream in found)

    def close(self):
        """Stops the tasks."""
        self.sync.close()
        self.gateway.close()


def follow(scenario, setup=lambda items: None):
    """Runs a scenario of one node over a store that was set up."""

    async def run():
        items = kvitems.KvItems()
        setup(items)
        node = Node(items)
        try:
            await scenario(node, items)
        finally:
            node.close()

    virtual.run(run())


def put_upstream(items, name, **changes):
    items.put(samples.entry_key(name), samples.entry(**changes))


def put_config(items, version):
    value = samples.config(version, [samples.route()], [samples.service()])
    items.put(samples.CONFIG_KEY, value)


def test_beliefs_follow_the_store():
    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.serving() == ['i-1', 'i-2', 'i-3']
        assert node.sync.ready
        put_upstream(items, 'i-1', state='draining')
        await asyncio.sleep(1)
        assert node.serving() == ['i-2', 'i-3']
        items.remove(samples.entry_key('i-2'))
        await asyncio.sleep(1)
        assert node.serving() == ['i-3']
        items.put(samples.entry_key('i-3'), b'\xff')
        await asyncio.sleep(1)
        assert node.serving() == []
        put_upstream(items, 'i-3', born=18)
        await asyncio.sleep(1)
        assert node.serving() == ['i-3']

    def setup(items):
        for name in ('i-1', 'i-2', 'i-3'):
            put_upstream(items, name)
        put_config(items, 2)

    follow(scenario, setup)


def test_an_older_configuration_never_returns():
    async def scenario(node, items):
        await asyncio.sleep(1)
        for value in (samples.config(4, []), b'{', b'[]'):
            items.put(samples.CONFIG_KEY, value)
            await asyncio.sleep(1)
            assert node.gateway.fleet.table.version == 5
        put_config(items, 9)
        await asyncio.sleep(1)
        assert node.gateway.fleet.table.version == 9

    follow(scenario, lambda items: put_config(items, 5))


def test_changes_in_a_gap_of_the_history_are_found():
    async def scenario(node, items):
        await asyncio.sleep(1)
        node.store.down = True
        await asyncio.sleep(1)
        items.remove(samples.entry_key('i-1'))
        put_upstream(items, 'i-8')
        items.drop_history()
        node.store.down = False
        await asyncio.sleep(2)
        assert 'i-8' in node.serving()
        await asyncio.sleep(4)
        assert 'i-1' not in node.serving()
        assert 'store.history_gone' in node.log.names()

    def setup(items):
        for number in range(1, 8):
            put_upstream(items, f'i-{number}')

    follow(scenario, setup)


def test_a_drain_is_known_within_its_bound_whenever_it_comes():
    bound_s = 1.0

    async def scenario(node, items):
        for step in range(40):
            name = f'i-{step}'
            put_upstream(items, name)
            await asyncio.sleep(1 + step * 0.037)
            put_upstream(items, name, state='draining')
            await asyncio.sleep(bound_s)
            assert name not in node.serving()

    follow(scenario)


def test_an_answer_that_cannot_be_taken_does_not_end_following():
    async def scenario(node, items):
        await asyncio.sleep(1)
        node.store.garbled = True
        put_upstream(items, 'i-1')
        await asyncio.sleep(1)
        assert 'store.fault' in node.log.names()
        node.store.garbled = False
        await asyncio.sleep(4)
        assert node.serving() == ['i-1']

    follow(scenario)


@pytest.mark.parametrize(
    ('role', 'kept_away'), [('prefill', True), ('decode', False)]
)
def test_an_announced_change_matters_until_the_role_is_there(role, kept_away):
    async def scenario(node, items):
        await asyncio.sleep(1)
        now = asyncio.get_running_loop().time()
        upstream = node.gateway.fleet.registry.get('i-1')
        assert (upstream.role_change_until > now) is kept_away

    def setup(items):
        put_upstream(items, 'i-1', phase='decode')
        items.put(_order_leader.CHANGE_PREFIX + 'i-1', role.encode())

    follow(scenario, setup)


# Members.


def put_instances(items, count, capacity=CAPACITY):
    for number in range(count):
        presence = addresses.InstanceEntry(
            f'n{number}', '10.0.0.1:1', 'a', 'north', capacity
        )
        value = json.dumps(attrs.asdict(presence)).encode()
        items.put(f'{INSTANCE}n{number}', value)


def test_instances_that_vanished_are_counted_for_some_time():
    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.gateway.fleet.instance_count == 9
        for number in range(6):
            items.remove(f'{INSTANCE}n{number}')
        await asyncio.sleep(10)
        assert node.gateway.fleet.instance_count == 9
        await asyncio.sleep(20)
        assert node.gateway.fleet.instance_count == 3

    follow(scenario, lambda items: put_instances(items, 9))


def test_an_instance_that_starts_alone_counts_those_there_were():
    size = str(round(9 * CAPACITY)).encode()

    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.gateway.fleet.instance_count == 9
        await asyncio.sleep(30)
        assert node.gateway.fleet.instance_count == 1

    follow(scenario, lambda items: items.put(_order_leader.SIZE_KEY, size))


@pytest.mark.parametrize(
    'value', [b'', b'{', b'{"name": 1}', b'{"name": "a", "more": "b"}']
)
def test_an_instances_entry_that_cannot_be_read_is_a_finding(value):
    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.sync.members.present == {}
        assert 'instance.invalid' in node.log.names()

    follow(scenario, lambda items: items.put(INSTANCE + 'x', value))


def test_parts_are_by_capacity():
    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.gateway.fleet.instance_count == pytest.approx(2.0)

    follow(scenario, lambda items: put_instances(items, 20, CAPACITY / 10))


@pytest.mark.parametrize(
    ('cpu', 'link', 'capacity'),
    [(1.0, 1000.0, 500.0), (1.0, 12.0, 50.0), (0.1, 1000.0, 50.0)],
)
def test_capacity_is_what_the_scarcer_part_of_a_machine_carries(
    cpu, link, capacity
):
    cfg = attrs.evolve(CFG, cores=cpu, link_mbps=link)
    assert cfg.capacity == pytest.approx(capacity)


# Registration.


def register(node):
    """Returns a registration of one instance, not started yet."""
    presence = addresses.InstanceEntry('a', '127.0.0.1:1', 'dc', 'r')
    loop = asyncio.get_running_loop()
    return control.Registration(loop, node.store, node.log, presence, 3.0)


def test_a_registration_whose_answer_was_lost_is_withdrawn():
    async def scenario(node, items):
        made = register(node)
        node.store.lose = 1
        made.start()
        await asyncio.sleep(0.5)
        assert items.get(INSTANCE + 'a') is not None
        await made.withdraw()
        assert items.get(INSTANCE + 'a') is None

    follow(scenario)


def test_a_registration_that_lapsed_is_made_again():
    async def scenario(node, items):
        made = register(node)
        made.start()
        await asyncio.sleep(10)
        assert items.get(INSTANCE + 'a') is not None
        items.end_all()
        await asyncio.sleep(2)
        assert items.get(INSTANCE + 'a') is not None
        made.close()

    follow(scenario)


# Orders.


class Sender:
    """Records orders instead of sending them."""

    def __init__(self, name, sent):
        self._name = name
        self._sent = sent

    async def send(self, upstream, change, token, may_order):
        """Records an order that would leave now."""
        if not may_order():
            return _order_sender.Sent(0, 'the lease is not certain')
        now = asyncio.get_running_loop().time()
        self._sent.append((now, self._name, token, change))
        return _order_sender.Sent(202, '')


class Orders:
    """Several stewards on one store; what they send is recorded."""

    def __init__(self, items, count):
        self.nodes = [Node(items, f'n{n}') for n in range(count)]
        self.sent = []
        self._stewards = [self._order_leader(node) for node in self.nodes]

    def _order_leader(self, node):
        loop = asyncio.get_running_loop()
        steward = _order_leader.OrderLeader(
            loop,
            node.store,
            node.sync,
            node.gateway,
            Sender(node.name, self.sent),
            node.log,
            random.Random(node.name),
            CFG,
            loop.time,
        )
        steward.start()
        return steward

    def names(self):
        """Returns the names of those who sent, in order."""
        return [name for _at, name, _token, _change in self.sent]

    def close(self):
        """Stops all tasks."""
        for steward in self._stewards:
            steward.close()
        for node in self.nodes:
            node.close()


def give_orders(scenario, count=4):
    """Runs a scenario of several nodes before two engines to change."""

    async def run():
        items = kvitems.KvItems()
        service = samples.service(
            engine={'slots': 24, 'kvTokens': 1000, 'kvTokenBytes': 10}
        )
        items.put(
            samples.CONFIG_KEY, samples.config(1, [samples.route()], [service])
        )
        for name in ('i-1', 'i-2'):
            put_upstream(items, name, phase='decode')
        orders = Orders(items, count)
        try:
            await scenario(orders, items)
        finally:
            orders.close()

    virtual.run(run())


def test_one_holder_gives_an_order_and_repeats_it_only_later():
    async def scenario(orders, items):
        await asyncio.sleep(25)
        assert len(set(orders.names())) == 1
        assert len({change for *_rest, change in orders.sent}) == 1
        times = [at for at, *_rest in orders.sent]
        assert (
            len(times) == 1
            or min(b - a for a, b in zip(times, times[1:], strict=False))
            > _order_leader.SETTLE_S
        )

    give_orders(scenario)


def test_a_holder_that_is_cut_off_is_followed_after_a_pause():
    async def scenario(orders, items):
        await asyncio.sleep(25)
        first = orders.sent[0][1]
        node = next(n for n in orders.nodes if n.name == first)
        node.store.down = True
        await asyncio.sleep(60)
        assert len(set(orders.names())) == 2
        for (at, a, token), (then, b, later) in zip(
            [row[:3] for row in orders.sent],
            [row[:3] for row in orders.sent[1:]],
            strict=False,
        ):
            if a != b:
                assert later > token
                assert then - at > CFG.handover_s

    give_orders(scenario)


def test_no_order_while_the_store_is_away():
    async def scenario(orders, items):
        await asyncio.sleep(5)
        for node in orders.nodes:
            node.store.down = True
        await asyncio.sleep(60)
        assert orders.sent == []

    give_orders(scenario)


def test_the_holder_keeps_the_number_of_instances():
    async def scenario(orders, items):
        put_instances(items, 12)
        await asyncio.sleep(20)
        expected = str(round(12 * CAPACITY)).encode()
        assert items.get(_order_leader.SIZE_KEY).value == expected

    give_orders(scenario)
