"""A seeded search for calls of duties that break the rules of holders.

Several instances follow one store, of which one performs duties. They are
killed, frozen, stopped and cut off, and the store is restored, slow, or
loses keys. Each call that arrives is checked.

`python -m dandelionwinch.tests.duty_search FIRST COUNT` runs seeds by hand.
"""

import asyncio
import collections
import contextvars
import itertools
import random
import sys

import attrs
import prometheus_client

from dandelionwinch import addresses
from dandelionwinch import control
from dandelionwinch.control import _duty_calls
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _registration
from dandelionwinch.control import _workers
from dandelionwinch import gateway
from dandelionwinch import leadership
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch.standins import duty_ledger
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import node_loop
from dandelionwinch.tests import recorder

NODES = 4
FAULTS_UNTIL_S = 60.0
# A holder must act again this long after the last fault: its wait, a thaw,
# and the time in which the store answers a cut instance's call.
QUIET_S = 25.0
TURN_S = 3.0
STORE_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 0.6
API_TIMEOUT_S = 2.0
# How often the store ends leases and serves watches.
TICK_S = 0.05
LATENCY_S = (0.001, 0.015)
SUBJECTS = ('usage', 's/a', 's/b')
DUTIES = control.DutySettings('duties', frozenset(control.Duty))
CFG = attrs.evolve(_boot.read(samples.settings()), duty_settings=DUTIES)


# Result of a watch that has nothing to report yet.
_WAITS = object()


class World:
    """The store, the duty API and the instances.

    Attributes:
        items: KvItems of the store.
        store_delay: Factor of the store's latency.
        ledgers: DutyLedger by instance and by name: an instance that starts
            again is another holder with the same name.
        gaps: Seconds from the end of a holder to the next holder's first
            call, by how it ended.
        faults: Number of faults, by name.
    """

    def __init__(self, loop, seed, faults=None, nodes=NODES):
        self.loop = loop
        self.rng = random.Random(seed)
        self.items = kvitems.KvItems()
        self.items.put(samples.CONFIG_KEY, samples.config(1, []))
        self.store_delay = 1.0
        self.ledgers = [
            duty_ledger.DutyLedger(TURN_S),
            duty_ledger.DutyLedger(TURN_S),
        ]
        self.gaps = collections.defaultdict(list)
        self.faults = collections.Counter()
        self._kinds = faults or tuple(FAULTS)
        self._ended = None
        self._last = None
        self._incarnations = itertools.count(1)
        self._copies = [self.items.snapshot()]
        self.last_call_at = 0.0
        # Watches that wait for a change, with what serves them.
        self.watches = []
        self._serve_watches()
        self.nodes = [self._start(f'n{n}') for n in range(nodes)]

    def _start(self, name):
        node = Node(self, name, f'{name}#{next(self._incarnations)}')
        node.state.run(node.start)
        return node

    def latency_s(self):
        """Returns the time of one way to or from a server."""
        return self.rng.uniform(*LATENCY_S)

    def arrived(self, node, subject, token):
        """Checks a call that arrived at the duty API."""
        now = self.loop.boot_time()
        for ledger, holder in zip(
            self.ledgers, (node.identity, node.name), strict=True
        ):
            ledger.record(duty_ledger.Call(now, subject, holder, token))
        if self._ended is not None and self._ended[1] is not node:
            kind, _node, at = self._ended
            self.gaps[kind].append(now - at)
            self._ended = None
        self._last = node
        self.last_call_at = now

    async def run(self, until_s=FAULTS_UNTIL_S, pause_s=3.0):
        """Injects faults for some time."""
        while self.loop.time() < until_s:
            await asyncio.sleep(self.rng.uniform(0.1, 2 * pause_s))
            self._copies.append(self.items.snapshot())
            kind = self.rng.choice(self._kinds)
            self.faults[kind] += 1
            FAULTS[kind](self)

    async def settle(self):
        """Ends all faults and waits for a holder."""
        for node in self.nodes:
            node.end_faults()
        self.store_delay = 1.0
        await asyncio.sleep(QUIET_S)

    def pick(self):
        """Returns a node, often the one that called last."""
        if self._last in self.nodes and self.rng.random() < 0.6:
            return self._last
        return self.rng.choice(self.nodes)

    def changes(self, prefix, after, until):
        """Returns the result of a watch, _WAITS if there is none yet."""
        if after.epoch != self.items.epoch:
            return control.EpochChanged('during a watch')
        found = self.items.changes(prefix, after.number)
        if found is None:
            return control.HistoryGone('history is gone')
        if not found and self.loop.boot_time() < until:
            return _WAITS
        return _listing(self.items, found)

    def _serve_watches(self):
        """Ends leases and serves the watches that wait, again and again."""
        self.items.expire(self.loop.boot_time())
        watches, self.watches = self.watches, []
        for serve, function, answer in watches:
            if not answer.done():
                serve(function, answer)
        self.later(TICK_S, self._serve_watches)

    def later(self, delay_s, function, *args):
        """Calls a function later, outside all nodes."""
        outside = contextvars.Context()
        outside.run(self.loop.call_later, delay_s, function, *args)

    def end(self, node, kind):
        """Replaces a node; a new one with its name starts later."""
        if node not in self.nodes:
            return
        self.nodes.remove(node)
        if node is self._last and self._ended is None:
            self._ended = (kind, node, self.loop.boot_time())
        self.later(self.rng.uniform(0.5, 8.0), self._replace, node.name)

    def _replace(self, name):
        self.nodes.append(self._start(name))

    def restore(self):
        """Restores the store from one of the last copies."""
        self.items.restore(self.rng.choice(self._copies[-6:]))

    def violations(self):
        """Returns the violations that were found."""
        return [text for ledger in self.ledgers for text in ledger.violations]


def _kill(world):
    node = world.pick()
    world.loop.kill_node(node.state)
    world.end(node, 'kill')


def _stop(world):
    node = world.pick()
    if node.state.stopped:
        return
    world.loop.create_task(node.resign(), context=node.state.context)
    world.end(node, 'stop')


def _freeze(world):
    node = world.pick()
    if node.state.stopped:
        return
    world.loop.stop_node(node.state)
    seconds = world.rng.choice((0.5, 2.5, 4.0, 9.0)) * world.rng.random()
    world.later(seconds, world.loop.resume_node, node.state)


def _suspend(world):
    node = world.pick()
    if node.state.stopped:
        return
    world.loop.stop_node(node.state)
    seconds = world.rng.choice((2.5, 9.0)) * world.rng.random()
    world.later(seconds, world.loop.resume_node, node.state, seconds)


def _cut_store(world):
    world.pick().store.cut(
        world.rng.choice(('requests', 'answers', 'both')),
        world.rng.uniform(0.2, 6.0),
    )


def _cut_api(world):
    node = world.pick()
    node.api_cut_until = world.loop.boot_time() + world.rng.uniform(0.2, 6.0)


def _delete_key(world):
    world.items.remove(_lease_holder.HOLDER_KEY)


def _usurp(world, again=True):
    """Deletes the key of a holder that then learns nothing of it.

    It acts on its last verification as long as it may. The same may happen
    to its successor, so that the first holder can come back early.
    """
    item = world.items.get(_lease_holder.HOLDER_KEY)
    for node in world.nodes:
        if item is not None and item.value.decode() == node.name:
            node.store.cut('requests', world.rng.uniform(1.5, 3.0))
    world.items.remove(_lease_holder.HOLDER_KEY)
    if again and world.rng.random() < 0.7:
        world.later(world.rng.uniform(0.5, 6.0), _usurp, world, False)


def _end_leases(world):
    world.items.revoke_all()


def _lose_answers(world):
    world.pick().store.lost_answers += 1


def _delay_writes(world):
    node = world.pick()
    node.store.late_until = world.loop.boot_time() + 3.0


def _slow_store(world):
    world.store_delay = 50.0
    world.later(world.rng.uniform(0.5, 4.0), _restore_speed, world)


def _restore_speed(world):
    world.store_delay = 1.0


FAULTS = {
    'kill': _kill,
    'stop': _stop,
    'freeze': _freeze,
    'suspend': _suspend,
    'cut_store': _cut_store,
    'cut_api': _cut_api,
    'delete_key': _delete_key,
    'end_leases': _end_leases,
    'usurp': _usurp,
    'restore': World.restore,
    'lose_answers': _lose_answers,
    'delay_writes': _delay_writes,
    'slow_store': _slow_store,
}


class NodeStore:
    """One instance's connection to the store, over a faulty network.

    Attributes:
        epochs: EpochTracker of all responses.
        lost_answers: How many next answers are lost.
        late_until: Time until which writes arrive late, after their caller
            gave up.
    """

    def __init__(self, world):
        self._world = world
        self._cut_until = 0.0
        self._cut_kind = ''
        self.lost_answers = 0
        self.late_until = 0.0
        self.epochs = control.EpochTracker()

    def cut(self, kind, seconds):
        """Loses requests, answers or both for some time."""
        self._cut_kind = kind
        self._cut_until = self._world.loop.boot_time() + seconds

    def end_faults(self):
        """Ends all faults."""
        self._cut_until = self.late_until = 0.0
        self.lost_answers = 0

    def _loses(self, kind):
        cut = self._world.loop.boot_time() < self._cut_until
        return cut and self._cut_kind in (kind, 'both')

    def _delay_s(self):
        return self._world.latency_s() * self._world.store_delay

    async def _call(self, function, timeout_s=STORE_TIMEOUT_S, late=False):
        """Returns the result of a function that runs at the store."""
        loop = asyncio.get_running_loop()
        answer = loop.create_future()
        at_send = self.epochs.current
        delay_s = self._delay_s()
        if late and loop.boot_time() < self.late_until:
            delay_s = self._world.rng.uniform(0.5, 8.0)
        if not self._loses('requests'):
            self._world.later(delay_s, self._serve, function, answer)
        try:
            async with asyncio.timeout(timeout_s):
                epoch, result = await answer
        except TimeoutError:
            raise control.StoreFailed('no answer') from None
        if not self.epochs.observe(str(epoch), at_send):
            raise control.EpochChanged('of an older epoch')
        if isinstance(result, Exception):
            raise result
        return result

    def _serve(self, function, answer):
        items = self._world.items
        items.expire(self._world.loop.boot_time())
        epoch = items.epoch
        result = function()
        if result is _WAITS:
            self._world.watches.append((self._serve, function, answer))
            return
        if self.lost_answers:
            self.lost_answers -= 1
            return
        if not self._loses('answers'):
            self._world.later(
                self._delay_s(), _answer, answer, (epoch, result)
            )

    def _check(self, lease, epoch):
        if lease.epoch != epoch:
            raise control.LeaseEnded('of another epoch')

    async def list(self, prefix):
        """Returns a Listing of all items."""
        items = self._world.items

        def read():
            found, _more = items.page(prefix, '', 100_000)
            return _listing(items, found)

        return await self._call(read)

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of changes, after `wait_s` at the latest."""
        if after.epoch != self.epochs.current:
            raise control.EpochChanged('before a watch')
        until = self._world.loop.boot_time() + wait_s
        return await self._call(
            lambda: self._world.changes(prefix, after, until),
            wait_s + WATCH_MARGIN_S,
        )

    async def grant_lease(self, ttl_s):
        """Returns a new Lease."""
        items = self._world.items

        def grant():
            lease_id = items.grant(ttl_s, self._world.loop.boot_time())
            return control.Lease(lease_id, items.epoch)

        return await self._call(grant)

    async def renew_lease(self, lease):
        """Renews a lease."""
        self._check(lease, self.epochs.current)
        items = self._world.items

        def renew():
            if items.renew(lease.id, self._world.loop.boot_time()):
                return None
            return control.LeaseEnded('no such lease')

        await self._call(renew)
        self._check(lease, self.epochs.current)

    async def revoke_lease(self, lease):
        """Revokes a lease."""
        if lease.epoch == self.epochs.current:
            await self._call(lambda: self._world.items.revoke(lease.id))

    async def put(self, key, value, lease=None, revision=None):
        """Writes a key."""
        items = self._world.items
        conditions = [] if revision is None else [(key, revision)]
        lease_id = 0
        if lease is not None:
            self._check(lease, self.epochs.current)
            lease_id = lease.id

        def commit():
            made = items.commit(conditions, [(key, value, lease_id)], [])
            match made:
                case kvitems.Rejection.CONDITION:
                    return control.Conflict('the condition does not hold')
                case kvitems.Rejection.LEASE:
                    return control.LeaseEnded('no such lease')
            return control.Revision(items.epoch, made)

        result = await self._call(commit, late=True)
        if lease is not None:
            self._check(lease, result.epoch)
        return result


def _answer(answer, value):
    if not answer.done():
        answer.set_result(value)


def _listing(items, found):
    return control.Listing(
        tuple(control.Item(i.key, i.value, i.revision) for i in found),
        control.Revision(items.epoch, items.revision),
    )


class NodeApi:
    """One instance's connection to the duty API."""

    def __init__(self, world, node):
        self._world = world
        self._node = node

    async def order_capacity(self, holder, token, order, may_act):
        """Makes a call about the subject `order`."""
        await asyncio.sleep(self._world.latency_s())
        if self._world.loop.boot_time() < self._node.api_cut_until:
            return control.NotSent('cut')
        if not may_act():
            return control.NotSent('the lease is not certain')
        # Bytes that are lost at first arrive later, or never.
        delay_s = self._world.latency_s()
        if self._world.rng.random() < 0.1:
            delay_s = self._world.rng.uniform(0, leadership.CALL_DELIVERY_S)
        answer = asyncio.get_running_loop().create_future()
        self._world.later(delay_s, self._arrive, order, token, answer)
        try:
            async with asyncio.timeout(API_TIMEOUT_S):
                await answer
        except TimeoutError:
            return control.Unanswered('silent')
        return control.Accepted()

    def _arrive(self, subject, token, answer):
        self._world.arrived(self._node, subject, token)
        if self._world.loop.boot_time() >= self._node.api_cut_until:
            self._world.later(self._world.latency_s(), _answer, answer, None)

    def close(self):
        """Does nothing, as there is no connection."""


class EagerDuty:
    """Calls as often as it may."""

    def __init__(self, world, calls, name):
        self._world = world
        self._calls = calls
        self.name = name

    async def perform(self, authority):
        """Calls for some time."""
        for _call in range(3):
            await self._calls.order_capacity(
                authority.name,
                authority.token,
                self._world.rng.choice(SUBJECTS),
                authority.may_act,
            )
            await asyncio.sleep(self._world.rng.uniform(0.02, 0.5))


class Node:
    """An instance, from its start to its end.

    Attributes:
        identity: Name that no other instance ever has.
        state: NodeState.
        store: NodeStore.
        api_cut_until: Time at which a cut from the duty API ends.
    """

    def __init__(self, world, name, identity):
        self._world = world
        self.name = name
        self.identity = identity
        self.state = node_loop.NodeState()
        self.store = NodeStore(world)
        self.api_cut_until = 0.0

    def start(self):
        """Starts all tasks."""
        world, loop = self._world, self._world.loop
        rng = random.Random(world.rng.random())
        log = recorder.Recorder()
        cfg = attrs.evolve(CFG, instance=self.name)
        self._gateway = gateway.Gateway(
            loop, _wire_codec.WireCodec(), log, cfg, rng
        )
        self._sync = control.StoreSync(
            loop,
            self.store,
            _store_codec.StoreCodec(),
            self._gateway,
            cfg,
            log,
            rng,
            lambda _table: None,
        )
        entry = addresses.InstanceEntry(self.name, '10.0.0.1:1', 'a', 'north')
        self._registration = _registration.Registration(
            loop, self.store, log, entry, cfg.min_lease_s
        )
        calls = _duty_calls.DutyCalls(
            loop,
            NodeApi(world, self),
            log,
            prometheus_client.CollectorRegistry(),
        )
        duties = [EagerDuty(world, calls, name) for name in ('one', 'two')]
        self.holder = _lease_holder.LeaseHolder(
            loop,
            self.store,
            self._sync,
            _workers.DutyRunner(loop, duties, calls, log),
            log,
            rng,
            cfg,
            loop.boot_time,
        )
        self.store.epochs.on_change = lambda *_change: (
            self._sync.epoch_changed()
        )
        self._sync.start()
        self._registration.start()
        self.holder.start()

    async def resign(self):
        """Stops gracefully."""
        await asyncio.gather(
            self._registration.withdraw(),
            self.holder.resign(),
            return_exceptions=True,
        )
        self._sync.close()

    def end_faults(self):
        """Ends all faults but a freeze."""
        self.store.end_faults()
        self.api_cut_until = 0.0


@attrs.frozen
class Found:
    """What one seed found.

    Attributes:
        violations: Texts of broken rules.
        calls: Number of calls that arrived.
        holders: Changes of the holder of a subject.
        faults: Number of faults, by name.
        gaps: Seconds from the end of a holder to its successor's first call,
            by how it ended.
        quiet_s: Seconds from the last call to the end.
    """

    violations: list
    calls: int
    holders: int
    faults: dict
    gaps: dict
    quiet_s: float


def search(
    seed, faults=None, nodes=NODES, pause_s=3.0, until_s=FAULTS_UNTIL_S
):
    """Runs one seed and returns Found.

    Args:
        seed: Seed of everything random.
        faults: Names of the faults to inject, or None for all.
        nodes: Number of instances.
        pause_s: Mean time between two faults.
        until_s: Time until which faults are injected.
    """
    loop = node_loop.NodeLoop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(lambda *_args: None)
    try:
        return loop.run_until_complete(
            _search(loop, seed, faults, nodes, pause_s, until_s)
        )
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
            # A killed node's tasks never end.
            task._log_destroy_pending = False
        asyncio.set_event_loop(None)
        loop.close()


async def _search(loop, seed, faults, nodes, pause_s, until_s):
    world = World(loop, seed, faults, nodes)
    await world.run(until_s, pause_s)
    await world.settle()
    return Found(
        world.violations(),
        world.ledgers[0].calls,
        world.ledgers[0].holders,
        dict(world.faults),
        dict(world.gaps),
        loop.time() - world.last_call_at,
    )


def main():
    """Runs seeds and prints violations and the time to a new holder."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    calls = holders = broken = 0
    gaps = collections.defaultdict(list)
    for seed in range(first, first + count):
        found = search(seed)
        calls += found.calls
        holders += found.holders
        if found.violations or found.quiet_s > 3.0:
            broken += 1
            print(seed, found.quiet_s, found.violations[:2], flush=True)
        for kind, seconds in found.gaps.items():
            gaps[kind] += seconds
    print(f'seeds={count} broken={broken} calls={calls} holders={holders}')
    for kind, seconds in sorted(gaps.items()):
        print(kind, describe(seconds))


def describe(seconds):
    """Returns the number, median, 90th and 99th percentile and maximum."""
    ordered = sorted(seconds)
    parts = [ordered[int(q * (len(ordered) - 1))] for q in (0.5, 0.9, 0.99, 1)]
    return len(ordered), [round(part, 2) for part in parts]


if __name__ == '__main__':
    main()
