"""The duty of ordering capacity, from the store to the API and back."""

import asyncio
import collections
import json
import random

import attrs
import pytest

from dandelionwinch import capacity
from dandelionwinch import control
from dandelionwinch.control import _capacity_duty
from dandelionwinch.control import _role_orders
from dandelionwinch import gateway
from dandelionwinch.gateway import _demand_link
from dandelionwinch.gateway import _peer_link
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _capacity_page
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import datagrams
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual
from dandelionwinch.tools import capacity as capacity_tool

CFG = _boot.read(samples.settings())
START = {'a': 4, 'b': 4, 'c': 3}
PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25}
SCALING = {
    'minReplicas': 1,
    'maxReplicas': 8,
    'bootS': 4.0,
    'spotPrice': 0.15,
    'zonePrices': PRICES,
}
TOKEN = '0000000700000001'


class Platform:
    """A duty API that keeps entries of upstreams in a store.

    Attributes:
        calls: Token and CapacityOrder of each call.
        result: What each call returns, None to follow the order.
        answer_s: Time of an answer.
        short: Whether no more reclaimable upstreams can be obtained.
    """

    def __init__(self, items):
        self._items = items
        self._numbers = iter(range(1, 1000))
        self._ids = {}
        self.calls = []
        self.result = None
        self.answer_s = 0.02
        self.short = False
        for name, count in START.items():
            for _number in range(count):
                self._start(name, False)

    def _start(self, name, reclaimable):
        upstream_id = f'i-{next(self._numbers)}'
        self._ids.setdefault((name, reclaimable), []).append(upstream_id)
        self._write(upstream_id, name, reclaimable)

    def _write(self, upstream_id, name, reclaimable, **changes):
        if reclaimable:
            changes['spot'] = True
        value = samples.entry(zone=name, **changes)
        self._items.put(samples.entry_key(upstream_id), value)

    def take_away(self, name):
        """Begins to take the reclaimable upstreams of a data centre away."""
        for upstream_id in self._ids.pop((name, True), ()):
            self._write(
                upstream_id, name, True, state='draining', leaves_ms=2000.0
            )

    def largest(self):
        """Returns the largest number of both kinds in a data centre."""
        counts = collections.Counter()
        for (name, _reclaimable), ids in self._ids.items():
            counts[name] += len(ids)
        return max(counts.values())

    async def order_capacity(self, _holder, token, order, may_act):
        """Follows an order, as the API would."""
        await asyncio.sleep(self.answer_s)
        if not may_act():
            return control.NotSent('the lease is not certain')
        self.calls.append((token, order))
        if self.result is not None:
            return self.result
        ids = self._ids.setdefault((order.data_centre, order.reclaimable), [])
        if self.short and order.reclaimable and order.count > len(ids):
            return control.Refused()
        while len(ids) > order.count:
            self._items.remove(samples.entry_key(ids.pop()))
        loop = asyncio.get_running_loop()
        for _number in range(order.count - len(ids)):
            upstream_id = f'i-{next(self._numbers)}'
            ids.append(upstream_id)
            loop.call_later(
                SCALING['bootS'],
                self._write,
                upstream_id,
                order.data_centre,
                order.reclaimable,
            )
        return control.Accepted()


class LeaseState:
    """The lease of the instance, as an Authority sees it."""

    def __init__(self):
        self.valid = True

    def holds(self, _token):
        return self.valid

    may_act = may_send_order = holds


class Holder:
    """An instance that holds the lease, on a store in virtual time."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        self.items = kvitems.KvItems()
        services = [
            samples.service(scaling=SCALING),
            samples.service(name='plain'),
        ]
        value = samples.config(1, [samples.route()], services)
        self.items.put(samples.CONFIG_KEY, value)
        plain = samples.entry(service='plain', zone='a', address='10.1.1.1:80')
        self.items.put(samples.entry_key('p-1'), plain)
        self.items.put('dandelionwinch/orders/holder', CFG.instance.encode())
        self.platform = Platform(self.items)
        self.log = recorder.Recorder()
        store = virtual.FaultyStore(loop, self.items)
        rng = random.Random(1)
        self.gateway = gateway.Gateway(
            loop, _wire_codec.WireCodec(), self.log, CFG, rng
        )
        self.sync = control.StoreSync(
            loop,
            store,
            _store_codec.StoreCodec(),
            self.gateway,
            CFG,
            self.log,
            rng,
            lambda _table: None,
        )
        self.duty = _capacity_duty.CapacityDuty(
            loop,
            self.gateway,
            self.sync,
            self.platform,
            self.log,
            CFG.instance,
        )
        self.state = LeaseState()
        self.sync.start()

    async def perform(self, seconds, token=TOKEN):
        """Performs the duty at each renewal for some time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        authority = control.Authority(CFG.instance, token, None, self.state)
        while loop.time() < end:
            await self.duty.perform(authority)
            await asyncio.sleep(0.9)

    def serving(self, kind):
        """Returns the numbers that serve by data centre."""
        view = self.duty._view('s')
        return {
            place.data_centre: count
            for place, count in view.serving.items()
            if place.kind is kind
        }

    def close(self):
        self.sync.close()
        self.gateway.close()


def run_holder(scenario):
    async def run():
        holder = Holder()
        try:
            await scenario(holder)
        finally:
            holder.close()

    virtual.run(run())


def test_the_start_is_replaced_before_any_demand_is_known():
    async def scenario(holder):
        await asyncio.sleep(1)
        await holder.perform(12.0)
        ordinary = holder.serving(capacity.Kind.ORDINARY)
        assert ordinary == dict.fromkeys(START, 1)
        reclaimable = holder.serving(capacity.Kind.RECLAIMABLE)
        assert set(reclaimable) == set(START)
        total = sum(ordinary.values()) + sum(reclaimable.values())
        assert total - max(reclaimable.values()) >= sum(START.values())
        assert all(order.service == 's' for _t, order in holder.platform.calls)
        fields = [f for n, f in holder.log.events if n == 'capacity.ordered']
        assert len(fields) == len(holder.platform.calls)
        first = fields[0]
        assert (first['kind'], first['result']) == ('reclaimable', 'accepted')
        assert first['price'] == pytest.approx(
            0.15 * PRICES[first['data_centre']]
        )
        assert (first['demand'], first['need']) == (None, 11)

    run_holder(scenario)


def test_what_is_taken_away_is_ordered_again():
    async def scenario(holder):
        await asyncio.sleep(1)
        await holder.perform(12.0)
        before = len(holder.platform.calls)
        holder.platform.take_away('b')
        holder.platform.result = control.Refused()
        await holder.perform(3.0)
        refused = holder.platform.calls[before:]
        assert refused
        holder.platform.result = None
        await holder.perform(20.0)
        assert holder.serving(capacity.Kind.RECLAIMABLE)['b'] >= 3
        ordinary = holder.serving(capacity.Kind.ORDINARY)
        assert ordinary == dict.fromkeys(START, 1)

    run_holder(scenario)


def test_without_a_certain_lease_nothing_is_sent():
    async def scenario(holder):
        await asyncio.sleep(1)
        holder.state.valid = False
        await holder.perform(5.0)
        assert not holder.platform.calls
        # It ends while the first call waits for its turn.
        holder.state.valid = True
        holder.platform.answer_s = 0.5
        task = asyncio.get_running_loop().create_task(holder.perform(2.0))
        await asyncio.sleep(0.2)
        holder.state.valid = False
        await task
        assert not holder.platform.calls

    run_holder(scenario)


def test_another_token_plans_from_the_entries():
    """What was ordered under the token before may not be known there."""

    async def scenario(holder):
        await asyncio.sleep(1)
        await holder.perform(12.0)
        before = len(holder.platform.calls)
        await holder.perform(5.0, '0000000700000002')
        assert len(holder.platform.calls) == before

    run_holder(scenario)


@pytest.mark.parametrize('reclaimable', [False, True])
def test_a_new_holder_orders_nothing_above_the_limit(reclaimable):
    """The upstreams that the one before it ordered last still start."""

    async def scenario(holder):
        await asyncio.sleep(1)
        platform = holder.platform
        holder.items.put('dandelionwinch/orders/holder', b'another')
        await asyncio.sleep(1)
        holder.items.put('dandelionwinch/orders/holder', CFG.instance.encode())
        await asyncio.sleep(1)
        for name in START:
            standing = 0 if reclaimable else START[name]
            most = SCALING['maxReplicas'] - START[name] + standing
            order = control.CapacityOrder('s', name, most, reclaimable)
            await platform.order_capacity('another', '1', order, lambda: True)
        if reclaimable:
            # Nothing reclaimable can be had, so ordinary ones are planned.
            platform.short = True
        # It may not act yet, as the one before might.
        holder.state.valid = False
        await holder.perform(2.7)
        holder.state.valid = True
        demand = capacity.Demand(10.0, 2.0)
        for _second in range(20):
            now = asyncio.get_running_loop().time()
            reports = holder.gateway.demand._reports
            reports.record('i1', {'s': demand}, now)
            await holder.perform(1.0)
            assert platform.largest() <= SCALING['maxReplicas']
        assert any(token == TOKEN for token, _order in platform.calls)

    run_holder(scenario)


def test_a_silent_api_gets_each_order_again_after_the_boot_time():
    async def scenario(holder):
        await asyncio.sleep(1)
        holder.platform.answer_s = 2.0
        holder.platform.result = control.Unanswered('silent')
        await holder.perform(5.0)
        calls = holder.platform.calls
        places = [(o.data_centre, o.reclaimable) for _t, o in calls]
        assert len(places) == len(set(places))
        holder.platform.answer_s = 0.02
        holder.platform.result = None
        await holder.perform(16.0)
        assert holder.serving(capacity.Kind.ORDINARY) == dict.fromkeys(
            START, 1
        )

    run_holder(scenario)


class _Caller:
    def respond(self, status, _headers, body):
        self.status, self.body = status, body


def test_the_page_tells_why_and_the_others_tell_who():
    async def scenario(holder):
        await asyncio.sleep(1)
        await holder.perform(12.0)
        report = json.loads(json.dumps(holder.duty.report()))
        assert report['holder'] == CFG.instance
        (service,) = report['services']
        assert service['need']['cheap'] == 11
        plan = capacity_tool._plan(service)
        assert {p.data_centre for p in plan.places} == set(START)
        assert all(p.planned == p.ordered for p in plan.places)
        lines = capacity_tool.format_plan(plan)
        assert lines[0].startswith('s cheap=11')
        holder.sync.holder = 'edge-b-2'
        assert holder.duty.report() == {'holder': 'edge-b-2', 'services': []}

    run_holder(scenario)


def test_without_the_duty_there_is_no_page():
    class _Instance:
        @staticmethod
        def capacity():
            return None

    caller = _Caller()
    _capacity_page.PAGE.respond(_Instance(), 0.0, caller)
    assert caller.status == 404


class _Meter:
    def __init__(self, demands):
        self.demands = demands

    def take(self):
        return self.demands


class Site:
    """Instances that tell the first one their demand."""

    def __init__(self, count, demands, loss=0.0):
        loop = asyncio.get_running_loop()
        self.network = datagrams.Network(random.Random(1), loss)
        addresses = {f'i{n}': (f'10.0.0.{n}', 7000) for n in range(count)}
        self.log = recorder.Recorder()
        self.links = []
        self.peers = []
        for name, addr in addresses.items():
            peer = _peer_link.PeerLink(loop, self.log, name)
            peer.set_peers(addresses)
            self.network.add(peer, addr)
            self.peers.append(peer)
            link = _demand_link.DemandLink(loop, peer, _Meter(demands), name)
            link.start(lambda: 'i0')
            self.links.append(link)

    def close(self):
        for link in self.links:
            link.close()


DEMANDS = {'s': capacity.Demand(0.5, 0.25)}


@pytest.mark.parametrize('loss', [0.0, 0.3])
def test_the_holder_hears_the_demand_of_all(loss):
    async def run():
        site = Site(20, DEMANDS, loss)
        await asyncio.sleep(6.5)
        total = site.links[0].total('s', 20)
        assert total.done == pytest.approx(10.0)
        assert total.short == pytest.approx(5.0)
        # Only the holder is told, once a second.
        assert site.network.sent == 19 * 6
        assert site.links[1].total('s', 20) is None
        site.close()

    virtual.run(run())


def test_without_scaled_services_no_datagram_is_sent():
    async def run():
        site = Site(3, {})
        await asyncio.sleep(5)
        site.close()
        assert not site.network.sent

    virtual.run(run())


ROW = ['s', 1.0, 0.5]


@pytest.mark.parametrize(
    'items',
    [
        [],
        [[ROW], 1],
        [ROW],
        ['s'],
        [[['s', 1.0]]],
        [[['s', -1.0, 0.0]]],
        [[['s', 1e9, 0.0]]],
        [[['s', True, 0.0]]],
        [[['s', None, 0.0]]],
        [[['s' * 200, 1.0, 0.0]]],
        [[[7, 1.0, 0.0]]],
        [[ROW] * 21],
    ],
)
def test_a_malformed_report_is_dropped(items):
    async def run():
        site = Site(2, {})
        data = json.dumps(['demand', *items]).encode()
        site.peers[0].datagram_received(data, ('10.0.0.1', 7000))
        assert site.links[0].total('s', 2) is None
        assert site.log.names() == ['peer.invalid']
        site.close()

    virtual.run(run())


def test_a_report_of_an_unknown_sender_is_dropped():
    async def run():
        site = Site(2, {})
        data = json.dumps(['demand', [ROW]]).encode()
        for addr in (('10.0.0.9', 7000), ('10.0.0.1', 7001)):
            site.peers[0].datagram_received(data, addr)
        assert site.links[0].total('s', 2) is None
        site.peers[0].datagram_received(data, ('10.0.0.1', 7000))
        assert site.links[0].total('s', 1) == capacity.Demand(1.0, 0.5)
        site.close()

    virtual.run(run())


def scale(harness, objective_s=recorder.TIMEOUT_S):
    """Makes the service of a gateway harness a scaled one."""
    scaling = routes.Scaling(1, 8, 4.0, 0.15, {})
    services = [routes.Service('s', 100, scaling=scaling)]
    harness.gateway.fleet.table = routes.RouteTable(
        1,
        [
            attrs.evolve(route, objective_s=objective_s)
            for route in gateway_harness.ROUTES
        ],
        services,
        harness.limits,
    )


STREAM = (
    gateway_harness.STREAM_HEAD
    + gateway_harness.chunk(gateway_harness.event(1))
    + gateway_harness.LAST_CHUNK
)


def measure(scripts, path, generation=True, objective_s=recorder.TIMEOUT_S):
    """Returns the Demand that one request adds."""

    async def scenario(harness):
        scale(harness, objective_s)
        if generation:
            harness.generate(path, tokens=9000)
        else:
            harness.send(path)
        await harness.read_response()
        return harness.gateway._demand_meter.take()['s']

    return gateway_harness.run_scenario(scripts, scenario)


def test_a_stream_in_time_is_work_done():
    found = measure([[[STREAM]]], '/stream/1')
    assert found.done > 0
    assert found.short == 0


def test_a_stream_that_begins_late_is_short():
    found = measure([[[STREAM]]], '/stream/1', objective_s=0.0)
    assert found.done == 0
    assert found.short > 0


def test_a_call_is_work_done():
    found = measure([[[gateway_harness.response()]]], '/safe/1', False)
    assert found.done > 0


def test_refused_work_is_short():
    async def scenario(harness):
        scale(harness)
        harness.generate('/stream/1', 'r1', tokens=9000)
        await harness.read_response()
        meter = harness.gateway._demand_meter
        done = meter.take()['s'].done
        harness.generate('/stream/2', 'r2', tokens=9000)
        status, _headers, _body = await harness.read_response()
        assert status == 503
        found = meter.take()['s']
        # It counts as much as a request that is served on average.
        assert found.short > 0
        assert found.done == 0
        return done

    refusal = samples.refusal()
    assert gateway_harness.run_scenario([[[STREAM], [refusal]]], scenario) > 0


@pytest.mark.parametrize(
    ('begun_s', 'elapsed_s', 'added'),
    [
        (0.1, 2.0, (True, False)),
        (0.9, 2.0, (False, True)),
        (0.0, 2.0, (False, True)),
        (0.0, 0.1, (False, False)),
    ],
)
def test_a_caller_that_leaves_is_short_only_if_it_had_to_wait(
    begun_s, elapsed_s, added
):
    """Else callers that leave would be taken for a lack of upstreams."""

    class _Handler:
        service = 's'
        placement = None
        first_event_s = begun_s
        upstream_id = ''
        route = attrs.evolve(gateway_harness.ROUTES[0], objective_s=0.5)

        @staticmethod
        def elapsed_s():
            return elapsed_s

    async def scenario(harness):
        scale(harness)
        meter = harness.gateway._demand_meter
        meter._mean['s'] = 1.0
        meter.record_left(_Handler)
        found = meter.take()['s']
        return found.done > 0, found.short > 0

    assert gateway_harness.run_scenario([], scenario) == added


def test_a_service_that_is_not_scaled_is_not_measured():
    async def scenario(harness):
        harness.generate('/stream/1', tokens=9000)
        await harness.read_response()
        return harness.gateway._demand_meter.take()

    assert gateway_harness.run_scenario([[[STREAM]]], scenario) == {}


def test_an_engine_that_is_about_to_leave_gets_no_role_order():
    """Its entry, its own word or that of another instance may tell so."""

    async def scenario(holder):
        await asyncio.sleep(1)
        orders = _role_orders.RoleOrders(
            asyncio.get_running_loop(),
            None,
            holder.sync,
            holder.gateway,
            None,
            holder.log,
        )
        registry = holder.gateway.fleet.registry
        now = asyncio.get_running_loop().time()
        engines = registry.in_service('s')

        class _Change:
            upstream_id = engines[0].entry.id

        assert orders._may_order(_Change)
        engines[0].told_leaving_until = now + 1.0
        assert not orders._may_order(_Change)
        engines[0].told_leaving_until = 0.0
        engines[0].leaving = True
        assert not orders._may_order(_Change)
        assert engines[0] not in registry.in_service('s')

    run_holder(scenario)
