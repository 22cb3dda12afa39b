"""The holder's tasks: renewals, duties beside each other, and its end."""

import asyncio
import random

import attrs
import prometheus_client
import pytest

from dandelionwinch import control
from dandelionwinch.control import _duty_calls
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _workers
from dandelionwinch import leadership
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import duty_node
from dandelionwinch.tests import test_control
from dandelionwinch.tests import virtual

# More than it takes to acquire a free lease and to wait for duties.
ACTING_S = 6.0


class Api:
    """A duty API that accepts each call after a time."""

    def __init__(self):
        self.delay_s = 0.1
        self.calls = []
        self.ended = []

    async def report_usage(self, holder, token, report, may_act):
        """Accepts a report."""
        if not may_act():
            return control.NotSent('the lease is not certain')
        now = asyncio.get_running_loop().time()
        self.calls.append((now, holder, token))
        await asyncio.sleep(self.delay_s)
        self.ended.append(asyncio.get_running_loop().time())
        return control.Accepted()


class Reporting:
    """A duty that reports at each call of `perform`."""

    name = 'reporting'

    def __init__(self, calls):
        self.calls = calls
        self.performed = []

    async def perform(self, authority):
        """Reports once."""
        self.performed.append(asyncio.get_running_loop().time())
        await self.calls.report_usage(
            authority.name, authority.token, None, authority.may_act
        )


class Stuck:
    """A duty that never ends."""

    name = 'stuck'

    async def perform(self, _authority):
        """Waits for ever."""
        await asyncio.Event().wait()


class Broken:
    """A duty with a fault of its own."""

    name = 'broken'

    async def perform(self, _authority):
        """Fails."""
        raise ValueError('broken')


class Holding:
    """A node with a LeaseHolder that performs duties."""

    def __init__(self, items, name='n1', others=()):
        loop = asyncio.get_running_loop()
        self.node = test_control.Node(items, name)
        self.api = Api()
        self.calls = _duty_calls.DutyCalls(
            loop,
            self.api,
            self.node.log,
            prometheus_client.CollectorRegistry(),
        )
        self.reporting = Reporting(self.calls)
        cfg = attrs.evolve(
            test_control.CFG, instance=name, duty_settings=duty_node.DUTIES
        )
        self.holder = _lease_holder.LeaseHolder(
            loop,
            self.node.store,
            self.node.sync,
            _workers.DutyRunner(
                loop, [*others, self.reporting], self.calls, self.node.log
            ),
            self.node.log,
            random.Random(1),
            cfg,
            loop.time,
        )
        self.holder.start()

    def events(self, name):
        """Returns the fields of the events with a name."""
        return [row for event, row in self.node.log.events if event == name]

    def close(self):
        """Stops all tasks."""
        self.holder.close()
        self.node.close()


def run_holder(scenario, others=()):
    async def run():
        items = kvitems.KvItems()
        test_control.put_config(items, 1)
        holding = Holding(items, others=others)
        try:
            await scenario(holding, items)
        finally:
            holding.close()

    virtual.run(run())


def test_a_holder_acts_after_its_wait_and_goes_on():
    async def scenario(holding, _items):
        await asyncio.sleep(ACTING_S + 10.0)
        times = [at for at, _name, _token in holding.api.calls]
        first = holding.events('orders.held')
        assert len(first) == 1
        wait_s = leadership.Leadership(test_control.CFG.handover_s).duty_wait_s
        # It acts with the first renewal after the wait, not one later.
        assert wait_s < times[0] < wait_s + 1.0
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert max(gaps) < 2 * leadership.RENEW_INTERVAL_S
        assert len(holding.events('duties.acting')) == 1

    run_holder(scenario)


def test_duties_begin_with_the_verification_that_ends_the_wait():
    """A verification on the end of the wait fell short of it by rounding.

    The next one followed a renewal interval later, and the successor of a
    killed holder first acted after 7.3 s.
    """

    async def scenario(holding, _items):
        loop = asyncio.get_running_loop()
        # A timer that ends a little early by the clock of the lease.
        holding.holder._clock = lambda: loop.time() * (1.0 - 1e-9)
        await asyncio.sleep(ACTING_S)
        lease = holding.holder._leadership
        waited_s = holding.api.calls[0][0] - lease._acquired_at
        assert lease.duty_wait_s < waited_s < lease.duty_wait_s + 0.1

    run_holder(scenario)


@pytest.mark.parametrize('other', [Stuck(), Broken()])
def test_a_slow_or_broken_duty_delays_neither_renewals_nor_others(other):
    async def scenario(holding, _items):
        await asyncio.sleep(30.0)
        assert holding.events('orders.lost') == []
        assert len(holding.api.calls) > 20
        faults = {row['duty'] for row in holding.events('duties.fault')}
        assert faults == ({'broken'} if isinstance(other, Broken) else set())

    run_holder(scenario, [other])


def test_a_call_that_hangs_delays_no_renewal():
    async def scenario(holding, _items):
        holding.api.delay_s = 20.0
        await asyncio.sleep(30.0)
        assert holding.events('orders.lost') == []
        assert 1 <= len(holding.api.calls) <= 2

    run_holder(scenario)


def test_a_holder_whose_key_is_deleted_stops_at_its_next_renewal():
    async def scenario(holding, items):
        await asyncio.sleep(ACTING_S)
        items.remove(_lease_holder.HOLDER_KEY)
        await asyncio.sleep(leadership.RENEW_INTERVAL_S + 0.1)
        assert len(holding.events('orders.lost')) == 1
        calls = len(holding.api.calls)
        await asyncio.sleep(2.0)
        assert len(holding.api.calls) == calls
        await asyncio.sleep(ACTING_S + 2.0)
        tokens = [token for _at, _name, token in holding.api.calls]
        assert len(holding.api.calls) > calls
        assert tokens == sorted(tokens) and len(set(tokens)) == 2

    run_holder(scenario)


def test_a_key_that_another_instance_of_the_name_wrote_is_a_loss():
    """Two instances are two holders, whatever their name."""

    async def scenario(holding, items):
        await asyncio.sleep(ACTING_S)
        items.put(_lease_holder.HOLDER_KEY, b'n1')
        await asyncio.sleep(leadership.RENEW_INTERVAL_S + 0.1)
        calls = len(holding.api.calls)
        assert len(holding.events('orders.lost')) == 1
        await asyncio.sleep(10.0)
        assert len(holding.api.calls) == calls

    run_holder(scenario)


def test_a_stop_waits_for_the_call_in_flight_and_frees_the_lease():
    async def scenario(holding, items):
        holding.api.delay_s = 1.0
        await asyncio.sleep(ACTING_S)
        while len(holding.api.calls) == len(holding.api.ended):
            await asyncio.sleep(0.01)
        began = asyncio.get_running_loop().time()
        calls = len(holding.api.calls)
        await holding.holder.resign()
        took_s = asyncio.get_running_loop().time() - began
        assert took_s < 1.1
        assert len(holding.api.calls) == len(holding.api.ended) == calls
        last = holding.calls.last[control.Duty.USAGE]
        assert last.result == control.Accepted()
        assert items.get(_lease_holder.HOLDER_KEY) is None
        await asyncio.sleep(10.0)
        assert len(holding.api.calls) == calls

    run_holder(scenario)


def test_a_call_that_outlasts_a_stop_counts_as_unanswered():
    async def scenario(holding, items):
        holding.api.delay_s = 60.0
        await asyncio.sleep(ACTING_S)
        assert holding.calls.in_flight[control.Duty.USAGE] == 1
        await holding.holder.resign()
        last = holding.calls.last[control.Duty.USAGE]
        assert last.result == control.Unanswered('the call was cancelled')
        assert holding.calls.in_flight[control.Duty.USAGE] == 0
        assert items.get(_lease_holder.HOLDER_KEY) is None

    run_holder(scenario)


def test_a_stop_with_no_call_in_flight_frees_the_lease_at_once():
    async def scenario(holding, items):
        await asyncio.sleep(ACTING_S)
        while holding.calls.in_flight[control.Duty.USAGE]:
            await asyncio.sleep(0.01)
        began = asyncio.get_running_loop().time()
        await holding.holder.resign()
        assert asyncio.get_running_loop().time() - began < 0.05
        assert items.get(_lease_holder.HOLDER_KEY) is None

    run_holder(scenario, [Stuck()])


def test_without_duties_the_key_is_not_read():
    """Without duties, the calls to the store are those of before."""

    async def scenario(group, _items):
        reads = []
        for node in group.nodes:
            read = node.store.list

            async def listed(prefix, read=read):
                reads.append(prefix)
                return await read(prefix)

            node.store.list = listed
        await asyncio.sleep(25)
        assert _lease_holder.HOLDER_KEY not in reads

    test_control.run_leaders(scenario)


def test_all_instances_compute_the_same_order_of_candidates():
    names = [f'n{n}' for n in range(20)]
    order = leadership.candidate_order(names, 'n3', 7)
    assert order == leadership.candidate_order(reversed(names), 'n3', 7)
    assert sorted([*order, 'n3']) == sorted(names)
    # An instance that one view lacks moves the others by a rank at most.
    lacking = leadership.candidate_order(names[:-1], 'n3', 7)
    assert [name for name in order if name != 'n19'] == lacking
    firsts = {leadership.candidate_order(names, '', t)[0] for t in range(99)}
    assert len(firsts) > 10
