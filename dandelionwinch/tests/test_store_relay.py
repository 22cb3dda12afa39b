"""Watchers tell their data centre what changed in the store."""

import asyncio
import base64
import json
import random

import pytest

from dandelionwinch import control
from dandelionwinch.control import _due_calls
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _usage_duty
from dandelionwinch.platform import samples
from dandelionwinch import relay
from dandelionwinch.tests import relay_faults
from dandelionwinch.tests import relay_harness

START_S = 5.0
# Longest time until each instance knows a change.
BOUND_S = 2.5
# An upstream that is draining or gone gets nothing new after this time.
DRAIN_S = 4.0
# What an instance that starts asks whether changes are relayed or not.
OF_STREAMS = {'need', 'records'}


def run(scenario, instances=24, data_centres=2, **kwargs):
    """Runs a scenario after its instances have started."""

    async def started(world):
        await asyncio.sleep(START_S)
        await scenario(world)
        assert world.faults() == {}

    relay_harness.run(started, instances, data_centres, **kwargs)


def nodes_of(world):
    return list(world.nodes.values())


def put_upstream(world, name, **changes):
    world.items.put(samples.entry_key(name), samples.entry(**changes))


def put_config(world, version):
    value = samples.config(version, [samples.route()], [samples.service()])
    world.items.put(samples.CONFIG_KEY, value)


def test_two_watchers_of_a_data_centre_watch_and_the_others_listen():
    """Fails if instances that are told still call the store."""

    async def scenario(world):
        before = {n.name: n.store.reads for n in nodes_of(world)}
        for _ in range(10):
            assert max(await world.learned(nodes_of(world), 1.0)) < 0.9
        callers = {
            node.name
            for node in nodes_of(world)
            if node.store.reads > before[node.name]
        }
        watchers = world.watchers('dc-0') + world.watchers('dc-1')
        assert callers == {'n-0', *(node.name for node in watchers)}
        assert all(node.sync.ages.age_s() < 1.5 for node in nodes_of(world))

    run(scenario)


@pytest.mark.parametrize(
    ('instances', 'changes'),
    [
        (19, {}),
        (24, {'peer_port': 0}),
        (24, {'duty_settings': control.DutySettings()}),
        (24, {'duty_settings': control.DutySettings('', relay_harness.ALL)}),
    ],
)
def test_where_nothing_is_relayed_the_store_is_called_as_before(
    instances, changes
):
    """Guards the calls and their times with few instances, no port or duty."""

    async def scenario(world):
        for _ in range(5):
            assert max(await world.learned(nodes_of(world), 1.3)) < 1.3
        reads.append([node.store.read_at for node in nodes_of(world)])
        assert set(world.network.sent_by_kind) <= OF_STREAMS

    reads = []
    run(scenario, instances, relayed=True, **changes)
    run(scenario, instances, relayed=False)
    assert reads[0] == reads[1]


def test_small_data_centres_call_the_store_no_more_often_than_before():
    """Where both instances watch, none has to hear from them each second."""

    async def scenario(world):
        before = world.reads()
        for _ in range(8):
            assert max(await world.learned(nodes_of(world), 1.5)) < 1.3
        reads.append(world.reads() - before)

    reads = []
    for relayed in (True, False):
        run(scenario, 22, 11, relayed=relayed)
    assert reads[0] < 1.05 * reads[1]


def test_without_duties_questions_and_messages_have_no_effect():
    """An instance with other settings must not put the relay in force."""

    async def scenario(world):
        node, sender = nodes_of(world)[:2]
        take = node.gateway.peers.datagram_received
        take(b'["changes?", null, 1]', sender.addr)
        take(message(world, after=world.items.revision + 1), sender.addr)
        assert node.sync.view.number == world.items.revision
        await asyncio.sleep(1.0)
        assert node.role() == 'alone'
        assert set(world.network.sent_by_kind) <= OF_STREAMS

    run(scenario, duty_settings=control.DutySettings())


@pytest.mark.parametrize('count', [1, 2])
def test_others_take_the_place_of_watchers_that_were_killed(count):
    """With both dead, a change is known 1.5 s later, and few calls made."""

    async def scenario(world):
        for node in world.watchers('dc-1')[:count]:
            world.kill(node.name)
        within_s = 0.9 if count == 1 else BOUND_S
        left = nodes_of(world)
        assert max(await world.learned(left, BOUND_S)) < within_s
        reads = world.reads()
        assert max(await world.learned(left, BOUND_S)) < 0.9
        assert world.reads() - reads < 0.5 * len(left) * BOUND_S

    run(scenario)


@pytest.mark.parametrize('fault', ['unavailable', 'hanging'])
def test_instances_that_the_store_turns_away_are_told_by_one_it_serves(
    fault,
):
    """Only the last one of its data centre in the order is served."""

    async def scenario(world):
        order = relay.order(node.name for node in world.of('dc-1'))
        for name in order[:-1]:
            setattr(world.nodes[name].store, fault, True)
        assert max(await world.learned(nodes_of(world), 5)) < BOUND_S
        # Their leases end, and with these their entries.
        for name in order[:-1]:
            world.items.remove(world.nodes[name].entry_key)
        await asyncio.sleep(3 * BOUND_S)
        for _ in range(4):
            assert max(await world.learned(nodes_of(world), 4)) < BOUND_S
        for name in order[:-1]:
            setattr(world.nodes[name].store, fault, False)
            world.nodes[name].register()
        await asyncio.sleep(2 * BOUND_S)
        assert max(await world.learned(nodes_of(world), BOUND_S)) < 0.9

    run(scenario, 36, 3)


def test_a_watcher_that_is_turned_away_hears_the_other_one():
    async def scenario(world):
        turned_away, other = world.watchers('dc-1')
        turned_away.store.unavailable = True
        for _ in range(5):
            assert max(await world.learned(nodes_of(world), 1.0)) < 0.9
        assert (
            turned_away.sync.ages.age_s()
            < 1.5
            < turned_away.sync.ages.view_age_s()
        )
        assert other.role() == 'watcher'

    run(scenario)


def test_a_receiver_without_datagrams_watches_for_itself():
    """It is cut off from all others, and goes back to listening."""

    async def scenario(world):
        node = world.of('dc-1')[-1]
        world.network.cut_off.add(node.addr)
        for _ in range(3):
            assert max(await world.learned([node], BOUND_S)) < BOUND_S
        world.network.cut_off.clear()
        await asyncio.sleep(BOUND_S)
        reads = node.store.reads
        assert max(await world.learned([node], BOUND_S)) < 0.9
        assert (node.store.reads, node.role()) == (reads, 'listener')

    run(scenario)


def test_changes_in_lost_messages_are_asked_for():
    """A gap is closed by a question, without a call to the store."""

    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        while node.sync.ages.age_s() > 0.05:
            await asyncio.sleep(0.01)
        world.network.cut_off.add(node.addr)
        world.write()
        await asyncio.sleep(0.1)
        reads = node.store.reads
        world.network.cut_off.clear()
        assert max(await world.learned([node], BOUND_S)) < 0.9
        assert node.store.reads == reads
        labels = node.gateway.metrics.relay_messages.labels
        assert labels('gap')._value.get() > 0

    run(scenario)


def message(world, **changes):
    """Returns a `changes` datagram without changes."""
    now = asyncio.get_running_loop().time()
    fields = {
        'epoch': world.items.epoch,
        'before': world.items.revision,
        'after': world.items.revision,
        'listed': world.items.revision,
        'sent': now,
        'age': 0.0,
        'view': 0.0,
        'failed': None,
        'part': 0,
        'parts': 1,
        'piece': '',
    }
    return json.dumps(['changes', *{**fields, **changes}.values()]).encode()


def test_forged_and_malformed_messages_change_nothing():
    """A sender that is unknown, or fields of wrong types and sizes."""

    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        known = world.of('dc-1')[0].addr
        view = node.sync.view
        take = node.gateway.peers.datagram_received
        take(message(world, after=view.number + 9), ('10.9.9.9', known[1]))
        for changes in (
            {'before': 5, 'after': 4},
            {'listed': 1 << 30},
            {'listed': None},
            {'epoch': -1},
            {'epoch': 'x'},
            {'sent': float('nan')},
            {'part': 3, 'parts': 2},
            {'parts': 1 << 40},
            {'piece': 'no base64!'},
            {'piece': 'AAAA'},
            {'piece': 7},
            {'after': 1 << 60},
        ):
            take(message(world, **changes), known)
        assert node.sync.view == view

    run(scenario)


def test_a_false_epoch_costs_few_calls():
    """Fails if each forged datagram makes its receiver call the store."""

    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        sender = world.watchers('dc-1')[0]
        reads, view = node.store.reads, node.sync.view
        for _ in range(200):
            forged = message(world, epoch=world.items.epoch + 1)
            node.gateway.peers.datagram_received(forged, sender.addr)
            await asyncio.sleep(0.02)
        assert node.sync.view.epoch == view.epoch
        assert node.store.reads - reads <= 5

    run(scenario)


def test_a_late_message_makes_no_view_look_younger():
    """Its age counts from its sending, though clocks differ."""

    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        sender = world.watchers('dc-1')[0]
        late = message(world)
        world.network.cut_off.update(n.addr for n in nodes_of(world))
        node.store.unavailable = True
        await asyncio.sleep(3.0)
        node.gateway.peers.datagram_received(late, sender.addr)
        assert node.sync.ages.age_s() > 2.9
        assert node.role() == 'silent'

    run(scenario)


def test_a_view_is_as_old_as_that_of_its_sender():
    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        sender = world.watchers('dc-1')[0]
        for other in world.of('dc-1'):
            other.store.unavailable = True
        await asyncio.sleep(6.0)
        aged = message(world, age=5.5, view=5.5)
        node.gateway.peers.datagram_received(aged, sender.addr)
        assert node.sync.ages.age_s() > 5.4

    run(scenario)


def test_a_late_answer_of_the_store_makes_no_view_look_younger():
    """A watcher that was frozen finds an answer of 5 s ago, and tells it.

    Fails if its arrival counts: strict revocation would accept a key that
    was removed meanwhile.
    """

    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        frozen = world.watchers('dc-1')[0]
        frozen.store.late_s = 5.0
        await asyncio.sleep(1.0)
        for other in nodes_of(world):
            other.store.unavailable = other is not frozen
        await asyncio.sleep(0.2)
        put_config(world, 3)
        began = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < began + 8.0:
            known_s = asyncio.get_running_loop().time() - began
            assert node.tables or node.sync.ages.age_s() >= known_s - 1.0
            await asyncio.sleep(0.05)

    run(scenario)


def test_a_watcher_that_lags_takes_nobody_back():
    """One watcher's messages come seconds after the other one's."""

    async def scenario(world):
        lagging = world.watchers('dc-1')[0]
        send = lagging.gateway.peers._transport.sendto
        loop = asyncio.get_running_loop()
        lagging.gateway.peers._transport.sendto = lambda *args: (
            loop.call_later(3.0, send, *args)
        )
        for _ in range(12):
            assert max(await world.learned(nodes_of(world), 0.9)) < 0.9

    run(scenario)


def test_a_configuration_is_fetched_soon_and_not_by_all_at_once():
    async def scenario(world):
        reads = world.reads()
        put_config(world, 3)
        loop = asyncio.get_running_loop()
        began = loop.time()
        applied_at = {}
        while len(applied_at) < len(world.nodes) and loop.time() < began + 4:
            await asyncio.sleep(0.01)
            for node in nodes_of(world):
                if node.tables:
                    applied_at.setdefault(node.name, loop.time() - began)
        assert len(applied_at) == len(world.nodes)
        assert max(applied_at.values()) < 1.3
        told = [
            applied_at[n.name]
            for n in nodes_of(world)
            if n.role() != 'watcher'
        ]
        assert max(told) - min(told) > 0.5 * _due_calls.SPREAD_S
        assert world.reads() - reads < len(world.nodes) + 20

    run(scenario)


def test_each_configuration_is_in_force_in_time_between_other_changes():
    """Watchers pause between changes and are told of it by each other."""

    async def scenario(world):
        for version in range(3, 15):
            for _ in range(10):
                await asyncio.sleep(0.4 * world.rng.random())
                world.write()
            put_config(world, version)
            await asyncio.sleep(2.0)
            for node in nodes_of(world):
                assert node.tables[-1].version == version

    run(scenario)


def test_a_configuration_is_read_again_from_a_store_that_lags():
    """Fails if an older state of the store ends the search for it."""

    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        revision = control.Revision(world.items.epoch, world.items.revision)
        node.store.old_listing = control.Listing((), revision)
        put_config(world, 3)
        await asyncio.sleep(1.0)
        assert node.tables == []
        node.store.old_listing = None
        await asyncio.sleep(BOUND_S)
        assert [table.version for table in node.tables] == [3]

    run(scenario)


def test_a_missing_configuration_makes_the_view_old():
    """Strict revocation must not trust a view that lacks the keys."""

    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        node.store.unavailable = True
        put_config(world, 3)
        await asyncio.sleep(5.0)
        assert node.sync.ages.age_s() > 4.0
        assert max(await world.learned([node], BOUND_S)) < BOUND_S
        node.store.unavailable = False
        await asyncio.sleep(BOUND_S)
        assert [table.version for table in node.tables] == [3]
        assert node.sync.ages.age_s() < 1.5

    run(scenario)


def test_strict_revocation_bounds_the_age_of_relayed_views():
    async def scenario(world):
        oldest = 0.0
        for _ in range(100):
            await asyncio.sleep(0.1)
            ages = [node.sync.ages.age_s() for node in nodes_of(world)]
            oldest = max(oldest, *ages)
        assert oldest < 1.5

    run(scenario, strict_revoke=True, revoke_s=2.5)


@pytest.mark.parametrize('way', ['draining', 'gone'])
def test_an_upstream_that_leaves_gets_nothing_new_in_time(way):
    """Also if the watchers' calls fail just before, and all hold it."""

    async def scenario(world):
        for number in range(8):
            put_upstream(world, f'i-{number}')
        await asyncio.sleep(2.0)
        for node in world.watchers('dc-1'):
            node.store.unavailable = True
        await asyncio.sleep(0.2)
        for node in world.watchers('dc-1'):
            node.store.unavailable = False
        if way == 'gone':
            world.items.remove(samples.entry_key('i-3'))
        else:
            put_upstream(world, 'i-3', state='draining', sequence=5)
        await asyncio.sleep(DRAIN_S)
        assert all('i-3' not in node.serving() for node in nodes_of(world))

    run(scenario)


def told(world, before, *changes):
    """Returns a `changes` datagram of changes after a revision."""
    (piece,) = relay.encode(changes)
    text = base64.b64encode(piece).decode()
    after = max(before, *(change.revision for change in changes))
    return message(
        world, before=before, after=after, listed=before, piece=text
    )


def test_an_upstream_that_is_written_again_between_two_messages_serves():
    """Also if the messages of two senders arrive in the other order."""

    async def scenario(world):
        put_upstream(world, 'i-1')
        await asyncio.sleep(2.0)
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        first, second = world.watchers('dc-1')
        key, number = samples.entry_key('i-1'), node.sync.view.number
        gone = relay.Change(key, None, number + 1)
        back = relay.Change(key, samples.entry(sequence=9), number + 2)
        take = node.gateway.peers.datagram_received
        take(told(world, number, gone, back), first.addr)
        assert 'i-1' in node.serving()
        # What is older is known, whoever tells it.
        take(told(world, number, gone), second.addr)
        assert 'i-1' in node.serving()
        assert node.sync.view.number == number + 2

    run(scenario)


def test_an_upstream_whose_removal_is_told_before_its_draining_stays_gone():
    """The message with its draining is lost, and arrives late."""

    async def scenario(world):
        put_upstream(world, 'i-1')
        put_upstream(world, 'i-2')
        await asyncio.sleep(2.0)
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        first, second = world.watchers('dc-1')
        key, number = samples.entry_key('i-1'), node.sync.view.number
        entry = samples.entry(state='draining', sequence=9)
        drains = relay.Change(key, entry, number + 1)
        gone = relay.Change(key, None, number + 2)
        take = node.gateway.peers.datagram_received
        # It does not follow what is known: the receiver asks.
        take(told(world, number + 1, gone), first.addr)
        assert node.sync.view.number == number
        take(told(world, number, drains, gone), second.addr)
        assert node.serving() == ['i-2']
        take(told(world, number, drains), first.addr)
        assert node.serving() == ['i-2']
        assert node.sync.view.number == number + 2

    run(scenario)


def test_two_senders_of_different_epochs_take_none_back():
    """One of them has not heard of the restore, and tells its old changes."""

    async def scenario(world):
        old = world.items.snapshot()
        put_upstream(world, 'i-1')
        await asyncio.sleep(2.0)
        world.items.restore(old)
        await asyncio.sleep(2 * BOUND_S)
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        first, _second = world.watchers('dc-1')
        view, lists = node.sync.view, node.store.lists
        entry = samples.entry(sequence=9)
        for number in range(view.number, view.number + 20):
            change = relay.Change(samples.entry_key('old'), entry, number + 1)
            late = json.loads(told(world, number, change))
            late[1] = view.epoch - 1
            take = node.gateway.peers.datagram_received
            take(json.dumps(late).encode(), first.addr)
        assert (node.sync.view, node.serving()) == (view, [])
        await asyncio.sleep(BOUND_S)
        assert node.store.lists == lists

    run(scenario)


def test_entries_that_vanish_in_an_outage_are_held_by_those_that_listen():
    """Only the watchers called the store during the outage."""

    async def scenario(world):
        for number in range(8):
            put_upstream(world, f'i-{number}')
        await asyncio.sleep(2.0)
        for node in nodes_of(world):
            node.store.unavailable = True
        await asyncio.sleep(0.4)
        world.items.remove(samples.entry_key('i-3'))
        for node in nodes_of(world):
            node.store.unavailable = False
        await asyncio.sleep(1.2)
        assert all('i-3' in node.serving() for node in nodes_of(world))
        put_upstream(world, 'i-3')
        await asyncio.sleep(DRAIN_S)
        assert all('i-3' in node.serving() for node in nodes_of(world))

    run(scenario)


def test_after_a_restore_all_list_anew_and_none_believes_old_messages():
    async def scenario(world):
        copy = world.items.snapshot()
        await world.learned(nodes_of(world), 2.0)
        old = message(world, after=world.items.revision + 50)
        lists = {n.name: n.store.lists for n in nodes_of(world)}
        world.items.restore(copy)
        assert max(await world.learned(nodes_of(world), BOUND_S)) < BOUND_S
        for node in nodes_of(world):
            assert node.store.lists == lists[node.name] + 1
            assert node.sync.view.epoch == world.items.epoch
            addr = next(a for a in node.gateway.peers.peers.values())
            node.gateway.peers.datagram_received(old, addr)
            assert node.sync.view.number <= world.items.revision

    run(scenario)


def test_a_restore_while_an_instance_begins_to_act_is_no_fault():
    """It learns the new epoch by another call, such as that of its lease.

    Fails if it tells changes of a view that is no longer of the store.
    """

    async def scenario(world):
        for node in world.watchers('dc-1'):
            world.kill(node.name)
        copy = world.items.snapshot()
        nodes = nodes_of(world)
        while all(node.role() != 'silent' for node in nodes):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        world.items.restore(copy)
        for node in nodes:
            epochs = node.store.epochs
            epochs.observe(str(world.items.epoch), epochs.current)
        await asyncio.sleep(BOUND_S)
        for node in nodes:
            assert 'store.fault' not in node.log.names()
            assert node.sync.view.epoch == world.items.epoch

    run(scenario)


def test_history_that_is_gone_makes_an_instance_list_anew():
    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        world.network.cut_off.add(node.addr)
        node.store.unavailable = True
        world.write()
        await asyncio.sleep(2.0)
        world.write()
        world.items.compact()
        node.store.unavailable = False
        assert max(await world.learned([node], 4.0)) < BOUND_S
        assert 'store.history_gone' in node.log.names()

    run(scenario)


def test_a_listing_is_told_to_those_at_its_beginning_only():
    """A watcher that lists does not know what it missed.

    Fails if an instance that knows a newer entry takes the listing for
    changes since its own view: it would keep the deleted upstream.
    """

    async def scenario(world):
        for number in range(8):
            put_upstream(world, f'i-{number}')
        await asyncio.sleep(2.0)
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        sender = world.watchers('dc-1')[0]
        away = {other.addr for other in world.of('dc-1')}
        world.network.cut_off.add(sender.addr)
        sender.store.unavailable = True
        await asyncio.sleep(0.5)
        put_upstream(world, 'missed')
        await asyncio.sleep(2.0)
        assert 'missed' in node.serving()
        world.network.cut_off.update(away)
        node.store.unavailable = True
        world.items.remove(samples.entry_key('missed'))
        world.write()
        world.items.compact()
        await asyncio.sleep(1.0)
        world.network.cut_off.difference_update({node.addr, sender.addr})
        sender.store.unavailable = False
        await asyncio.sleep(BOUND_S)
        node.store.unavailable = False
        await asyncio.sleep(2 * BOUND_S)
        assert 'missed' not in node.serving()

    run(scenario)


def test_shares_of_limits_follow_the_instances_without_any_change():
    """An instance that has gone counts for 20 s, and no longer.

    Fails if a listener computes its share only with changes: after a quiet
    time it would forget the other one at once, or count it until the next.
    """

    async def scenario(world):
        await asyncio.sleep(25.0)
        gone = next(n for n in world.of('dc-0') if n.role() == 'listener')
        world.kill(gone.name)
        world.items.remove(gone.entry_key)
        for elapsed_s, count in ((2.0, 24), (16.0, 24), (6.0, 23)):
            await asyncio.sleep(elapsed_s)
            for node in nodes_of(world):
                assert node.gateway.fleet.capacity_ratio == count

    run(scenario)


def test_a_new_watcher_does_not_tell_all_that_it_knows():
    """Fails if it sends a minute of changes to each instance at once."""

    async def scenario(world):
        for number in range(240):
            world.items.put(f'other/{number}', world.rng.randbytes(100))
            await asyncio.sleep(0.25)
        first, second = world.watchers('dc-1')
        world.kill(first.name)
        world.items.remove(first.entry_key)
        await asyncio.sleep(0.2)
        (new,) = {*world.watchers('dc-1')} - {second}
        sent = world.network.bytes_by_sender
        before = sent[new.addr]
        await asyncio.sleep(3.0)
        assert new.role() == 'watcher'
        assert sent[new.addr] - before < 3 * 7000

    run(scenario)


def test_an_instance_behind_all_that_is_kept_is_not_told_it_again_and_again():
    """Its store is down. Fails if each question is answered with all of it."""

    async def scenario(world):
        node = next(n for n in world.of('dc-1') if n.role() == 'listener')
        world.network.cut_off.add(node.addr)
        node.store.unavailable = True
        for number in range(280):
            value = world.rng.randbytes(100)
            world.items.put(f'other/{number}', value)
            await asyncio.sleep(0.25)
        world.network.cut_off.clear()
        received = world.network.bytes_by_receiver
        before = received[node.addr]
        for _ in range(20):
            world.write()
            await asyncio.sleep(0.25)
        assert received[node.addr] - before < 5 * 3000

    run(scenario)


def test_the_holder_and_the_next_candidates_keep_a_view_of_their_own():
    """A renewal counts by the own view of the holder only."""

    async def scenario(world):
        holder = world.nodes['n-0']
        for _ in range(40):
            await asyncio.sleep(0.1)
            assert holder.sync.ages.view_age_s() < 1.5
        world.items.remove(_lease_holder.HOLDER_KEY)
        await asyncio.sleep(3.0)
        candidates = holder.sync.candidates()[:3]
        for name in candidates:
            assert world.nodes[name].sync.ages.view_age_s() < 1.5

    run(scenario)


def test_values_too_large_for_messages_are_read_from_the_store():
    async def scenario(world):
        value = random.Random(7).randbytes(40_000)
        world.items.put(_usage_duty.REPORT_KEY, value)
        written = (world.items.epoch, world.items.revision)
        await asyncio.sleep(2.0)
        for node in nodes_of(world):
            assert node.knew_at(written) < float('inf')

    run(scenario)


def test_a_message_of_several_pieces_needs_all_of_them():
    value = random.Random(3).randbytes(5000)
    changes = (relay.Change('a', value, 4), relay.Change('b', None, 5))
    pieces = relay.encode(changes)
    assert len(pieces) > 3
    joined = relay.Assembler()
    order = [2, 0, 0, *range(3, len(pieces)), 1]
    found = [joined.add('n', 1, k, len(pieces), pieces[k]) for k in order]
    assert found[:-1] == [None] * (len(order) - 1)
    assert relay.decode(found[-1], 3, 5) == changes
    with pytest.raises(ValueError, match='another revision'):
        relay.decode(found[-1], 4, 5)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_random_faults_take_none_back_and_keep_none_from_a_change(seed):
    """Lost, late and doubled datagrams, kills, restores, store refusals."""

    async def scenario(world):
        faults = await relay_faults.search(world)
        assert faults.checked > 100
        assert faults.late == []
        assert world.faults() == {}

    relay_harness.run(scenario, 40, 4, seed=seed, loss=0.05)
