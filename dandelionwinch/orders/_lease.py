"""The lease over one shard, as one instance sees it."""

import attrs

from dandelionwinch import effects
from dandelionwinch.orders import _shard

MAX_ATTEMPTS = 4
RENEWALS_PER_LEASE = 3


@attrs.frozen
class Owned:
    """Result: this instance holds the shard until the deadline."""

    shard: _shard.Shard
    expires_at: float


@attrs.frozen
class Waiting:
    """Result: another holds the shard, or nobody may take it yet."""

    reason: str


@attrs.frozen
class Lost:
    """Result: this instance held the shard and does so no more."""

    reason: str


class ShardLease:
    """The lease of one shard: taking, renewing, ordering, releasing.

    The deadline is counted on the own monotonic clock from before the
    write was sent, less a margin for drift. Another instance takes a
    lapsed lease only after it saw the record unchanged for a whole
    lease and margin. Where an upstream does not check fencing numbers, a
    lapsed lease is not enough: the holder must have released it, or
    its process must be gone for certain.
    """

    __slots__ = (
        '_cfg',
        '_deadline',
        '_incarnation',
        '_name',
        '_releasing',
        '_seen_at',
        '_seen_revision',
        '_sends',
        '_store_key',
        'revision',
        'shard',
        'wait_reason',
    )

    def __init__(self, shard_name, name, incarnation, cfg):
        self._store_key = _shard.shard_key(shard_name)
        self._name = name
        self._incarnation = incarnation
        self._cfg = cfg
        self._deadline = float('-inf')
        self._seen_revision = None
        self._seen_at = 0.0
        self.shard = None
        self.revision = 0
        self.wait_reason = ''
        self._sends = 0
        self._releasing = False

    def holds(self, now):
        """Tells whether an order may be sent at this moment."""
        return self.shard is not None and now < self._deadline

    @property
    def expires_at(self):
        """Time at which the lease ends for this instance."""
        return self._deadline

    def begin_send(self):
        """Notes that an order is about to be sent.

        Returns:
            False if the lease is being released.
        """
        if self._releasing:
            return False
        self._sends += 1
        return True

    def end_send(self):
        """Notes that a send has ended, with or without an answer."""
        self._sends -= 1

    def acquire(self, all_check_fencing, is_gone):
        """Tries to take the shard, or renews it if it is held.

        Args:
            all_check_fencing: Whether each upstream of the shard refuses
                orders of an older epoch.
            is_gone: Function of name, incarnation and time that tells
                whether a process has certainly ended.

        Returns:
            Owned, Waiting or Lost.
        """
        held_before = self.shard is not None
        if held_before and not self._releasing:
            renewed = yield from self._renew()
            if renewed:
                return Owned(self.shard, self._deadline)
        for _attempt in range(MAX_ATTEMPTS):
            clock = yield effects.Clock()
            reply = yield effects.Read(self._store_key)
            if not isinstance(reply, effects.Found):
                return self._unreached(clock.now)
            shard = _shard.Shard.load(reply.record.value)
            revision = reply.record.revision
            self._observe(revision, clock.now)
            if self._is_mine(shard):
                result = yield from self._write(
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
                    self._drop()
                    self.wait_reason = reason
                    return Lost(reason) if held_before else Waiting(reason)
                result = yield from self._write(
                    attrs.evolve(
                        shard,
                        epoch=shard.epoch + 1,
                        holder=self._name,
                        incarnation=self._incarnation,
                        released=False,
                    ),
                    revision,
                )
            if isinstance(result, effects.Committed):
                self.wait_reason = ''
                self._releasing = False
                return Owned(self.shard, self._deadline)
            if isinstance(result, effects.Unavailable):
                break
        clock = yield effects.Clock()
        return self._unreached(clock.now)

    def _renew(self):
        """Renews by the revision last written, without a read."""
        shard = self.shard
        renewals = shard.renewals + 1
        reply = yield from self._write(
            attrs.evolve(shard, renewals=renewals), self.revision
        )
        return isinstance(reply, effects.Committed)

    def _is_mine(self, shard):
        return (
            not shard.released
            and shard.holder == self._name
            and shard.incarnation == self._incarnation
        )

    def _observe(self, revision, now):
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_at = now

    def _blocked_reason(self, shard, all_check_fencing, is_gone, now):
        if shard.released:
            return ''
        if is_gone(shard.holder, shard.incarnation, now):
            return ''
        if not all_check_fencing:
            return (
                f'holder "{shard.holder}" has neither released the shard '
                'nor left the platform, and an upstream ignores fencing'
            )
        unchanged_s = now - self._seen_at
        if unchanged_s <= self._cfg.lease_s + self._cfg.drift_s:
            return f'"{shard.holder}" holds the lease'
        return ''

    def _unreached(self, now):
        if self.holds(now):
            return Owned(self.shard, self._deadline)
        if self.shard is not None:
            self._drop()
            return Lost('the store was not reached in time')
        return Waiting('the store was not reached')

    def _drop(self):
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
            self._observe(reply.revision, clock.now)
            lease_s = self._cfg.lease_s - self._cfg.drift_s
            self._deadline = clock.now + lease_s
        return reply

    def update(self, change):
        """Changes the shard's orders while it is held.

        Args:
            change: Function from the present Shard to the wanted one,
                or to None if nothing is to be written.

        Returns:
            The Shard as written, or None if it was not written.
        """
        for _attempt in range(MAX_ATTEMPTS):
            clock = yield effects.Clock()
            if not self.holds(clock.now):
                return None
            reply = yield effects.Read(self._store_key)
            if not isinstance(reply, effects.Found):
                return None
            shard = _shard.Shard.load(reply.record.value)
            if not self._is_mine(shard):
                self._drop()
                return None
            wanted = change(shard)
            if wanted is None:
                self.shard = shard
                return shard
            wanted = attrs.evolve(wanted, renewals=shard.renewals + 1)
            result = yield from self._write(wanted, reply.record.revision)
            if isinstance(result, effects.Committed):
                return wanted
            if isinstance(result, effects.Unavailable):
                return None
        return None

    def release(self):
        """Gives the shard up, so that another may take it at once.

        Returns:
            Whether it is released; False while a send is under way.
        """
        self._releasing = True
        self._deadline = float('-inf')
        if self._sends:
            return False
        for _attempt in range(MAX_ATTEMPTS):
            reply = yield effects.Read(self._store_key)
            if not isinstance(reply, effects.Found):
                return False
            shard = _shard.Shard.load(reply.record.value)
            if not self._is_mine(shard):
                self._drop()
                return True
            result = yield effects.Commit(
                (effects.Guard(self._store_key, reply.record.revision),),
                (
                    effects.Put(
                        self._store_key,
                        attrs.evolve(shard, released=True).dump(),
                    ),
                ),
            )
            if isinstance(result, effects.Committed):
                self._drop()
                return True
        return False
