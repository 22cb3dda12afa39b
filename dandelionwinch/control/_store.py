"""Interfaces of the platform's store and of the codec of its entries.

The daemon reaches its store by other types (effects). There, Conflict is
GuardFailed, StoreRefused is Unavailable and any other StoreFailed of a write
is Uncertain.
"""

import typing

import attrs

from dandelionwinch.control import _epoch
from dandelionwinch import errors

# Longest time until a call fails, and what a watch may take beyond its wait.
CALL_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 0.6


class StoreFailed(errors.DandelionwinchError):
    """The store did not respond; the call may have taken effect."""

    code = 'store_failed'


class StoreRefused(StoreFailed):
    """The store refused the call, which had no effect."""

    code = 'store_refused'


class HistoryGone(StoreFailed):
    """The store no longer has the requested changes."""

    code = 'history_gone'


class EpochChanged(StoreFailed):
    """The store was restored since; what is known of it is outdated."""

    code = 'epoch_changed'


class Conflict(StoreFailed):
    """The precondition of a change does not hold."""

    code = 'store_conflict'


class LeaseEnded(StoreFailed):
    """The lease has expired or was revoked, or is of an older epoch."""

    code = 'lease_ended'


class EntryInvalid(errors.DandelionwinchError):
    """A value in the store can't be decoded."""

    code = 'entry_invalid'


@attrs.frozen
class Item:
    """A key and its value, which is None if the key was deleted.

    Attributes:
        revision: Number of the revision, in the epoch of its Listing.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Listing:
    """Items or changes, and the revision of the store that they reflect."""

    items: tuple[Item, ...]
    revision: _epoch.Revision


class Store(typing.Protocol):
    """Calls to a store; each of them can raise StoreFailed.

    One without an answer does so after CALL_TIMEOUT_S, a watch after its wait
    and WATCH_MARGIN_S. These include the time to get a connection.

    Attributes:
        epochs: EpochTracker of all responses.
    """

    epochs: _epoch.EpochTracker

    async def list(self, prefix):
        """Returns a Listing whose revision is a gapless start for a watch."""

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of the changes after a revision.

        Args:
            prefix: Prefix of the keys.
            after: Revision.
            wait_s: Seconds to wait for a change.

        Raises:
            EpochChanged: If the revision is of an older epoch.
            HistoryGone: If the store no longer has these changes.
        """

    async def grant_lease(self, ttl_s):
        """Returns a new Lease."""

    async def renew_lease(self, lease):
        """Renews a lease.

        Raises:
            LeaseEnded: If it has expired or was revoked, or is of an older
                epoch.
        """

    async def revoke_lease(self, lease):
        """Revokes a lease and deletes its keys.

        Does nothing if it is of an older epoch, as its id may be that of
        another lease.
        """

    async def put(self, key, value, lease=None, revision=None):
        """Writes a key and returns the Revision of the change.

        Args:
            key: The key.
            value: Bytes.
            lease: Lease that the key is attached to, or None.
            revision: Number of the revision that the key must have, 0 if it
                must not exist, None for any.

        Raises:
            Conflict: If the key has another revision.
            LeaseEnded: If the lease has expired or was revoked, or is of an
                older epoch.
        """


class StoreCodec(typing.Protocol):
    """Decodes what operators and upstreams write into the store.

    Attributes:
        config_key: Key of the configuration.
    """

    config_key: str

    def upstream_of(self, key):
        """Returns the id of the upstream whose entry has a key, or None."""

    def key_of(self, upstream_id):
        """Returns the key of an upstream's entry."""

    def read_config_in_steps(self, value):
        """Generator that returns a RouteTable, or raises EntryInvalid.

        It yields where other work may be done.
        """

    def read_upstream(self, upstream_id, value):
        """Returns an Entry, or raises EntryInvalid."""
