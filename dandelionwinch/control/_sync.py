"""Follows the store, by its own watch or by what other instances tell."""

import asyncio
import traceback

from dandelionwinch.control import _announced_config
from dandelionwinch.control import _call_timing
from dandelionwinch.control import _change_relay
from dandelionwinch.control import _changes
from dandelionwinch.control import _config_fetch
from dandelionwinch.control import _contact
from dandelionwinch.control import _due_calls
from dandelionwinch.control import _epoch
from dandelionwinch.control import _store
from dandelionwinch.control import _told_changes
from dandelionwinch.control import _view_ages
from dandelionwinch.control import _view_check
from dandelionwinch.control import _watch_call

# Pause after an answer that could not be taken.
FAULT_PAUSE_S = 1.5
# While the order lease has no holder, this many candidates for it watch the
# store themselves, as the next holder needs a fresh view.
WATCHING_CANDIDATES = 3
# Shortest time between computations of what is due without changes, as
# several instances tell the same.
CONFIRM_INTERVAL_S = 0.8


class StoreSync:
    """A task that follows the store and has each change applied.

    With many instances only few of them watch the store; see ChangeRelay.

    Args:
        loop: Event loop.
        store: Store.
        store_codec: StoreCodec of the entries.
        gateway: Gateway that gets routes, upstreams and the instance count.
        cfg: InstanceConfig of the local instance.
        log: EventLog.
        rng: Random number generator.
        on_config: Function that is called with each new RouteTable.
        clock: Function that returns seconds of a clock that runs while the
            machine is suspended, or None for the loop's clock.

    Attributes:
        ages: ViewAges.
        view_check: ViewCheck.
    """

    __slots__ = (
        '_announced',
        '_applied',
        '_applier',
        '_cfg',
        '_clock',
        '_config_fetch',
        '_confirmed_at',
        '_consistent',
        '_contact',
        '_gateway',
        '_listed',
        '_listing',
        '_log',
        '_loop',
        '_relay',
        '_revision',
        '_rng',
        '_store',
        '_store_codec',
        '_task',
        '_timing',
        '_watch_call',
        'ages',
        'view_check',
    )

    def __init__(
        self,
        loop,
        store,
        store_codec,
        gateway,
        cfg,
        log,
        rng,
        on_config,
        clock=None,
    ):
        self._loop = loop
        self._clock = clock or loop.time
        self._store = store
        self._store_codec = store_codec
        self._gateway = gateway
        self._cfg = cfg
        self._log = log
        self._rng = rng
        self._applier = _changes.ChangeApplier(
            loop, store_codec, gateway, cfg, log, on_config
        )
        self._relay = _change_relay.ChangeRelay(
            loop,
            gateway.peers,
            cfg,
            self._applier.registered,
            self,
            log,
            gateway.metrics,
            rng,
        )
        self._timing = _call_timing.CallTiming(
            cfg, self._applier.registered, gateway.fleet, self._relay, rng
        )
        gateway.metrics.store_return_bound.set_function(self._timing.bound_s)
        self._revision = None
        # Revision up to which all changes were applied.
        self._applied = None
        self._task = None
        self._watch_call = _watch_call.WatchCall(loop, store)
        self._listed = False
        self._listing = False
        # Whether the view is that of its revision, though it may be so old
        # that the store no longer has what changed since.
        self._consistent = False
        self._contact = _contact.StoreContact(loop, log, gateway.metrics)
        self._confirmed_at = float('-inf')
        self._announced = _announced_config.AnnouncedConfig()
        self._config_fetch = _config_fetch.ConfigFetch(
            loop,
            store,
            store_codec.config_key,
            self._applier,
            self._announced,
            lambda: self.view_epoch,
            rng,
        )
        self.ages = _view_ages.ViewAges(
            loop,
            self._clock,
            self._relay,
            self._announced,
            lambda: self.current,
        )
        self.view_check = _view_check.ViewCheck(loop, store, store_codec, self)
        gateway.streams.view_age_s = self.ages.known_age_s
        gateway.streams.confirm_view = self.view_check.is_current

    def start(self):
        """Starts following the store."""
        self._relay.start()
        self._task = self._loop.create_task(self._run())

    def close(self):
        """Stops following the store."""
        self._relay.close()
        self.view_check.close()
        if self._task is not None:
            self._task.cancel()

    def epoch_changed(self):
        """Ends a call that still waits in an older epoch of the store."""
        self._relay.wake()
        self._watch_call.end()

    @property
    def view(self):
        """The Revision of the view, None while changes can't be applied."""
        if self._listing or not self._consistent or not self.current:
            return None
        return self._revision

    @property
    def applied(self):
        """The Revision up to which all is in force, None without a view."""
        return None if self.view is None else self._applied

    @property
    def view_epoch(self):
        """Epoch of the store that the view is of, None without one."""
        return None if self._revision is None else self._revision.epoch

    @property
    def current(self):
        """Whether the store was listed since its last restore."""
        return (
            self._revision is not None
            and self._revision.epoch == self._store.epochs.current
        )

    @property
    def holder(self):
        """Name of the holder of the order lease, or ''."""
        return self._applier.holder

    @holder.setter
    def holder(self, name):
        self._applier.holder = name

    @property
    def holder_revision(self):
        """Number of the revision of the holder's key, 0 without one."""
        return self._applier.holder_revision

    @property
    def last_holder(self):
        """Name of the last holder that was seen, or ''."""
        return self._applier.last_holder

    @property
    def last_holder_token(self):
        """Fencing token of the last holder that was seen, or 0."""
        return self._applier.last_holder_token

    @property
    def lost_role_changes(self):
        """Announced role changes that a restored store has lost.

        Latest time and role of each, by upstream.
        """
        return self._applier.lost_role_changes

    @property
    def registered(self):
        """The RegisteredInstances."""
        return self._applier.registered

    @property
    def on_usage_report(self):
        """Function that is called with each Item of the report of usage."""
        return self._applier.on_usage_report

    @on_usage_report.setter
    def on_usage_report(self, function):
        self._applier.on_usage_report = function

    def candidates(self):
        """Returns names of the instances that may follow the last holder."""
        return self._applier.candidates()

    @property
    def has_routes(self):
        """Whether a valid configuration was received."""
        return self._gateway.fleet.table is not None

    async def _run(self):
        while True:
            try:
                if not self._listed:
                    await asyncio.sleep(self._listing_delay_s())
                    await self._list_all()
                await self._follow()
            except _store.EpochChanged:
                self._listed = self._consistent = False
            except _store.HistoryGone as exc:
                self._log.event('store.history_gone', reason=str(exc))
                self._listed = False
            except _store.StoreFailed as exc:
                await self._retry(exc)
            except Exception:
                # One malformed response must not end the watch.
                self._log.event('store.fault', trace=traceback.format_exc())
                self._listed = self._consistent = False
                await asyncio.sleep(FAULT_PAUSE_S)

    async def _retry(self, exc):
        """Waits until the next call is due after one that failed."""
        contact = self._contact
        pause_s = self._timing.retry_pause_s(
            contact.failures, self._loop.time() - contact.began_at
        )
        contact.failed(exc, pause_s)
        self._applier.guard.store_failed(self.ages.failed())
        await asyncio.sleep(pause_s)

    async def _follow(self):
        """Calls the store if that is due, else waits for it to be due."""
        due_s = self._applier.guard.next_due_s(self._loop.time())
        if self._relay.watches(self._keeps_watch(), due_s):
            # The watch may take longer than until the fetch is due.
            soon = self._loop.time() + _due_calls.SPREAD_S
            if self._announced.due_at <= soon:
                await self._fetch_config()
            await self._watch()
        elif not self.current:
            raise _store.EpochChanged('another call was answered in it')
        elif self._announced.due_at > self._loop.time():
            await self._relay.listen(due_s, self._announced.due_at)
        if self._announced.due_at <= self._loop.time():
            await self._fetch_config()

    async def _fetch_config(self):
        self._contact.begins('config')
        await self._config_fetch.run()

    def _keeps_watch(self):
        """Tells whether the order lease needs the instance's own view."""
        if self.holder or not self._relay.in_force:
            return self.holder == self._cfg.instance
        return self._cfg.instance in self.candidates()[:WATCHING_CANDIDATES]

    def _store_reached(self, view_at):
        self._contact.answered(self._revision.number)
        self.ages.answered(view_at)

    def _listing_delay_s(self):
        """Returns the pause before a listing, random but for the first."""
        if self._revision is None:
            return 0.0
        return self._timing.listing_delay_s()

    async def _list_all(self):
        """Lists the store; what others tell meanwhile is not applied."""
        self._listing = True
        try:
            await self._list()
            self._listed = self._consistent = True
        finally:
            self._listing = False

    async def _list(self):
        sent_at = self._clock()
        self._contact.begins('list')
        listing = await self._store.list(_watch_call.ALL_KEYS)
        now = self._loop.time()
        previous, self._revision = self._revision, listing.revision
        self._store_reached(sent_at)
        epoch = listing.revision.epoch
        restored = previous is not None and previous.epoch != epoch
        changes = None
        if self._consistent and not restored:
            changes = _told_changes.from_listing(
                listing,
                previous.number,
                self._applier.known_keys(),
                self._store_codec.config_key,
            )
        await self._applier.apply_listing(listing, now, restored)
        self._applied = self._revision
        self._announced.clear()
        self._relay.listed(listing.revision.number, changes)

    async def _watch(self):
        due_s = self._applier.guard.next_due_s(self._loop.time())
        wait_s = self._timing.watch_timeout_s(self.ages.reached_at)
        if due_s is not None:
            wait_s = min(wait_s, due_s)
        after = self._revision
        sent_at = self._clock()
        self._contact.begins('watch')
        listing = await self._watch_call.run(after, wait_s)
        # Without a change the store answers after the whole wait.
        whole = not listing.items and self._clock() >= sent_at + wait_s
        now = self._loop.time()
        items = listing.items
        if self._revision != after:
            # Others have told newer changes, which must not be undone.
            number = self._revision.number
            items = [item for item in items if item.revision > number]
        self._revision = max(self._revision, listing.revision)
        self._store_reached(sent_at + wait_s if whole else sent_at)
        self._applier.apply_changes(items, self._revision.epoch, now)
        told = _told_changes.from_items(items, self._store_codec.config_key)
        self._relay.learned(told, self._revision.number)
        await self._applier.apply_config(listing.items)
        self._announced.watched(after.number, listing.revision.number)
        self._applier.end_response(now)
        self._applied = self._revision
        await self._relay.answered()
        if listing.items:
            await asyncio.sleep(self._timing.coalesce_s())

    def told(self, message, known_at):
        """Applies changes that another instance told.

        Args:
            message: relay.Message whose changes follow those that are known.
            known_at: Time at which its sender knew them.

        Returns:
            Whether they were applied; if not, the store is to be called.
        """
        number, key = self._revision.number, self._store_codec.config_key
        changes = [c for c in message.changes if c.revision > number]
        withheld = [change for change in changes if change.withheld]
        if any(change.key != key for change in withheld):
            return False
        now = self._loop.time()
        if withheld:
            self._config_fetch.announce(
                withheld[-1].revision, now, self.ages.known_at()
            )
        try:
            self._applier.apply_changes(
                [change for change in changes if not change.withheld],
                message.epoch,
                now,
            )
        except Exception:
            self._log.event('store.fault', trace=traceback.format_exc())
            self._listed = self._consistent = False
            self._relay.wake()
            return False
        self._revision = _epoch.Revision(message.epoch, message.after)
        self._relay.learned(changes, message.after)
        self._confirmed_at = now
        self._applier.end_response(now, known_at)
        self._applied = self._revision
        return True

    def confirmed(self, known_at):
        """Applies what is due with time, as after each answer of the store.

        Args:
            known_at: Time at which another instance knew no other changes.
        """
        now = self._loop.time()
        if now >= self._confirmed_at + CONFIRM_INTERVAL_S:
            self._confirmed_at = now
            self._applier.end_response(now, known_at)

    def failed_elsewhere(self, at):
        """Records that a call of another instance to the store failed."""
        self._applier.guard.store_failed(at)
