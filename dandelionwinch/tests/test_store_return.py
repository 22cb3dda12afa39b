"""Instances are up to date in time after an outage of the store."""

import asyncio
import types

import attrs
import pytest

from dandelionwinch import addresses
from dandelionwinch import control
from dandelionwinch.control import _call_timing
from dandelionwinch.control import _registration as registering
from dandelionwinch.tests import outages
from dandelionwinch.tests import relay_harness

# By number of instances, what the platform states: time after which an
# instance counts as in touch, time for a change to be in force, and reads a
# second.
SITES = {
    9: (4.0, 2.5, 2000.0),
    58: (4.0, 4.0, 6000.0),
    390: (5.0, 4.0, 16000.0),
}
# Longer than any call that follows the store and the pause behind it.
PERIOD_S = 6.4
SHORTEST_S = 0.1
DUTIES = {True: relay_harness.DUTIES, False: control.DutySettings()}


def play(instances, kind, lasts_s, duties=False):
    """Plays an outage; returns who was late, and the most reads a second."""
    contact_s, apply_s, reads_per_s = SITES[instances]

    async def scenario(world):
        outage = outages.Outage(world, kind)
        outage.change()
        # The watches of the instances are no longer in step.
        await asyncio.sleep(8.0)
        await outage.run(lasts_s, contact_s)
        await asyncio.sleep(apply_s)
        late = outage.late(contact_s, apply_s)
        return late, outage.most_reads_in_a_second()

    return relay_harness.run(
        scenario,
        instances,
        3 if instances < 20 else 6,
        store=outages.OutageStore,
        duty_settings=DUTIES[duties],
        reads_per_s=reads_per_s,
        contact_s=contact_s,
    )


class _Alone:
    """No instance tells another one what changed."""

    @staticmethod
    def watch_wait_s(wait_s, _answered_at):
        return wait_s


def timing(instances, draw=0.5):
    """Returns the CallTiming of a site; `draw` is each random number."""
    contact_s, _apply_s, reads_per_s = SITES[instances]
    return _call_timing.CallTiming(
        attrs.evolve(
            relay_harness.CFG, contact_s=contact_s, reads_per_s=reads_per_s
        ),
        types.SimpleNamespace(entries=range(instances)),
        types.SimpleNamespace(registry=range(4 * instances)),
        _Alone(),
        types.SimpleNamespace(random=lambda: draw),
    )


@pytest.mark.parametrize('instances', SITES)
def test_waits_pauses_and_answers_add_up_to_the_time_of_the_settings(
    instances,
):
    """Incident CONFIG: each was reasonable, and nothing added them up."""
    slowest = timing(instances, draw=1.0)
    interval_s = slowest.interval_s()
    waits = [
        control.CALL_TIMEOUT_S,
        slowest.watch_timeout_s(0.0) + control.WATCH_MARGIN_S,
    ]
    for taken_s in (0.0, *waits):
        for failures in range(20):
            pause_s = slowest.retry_pause_s(failures, taken_s)
            assert taken_s + pause_s <= interval_s
    contact_s = SITES[instances][0]
    last_s = slowest.listing_delay_s() + _call_timing.ANSWER_S
    assert interval_s + last_s <= contact_s
    assert slowest.bound_s() <= contact_s


@pytest.mark.parametrize('kind', outages.Kind)
def test_a_change_is_in_force_in_time_whenever_an_outage_ends(kind):
    """Incident CONFIG: a hung watch and a pause added up to over contactMs."""
    late = {}
    for step in range(round(10 * PERIOD_S)):
        lasts_s = SHORTEST_S + step / 10
        found, _reads = play(9, kind, lasts_s)
        if found:
            late[lasts_s] = max(late_s for _name, _version, late_s in found)
    assert late == {}


@pytest.mark.parametrize('duties', [False, True])
@pytest.mark.parametrize('kind', outages.Kind)
def test_instances_that_tell_each_other_return_in_time(kind, duties):
    """Incident CONFIG, also where others tell what changed."""
    assert play(58, kind, 4.9, duties)[0] == []


@pytest.mark.parametrize(
    ('kind', 'duties'),
    [
        (outages.Kind.SILENT, False),
        (outages.Kind.RESTORED, False),
        (outages.Kind.SILENT, True),
    ],
)
def test_hundreds_of_instances_return_in_time_and_in_no_rush(kind, duties):
    """Incident CONFIG: a bound that calls too often would cost the store."""
    late, reads = play(390, kind, 9.5, duties)
    assert late == []
    assert reads <= SITES[390][2]


def _registration(world, name):
    """Returns the store and the Registration of an instance."""
    loop = asyncio.get_running_loop()
    store = outages.OutageStore(loop, world.items)
    node = world.nodes[name]
    entry = addresses.InstanceEntry(
        name, '127.0.0.1:1', node.data_centre, 'north', 1.0
    )
    registration = control.Registration(
        loop, store, node.log, entry, registering.LEASE_S
    )
    return store, registration


@pytest.mark.parametrize('step', range(0, round(10 * PERIOD_S), 2))
def test_the_own_entry_is_back_in_time_whenever_an_outage_ends(step):
    """Incident CONFIG, looked for in the renewal of the lease."""

    async def scenario(world):
        store, registration = _registration(world, 'n-0')
        registration.start()
        await asyncio.sleep(8.0 + step / 100)
        store.fall_silent()
        await asyncio.sleep(SHORTEST_S + step / 10)
        world.items.expire(asyncio.get_running_loop().time())
        store.silent = False
        await asyncio.sleep(SITES[9][0])
        world.items.expire(asyncio.get_running_loop().time())
        registration.close()
        return world.items.get(world.nodes['n-0'].entry_key)

    assert relay_harness.run(scenario, 1, 1) is not None
