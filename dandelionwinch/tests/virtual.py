"""An event loop in virtual time, and a store in the same process."""

import asyncio

from dandelionwinch import control
from dandelionwinch.standins import kvitems


class _Selector:
    """A selector that advances virtual time instead of waiting."""

    def __init__(self, selector):
        self._selector = selector
        self.now = 0.0

    def select(self, timeout=None):
        """Returns the events that are ready; else advances the clock."""
        ready = self._selector.select(0)
        if not ready and timeout is None:
            raise RuntimeError('all tasks wait and no timer is set')
        if not ready:
            self.now += max(0.0, timeout)
        return ready

    def __getattr__(self, name):
        return getattr(self._selector, name)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, which must not use real sockets."""

    def __init__(self):
        super().__init__()
        self._selector = _Selector(self._selector)

    def time(self):
        """Returns virtual seconds."""
        return self._selector.now


def run(scenario):
    """Runs a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scenario)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        asyncio.set_event_loop(None)
        loop.close()


class FaultyStore:
    """One instance's connection to a store, with injected faults.

    Attributes:
        unavailable: Whether calls are refused.
        malformed: Whether responses are malformed.
        lost_responses: How many next calls of `put` take effect without a
            response.
        calls: Number of calls.
    """

    def __init__(self, loop, items):
        self._loop = loop
        self._items = items
        self.unavailable = False
        self.malformed = False
        self.lost_responses = 0
        self.calls = 0

    def close(self):
        """Does nothing, as there is no connection."""

    async def _call(self):
        self.calls += 1
        await asyncio.sleep(LATENCY_S)
        if self.unavailable:
            raise control.StoreRefused('the store is down')
        self._items.expire(self._loop.time())

    async def list(self, prefix):
        """Returns a Listing of all items."""
        await self._call()
        found, _more = self._items.page(prefix, '', len(prefix) + 100_000)
        return _listing(found, self._items.revision)

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of changes, after `wait_s` at the latest."""
        await self._call()
        until = self._loop.time() + wait_s
        while True:
            self._items.expire(self._loop.time())
            changes = self._items.changes(prefix, after)
            if self.unavailable:
                raise control.StoreFailed('the watch was cut')
            if changes is None:
                raise control.HistoryGone('history is gone')
            if self.malformed:
                return control.Listing((None,), self._items.revision)
            if changes or self._loop.time() >= until:
                return _listing(changes, self._items.revision)
            await asyncio.sleep(LATENCY_S)

    async def grant_lease(self, ttl_s):
        """Returns the id of a new lease."""
        await self._call()
        return self._items.grant(ttl_s, self._loop.time())

    async def renew_lease(self, lease):
        """Renews a lease."""
        await self._call()
        if not self._items.renew(lease, self._loop.time()):
            raise control.LeaseEnded('no such lease')

    async def revoke_lease(self, lease):
        """Revokes a lease."""
        await self._call()
        self._items.revoke(lease)

    async def put(self, key, value, lease=0, revision=None):
        """Writes a key."""
        await self._call()
        conditions = [] if revision is None else [(key, revision)]
        result = self._items.commit(conditions, [(key, value, lease)], [])
        if self.lost_responses:
            self.lost_responses -= 1
            raise control.StoreFailed('the answer was lost')
        match result:
            case kvitems.Rejection.CONDITION:
                raise control.Conflict('the condition does not hold')
            case kvitems.Rejection.LEASE:
                raise control.LeaseEnded('no such lease')
        return result


LATENCY_S = 0.004


def _listing(items, revision):
    return control.Listing(
        tuple(control.Item(i.key, i.value, i.revision) for i in items),
        revision,
    )
