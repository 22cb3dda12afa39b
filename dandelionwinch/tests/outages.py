"""Outages of a store that instances follow, in virtual time."""

import asyncio
import enum

from dandelionwinch import control
from dandelionwinch.platform import samples
from dandelionwinch.tests import relay_harness

# Items of a page of the store's listing.
PAGE_ITEMS = 400
# Time between a change and an outage's begin or end next to it.
BESIDE_S = 0.02
CHANGE_INTERVAL_S = 0.8


class Kind(enum.Enum):
    """How a store does not serve, and what it is like as it comes back."""

    SILENT = 'silent'
    REFUSES = 'refuses'
    # Silent, and back from a copy in a new epoch.
    RESTORED = 'restored'
    # Silent, and the history of changes is gone.
    COMPACTED = 'compacted'


class OutageStore(relay_harness.CountingStore):
    """A connection on which an answer that was lost never comes.

    Times out like the client of the platform's store.

    Attributes:
        silent: Whether calls get no answer.
        silences: Number of times that it has become silent.
    """

    def __init__(self, loop, items):
        super().__init__(loop, items)
        self.silent = False
        self.silences = 0

    def fall_silent(self):
        """Loses all answers from now on, also to calls that wait."""
        self.silent = True
        self.silences += 1

    async def list(self, prefix):
        """Returns a Listing; each page is a call."""
        listing = await self._bounded(
            super().list(prefix), control.CALL_TIMEOUT_S
        )
        pages = len(listing.items) // PAGE_ITEMS
        self.read_at += [self._loop.time()] * pages
        return listing

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of changes."""
        return await self._bounded(
            super().watch(prefix, after, wait_s),
            wait_s + control.WATCH_MARGIN_S,
        )

    async def grant_lease(self, ttl_s):
        """Returns a new Lease."""
        return await self._bounded(super().grant_lease(ttl_s))

    async def renew_lease(self, lease):
        """Renews a lease."""
        return await self._bounded(super().renew_lease(lease))

    async def put(self, *args, **kwargs):
        """Writes a key."""
        return await self._bounded(super().put(*args, **kwargs))

    async def _bounded(self, call, timeout_s=control.CALL_TIMEOUT_S):
        silences = self.silences
        try:
            async with asyncio.timeout(timeout_s):
                if not self.silent:
                    result = await call
                if self.silent or silences != self.silences:
                    await asyncio.Event().wait()
                return result
        except TimeoutError:
            raise control.StoreFailed('no answer') from None
        finally:
            call.close()


class Outage:
    """One outage for all instances of a World, with changes around it.

    Args:
        world: relay_harness.World whose instances have an OutageStore.
        kind: Kind.

    Attributes:
        ended_at: Time of its end.
        acked: Time and version of each change of the configuration.
    """

    def __init__(self, world, kind):
        self._world = world
        self._kind = kind
        self._loop = asyncio.get_running_loop()
        self.ended_at = None
        self.acked = []

    def change(self):
        """Writes a configuration."""
        items = self._world.items
        version = 1 + (self.acked[-1][1] if self.acked else 1)
        config = samples.config(
            version, [samples.route()], [samples.service()]
        )
        items.put(samples.CONFIG_KEY, config)
        self.acked.append((self._loop.time(), version))

    async def run(self, lasts_s, watched_s):
        """Changes the configuration, begins and ends the outage.

        Args:
            lasts_s: Length of the outage.
            watched_s: Time for which changes are made after it.
        """
        self.change()
        await asyncio.sleep(BESIDE_S)
        stores = [node.store for node in self._world.nodes.values()]
        copy = self._world.items.snapshot()
        for store in stores:
            if self._kind is Kind.REFUSES:
                store.unavailable = True
            else:
                store.fall_silent()
        await asyncio.sleep(lasts_s)
        if self._kind is Kind.RESTORED:
            self._world.items.restore(copy)
        if self._kind is Kind.COMPACTED:
            self._world.items.compact()
        for store in stores:
            store.unavailable = store.silent = False
        self.ended_at = self._loop.time()
        await asyncio.sleep(BESIDE_S)
        while self._loop.time() < self.ended_at + watched_s:
            self.change()
            await asyncio.sleep(CHANGE_INTERVAL_S)

    def late(self, contact_s, apply_s):
        """Returns the instances that had an older version than they may.

        Args:
            contact_s: Time after the end from which an instance is in touch.
            apply_s: Time after a change in which it has to be in force.

        Returns:
            Name, version and seconds past the bound of each.
        """
        found = []
        for at, version in self.acked:
            due_at = max(at + apply_s, self.ended_at + contact_s)
            if due_at > self._loop.time():
                continue
            for node in self._world.nodes.values():
                times = (t for t, known in node.applied if known >= version)
                late_s = next(times, float('inf')) - due_at
                if late_s > 0.0:
                    found.append((node.name, version, round(late_s, 3)))
        return found

    def most_reads_in_a_second(self):
        """Returns the most reads of all instances in a second after it."""
        times = sorted(
            at
            for node in self._world.nodes.values()
            for at in node.store.read_at
            if at >= self.ended_at
        )
        most = first = 0
        for number, at in enumerate(times, start=1):
            while times[first] <= at - 1.0:
                first += 1
            most = max(most, number - first)
        return most
