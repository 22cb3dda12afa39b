"""The lease of one shard, as one instance sees it."""

import attrs

from dandelionwinch import effects
from dandelionwinch.orders import _shard

# Compare-and-swap attempts of one call before it gives up.
MAX_ATTEMPTS = 4
# Renewals that the holder attempts within one lease time.
RENEWALS_PER_LEASE = 3


@attrs.frozen
class Owned:
    """Result: this instance holds the shard until `expires_at`."""

    shard: _shard.Shard
    expires_at: float


@attrs.frozen
class Waiting:
    """Result: the shard has another holder, or can't be acquired yet."""

    reason: str


@attrs.frozen
class Lost:
    """Result: this instance held the shard and has lost it."""

    reason: str


class ShardLease:
    """Acquires, renews, updates and releases the lease of one shard.

    The lease expires, on the local monotonic clock, one lease time after
    the write was sent, less a margin for clock drift. Another instance
    acquires an expired lease only after it saw the record unchanged for a
    whole lease time and margin. If an upstream does not check fencing
    tokens, an expired lease is not enough: the holder must have released
    it, or its process must certainly have ended.
    """

    __slots__ = (
        '_active_sends',
        '_cfg',
        '_deadline',
        '_incarnation',
        '_instance',
        '_releasing',
        '_revision_seen_at',
        '_seen_revision',
        '_store_key',
        'revision',
        'shard',
    )

    def __init__(self, shard_name, name, incarnation, cfg):
        self._store_key = _shard.shard_key(shard_name)
        self._instance = name
        self._incarnation = incarnation
        self._cfg = cfg
        self._deadline = float('-inf')
        self._seen_revision = None
        self._revision_seen_at = 0.0
        self.shard = None
        self.revision = 0
        self._active_sends = 0
        self._releasing = False

    def is_held(self, now):
        """Returns whether this instance certainly holds the lease now."""
        return self.shard is not None and now < self._deadline

    @property
    def expires_at(self):
        """Time at which the lease expires for this instance."""
        return self._deadline

    def begin_send(self):
        """Registers an order that is about to be sent.

        Returns:
            False if the lease is being released and nothing may be sent.
        """
        if self._releasing:
            return False
        self._active_sends += 1
        return True

    def end_send(self):
        """Registers the end of a send, with or without a response."""
        self._active_sends -= 1

    def acquire_or_renew(self, all_check_fencing, is_gone):
        """Renews the lease if it is held, else tries to acquire it.

        A release that has not completed is abandoned.

        Args:
            all_check_fencing: Whether every upstream of the shard rejects
                orders of an older epoch.
            is_gone: Function of instance name, incarnation and time that
                returns whether that process has certainly ended.

        Returns:
            Owned, Waiting or Lost.
        """
        was_held = self.shard is not None
        if was_held and not self._releasing:
            renewed = yield from self._renew()
            if renewed:
                return Owned(self.shard, self._deadline)
            # The write was lost, or the record has another revision: the
            # record tells whether the lease is still held.
        for _attempt in range(MAX_ATTEMPTS):
            clock = yield effects.Clock()
            reply = yield effects.Read(self._store_key)
            if not isinstance(reply, effects.Found):
                return self._store_unavailable(clock.now)
            shard = _shard.Shard.load(reply.record.value)
            revision = reply.record.revision
            self._record_revision(revision, clock.now)
            if self._is_held_here(shard):
                write_reply = yield from self._write(
                    attrs.evolve(
                        shard, renewals=shard.renewals + 1, released=False
                    ),
                    revision,
                )
            else:
                reason = self._blocked_reason(
                    shard, all_check_fencing, is_gone, clock.now
                )
                if reason:
                    self._forget()
                    return Lost(reason) if was_held else Waiting(reason)
                write_reply = yield from self._write(
                    attrs.evolve(
                        shard,
                        epoch=shard.epoch + 1,
                        holder=self._instance,
                        incarnation=self._incarnation,
                        released=False,
                    ),
                    revision,
                )
            if isinstance(write_reply, effects.Committed):
                # The record now has released=False, so orders may be sent.
                self._releasing = False
                return Owned(self.shard, self._deadline)
            if isinstance(write_reply, effects.Unavailable):
                break
        clock = yield effects.Clock()
        return self._store_unavailable(clock.now)

    def _renew(self):
        """Renews against the revision last written, without a read."""
        shard = self.shard
        renewals = shard.renewals + 1
        reply = yield from self._write(
            attrs.evolve(shard, renewals=renewals), self.revision
        )
        return isinstance(reply, effects.Committed)

    def _is_held_here(self, shard):
        return (
            not shard.released
            and shard.holder == self._instance
            and shard.incarnation == self._incarnation
        )

    def _record_revision(self, revision, now):
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._revision_seen_at = now

    def _blocked_reason(self, shard, all_check_fencing, is_gone, now):
        """Returns why another instance's lease can't be acquired, or ''."""
        if shard.released:
            return ''
        if is_gone(shard.holder, shard.incarnation, now):
            return ''
        if not all_check_fencing:
            return (
                f'holder "{shard.holder}" has neither released the shard '
                'nor left the platform, and an upstream ignores fencing'
            )
        unchanged_s = now - self._revision_seen_at
        if unchanged_s <= self._cfg.lease_s + self._cfg.drift_s:
            return f'"{shard.holder}" holds the lease'
        return ''

    def _store_unavailable(self, now):
        if self.is_held(now):
            return Owned(self.shard, self._deadline)
        if self.shard is not None:
            self._forget()
            return Lost('the store was not reached in time')
        return Waiting('the store was not reached')

    def _forget(self):
        """Records that this instance does not hold the lease any more."""
        self.shard = None
        self._deadline = float('-inf')

    def _write(self, shard, revision):
        clock = yield effects.Clock()
        reply = yield effects.Commit(
            (effects.Guard(self._store_key, revision),),
            (effects.Put(self._store_key, shard.dump()),),
        )
        if isinstance(reply, effects.Committed):
            self.shard = shard
            self.revision = reply.revision
            self._record_revision(reply.revision, clock.now)
            lease_s = self._cfg.lease_s - self._cfg.drift_s
            self._deadline = clock.now + lease_s
        return reply

    def update(self, change):
        """Updates the shard record while the lease is held.

        Args:
            change: Function of the current Shard that returns the new one,
                or None if nothing is to be written.

        Returns:
            The Shard as stored, or None if it could not be written.
        """
        for _attempt in range(MAX_ATTEMPTS):
            clock = yield effects.Clock()
            if not self.is_held(clock.now):
                return None
            reply = yield effects.Read(self._store_key)
            if not isinstance(reply, effects.Found):
                return None
            shard = _shard.Shard.load(reply.record.value)
            if not self._is_held_here(shard):
                self._forget()
                return None
            changed = change(shard)
            if changed is None:
                self.shard = shard
                return shard
            changed = attrs.evolve(changed, renewals=shard.renewals + 1)
            write_reply = yield from self._write(
                changed, reply.record.revision
            )
            if isinstance(write_reply, effects.Committed):
                return changed
            if isinstance(write_reply, effects.Unavailable):
                return None
        return None

    def release(self):
        """Releases the lease, so that another instance can acquire it.

        Returns:
            Whether it is released; False while an order is being sent and
            if the store was not written.
        """
        self._releasing = True
        self._deadline = float('-inf')
        if self._active_sends:
            return False
        for _attempt in range(MAX_ATTEMPTS):
            reply = yield effects.Read(self._store_key)
            if not isinstance(reply, effects.Found):
                return False
            shard = _shard.Shard.load(reply.record.value)
            if not self._is_held_here(shard):
                self._forget()
                return True
            write_reply = yield effects.Commit(
                (effects.Guard(self._store_key, reply.record.revision),),
                (
                    effects.Put(
                        self._store_key,
                        attrs.evolve(shard, released=True).dump(),
                    ),
                ),
            )
            if isinstance(write_reply, effects.Committed):
                self._forget()
                return True
        return False
