"""Random faults of instances that follow one store, and their checks.

    python -m dandelionwinch.tests.relay_faults FIRST_SEED LAST_SEED

In virtual time, 40 instances in 4 data centres. Prints what failed.
"""

import asyncio
import sys

from dandelionwinch.platform import samples
from dandelionwinch.tests import relay_harness

LEASE_S = 4.0
# Time until each instance knows a change while the store serves another one
# of its data centre.
BOUND_S = 2.5
# Time in which an instance has started, and those around it know of it.
SETTLE_S = 4.0
# Time until a configuration is in force where the store serves.
CONFIG_S = 4.0


class Run:
    """Injects faults into a World, and records when each instance had one.

    Args:
        world: World.

    Attributes:
        late: Instance, time of the change and seconds until it knew it.
        checked: Number of changes at instances that were checked.
        faults: Number of faults, by name.
    """

    def __init__(self, world):
        self._world = world
        self._loop = asyncio.get_running_loop()
        self._rng = world.rng
        # Begin and end of each fault of a node, by name.
        self._away = {}
        self._cut_off = {}
        self._common = []
        self._configs = []
        self._started = 0
        self.late = []
        self.checked = 0
        self.faults = {}

    async def run(self, duration_s):
        """Writes changes and injects faults, then checks what was learned."""
        tasks = [
            self._loop.create_task(step())
            for step in (self._write, self._inject)
        ]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(2 * LEASE_S)
        self._check()

    async def _write(self):
        while True:
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            self._world.write()

    async def _inject(self):
        kinds = (
            ['kill', 'refuse', 'refuse', 'hang', 'cut', 'config', 'compact']
            + ['start'] * 2
            + ['watchers', 'down', 'restore', 'delay']
        )
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            kind = self._rng.choice(kinds)
            self.faults[kind] = self.faults.get(kind, 0) + 1
            getattr(self, f'_{kind}')()

    def _pick(self):
        return self._rng.choice(list(self._world.nodes.values()))

    def _kill(self):
        if len(self._world.nodes) > 34:
            self._end(self._pick())

    def _end(self, node):
        self._world.kill(node.name)
        self._loop.call_later(
            LEASE_S, self._world.items.remove, node.entry_key
        )

    def _watchers(self):
        """Turns all watchers of a data centre away."""
        for node in self._world.watchers(self._pick().data_centre):
            self._turn_away(node, 'unavailable')

    def _start(self):
        if len(self._world.nodes) < 44:
            self._started += 1
            name = f's-{self._started}'
            self._world.add(name, self._pick().data_centre)

    def _refuse(self):
        self._turn_away(self._pick(), 'unavailable')

    def _hang(self):
        self._turn_away(self._pick(), 'hanging')

    def _delay(self):
        """Answers to its watches arrive late, as at one that was frozen."""
        self._turn_away(self._pick(), 'late_s')

    def _turn_away(self, node, fault):
        now, lasts_s = self._loop.time(), self._rng.uniform(0.3, 9.0)
        if self._is_away(node, now, now):
            return
        self._away.setdefault(node.name, []).append((now, now + lasts_s))
        setattr(node.store, fault, 3.0 if fault == 'late_s' else True)
        if lasts_s > LEASE_S:
            self._loop.call_later(
                LEASE_S, self._world.items.remove, node.entry_key
            )
        self._loop.call_later(lasts_s, self._serve, node)

    def _serve(self, node):
        # It may have been unavailable with all others, too.
        node.store.unavailable = node.store.hanging = False
        node.store.late_s = 0.0
        if node.name in self._world.nodes:
            node.register()

    def _cut(self):
        """Cuts an instance off from the others, not from the store."""
        node, now = self._pick(), self._loop.time()
        lasts_s = self._rng.uniform(0.5, 5.0)
        self._cut_off.setdefault(node.name, []).append((now, now + lasts_s))
        self._world.network.cut_off.add(node.addr)
        self._loop.call_later(
            lasts_s, self._world.network.cut_off.discard, node.addr
        )

    def _config(self):
        version = self._world.items.revision
        config = samples.config(
            version, [samples.route()], [samples.service()]
        )
        self._world.items.put(samples.CONFIG_KEY, config)
        self._configs.append((self._loop.time(), version))

    def _compact(self):
        self._world.items.compact()

    def _down(self):
        now, lasts_s = self._loop.time(), self._rng.uniform(0.2, 3.0)
        nodes = list(self._world.nodes.values())
        if any(self._is_away(node, now, now) for node in nodes):
            return
        self._common.append((now, now + lasts_s))
        for node in nodes:
            node.store.unavailable = True
        self._loop.call_later(lasts_s, self._all_up, nodes)

    def _all_up(self, nodes):
        now = self._loop.time()
        for node in nodes:
            node.store.unavailable = self._is_away(node, now, now)

    def _restore(self):
        now = self._loop.time()
        copy = self._world.items.snapshot()
        self._loop.call_later(1.0, self._world.items.restore, copy)
        self._common.append((now, now + 1.0 + SETTLE_S))

    def _is_away(self, node, since, until):
        return _overlap(self._away.get(node.name, ()), since, until)

    def _is_cut_off(self, node, since, until):
        return _overlap(self._cut_off.get(node.name, ()), since, until)

    def _check_configs(self):
        for at, version in self._configs:
            until = at + CONFIG_S
            if _overlap(self._common, at - SETTLE_S, until):
                continue
            for node in self._world.nodes.values():
                # Only the store tells a configuration.
                if node.born_at < at - SETTLE_S and not self._is_away(
                    node, at - SETTLE_S, until
                ):
                    self._check_config(node, at, version)

    def _check_config(self, node, at, version):
        self.checked += 1
        times = (when for when, known in node.applied if known >= version)
        took_s = next(times, float('inf')) - at
        if took_s > CONFIG_S:
            self.late.append((node.name, at, took_s))

    def _check(self):
        self._check_configs()
        for at, *written in self._world.written:
            since, until = at - BOUND_S, at + BOUND_S
            if _overlap(self._common, since, until):
                continue
            for node in self._world.nodes.values():
                if node.born_at < at - SETTLE_S and self._served(
                    node.data_centre, since, until
                ):
                    self._check_one(node, at, tuple(written))

    def _served(self, data_centre, since, until):
        return any(
            node.born_at < since - SETTLE_S
            and not self._is_cut_off(node, since - SETTLE_S, until)
            and not self._is_away(node, since - SETTLE_S, until)
            for node in self._world.of(data_centre)
        )

    def _missed_restore(self, node, at):
        """Tells whether the store turned it away over a restore.

        Until it has listed the store again, no other instance can tell it
        what changed.
        """
        return any(
            _overlap(self._common, begin, end) and at <= end + SETTLE_S
            for begin, end in self._away.get(node.name, ())
        )

    def _check_one(self, node, at, written):
        since, until = at - SETTLE_S, at + BOUND_S
        if self._is_away(node, since, until) and self._is_cut_off(
            node, since, until
        ):
            # Neither the store nor another instance reaches it.
            return
        if self._missed_restore(node, at):
            return
        self.checked += 1
        took_s = node.knew_at(written) - at
        if took_s > BOUND_S:
            self.late.append((node.name, at, took_s))


def _overlap(spans, since, until):
    return any(begin <= until and since <= end for begin, end in spans)


async def search(world):
    """Runs faults in a World, and returns the Run."""
    await asyncio.sleep(SETTLE_S + 1.0)
    world.network.doubled, world.network.late = 0.1, 0.05
    faults = Run(world)
    await faults.run(25.0)
    return faults


def main():
    """Searches seeds for a change that an instance learned too late."""
    first, last = map(int, sys.argv[1:3])
    failed = 0
    for seed in range(first, last + 1):
        found = []

        async def scenario(world, found=found):
            run = await search(world)
            found.extend([*run.late, *world.faults().items()])

        relay_harness.run(scenario, 40, 4, seed=seed, loss=0.05)
        failed += bool(found)
        if found:
            print(f'seed {seed}: {found[:3]}')
    print(f'seeds={last + 1 - first} failed={failed}')


if __name__ == '__main__':
    main()
