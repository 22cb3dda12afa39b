"""Tells whether the view has what the store has at a moment."""

import asyncio

from dandelionwinch.control import _store
from dandelionwinch.control import _watch_call

# A pause between two watches, and the answer to the second one.
CHECK_TIMEOUT_S = 1.5
# Interval of the looks whether the view has reached what the check found.
POLL_S = 0.02


class ViewCheck:
    """Compares the view of the upstreams with the store, when asked.

    Args:
        loop: Event loop.
        store: Store.
        store_codec: StoreCodec.
        follower: StoreSync; see its property `applied`.
    """

    __slots__ = (
        '_began_at',
        '_follower',
        '_loop',
        '_store',
        '_store_codec',
        '_task',
    )

    def __init__(self, loop, store, store_codec, follower):
        self._loop = loop
        self._store = store
        self._store_codec = store_codec
        self._follower = follower
        self._task = None
        self._began_at = float('-inf')

    def close(self):
        """Ends the check that is being made."""
        if self._task is not None:
            self._task.cancel()

    async def is_current(self):
        """Tells whether all upstreams that the store has now are known.

        It calls the store. Those who ask at the same time share one call,
        which begins after all of them have asked.
        """
        asked_at = self._loop.time()
        while True:
            if self._task is None or self._task.done():
                self._began_at = self._loop.time()
                self._task = self._loop.create_task(self._check())
            task, fresh = self._task, self._began_at >= asked_at
            is_current = await asyncio.shield(task)
            if fresh:
                return is_current

    async def _check(self):
        known = self._follower.applied
        if known is None:
            return False
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                listing = await self._store.watch(
                    _watch_call.ALL_KEYS, known, 0.0
                )
                if not self._has_upstreams(listing):
                    return self._follower.applied is not None
                return await self._reached(listing.revision)
        except (_store.StoreFailed, TimeoutError):
            return False

    def _has_upstreams(self, listing):
        return any(
            self._store_codec.upstream_of(item.key) is not None
            for item in listing.items
        )

    async def _reached(self, revision):
        """Waits until the view has a revision; tells whether it has one."""
        while (known := self._follower.applied) is not None:
            if known.epoch != revision.epoch or known >= revision:
                return known.epoch == revision.epoch
            await asyncio.sleep(POLL_S)
        return False
