"""Registers the local instance in the store, under a lease."""

import asyncio
import json

import attrs

from dandelionwinch import addresses
from dandelionwinch.control import _store

INSTANCE_PREFIX = 'dandelionwinch/instances/'
LEASE_S = 4.0
RETRY_S = 1.0
# Shorter, as the entry is already gone when its lease has expired.
EXPIRED_RETRY_S = 0.1


def read_entry(value):
    """Decodes an instance's entry.

    Args:
        value: Bytes of the entry.

    Returns:
        The InstanceEntry.

    Raises:
        EntryInvalid: If a field is missing or of another type.
    """
    try:
        data = json.loads(value)
        entry = addresses.InstanceEntry(**data)
    except (ValueError, TypeError) as exc:
        raise _store.EntryInvalid(f"an instance's entry: {exc}") from exc
    for name, value in data.items():
        type_ = (int, float) if name == 'capacity' else str
        if isinstance(value, bool) or not isinstance(value, type_):
            raise _store.EntryInvalid(f'field "{name}" is {value!r}')
    if not entry.capacity > 0:
        raise _store.EntryInvalid(f'capacity is {entry.capacity!r}')
    return entry


class Registration:
    """Keeps the local instance's entry in the store.

    Args:
        loop: Event loop.
        store: Store.
        log: EventLog.
        entry: InstanceEntry of the local instance.
        lease_s: Lease time in seconds.
        restore_delay_s: Function that returns the pause before the entry is
            written again after a restore of the store, or None for none.
    """

    __slots__ = (
        '_key',
        '_lease',
        '_lease_s',
        '_log',
        '_loop',
        '_registered',
        '_restore_delay_s',
        '_store',
        '_task',
        '_value',
    )

    def __init__(self, loop, store, log, entry, lease_s, restore_delay_s=None):
        self._loop = loop
        self._store = store
        self._log = log
        self._key = INSTANCE_PREFIX + entry.name
        self._value = json.dumps(attrs.asdict(entry)).encode()
        self._lease_s = lease_s
        self._restore_delay_s = restore_delay_s
        self._lease = None
        self._registered = False
        self._task = None

    def start(self):
        """Starts the task that registers the instance and renews its lease."""
        self._task = self._loop.create_task(self._run())

    async def _run(self):
        while True:
            wait_s = self._lease_s / 3
            try:
                if self._registered:
                    await self._store.renew_lease(self._lease)
                else:
                    await self._register()
            except _store.LeaseEnded:
                wait_s = self._lapse()
            except _store.StoreFailed as exc:
                self._log.event('registration.failed', reason=str(exc))
                wait_s = min(RETRY_S, wait_s)
            await asyncio.sleep(wait_s)

    def _lapse(self):
        """Forgets the lease; returns the time until the next one."""
        lease, self._lease = self._lease, None
        self._registered = False
        self._log.event('registration.lapsed', lease=lease.id)
        restored = lease.epoch != self._store.epochs.current
        if restored and self._restore_delay_s is not None:
            return self._restore_delay_s()
        return EXPIRED_RETRY_S

    async def _register(self):
        # Set before the entry is written, so that withdraw() also revokes a
        # lease whose entry is being written.
        if self._lease is None:
            self._lease = await self._store.grant_lease(self._lease_s)
        await self._store.put(self._key, self._value, self._lease)
        self._registered = True
        self._log.event('registration.made', lease=self._lease.id)

    async def withdraw(self):
        """Removes the entry, before a graceful stop."""
        if self._task is not None:
            self._task.cancel()
        if self._lease is None:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except _store.StoreFailed as exc:
            self._log.event('registration.not_withdrawn', reason=str(exc))

    def close(self):
        """Stops the task; the lease expires."""
        if self._task is not None:
            self._task.cancel()
