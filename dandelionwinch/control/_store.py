"""What the control tasks need of a store, and how it fails."""

import typing

import attrs

from dandelionwinch import errors


class StoreFailed(errors.DandelionwinchError):
    """The store gave no answer; what was asked may have been done."""

    code = 'store_failed'


class StoreRefused(StoreFailed):
    """The store says that it did nothing."""

    code = 'store_refused'


class HistoryGone(StoreFailed):
    """The store no longer has the changes that were asked for."""

    code = 'history_gone'


class Conflict(StoreFailed):
    """The precondition of a change does not hold."""

    code = 'store_conflict'


class LeaseEnded(StoreFailed):
    """There is no such lease."""

    code = 'lease_ended'


class EntryInvalid(errors.DandelionwinchError):
    """A value in the store cannot be read."""

    code = 'entry_invalid'


@attrs.frozen
class Item:
    """A key with its value, or one that was deleted (value None)."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Listing:
    """Items or changes, and the store's revision with them."""

    items: tuple[Item, ...]
    revision: int


class Store(typing.Protocol):
    """Calls of a store; each may raise StoreFailed."""

    async def list(self, prefix):
        """Returns a Listing; a watch from its revision misses nothing."""

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of changes, or raises HistoryGone."""

    async def lease(self, ttl_s):
        """Returns the id of a new lease."""

    async def keep(self, lease):
        """Renews a lease, or raises LeaseEnded."""

    async def end(self, lease):
        """Ends a lease and removes its keys."""

    async def put(self, key, value, lease=0, revision=None):
        """Writes a key and returns the revision, or raises Conflict."""


class StoreCodec(typing.Protocol):
    """Reads what operators and upstreams write into the store.

    Attributes:
        config_key: Key of the configuration.
    """

    config_key: str

    def upstream_of(self, key):
        """Returns the id of the upstream whose entry a key is, or None."""

    def key_of(self, upstream_id):
        """Returns the key of an upstream's entry."""

    def read_config(self, value):
        """Returns a RouteTable, or raises EntryInvalid."""

    def read_upstream(self, upstream_id, value):
        """Returns an Entry, or raises EntryInvalid."""
