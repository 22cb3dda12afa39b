"""A watch of the store that can be ended from outside."""

import asyncio

from dandelionwinch.control import _store

ALL_KEYS = ''


class WatchCall:
    """The watch of all keys that is in flight, if any.

    Args:
        loop: Event loop.
        store: Store.
    """

    __slots__ = ('_loop', '_store', '_task')

    def __init__(self, loop, store):
        self._loop = loop
        self._store = store
        self._task = None

    async def run(self, after, wait_s):
        """Returns a Listing of the changes after a revision.

        Args:
            after: Revision.
            wait_s: Seconds to wait for a change.

        Raises:
            EpochChanged: If it was ended, too.
            StoreFailed: If it failed.
        """
        self._task = self._loop.create_task(
            self._store.watch(ALL_KEYS, after, wait_s)
        )
        try:
            return await self._task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise _store.EpochChanged('during a watch') from None
        finally:
            self._task = None

    def end(self):
        """Ends the watch as one of an older epoch of the store."""
        if self._task is not None:
            self._task.cancel()
