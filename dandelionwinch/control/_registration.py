"""This instance's entry in the store, under a lease."""

import asyncio
import json

import attrs

from dandelionwinch import addresses
from dandelionwinch.control import _store

INSTANCE_PREFIX = 'dandelionwinch/instances/'
LEASE_S = 4.0
RETRY_S = 1.0
LAPSED_RETRY_S = 0.1


def read_presence(value):
    """Reads an instance's entry.

    Raises:
        EntryInvalid: If a field is missing or of another type.
    """
    try:
        data = json.loads(value)
        presence = addresses.InstanceEntry(**data)
    except (ValueError, TypeError) as exc:
        raise _store.EntryInvalid(f"an instance's entry: {exc}") from exc
    for name, value in data.items():
        kind = (int, float) if name == 'capacity' else str
        if isinstance(value, bool) or not isinstance(value, kind):
            raise _store.EntryInvalid(f'field "{name}" is {value!r}')
    if not presence.capacity > 0:
        raise _store.EntryInvalid(f'capacity is {presence.capacity!r}')
    return presence


class Registration:
    """Keeps this instance's entry in the store while it is ready."""

    __slots__ = (
        '_key',
        '_lease',
        '_log',
        '_loop',
        '_registered',
        '_store',
        '_task',
        '_ttl_s',
        '_value',
    )

    def __init__(self, loop, store, log, presence, ttl_s):
        self._loop = loop
        self._store = store
        self._log = log
        self._key = INSTANCE_PREFIX + presence.name
        self._value = json.dumps(attrs.asdict(presence)).encode()
        self._ttl_s = ttl_s
        self._lease = 0
        self._registered = False
        self._task = None

    def start(self):
        """Starts to register and to renew."""
        self._task = self._loop.create_task(self._run())

    async def _run(self):
        while True:
            wait_s = self._ttl_s / 3
            try:
                if self._registered:
                    await self._store.keep(self._lease)
                else:
                    await self._register()
            except _store.LeaseEnded:
                self._log.event('registration.lapsed', lease=self._lease)
                self._lease = 0
                self._registered = False
                wait_s = LAPSED_RETRY_S
            except _store.StoreFailed as exc:
                self._log.event('registration.failed', reason=str(exc))
                wait_s = min(RETRY_S, wait_s)
            await asyncio.sleep(wait_s)

    async def _register(self):
        # Known before the entry is written, so that a stop in between
        # ends it.
        if not self._lease:
            self._lease = await self._store.lease(self._ttl_s)
        await self._store.put(self._key, self._value, self._lease)
        self._registered = True
        self._log.event('registration.made', lease=self._lease)

    async def withdraw(self):
        """Removes the entry, as before a planned stop."""
        if self._task is not None:
            self._task.cancel()
        if not self._lease:
            return
        try:
            await self._store.end(self._lease)
        except _store.StoreFailed as exc:
            self._log.event('registration.not_withdrawn', reason=str(exc))

    def close(self):
        """Stops renewing."""
        if self._task is not None:
            self._task.cancel()
