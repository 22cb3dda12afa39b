"""Restores of a soak's store from a copy."""

import asyncio
import collections

# Time between two copies of the store, and how many of them are kept.
COPY_INTERVAL_S = 1.0
COPIES = 4


class Restores:
    """Copies the store and restores it.

    Args:
        store: KvStore.
        rng: Random generator of the soak's faults.
        checks: Checks.
        frontends: Frontend addresses of all instances.
        configuration: Configuration.
    """

    __slots__ = (
        '_checks',
        '_configuration',
        '_copies',
        '_frontends',
        '_rng',
        '_store',
    )

    def __init__(self, store, rng, checks, frontends, configuration):
        self._store = store
        self._rng = rng
        self._checks = checks
        self._frontends = frontends
        self._configuration = configuration
        self._copies = collections.deque(maxlen=COPIES)

    async def copy(self):
        """Copies the store until the task is cancelled."""
        while True:
            self._copies.append(self._store.snapshot())
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore(self):
        """Restores the store from its oldest copy, at times twice.

        What operators and upstreams wrote since is written again later.
        """
        cut_offs = [
            self._checks.begin_cut_off(name) for name in self._frontends
        ]
        for _number in range(self._rng.randint(1, 2)):
            self._store.go_away()
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            self._store.come_back(self._copies[0])
            self._configuration.store_changed()
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        self._store.write_again()
        self._configuration.store_changed()
        for cut_off in cut_offs:
            cut_off.end = asyncio.get_running_loop().time()
