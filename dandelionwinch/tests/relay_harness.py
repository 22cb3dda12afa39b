"""Instances of several data centres that follow one store, in virtual time."""

import asyncio
import json
import random

import attrs

from dandelionwinch import addresses
from dandelionwinch import control
from dandelionwinch.control import _registration
from dandelionwinch.control import _role_orders
from dandelionwinch import gateway
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import datagrams
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual

CFG = _boot.read(samples.settings())
# How often a watch of the stand-in looks for changes.
POLL_S = 0.01
REVISION_DIGITS = 1 << 20


class CountingStore(virtual.FaultyStore):
    """A connection that counts reads, and may hang.

    Attributes:
        hanging: Whether calls get no answer for some seconds.
        reads: Number of watches and listings.
        lists: Number of listings of all items.
    """

    def __init__(self, loop, items):
        super().__init__(loop, items)
        self.hanging = False
        self.reads = 0
        self.lists = 0

    async def list(self, prefix):
        """Returns a Listing."""
        self.reads += 1
        self.lists += not prefix
        await self._hang()
        return await super().list(prefix)

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of changes, after `wait_s` at the latest."""
        self.reads += 1
        await self._hang()
        until = self._loop.time() + wait_s
        await self._call()
        while self._items.changes(prefix, after.number) == []:
            left_s = until - self._loop.time()
            changed = after.epoch != self._items.epoch
            if left_s <= 0 or self.unavailable or changed:
                break
            await asyncio.sleep(min(POLL_S, left_s))
        await self._hang()
        return await super().watch(prefix, after, 0.0)

    async def _hang(self):
        if self.hanging:
            await asyncio.sleep(1.5)
            raise control.StoreFailed('no answer')


class Node:
    """An instance: its store sync, gateway and datagrams.

    Attributes:
        seen: Time and value of each change of the stored capacity.
        faults: What the rules of the run forbid and happened.
    """

    def __init__(self, world, name, data_centre, ip, **changes):
        loop = asyncio.get_running_loop()
        self._world = world
        self.name = name
        self.data_centre = data_centre
        self.addr = (ip, CFG.peer_port)
        self.cfg = attrs.evolve(
            CFG, instance=name, ip=ip, data_centre=data_centre, **changes
        )
        self.log = recorder.Recorder()
        self.store = CountingStore(loop, world.items)
        self.born_at = loop.time()
        self.seen = []
        self.faults = []
        rng = random.Random(f'{world.seed}/{name}')
        self.gateway = gateway.Gateway(
            loop, _wire_codec.WireCodec(), self.log, self.cfg, rng
        )
        if world.relayed:
            world.network.add(self.gateway.peers, self.addr)
        self.tables = []
        self.sync = control.StoreSync(
            loop,
            self.store,
            _store_codec.StoreCodec(),
            self.gateway,
            self.cfg,
            self.log,
            rng,
            self.tables.append,
        )
        self.store.epochs.on_change = lambda *_change: (
            self.sync.epoch_changed()
        )
        self._observe()
        self.sync.start()

    def _observe(self):
        registered = self.sync.registered
        apply = registered.set_stored_capacity

        def set_stored_capacity(capacity):
            apply(capacity)
            self._world.check(self, capacity)
            self.seen.append((asyncio.get_running_loop().time(), capacity))

        registered_class = type(registered)
        observed = type(
            'Observed', (registered_class,), {'__slots__': ('set_hook',)}
        )
        observed.set_stored_capacity = lambda self, value: self.set_hook(value)
        registered.__class__ = observed
        registered.set_hook = set_stored_capacity

    @property
    def entry_key(self):
        """Key of its entry in the store."""
        return _registration.INSTANCE_PREFIX + self.name

    def register(self):
        """Writes its entry into the store."""
        entry = addresses.InstanceEntry(
            self.name,
            f'{self.addr[0]}:1',
            self.data_centre,
            'north',
            CFG.capacity,
        )
        value = json.dumps(attrs.asdict(entry)).encode()
        self._world.items.put(self.entry_key, value)

    def role(self):
        """Returns the last role that it logged."""
        roles = [f['role'] for n, f in self.log.events if n == 'relay.role']
        return roles[-1] if roles else 'alone'

    def serving(self):
        """Returns the ids of the upstreams that get requests."""
        found = self.gateway.fleet.serving('s')
        return sorted(upstream.entry.id for upstream in found)

    def close(self):
        """Kills it."""
        self.sync.close()
        self.gateway.close()
        self._world.network.remove(self.addr)


class World:
    """A store, and instances that are told of it.

    Args:
        instances: Number of instances.
        data_centres: Number of data centres.
        seed: Seed of all randomness.
        loss: Share of the datagrams that are lost.
        relayed: Whether instances have a port for datagrams.
        changes: Fields of InstanceConfig.

    Attributes:
        items: The KvItems.
        nodes: The Node items by name.
        written: Time, epoch and value of each stored capacity.
    """

    def __init__(
        self,
        instances,
        data_centres,
        seed=1,
        loss=0.0,
        relayed=True,
        **changes,
    ):
        self.seed = seed
        self.relayed = relayed
        self.rng = random.Random(seed)
        self.items = kvitems.KvItems()
        self.network = datagrams.Network(random.Random(seed + 1), loss)
        self.written = []
        self.faults = []
        self._changes = changes
        self._numbers = 0
        self.nodes = {}
        for number in range(instances):
            self.add(f'n-{number}', f'dc-{number % data_centres}')

    def add(self, name, data_centre):
        """Starts an instance, and registers it."""
        self._numbers += 1
        ip = f'10.0.{self._numbers // 250}.{1 + self._numbers % 250}'
        node = Node(self, name, data_centre, ip, **self._changes)
        self.nodes[name] = node
        node.register()
        return node

    def kill(self, name):
        """Ends an instance; its entry stays."""
        node = self.nodes.pop(name)
        node.close()
        return node

    def write(self):
        """Writes the next stored capacity, a number that only rises."""
        value = self.items.revision + 1
        self.items.put(_role_orders.CAPACITY_KEY, str(value).encode())
        now = asyncio.get_running_loop().time()
        self.written.append((now, self.items.epoch, float(value)))
        return float(value)

    def check(self, node, capacity):
        """Records what a node may not learn: its value is its revision."""
        epoch = node.sync._revision.epoch
        if epoch == self.items.epoch and capacity > self.items.revision:
            self.faults.append((node.name, 'unknown revision', capacity))
        earlier = [
            value for at, value in node.seen if at >= self._restored_at()
        ]
        if earlier and capacity < earlier[-1]:
            listed = not node.sync._listed
            if not listed:
                self.faults.append((node.name, 'went back', capacity))

    def _restored_at(self):
        return getattr(self, 'restored_at', float('-inf'))

    def of(self, data_centre):
        """Returns the nodes of a data centre."""
        return [n for n in self.nodes.values() if n.data_centre == data_centre]

    def watchers(self, data_centre):
        """Returns the nodes of a data centre that are to watch."""
        nodes = {n.name: n for n in self.of(data_centre)}
        order = [n for n in _order(nodes)]
        return [nodes[name] for name in order[:2]]

    def reads(self):
        """Returns the number of reads of all instances."""
        return sum(node.store.reads for node in self.nodes.values())

    def close(self):
        """Ends all instances."""
        for name in list(self.nodes):
            self.kill(name)

    async def learned(self, value, nodes, within_s):
        """Returns the longest time until nodes know a stored capacity."""
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(within_s)
        return max(
            min(
                (at for at, seen in node.seen if seen >= value),
                default=float('inf'),
            )
            - began
            for node in nodes
        )


def _order(names):
    from dandelionwinch import relay

    return relay.order(names)


def run(scenario, *args, **kwargs):
    """Runs a coroutine function of a World in virtual time."""

    async def whole():
        world = World(*args, **kwargs)
        try:
            return await scenario(world)
        finally:
            world.close()

    return virtual.run(whole())
