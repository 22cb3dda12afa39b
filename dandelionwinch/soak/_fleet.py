"""The upstreams of a soak, with their proxies and entries in the store."""

import asyncio
import collections
import random

from dandelionwinch.platform import samples
from dandelionwinch.soak import _poison
from dandelionwinch.soak import _upstream
from dandelionwinch.standins import capacity

SOFTWARE_VERSIONS = ('v1', 'v2')
START_PLACE = capacity.Place('a')
# Time between the notice and the end of an upstream that is taken away.
NOTICE_S = 2.0


class Fleet:
    """Adds and withdraws upstreams, and lets them return after a crash.

    Args:
        store: KvStore with their entries.
        rng: Random generator of the soak's faults.
        executions: ExecutionLog of the soak.
        poison: Poison.
        limits: Limits.
        add_proxy: Coroutine function of a link and an address that returns
            a started Proxy.
        spawn: Function that runs a coroutine until the soak ends.
        record_fault: Function of a fault and its target.

    Attributes:
        upstreams: The upstreams that serve.
        returning: Number of upstreams that return after a crash, by Place.
        is_wanted: Function that tells whether one more upstream is wanted
            at a Place, when one returns after a crash.
    """

    __slots__ = (
        '_add_proxy',
        '_executions',
        '_last_number',
        '_limits',
        '_poison',
        '_record_fault',
        '_rng',
        '_spawn',
        '_store',
        'is_wanted',
        'returning',
        'upstreams',
    )

    def __init__(
        self,
        store,
        rng,
        executions,
        poison,
        limits,
        add_proxy,
        spawn,
        record_fault,
    ):
        self._store = store
        self._rng = rng
        self._executions = executions
        self._poison = poison
        self._limits = limits
        self._add_proxy = add_proxy
        self._spawn = spawn
        self._record_fault = record_fault
        self._last_number = 0
        self.upstreams = []
        self.returning = collections.Counter()
        self.is_wanted = lambda _place: True

    async def add(self, place=START_PLACE, rng=None):
        """Starts an upstream and writes its entry.

        Args:
            place: capacity.Place.
            rng: Random generator to seed its own, None for the soak's.
        """
        self._last_number += 1
        rng = random.Random((rng or self._rng).random())
        upstream = _upstream.SoakUpstream(
            f'u-{self._last_number}',
            rng.choice(SOFTWARE_VERSIONS),
            self._executions,
            rng,
            self._poison,
            self._limits,
        )
        upstream.place = place
        upstream.on_crash = self._crash
        await upstream.start()
        upstream.proxy = await self._add_proxy('upstream', upstream.address)
        upstream.proxy.name = upstream.id
        self.upstreams.append(upstream)
        self._write_entry(upstream, 'ready')

    def _write_entry(self, upstream, state, leaves_s=None):
        entry = samples.entry(
            address=upstream.proxy.address,
            state=state,
            version=upstream.version,
            **capacity.entry_fields(upstream.place, leaves_s),
        )
        self._store.write(samples.entry_key(upstream.id), entry)

    def _crash(self, upstream, part):
        """Makes a crash visible through the proxy; the upstream returns."""
        now = asyncio.get_running_loop().time()
        part.crashes.append(now)
        self._record_fault(f'crash {part.name}', upstream.id)
        upstream.proxy.refuse()
        self._spawn(self._lapse(upstream))
        if upstream in self.upstreams:
            # One that leaves does not come back.
            self.upstreams.remove(upstream)
            self.returning[upstream.place] += 1
            self._spawn(self._return(upstream.place))

    async def _lapse(self, upstream):
        await asyncio.sleep(_poison.ENTRY_LAPSE_S)
        self._store.remove(samples.entry_key(upstream.id))

    async def _return(self, place):
        await asyncio.sleep(self._poison.down_s())
        self.returning[place] -= 1
        if self.is_wanted(place):
            await self.add(place)

    async def replace(self):
        """Adds an upstream and withdraws the oldest one."""
        place = self.upstreams[0].place if self.upstreams else START_PLACE
        await self.add(place)
        leaving = self.upstreams.pop(0)
        match self._rng.choice(('draining', 'removed', 'announced')):
            case 'draining':
                self._write_entry(leaving, 'draining')
            case 'removed':
                self._store.remove(samples.entry_key(leaving.id))
            case 'announced':
                # Its entry says that it is ready until it is removed.
                leaving.announces = True
        self._spawn(self.withdraw(leaving))

    def drain(self, leaving):
        """Withdraws an upstream by its entry."""
        self.upstreams.remove(leaving)
        self._write_entry(leaving, 'draining')
        self._spawn(self.withdraw(leaving))

    async def take_away(self, upstream):
        """Ends a reclaimable upstream after a short notice."""
        self.upstreams.remove(upstream)
        self._write_entry(upstream, 'draining', NOTICE_S)
        await asyncio.sleep(NOTICE_S)
        if not upstream.crashed:
            upstream.crash()
            upstream.proxy.refuse()
            await self._lapse(upstream)

    async def withdraw(self, leaving):
        """Removes the entry of an upstream, and later stops it."""
        loop = asyncio.get_running_loop()
        withdrawn_at = loop.time()
        await asyncio.sleep(_upstream.DRAIN_S / 2)
        self._store.remove(samples.entry_key(leaving.id))
        leaving.withdrawn_at = withdrawn_at
        await asyncio.sleep(_upstream.DRAIN_S)
        # The port of the upstream may go to another process.
        leaving.proxy.refuse()
        leaving.close()

    def close(self):
        """Stops the upstreams that serve."""
        for upstream in self.upstreams:
            upstream.close()
