"""Acquires and renews the lease whose holder sends orders and does duties."""

import asyncio
import traceback

from dandelionwinch.control import _duty
from dandelionwinch.control import _store
from dandelionwinch import leadership

HOLDER_KEY = 'dandelionwinch/orders/holder'
# Per registered instance, so that few of many try at once.
ACQUIRE_JITTER_S = 0.35
RETRY_S = 1.0
# How often a candidate looks whether its turn has come.
TURN_POLL_S = 0.1
# Time from the end of the wait for duties to the verification. One right at
# the end fell short of it by rounding.
WAIT_MARGIN_S = 0.01


class LeaseHolder:
    """A task that acquires the lease, and has work done while it holds it.

    Without duties, candidates try after a random time, and the holder's view
    of the store tells it of another holder. With duties, they try in a known
    order, and the holder reads the key of the lease at each renewal.

    Args:
        loop: Event loop.
        store: Store.
        sync: StoreSync, which follows the holder and the instances.
        worker: InlineWorker or DutyRunner, which gets the Authority after
            each renewal.
        log: EventLog.
        rng: Random number generator.
        cfg: InstanceConfig.
        clock: Function that returns seconds of a clock that runs while the
            machine is suspended.
    """

    __slots__ = (
        '_acting',
        '_authority',
        '_clock',
        '_lease',
        '_lease_s',
        '_leadership',
        '_log',
        '_loop',
        '_name',
        '_revision',
        '_rng',
        '_store',
        '_sync',
        '_task',
        '_vacant_at',
        '_verifies',
        '_worker',
        '_write_uncertain',
    )

    def __init__(self, loop, store, sync, worker, log, rng, cfg, clock):
        self._loop = loop
        self._store = store
        self._sync = sync
        self._worker = worker
        self._log = log
        self._rng = rng
        self._clock = clock
        self._name = cfg.instance
        self._lease_s = max(leadership.LEASE_S, cfg.min_lease_s)
        self._leadership = leadership.Leadership(cfg.handover_s)
        self._verifies = cfg.duty_settings.enabled
        self._lease = None
        self._revision = None
        self._authority = None
        self._acting = False
        self._write_uncertain = False
        self._vacant_at = None
        self._task = None

    def start(self):
        """Starts the task."""
        self._task = self._loop.create_task(self._run())

    def close(self):
        """Stops the task and the work; the lease expires."""
        if self._task is not None:
            self._task.cancel()
        self._worker.close()

    async def resign(self):
        """Revokes the lease before a graceful stop.

        Nothing is sent from now on. The lease is revoked once no call of a
        duty is in flight, so that the next holder's calls follow these.
        """
        if self._task is not None:
            self._task.cancel()
        lease, self._lease = self._lease, None
        self._leadership.lost()
        await self._worker.stop()
        if lease is not None:
            await self._revoke(lease)

    @property
    def token(self):
        """Fencing token of the lease, 0 while it is not held."""
        return self._leadership.token

    def holds(self, token):
        """Returns whether the lease with this token is held."""
        return self._leadership.held and self._leadership.token == token

    def may_act(self, token):
        """Returns whether a call of a duty may be sent now."""
        return self._is_valid(token) and self._leadership.may_act(
            self._clock()
        )

    def may_send_order(self, token):
        """Returns whether a role order may be sent now."""
        return self._is_valid(token) and self._leadership.may_send_order(
            self._clock()
        )

    def _is_valid(self, token):
        return (
            self._lease is not None
            and self._lease.epoch == self._store.epochs.current
            and self.holds(token)
        )

    async def _run(self):
        while True:
            try:
                if self._leadership.held:
                    await self.renew(self._leadership.token)
                    self._log_first_act()
                    await self._worker.perform(self._authority)
                    await asyncio.sleep(self._renewal_pause_s())
                else:
                    await self._acquire()
            except _store.StoreFailed as exc:
                self._log.event('orders.store_failed', reason=str(exc))
                await asyncio.sleep(RETRY_S)
            except Exception:
                # If this task ended, no role would change until a restart.
                self._log.event('orders.fault', trace=traceback.format_exc())
                await asyncio.sleep(RETRY_S)

    def _renewal_pause_s(self):
        """Returns the time to the next renewal.

        Duties can be performed only after a verification that follows the
        wait, so the renewal is due right after its end, and again at once if
        that one was sent too early.
        """
        if not self._verifies or self._leadership.waited:
            return leadership.RENEW_INTERVAL_S
        left_s = max(0.0, self._leadership.until_duties_s(self._clock()))
        return min(leadership.RENEW_INTERVAL_S, left_s + WAIT_MARGIN_S)

    def _log_first_act(self):
        if not self._acting and self.may_act(self.token):
            self._acting = True
            self._log.event('duties.acting', token=self.token)

    async def _wait_for_turn(self):
        """Waits for some time; returns whether to try to acquire then.

        A key that this instance wrote without knowing its result may be
        attached to the lease of another instance, if the store was restored
        in between. It is overwritten.
        """
        if not self._verifies:
            spread_s = ACQUIRE_JITTER_S * max(
                1, len(self._sync.registered.entries)
            )
            await asyncio.sleep(RETRY_S + spread_s * self._rng.random())
            return self._may_try()
        await asyncio.sleep(TURN_POLL_S)
        if not self._may_try():
            self._vacant_at = None
            return False
        now = self._loop.time()
        if self._vacant_at is None:
            self._vacant_at = now
        due_at = self._vacant_at + self._rank() * leadership.RANK_INTERVAL_S
        if now < due_at:
            return False
        # A further try waits until the result of this one is known.
        self._vacant_at = now + RETRY_S
        return True

    def _may_try(self):
        return (
            self._sync.has_routes
            and self._sync.current
            and (not self._sync.holder or self._overwrites())
        )

    def _overwrites(self):
        return self._write_uncertain and self._sync.holder == self._name

    def _rank(self):
        """Returns the own place among the candidates, the last by default."""
        if self._overwrites():
            return 0
        candidates = self._sync.candidates()
        if self._name in candidates:
            return candidates.index(self._name)
        return len(candidates)

    async def _acquire(self):
        """Tries to acquire the lease if it has no holder."""
        if not await self._wait_for_turn():
            return
        overwrite = self._overwrites()
        if self._lease is not None:
            # The lease was lost, or the response to the write of its key was.
            # Its key, if it still exists, is deleted with it.
            lease, self._lease = self._lease, None
            await self._revoke(lease)
        sent_at = self._clock()
        self._lease = await self._store.grant_lease(self._lease_s)
        self._write_uncertain = True
        try:
            revision = await self._store.put(
                HOLDER_KEY,
                self._name.encode(),
                self._lease,
                revision=self._sync.holder_revision if overwrite else 0,
            )
        except _store.Conflict:
            self._write_uncertain = False
            await self._revoke(self._lease)
            self._lease = None
            return
        except _store.LeaseEnded:
            self._lease = None
            return
        self._write_uncertain = False
        self._record_acquisition(revision, sent_at)

    def _record_acquisition(self, revision, sent_at):
        token = revision.fencing_token
        self._revision = revision
        self._acting = False
        self._vacant_at = None
        self._leadership.acquired(token, sent_at, self._clock())
        self._authority = _duty.Authority(self._name, token, self._lease, self)
        self._log.event('orders.held', token=token)

    async def _revoke(self, lease):
        try:
            await self._store.revoke_lease(lease)
        except _store.StoreFailed as exc:
            self._log.event('orders.lease_not_ended', reason=str(exc))

    async def renew(self, token):
        """Renews the lease with a token, unless it was lost.

        Raises:
            StoreFailed: If it may not have been renewed.
        """
        if not self.holds(token):
            return
        try:
            if self._verifies:
                await self._renew_verified(token)
            else:
                await self._renew()
        except _store.LeaseEnded:
            self._record_loss(token, 'the lease has ended')

    async def _renew(self):
        sent_at = self._clock()
        await self._store.renew_lease(self._lease)
        # A later holder may have come and gone between two renewals.
        later = self._sync.last_holder_token > self.token
        if later or self._sync.holder not in ('', self._name):
            self._record_loss(self.token, 'another instance holds it')
        else:
            self._leadership.renewed(sent_at, self._sync.ages.view_age_s())

    async def _renew_verified(self, token):
        """Renews the lease and reads its key, at the same time."""
        sent_at = self._clock()
        renewal, own = await asyncio.gather(
            self._store.renew_lease(self._lease),
            self._reads_own_key(self._revision),
            return_exceptions=True,
        )
        if own is False:
            self._record_loss(token, 'its key is not its own write')
            return
        for result in (renewal, own):
            if isinstance(result, BaseException):
                raise result
        if self.holds(token):
            self._leadership.verified(sent_at)

    async def _reads_own_key(self, revision):
        """Reads the key; returns whether a write of the own was the last."""
        listing = await self._store.list(HOLDER_KEY)
        numbers = {
            item.revision for item in listing.items if item.key == HOLDER_KEY
        }
        same_epoch = listing.revision.epoch == revision.epoch
        return same_epoch and numbers == {revision.number}

    def _record_loss(self, token, reason):
        """Stops acting; a later _acquire() revokes the lease."""
        if self.holds(token):
            self._log.event('orders.lost', reason=reason)
            self._leadership.lost()
