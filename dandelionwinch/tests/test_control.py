"""Tests for store sync, registration and orders, in virtual time."""

import asyncio
import json
import random

import attrs
import pytest

from dandelionwinch import addresses
from dandelionwinch import control
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _order_sender
from dandelionwinch.control import _registered
from dandelionwinch.control import _role_orders
from dandelionwinch.control import _workers
from dandelionwinch import gateway
from dandelionwinch import leadership
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual

CFG = _boot.read(samples.settings())
CAPACITY = CFG.capacity
INSTANCE_PREFIX = 'dandelionwinch/instances/'
SCALING = {'minReplicas': 1, 'maxReplicas': 8, 'bootS': 4.0}


class Node:
    """The store sync of one instance, on a store that nodes can share."""

    def __init__(self, items, name='edge-a-1'):
        loop = asyncio.get_running_loop()
        self.items = items
        self.name = name
        self.log = recorder.Recorder()
        self.store = virtual.FaultyStore(loop, items)
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
            CFG,
            self.log,
            rng,
            self.tables.append,
        )
        self.sync.start()

    def serving(self):
        """Returns the ids of the upstreams that get requests."""
        found = self.gateway.fleet.serving('s')
        return sorted(upstream.entry.id for upstream in found)

    def close(self):
        """Stops the store sync and the gateway."""
        self.sync.close()
        self.gateway.close()


def run_node(scenario, setup=lambda items: None):
    """Runs a scenario with one node on a store, after `setup` filled it."""

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


def test_upstreams_follow_the_store():
    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.serving() == ['i-1', 'i-2', 'i-3']
        assert node.sync.has_routes
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

    run_node(scenario, setup)


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

    run_node(scenario, lambda items: put_config(items, 5))


def test_changes_in_a_gap_of_the_history_are_found():
    async def scenario(node, items):
        await asyncio.sleep(1)
        node.store.unavailable = True
        await asyncio.sleep(1)
        items.remove(samples.entry_key('i-1'))
        put_upstream(items, 'i-8')
        items.compact()
        node.store.unavailable = False
        await asyncio.sleep(2)
        assert 'i-8' in node.serving()
        await asyncio.sleep(4)
        assert 'i-1' not in node.serving()
        assert 'store.history_gone' in node.log.names()

    def setup(items):
        for number in range(1, 8):
            put_upstream(items, f'i-{number}')

    run_node(scenario, setup)


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

    run_node(scenario)


def test_a_malformed_answer_does_not_end_the_watch():
    async def scenario(node, items):
        await asyncio.sleep(1)
        node.store.malformed = True
        put_upstream(items, 'i-1')
        await asyncio.sleep(1)
        assert 'store.fault' in node.log.names()
        node.store.malformed = False
        await asyncio.sleep(4)
        assert node.serving() == ['i-1']

    run_node(scenario)


@pytest.mark.parametrize(
    ('role', 'avoided'), [('prefill', True), ('decode', False)]
)
def test_an_announced_role_change_excludes_the_engine_until_it_has_the_role(
    role, avoided
):
    async def scenario(node, items):
        await asyncio.sleep(1)
        now = asyncio.get_running_loop().time()
        upstream = node.gateway.fleet.registry.get('i-1')
        assert (upstream.role_change_until > now) is avoided

    def setup(items):
        put_upstream(items, 'i-1', phase='decode')
        items.put(_role_orders.ROLE_CHANGE_PREFIX + 'i-1', role.encode())

    run_node(scenario, setup)


# Registered instances.


def put_instances(items, count, capacity=CAPACITY):
    for number in range(count):
        entry = addresses.InstanceEntry(
            f'n{number}', '10.0.0.1:1', 'a', 'north', capacity
        )
        value = json.dumps(attrs.asdict(entry)).encode()
        items.put(f'{INSTANCE_PREFIX}n{number}', value)


def test_instances_that_vanished_are_counted_for_some_time():
    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.gateway.fleet.capacity_ratio == 9
        for number in range(6):
            items.remove(f'{INSTANCE_PREFIX}n{number}')
        # _registered.RETENTION_S is 20 s.
        await asyncio.sleep(10)
        assert node.gateway.fleet.capacity_ratio == 9
        await asyncio.sleep(20)
        assert node.gateway.fleet.capacity_ratio == 3

    run_node(scenario, lambda items: put_instances(items, 9))


def test_the_stored_capacity_is_a_lower_bound_after_the_start():
    size = str(round(9 * CAPACITY)).encode()

    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.gateway.fleet.capacity_ratio == 9
        # More than _registered.RETENTION_S.
        await asyncio.sleep(30)
        assert node.gateway.fleet.capacity_ratio == 1

    run_node(
        scenario, lambda items: items.put(_role_orders.CAPACITY_KEY, size)
    )


@pytest.mark.parametrize(
    'value', [b'', b'{', b'{"name": 1}', b'{"name": "a", "more": "b"}']
)
def test_an_instances_entry_that_cannot_be_read_is_a_finding(value):
    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.sync.registered.entries == {}
        assert 'instance.invalid' in node.log.names()

    run_node(scenario, lambda items: items.put(INSTANCE_PREFIX + 'x', value))


def test_the_capacity_ratio_is_of_all_instances_to_the_own():
    async def scenario(node, items):
        await asyncio.sleep(1)
        assert node.gateway.fleet.capacity_ratio == pytest.approx(2.0)

    run_node(scenario, lambda items: put_instances(items, 20, CAPACITY / 10))


@pytest.mark.parametrize(
    ('cpu', 'link', 'capacity'),
    [(1.0, 1000.0, 500.0), (1.0, 12.0, 50.0), (0.1, 1000.0, 50.0)],
)
def test_capacity_is_limited_by_the_scarcer_of_cpu_and_link(
    cpu, link, capacity
):
    cfg = attrs.evolve(CFG, cores=cpu, link_mbps=link)
    assert cfg.capacity == pytest.approx(capacity)


# Registration.


def make_registration(node):
    """Returns a Registration that is not started."""
    entry = addresses.InstanceEntry('a', '127.0.0.1:1', 'dc', 'r')
    loop = asyncio.get_running_loop()
    return control.Registration(loop, node.store, node.log, entry, 3.0)


def test_a_registration_whose_answer_was_lost_is_withdrawn():
    async def scenario(node, items):
        registration = make_registration(node)
        node.store.lost_responses = 1
        registration.start()
        await asyncio.sleep(0.5)
        assert items.get(INSTANCE_PREFIX + 'a') is not None
        await registration.withdraw()
        assert items.get(INSTANCE_PREFIX + 'a') is None

    run_node(scenario)


def test_a_registration_that_lapsed_is_made_again():
    async def scenario(node, items):
        registration = make_registration(node)
        registration.start()
        await asyncio.sleep(10)
        assert items.get(INSTANCE_PREFIX + 'a') is not None
        items.revoke_all()
        await asyncio.sleep(2)
        assert items.get(INSTANCE_PREFIX + 'a') is not None
        registration.close()

    run_node(scenario)


# Order leaders.


class RecordingSender:
    """Records orders instead of sending them."""

    def __init__(self, name, sent):
        self._name = name
        self._sent = sent

    async def send(self, upstream, role_change, token, may_send_order):
        """Records an order if it may be sent now."""
        if not may_send_order():
            return _order_sender.Sent(0, 'the lease is not certain')
        now = asyncio.get_running_loop().time()
        self._sent.append((now, self._name, token, role_change))
        return _order_sender.Sent(202, '')


class LeaderGroup:
    """Several order leaders on one store, whose orders are recorded."""

    def __init__(self, items, count):
        self.nodes = [Node(items, f'n{n}') for n in range(count)]
        self.sent = []
        self._leaders = [self._start_leader(node) for node in self.nodes]

    def _start_leader(self, node):
        loop = asyncio.get_running_loop()
        role_orders = _role_orders.RoleOrders(
            loop,
            node.store,
            node.sync,
            node.gateway,
            RecordingSender(node.name, self.sent),
            node.log,
        )
        leader = _lease_holder.LeaseHolder(
            loop,
            node.store,
            node.sync,
            _workers.InlineWorker(role_orders),
            node.log,
            random.Random(node.name),
            CFG,
            loop.time,
        )
        leader.start()
        return leader

    def names(self):
        """Returns the names of the senders, in the order of sending."""
        return [name for _at, name, _token, _change in self.sent]

    def close(self):
        """Stops all tasks."""
        for leader in self._leaders:
            leader.close()
        for node in self.nodes:
            node.close()


def run_leaders(scenario, count=4):
    """Runs a scenario of several nodes with two decode engines.

    One of them has to become a prefill engine, so the holder of the order
    lease sends an order.
    """

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
        group = LeaderGroup(items, count)
        try:
            await scenario(group, items)
        finally:
            group.close()

    virtual.run(run())


def test_one_holder_sends_an_order_and_repeats_it_after_the_interval():
    async def scenario(group, items):
        # The first order is sent within about 13 s: at most RETRY_S +
        # ACQUIRE_JITTER_S to acquire, 9 s that a new holder waits
        # (Leadership.may_send_order), RENEW_INTERVAL_S and ANNOUNCE_WAIT_S.
        await asyncio.sleep(25)
        assert len(set(group.names())) == 1
        assert len({role_change for *_rest, role_change in group.sent}) == 1
        times = [at for at, *_rest in group.sent]
        assert (
            len(times) == 1
            or min(b - a for a, b in zip(times, times[1:], strict=False))
            > _role_orders.MIN_ORDER_INTERVAL_S
        )

    run_leaders(scenario)


@pytest.mark.parametrize(
    ('scaling', 'least', 'most'), [(None, 5.0, 8.0), (SCALING, 1.0, 4.0)]
)
def test_roles_follow_sooner_where_engines_come_and_go(scaling, least, most):
    """Half of a fleet is replaced at once at the start."""

    async def scenario(group, items):
        engine = {'slots': 24, 'kvTokens': 1000, 'kvTokenBytes': 10}
        service = samples.service(engine=engine, scaling=scaling)
        value = samples.config(2, [samples.route()], [service])
        items.put(samples.CONFIG_KEY, value)
        for number in range(24):
            name = f'j-{number}'
            put_upstream(items, name, zone='abc'[number % 3], phase='decode')
        await asyncio.sleep(40)
        times = [at for at, *_rest in group.sent]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert len(gaps) >= 3
        assert least < min(gaps)
        assert max(gaps) < most

    run_leaders(scenario, count=1)


def test_a_holder_that_is_cut_off_is_followed_after_a_pause():
    async def scenario(group, items):
        await asyncio.sleep(25)
        first = group.sent[0][1]
        node = next(n for n in group.nodes if n.name == first)
        node.store.unavailable = True
        # The lease expires after leadership.LEASE_S; then as above, once the
        # engine is no longer excluded (ROLE_CHANGE_S).
        await asyncio.sleep(60)
        assert len(set(group.names())) == 2
        for (at, name, token), (next_at, next_name, next_token) in zip(
            [row[:3] for row in group.sent],
            [row[:3] for row in group.sent[1:]],
            strict=False,
        ):
            if name != next_name:
                assert next_token > token
                assert next_at - at > CFG.handover_s

    run_leaders(scenario)


def test_no_order_is_sent_while_the_store_is_unavailable():
    async def scenario(group, items):
        # Less than the 9 s that a new holder waits before its first order.
        await asyncio.sleep(5)
        for node in group.nodes:
            node.store.unavailable = True
        await asyncio.sleep(60)
        assert group.sent == []

    run_leaders(scenario)


@pytest.mark.parametrize(
    ('held_off', 'ordered'), [('i-1', set()), ('i-2', {'i-1'})]
)
def test_an_engine_that_is_held_off_counts_and_gets_no_order(
    held_off, ordered
):
    """Roles are planned for the engines that come back, too."""

    async def scenario(group, items):
        await asyncio.sleep(1)
        now = asyncio.get_running_loop().time()
        for node in group.nodes:
            engine = node.gateway.fleet.registry.get(held_off)
            engine.hold_off(60.0, now, 0.0)
        await asyncio.sleep(25)
        changes = [change for *_rest, change in group.sent]
        assert {change.upstream_id for change in changes} == ordered

    run_leaders(scenario)


def test_the_holder_stores_the_total_capacity():
    async def scenario(group, items):
        put_instances(items, 12)
        await asyncio.sleep(20)
        expected = str(round(12 * CAPACITY)).encode()
        assert items.get(_role_orders.CAPACITY_KEY).value == expected

    run_leaders(scenario)


def test_registrations_after_a_restore_stay_below_the_rate_of_writes():
    registered = control.RegisteredInstances(writes_per_s=400.0)
    for number in range(390):
        entry = addresses.InstanceEntry(f'n{number}', 'a', 'b', 'c')
        registered.add(entry.name, entry)
    writes = 390 * _registered.WRITES_PER_REGISTRATION
    assert writes / registered.registration_spread_s() <= 200.0


def test_instances_that_a_restored_store_has_lost_are_held():
    registered = control.RegisteredInstances()
    entry = addresses.InstanceEntry('n', 'a', 'b', 'c')
    registered.add('n', entry)
    registered.add('m', entry)
    registered.hold(0.0)
    assert registered.held('n', 1.0) and registered.held('m', 1.0)
    registered.add('n', entry)
    end = registered.registration_spread_s() + _registered.HOLD_MARGIN_S
    assert registered.pop_due(end - 0.1) == []
    assert registered.pop_due(end) == ['m']
    assert not registered.held('n', end)


def test_a_holder_of_an_older_epoch_sends_no_order():
    async def scenario(group, items):
        await asyncio.sleep(25)
        orders = len(group.sent)
        first = group.sent[-1][2]
        copy = items.snapshot()
        for number in range(9):
            items.put(f'op/{number}', b'')
        items.restore(copy)
        at = asyncio.get_running_loop().time()
        await asyncio.sleep(60)
        later = group.sent[orders:]
        assert later
        assert all(token > first for _at, _name, token, _change in later)
        # The next holder waits until the previous one can't send any more.
        wait_s = leadership.MAX_VIEW_AGE_S + leadership.RENEWAL_VALID_S
        assert later[0][0] - at > wait_s + CFG.handover_s

    run_leaders(scenario)


@pytest.mark.parametrize('restored_after_s', [0.5, 2.0, 3.5, 5.0, 8.0, 13.0])
def test_a_restore_during_a_handover_keeps_tokens_and_turns(restored_after_s):
    async def scenario(group, items):
        copy = items.snapshot()
        await asyncio.sleep(25)
        first = group.sent[0][1]
        node = next(n for n in group.nodes if n.name == first)
        node.store.unavailable = True
        await asyncio.sleep(restored_after_s)
        items.restore(copy)
        await asyncio.sleep(20)
        node.store.unavailable = False
        items.restore(copy)
        await asyncio.sleep(40)
        assert len(set(group.names())) > 1
        for (at, name, token, _), (next_at, next_name, next_token, _) in zip(
            group.sent, group.sent[1:], strict=False
        ):
            assert next_token >= token
            if name != next_name:
                assert next_token > token
                assert next_at - at > CFG.handover_s

    run_leaders(scenario)


def test_the_next_holder_writes_what_a_restored_store_has_lost():
    async def scenario(group, items):
        copy = items.snapshot()
        await asyncio.sleep(25)
        change = _role_orders.ROLE_CHANGE_PREFIX + 'i-1'
        while items.get(change) is None:
            await asyncio.sleep(1)
        items.restore(copy)
        assert items.get(change) is None
        # The next holder has acquired the lease (RETRY_S and the jitter),
        # and the engine is still excluded (ROLE_CHANGE_S).
        await asyncio.sleep(6)
        assert items.get(change).value == b'prefill'
        assert items.get(_role_orders.CAPACITY_KEY) is not None

    run_leaders(scenario)


def test_a_new_epoch_ends_a_watch_that_still_waits():
    async def never(*_args):
        await asyncio.Event().wait()

    async def scenario(node, items):
        node.store.epochs.on_change = lambda *_change: (
            node.sync.epoch_changed()
        )
        await asyncio.sleep(1)
        watch, node.store.watch = node.store.watch, never
        # More than WATCH_TIMEOUT_S, so that the next watch has begun.
        await asyncio.sleep(4)
        put_upstream(items, 'i-1')
        items.restore(items.snapshot())
        node.store.watch = watch
        await node.store.grant_lease(1.0)
        await asyncio.sleep(1)
        assert node.serving() == ['i-1']

    run_node(scenario)


def test_each_failed_call_that_follows_the_store_is_logged():
    """The logs of an outage must tell calls that hang from pauses."""

    async def scenario(node, items):
        await asyncio.sleep(20)
        node.store.unavailable = True
        await asyncio.sleep(10)
        node.store.unavailable = False
        await asyncio.sleep(5)
        events = node.log.events
        failed = [f for name, f in events if name == 'store.call_failed']
        assert [f['failures'] for f in failed] == [*range(1, 1 + len(failed))]
        assert {f['call'] for f in failed} == {'watch'}
        assert all(f['taken_s'] >= 0 and f['pause_s'] > 0 for f in failed)
        assert node.log.names().count('store.lost') == 1
        last = [f for name, f in events if name == 'store.reached'][-1]
        assert last['failures'] == len(failed)
        # A watch before the outage, the outage, and a pause behind it.
        assert 10 <= last['away_s'] <= 2.6 + 10 + 2.3

    run_node(scenario)
