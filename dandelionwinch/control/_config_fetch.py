"""Reads a configuration that other instances told of."""

from dandelionwinch.control import _due_calls
from dandelionwinch.control import _store


class ConfigFetch:
    """Reads announced configurations, not at the same time as others.

    Args:
        loop: Event loop.
        store: Store.
        config_key: Key of the configuration.
        applier: ChangeApplier.
        announced: AnnouncedConfig.
        epoch: Function that returns the epoch of the store that the view of
            the instance is of.
        rng: Random number generator.
    """

    __slots__ = (
        '_announced',
        '_applier',
        '_config_key',
        '_epoch',
        '_loop',
        '_rng',
        '_store',
    )

    def __init__(
        self, loop, store, config_key, applier, announced, epoch, rng
    ):
        self._loop = loop
        self._store = store
        self._config_key = config_key
        self._applier = applier
        self._announced = announced
        self._epoch = epoch
        self._rng = rng

    def announce(self, number, now, known_at):
        """Makes a configuration due to be read.

        Args:
            number: Number of its revision.
            now: Time in seconds.
            known_at: Time up to which all changes are known.
        """
        due_at = self._announced.due_at
        if self._announced.number is None:
            due_at = now + _due_calls.SPREAD_S * self._rng.random()
        self._announced.announce(number, due_at, known_at)

    async def run(self):
        """Reads the configuration that was announced and applies it.

        Raises:
            EpochChanged: If the store answered in another epoch.
            StoreFailed: If the store did not answer.
        """
        wanted = self._announced.number
        listing = await self._store.list(self._config_key)
        if listing.revision.epoch != self._epoch():
            raise _store.EpochChanged('before a configuration was read')
        await self._applier.apply_config(listing.items)
        self._announced.read(
            wanted, listing.revision.number, self._loop.time()
        )
