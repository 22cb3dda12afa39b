"""Instances of several data centres that follow one store, in virtual time."""

import asyncio
import json
import random

import attrs

from dandelionwinch import addresses
from dandelionwinch import control
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _registration
from dandelionwinch.control import _usage_duty
from dandelionwinch import gateway
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch import relay
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import datagrams
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual

CFG = _boot.read(samples.settings())
ALL = frozenset(control.Duty)
# Changes are relayed where there are duties only.
DUTIES = control.DutySettings('duties', ALL)
# How often a watch of the stand-in looks for changes.
POLL_S = 0.01


class CountingStore(virtual.FaultyStore):
    """A connection that counts reads, and may hang.

    Attributes:
        hanging: Whether calls get no answer for some seconds.
        old_listing: What listings of a part return instead, or None.
        late_s: Time for which answers to watches are under way.
        read_at: Times of watches and listings.
        lists: Number of listings of all items.
    """

    def __init__(self, loop, items):
        super().__init__(loop, items)
        self.hanging = False
        self.old_listing = None
        self.late_s = 0.0
        self.read_at = []
        self.lists = 0

    @property
    def reads(self):
        """Number of watches and listings."""
        return len(self.read_at)

    async def list(self, prefix):
        """Returns a Listing."""
        self.read_at.append(self._loop.time())
        self.lists += not prefix
        await self._hang()
        if prefix and self.old_listing is not None:
            return self.old_listing
        return await super().list(prefix)

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of changes, after `wait_s` at the latest."""
        self.read_at.append(self._loop.time())
        await self._hang()
        until = self._loop.time() + wait_s
        await self._call()
        while self._items.revision == after.number:
            left_s = until - self._loop.time()
            changed = after.epoch != self._items.epoch
            if left_s <= 0 or self.unavailable or changed:
                break
            await asyncio.sleep(min(POLL_S, left_s))
        await self._hang()
        listing = await super().watch(prefix, after, 0.0)
        if self.late_s:
            await asyncio.sleep(self.late_s)
        return listing

    async def _hang(self):
        if self.hanging:
            await asyncio.sleep(1.5)
            raise control.StoreFailed('no answer')


class Node:
    """An instance: its store sync, gateway and datagrams.

    Attributes:
        seen: Time, epoch and revision of each change of the observed key.
        tables: Each RouteTable that came into force.
        applied: Time and version of each of them.
        faults: What the rules of the run forbid and happened.
    """

    def __init__(self, world, name, data_centre, ip, store, **changes):
        loop = asyncio.get_running_loop()
        self._world = world
        self.name = name
        self.data_centre = data_centre
        self.addr = (ip, CFG.peer_port)
        self.cfg = attrs.evolve(
            CFG,
            instance=name,
            ip=ip,
            data_centre=data_centre,
            **{'duty_settings': DUTIES, **changes},
        )
        self.log = recorder.Recorder()
        self.store = store(loop, world.items)
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
        self.applied = []
        self.sync = control.StoreSync(
            loop,
            self.store,
            _store_codec.StoreCodec(),
            self.gateway,
            self.cfg,
            self.log,
            rng,
            self._apply_table,
        )
        self.store.epochs.on_change = lambda *_change: (
            self.sync.epoch_changed()
        )
        self.sync.on_usage_report = self._saw
        self.sync.start()

    def _apply_table(self, table):
        now = asyncio.get_running_loop().time()
        self.tables.append(table)
        self.applied.append((now, table.version))

    def _saw(self, item):
        """Records a change of the observed key, and what must not happen."""
        epoch = self.sync.view_epoch
        now = asyncio.get_running_loop().time()
        items = self._world.items
        if epoch == items.epoch and item.revision > items.revision:
            self.faults.append((now, 'unknown revision', item.revision))
        if self.seen and (epoch, item.revision) < self.seen[-1][1:]:
            self.faults.append((now, 'went back', item.revision))
        self.seen.append((now, epoch, item.revision))

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

    def knew_at(self, written):
        """Returns when it knew a change, infinite if it does not.

        Args:
            written: Epoch and revision of the change.
        """
        times = (at for at, *known in self.seen if tuple(known) >= written)
        return next(times, float('inf'))

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
        store: Class of the connections to the store.
        changes: Fields of InstanceConfig.

    Attributes:
        items: The KvItems.
        nodes: The Node items by name.
        killed: The Node items that were killed.
        on_add: Function that is called with each Node that is added.
        on_kill: Function that is called with each Node that is killed.
        written: Time, epoch and revision of each change.
    """

    def __init__(
        self,
        instances,
        data_centres,
        seed=1,
        loss=0.0,
        relayed=True,
        store=CountingStore,
        **changes,
    ):
        self.seed = seed
        self._store = store
        self.relayed = relayed
        self.rng = random.Random(seed)
        self.items = kvitems.KvItems()
        self.network = datagrams.Network(random.Random(seed + 1), loss)
        self.written = []
        self.killed = []
        self._changes = changes
        self._numbers = 0
        self.nodes = {}
        self.on_add = self.on_kill = lambda _node: None
        self.items.put(_lease_holder.HOLDER_KEY, b'n-0')
        for number in range(instances):
            self.add(f'n-{number}', f'dc-{number % data_centres}')

    def add(self, name, data_centre):
        """Starts an instance, and registers it."""
        self._numbers += 1
        ip = f'10.0.{self._numbers // 250}.{1 + self._numbers % 250}'
        node = Node(self, name, data_centre, ip, self._store, **self._changes)
        self.nodes[name] = node
        node.register()
        self.on_add(node)
        return node

    def kill(self, name):
        """Ends an instance; its entry stays."""
        node = self.nodes.pop(name)
        self.on_kill(node)
        node.close()
        self.killed.append(node)
        return node

    def write(self):
        """Changes the observed key; returns the revision of the change."""
        self.items.put(_usage_duty.REPORT_KEY, b'-')
        now = asyncio.get_running_loop().time()
        self.written.append((now, self.items.epoch, self.items.revision))
        return self.written[-1][1:]

    def faults(self):
        """Returns what the rules forbid and happened, by instance."""
        nodes = [*self.nodes.values(), *self.killed]
        return {n.name: n.faults for n in nodes if n.faults}

    def of(self, data_centre):
        """Returns the nodes of a data centre."""
        return [n for n in self.nodes.values() if n.data_centre == data_centre]

    def watchers(self, data_centre):
        """Returns the nodes of a data centre that are to watch."""
        nodes = {n.name: n for n in self.of(data_centre)}
        return [nodes[name] for name in relay.order(nodes)[: relay.WATCHERS]]

    def reads(self):
        """Returns the number of reads of all instances."""
        return sum(node.store.reads for node in self.nodes.values())

    def close(self):
        """Ends all instances."""
        for name in list(self.nodes):
            self.kill(name)

    async def learned(self, nodes, within_s):
        """Changes the observed key; returns when nodes know it.

        Returns:
            Seconds until each node knew the change, infinite if it did not
            within `within_s`.
        """
        began = asyncio.get_running_loop().time()
        written = self.write()
        await asyncio.sleep(within_s)
        return [node.knew_at(written) - began for node in nodes]


def run(scenario, *args, **kwargs):
    """Runs a coroutine function of a World in virtual time."""

    async def whole():
        world = World(*args, **kwargs)
        try:
            return await scenario(world)
        finally:
            world.close()
            # The cancelled tasks end.
            await asyncio.sleep(0.1)

    return virtual.run(whole())
