"""Instances that send bodies to one upstream, in virtual time."""

import asyncio
import random
import types

import attrs
import prometheus_client

from dandelionwinch.gateway import _byte_limits
from dandelionwinch.gateway import _fleet
from dandelionwinch.gateway import _peer_link
from dandelionwinch.gateway import _pool
from dandelionwinch import routes
from dandelionwinch.tests import datagrams
from dandelionwinch.tests import recorder
from dandelionwinch import upstreams

MIB = 1 << 20
LARGEST = 4 * MIB
SIZES = (100, 70_000, MIB, LARGEST)
ANSWER_S = 0.4
# Time after a crash at which an instance has confirmed it.
CONFIRM_S = (0.01, 0.15)


@attrs.define(eq=False)
class _Conn:
    """A connection as far as a guard looks at it."""

    name: str
    size: int
    read_ahead: types.SimpleNamespace = attrs.Factory(types.SimpleNamespace)
    usable: bool = False
    closed_by_peer: bool = False
    unsent: bool = False


class Site:
    """Instances, and an upstream that ends when it holds too much.

    Args:
        count: Number of instances.
        per_s: Large bodies a second that each instance wants to send.
        memory: Bytes at which the upstream crashes.
        loss: Share of the datagrams that are lost.
        seed: Seed of the load and the losses.

    Attributes:
        crashes: Time and bytes of each crash.
        held: Bytes that the upstream holds.
        peaks: The most that it held in each second.
        refused: Sizes of bodies that were refused.
        served: Sizes of bodies that were answered.
    """

    def __init__(self, count, per_s, memory, loss=0.1, seed=1):
        self._loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.network = datagrams.Network(self.rng, loss)
        self.memory = memory
        self.addresses = {
            f'i{number}': (f'10.0.{number // 250}.{number % 250}', 9)
            for number in range(count)
        }
        self.per_s = dict.fromkeys(self.addresses, per_s)
        self.log = recorder.Recorder()
        self.crashes, self.refused, self.served = [], [], []
        self.peaks, self.held = {}, 0
        self._conns, self._born = {}, 1
        self.fleets, self.links, self.limits, self.tasks = {}, {}, {}, {}
        self._registries, self._sends = {}, set()
        for name in self.addresses:
            self.start(name)

    def entry(self):
        return upstreams.Entry(
            'u',
            's',
            '10.1.0.1:80',
            'dc',
            self._born,
            True,
            upstreams.Role.PLAIN,
            4,
        )

    def start(self, name):
        """Starts an instance, also another process of the same name."""
        link = _peer_link.PeerLink(self._loop, self.log, name)
        link.set_peers(self.addresses)
        self.network.add(link, self.addresses[name])
        fleet = self.fleets[name] = _fleet.Fleet(self._loop)
        fleet.registry.apply(self.entry())
        fleet.table = routes.RouteTable(
            1, [], [], routes.Limits(max_body_bytes=LARGEST)
        )
        registry = self._registries[name] = (
            prometheus_client.CollectorRegistry()
        )
        limits = fleet.byte_limits = _byte_limits.ByteLimits(
            self._loop,
            fleet,
            link,
            name,
            self.log,
            registry,
            random.Random(f'{name} {self.rng.random()}'),
        )
        limits.start()
        self.links[name], self.limits[name] = link, limits
        self.tasks[name] = self._loop.create_task(self._call(name))

    def stop(self, name):
        """Kills an instance; its entry stays."""
        self.limits[name].close()
        self.tasks[name].cancel()
        self.network.cut_off.add(self.addresses[name])
        for conn in [c for c in self._conns if c.name == name]:
            self._end(conn)

    def deregister(self, name):
        """Removes the entry of an instance."""
        del self.addresses[name]
        for link in self.links.values():
            link.set_peers(dict(self.addresses))

    def rest(self):
        """Makes all instances send nothing more of their own accord."""
        for task in self.tasks.values():
            task.cancel()

    def owner(self):
        """Returns the name of the instance that grants the shares."""
        shares = self.limits['i0']._shares
        return shares._instances.of(self.guard('i0').key)

    def metrics(self, name):
        """Returns the metric families of an instance."""
        return list(self._registries[name].collect())

    def dropped(self, name):
        """Returns how many datagrams an instance dropped."""
        registry = self._registries[name]
        return sum(
            registry.get_sample_value(
                'dandelionwinch_gateway_byte_reports_total',
                {'result': result},
            )
            or 0
            for result in ('invalid', 'unknown')
        )

    async def close(self):
        tasks = [*self.tasks.values(), *self._sends]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for limits in self.limits.values():
            limits.close()

    def guard(self, name):
        """Returns the guard of an instance for the current incarnation."""
        entry = self.fleets[name].registry.get('u').entry
        guard = self.limits[name]._guards.get(entry.incarnation)
        return guard or self.limits[name].guard(entry)

    def bounds(self):
        """Returns the learnt bound of each instance."""
        return [
            limits._learnt.bytes('s')
            for name, limits in self.limits.items()
            if name in self.addresses
        ]

    async def _call(self, name):
        while True:
            rate = max(1e-6, self.per_s[name])
            await asyncio.sleep(self.rng.expovariate(rate * len(SIZES)))
            size = self.rng.choice(SIZES)
            task = self._loop.create_task(self.send(name, size))
            self._sends.add(task)
            task.add_done_callback(self._sends.discard)

    async def send(self, name, size):
        """Sends a body; returns whether it was answered."""
        guard = self.guard(name)
        conn = _Conn(name, size)
        try:
            await guard.await_room(size, 0.5)
            if guard is not self.guard(name):
                # As of Fleet.serves: the incarnation has gone.
                return False
            reservation = guard.reserve(size)
        except _pool.NoRoom:
            self.refused.append(size)
            return False
        guard.bind(reservation, conn)
        self._conns[conn] = guard
        self._hold(size)
        await asyncio.sleep(ANSWER_S * self.rng.uniform(0.5, 1.5))
        if conn not in self._conns:
            return False
        self._end(conn)
        self.served.append(size)
        return True

    def _hold(self, size):
        self.held += size
        second = int(self._loop.time())
        self.peaks[second] = max(self.peaks.get(second, 0), self.held)
        if self.held > self.memory:
            self.crash()

    def _end(self, conn):
        self._conns.pop(conn).end(conn)
        self.held -= conn.size

    def crash(self):
        """Ends the upstream; it starts again as a new incarnation."""
        self.crashes.append((self._loop.time(), self.held))
        names = sorted({conn.name for conn in self._conns})
        crashed = types.SimpleNamespace(entry=self.entry())
        for conn in list(self._conns):
            conn.closed_by_peer = True
            self._end(conn)
        for name in names:
            self._loop.call_later(
                self.rng.uniform(*CONFIRM_S),
                self.limits[name].crashed,
                crashed,
            )
        self.restart()

    def restart(self):
        """Starts the upstream again as a new incarnation."""
        for conn in list(self._conns):
            self._end(conn)
        self._born += 1
        for fleet in self.fleets.values():
            fleet.registry.apply(self.entry())

    def peak(self, since):
        """Returns the most that the upstream held from a second on."""
        return max(
            (held for at, held in self.peaks.items() if at >= since),
            default=0,
        )
