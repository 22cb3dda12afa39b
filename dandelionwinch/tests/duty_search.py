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

from dandelionwinch import control
from dandelionwinch.control import _lease_holder
from dandelionwinch.platform import samples
from dandelionwinch.standins import duty_ledger
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import duty_node
from dandelionwinch.tests import node_loop

NODES = 4
FAULTS_UNTIL_S = 45.0
# A holder must act again this long after the last fault: its wait, a thaw,
# and the time in which the store answers a cut instance's call.
QUIET_S = 16.0
TURN_S = 3.0
# Longest time without a call at the end of a run.
MAX_QUIET_S = 3.0
# Seeds between two lines of a run by hand.
REPORT_EVERY = 50
# How often the store ends leases and serves watches.
TICK_S = 0.05
LATENCY_S = (0.001, 0.015)


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
        orders: Whether role orders are sent, without duties, in place of
            duty calls.
    """

    def __init__(self, loop, seed, faults=None, nodes=NODES, orders=False):
        self.loop = loop
        self.rng = random.Random(seed)
        self.items = kvitems.KvItems()
        self.items.put(samples.CONFIG_KEY, samples.config(1, []))
        self.store_delay = 1.0
        self.orders = orders
        handover_s = TURN_S if orders else 0.0
        self.ledgers = [
            duty_ledger.DutyLedger(TURN_S, handover_s) for _name in range(2)
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
        node = duty_node.Node(self, name, f'{name}#{next(self._incarnations)}')
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

    async def run(self, until_s=FAULTS_UNTIL_S, pause_s=2.0):
        """Injects faults for some time."""
        while self.loop.time() < until_s:
            await asyncio.sleep(self.rng.uniform(0.1, 2 * pause_s))
            self._copies.append(self.items.snapshot())
            if not self.nodes:
                continue
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
        """Returns the result of a watch, WAITS if there is none yet."""
        if after.epoch != self.items.epoch:
            return control.EpochChanged('during a watch')
        found = self.items.changes(prefix, after.number)
        if found is None:
            return control.HistoryGone('history is gone')
        if not found and self.loop.boot_time() < until:
            return duty_node.WAITS
        return duty_node.listing(self.items, found)

    def _serve_watches(self):
        """Ends leases and serves the watches that wait, again and again."""
        self.items.expire(self.loop.boot_time())
        watches, self.watches = self.watches, []
        for serve, function, answer in watches:
            if not answer.done():
                serve(function, answer, True)
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


def _stale_view(world):
    """Deletes the key of a holder whose watch is late and then cut off.

    Its renewals still work, so it may take an old view for a new one.
    """
    item = world.items.get(_lease_holder.HOLDER_KEY)
    for node in world.nodes:
        if item is not None and item.value.decode() == node.name:
            node.store.delay_watch(world.rng.uniform(0.0, 3.5), 12.0)
    world.later(
        world.rng.uniform(0.0, 3.5),
        world.items.remove,
        _lease_holder.HOLDER_KEY,
    )


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
    'stale_view': _stale_view,
    'restore': World.restore,
    'lose_answers': _lose_answers,
    'delay_writes': _delay_writes,
    'slow_store': _slow_store,
}


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
    seed,
    faults=None,
    nodes=NODES,
    pause_s=2.0,
    until_s=FAULTS_UNTIL_S,
    orders=False,
):
    """Runs one seed and returns Found.

    Args:
        seed: Seed of everything random.
        faults: Names of the faults to inject, or None for all.
        nodes: Number of instances.
        pause_s: Mean time between two faults.
        until_s: Time until which faults are injected.
        orders: Whether to search with role orders, and without duties.
    """
    loop = node_loop.NodeLoop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(lambda *_args: None)
    try:
        return loop.run_until_complete(
            _search(loop, seed, faults, nodes, pause_s, until_s, orders)
        )
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
            # A killed node's tasks never end.
            task._log_destroy_pending = False
        asyncio.set_event_loop(None)
        loop.close()


async def _search(loop, seed, faults, nodes, pause_s, until_s, orders):
    world = World(loop, seed, faults, nodes, orders)
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
    for number in range(1, count + 1):
        found = search(first + number - 1)
        calls += found.calls
        holders += found.holders
        if found.violations or found.quiet_s > MAX_QUIET_S:
            broken += 1
            print(first + number - 1, found.quiet_s, found.violations[:2])
        for kind, seconds in found.gaps.items():
            gaps[kind] += seconds
        if number % REPORT_EVERY == 0 or number == count:
            print(
                f'seeds={number} broken={broken} calls={calls} '
                f'holders={holders}',
                {kind: describe(values) for kind, values in gaps.items()},
                flush=True,
            )


def describe(seconds):
    """Returns the number, median, 90th and 99th percentile and maximum."""
    ordered = sorted(seconds)
    parts = [ordered[int(q * (len(ordered) - 1))] for q in (0.5, 0.9, 0.99, 1)]
    return len(ordered), [round(part, 2) for part in parts]


if __name__ == '__main__':
    main()
