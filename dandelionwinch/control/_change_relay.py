"""Tells the instances of a data centre what changed, and hears of it.

The first instances of the data centre, by a hash, watch the store and tell
the others after each answer. The others listen, and watch for themselves
while they are told nothing. One of these whom the store answers acts in the
place of the watchers until it hears one that precedes it.
"""

import asyncio

from dandelionwinch.control import _change_sender
from dandelionwinch.control import _due_calls
from dandelionwinch import gateway
from dandelionwinch import relay

# With fewer instances each one watches for itself.
MIN_INSTANCES = 20
# Pause of a watcher after changes, so that a message has several.
RELAY_COALESCE_S = 0.8
RELAY_COALESCE_JITTER = 0.4
# Age of what was told from which an instance watches for itself.
SILENCE_S = 1.5
# The same where all watch and nobody listens: longer than a watch.
LONE_SILENCE_S = 4.0
# Of those whom the store answers then, the first one in the order tells the
# others; each further one waits this much longer for it.
RANK_INTERVAL_S = 0.02
ASK_INTERVAL_S = 0.5
# A lower revision that was in force this much later than a higher one was
# known contradicts it. A call to the store takes less time.
CONTRADICTION_S = 3.0
# A wait that rounding makes shorter would end before what it waits for.
MIN_WAIT_S = 0.001


class ChangeRelay:
    """When an instance calls the store, tells others, or relies on them.

    Args:
        loop: Event loop.
        link: PeerLink.
        cfg: InstanceConfig of the local instance.
        registered: RegisteredInstances.
        follower: StoreSync; see its methods `told` and `confirmed`.
        log: EventLog.
        metrics: Metrics of the gateway.
        rng: Random number generator.
    """

    __slots__ = (
        '_acting',
        '_cfg',
        '_due_calls',
        '_enabled',
        '_follower',
        '_history',
        '_link',
        '_listed_at',
        '_log',
        '_loop',
        '_metrics',
        '_ordered',
        '_registered',
        '_rng',
        '_role',
        '_sender',
        '_ticker',
        '_views',
        '_wake',
    )

    def __init__(
        self, loop, link, cfg, registered, follower, log, metrics, rng
    ):
        self._loop = loop
        self._link = gateway.ChangeLink(loop, link, self)
        self._cfg = cfg
        self._enabled = cfg.duty_settings.enabled and bool(cfg.peer_port)
        self._registered = registered
        self._follower = follower
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._history = relay.History()
        self._views = relay.SenderViews()
        self._wake = asyncio.Event()
        self._acting = False
        self._role = 'alone'
        self._ticker = None
        self._listed_at = float('-inf')
        self._sender = _change_sender.ChangeSender(
            loop, self._link, self._history, follower, metrics
        )
        # Names that were ordered last, and their order.
        self._ordered = ((), [])
        self._due_calls = _due_calls.DueCalls(rng)

    def start(self):
        """Starts to ask others while the store turns this instance away."""
        if self._enabled:
            self._tick()

    def close(self):
        """Stops it."""
        if self._ticker is not None:
            self._ticker.cancel()

    @property
    def in_force(self):
        """Whether watchers tell the other instances.

        Those that asked count on it, though their entries may be gone.
        Without duties the holder of the lease knows of another one by its
        view of the store only, so each instance watches for itself.
        """
        if not self._enabled or not self._link.bound:
            return False
        many = len(self._registered.entries) >= MIN_INSTANCES
        return many or self._sender.has_askers()

    def answered_at(self):
        """Returns when the store last answered one that told all of it."""
        return self._views.answered_at()

    def known_at(self):
        """Returns the time up to which others have told what changed."""
        return self._views.known_at()

    def listed(self, number, changes):
        """Begins anew after a listing of the store.

        Args:
            number: Number of the revision of the listing.
            changes: Change items that lead to it from the last revision,
                None if they are not known.
        """
        if not self._enabled:
            return
        now = self._loop.time()
        # A store that states no epoch may have gone back.
        if changes is None or number < self._history.number:
            self._history.restart(number, now)
            self._views.clear()
            self._sender.restart(number)
        else:
            self._history.add(changes, number, now, listed=True)
        self._listed_at = now
        self._called()

    def learned(self, items, number):
        """Keeps changes up to a revision, to tell others of them."""
        if self._enabled:
            self._history.add(items, number, self._loop.time())

    async def answered(self):
        """Tells the others after an answer to a watch, if that is due."""
        self._called()
        if not self.in_force:
            return
        order = self._order()
        if not self._tells(order) and self._silent(self._loop.time()):
            await self._take_over(order)
        # Meanwhile another call may have been answered in a new epoch.
        if self._tells(order) and self._follower.view is not None:
            self._sender.tell(self._order())

    def _called(self):
        self._due_calls.called(self._loop.time(), safeguard=self.in_force)

    async def _take_over(self, order):
        """Begins to act for the watchers unless one is heard in time."""
        if self._cfg.instance not in order:
            return
        place, _name = relay.rank(order, self._cfg.instance)
        await asyncio.sleep(place * RANK_INTERVAL_S)
        now = self._loop.time()
        self._acting = self._silent(now)

    def _order(self):
        """Returns the registered instances of the own data centre."""
        names = tuple(self._registered.names_in(self._cfg.data_centre))
        if names != self._ordered[0]:
            self._ordered = (names, relay.order(names))
        return self._ordered[1]

    def _tells(self, order):
        return self._acting or self._cfg.instance in order[: relay.WATCHERS]

    def _silent(self, now):
        heard_at = max(self._listed_at, self._views.answered_at())
        return now >= heard_at + SILENCE_S

    def watches(self, keeps_watch, next_due_s):
        """Tells whether the instance is to call the store now.

        Args:
            keeps_watch: Whether it needs a view of its own.
            next_due_s: Time until a call is due anyway, None for never.
        """
        now = self._loop.time()
        role = 'alone'
        if self.in_force:
            role = self._current_role(keeps_watch, now)
        if role != self._role:
            self._begin_role(role, now)
        if role != 'listener':
            return True
        return self._call_due_at(now, next_due_s) <= now

    def _begin_role(self, role, now):
        previous, self._role = self._role, role
        self._log.event('relay.role', role=role, previous=previous)
        if previous == 'alone':
            self._called()
        if role == 'silent':
            # The store may have failed the watchers until now, and the
            # leases of live upstreams may have ended.
            self._follower.failed_elsewhere(now)
        elif previous in ('alone', 'holder', 'listener'):
            # Others have told what is older.
            self._sender.begin(now)

    def _current_role(self, keeps_watch, now):
        order = self._order()
        if self._cfg.instance in order[: relay.WATCHERS]:
            return 'watcher'
        if self._acting:
            return 'acting'
        if keeps_watch:
            return 'holder'
        return 'silent' if self._silent(now) else 'listener'

    def _call_due_at(self, now, next_due_s):
        due_at = float('inf') if next_due_s is None else now + next_due_s
        return min(due_at, self._due_calls.next_at())

    def watch_wait_s(self, wait_s, answered_at):
        """Returns how long a watch is to wait for changes.

        Args:
            wait_s: Time if nobody listens.
            answered_at: Time of the last answer to a watch.
        """
        if not self._has_listeners():
            return wait_s
        if self._role == 'listener' or (
            self._role == 'silent' and self._cfg.instance in self._order()
        ):
            return 0.0
        left_s = answered_at + _change_sender.CYCLE_S - self._loop.time()
        return min(wait_s, max(0.0, left_s))

    def _has_listeners(self):
        """Tells whether any instance relies on what the watchers tell."""
        if not self.in_force:
            return False
        return len(self._order()) > relay.WATCHERS or (
            self._sender.has_askers()
            or self._cfg.instance not in self._order()
        )

    def coalesce_s(self):
        """Returns the pause after changes, None if nobody listens."""
        if not self._has_listeners():
            return None
        if self._role == 'listener':
            return 0.0
        jitter = RELAY_COALESCE_JITTER * self._rng.random()
        return RELAY_COALESCE_S * (1.0 - jitter)

    def wake(self):
        """Ends a wait of listen()."""
        self._wake.set()

    async def listen(self, next_due_s, fetch_at):
        """Waits until something but a message may be due.

        Args:
            next_due_s: Time until a call is due, None for never.
            fetch_at: Time at which the configuration is to be fetched.
        """
        now = self._loop.time()
        heard_at = max(self._listed_at, self._views.answered_at())
        silent_at = heard_at + SILENCE_S
        until = min(silent_at, fetch_at, self._call_due_at(now, next_due_s))
        self._wake.clear()
        try:
            async with asyncio.timeout(max(MIN_WAIT_S, until - now)):
                await self._wake.wait()
        except TimeoutError:
            pass

    def take_question(self, epoch, number, sender, addr):
        """Answers an instance that asks for what changed."""
        if not self._enabled:
            return
        now = self._loop.time()
        addr = tuple(addr[:2])
        self._sender.asked(sender, addr, now)
        view = self._follower.view
        if view is None or not self.in_force:
            return
        if epoch is not None and epoch > (view.epoch or 0):
            self._check_soon(now)
        known = number if epoch == view.epoch else view.number
        self._sender.answer(known, sender, addr, now)

    def take_message(self, message, sender):
        """Applies what another instance tells, or calls the store for it."""
        view = self._follower.view
        if view is None or not self.in_force:
            return
        now = self._loop.time()
        action = relay.judge(message, view.epoch, view.number)
        self._metrics.relay_messages.labels(action.value).inc()
        if action is relay.Action.DROP:
            return
        sent_at = self._views.heard(sender, message.sent_s, now)
        known_at = sent_at - message.view_age_s
        if message.failed_s is not None:
            # Before the changes, as it delays the removal of upstreams.
            self._follower.failed_elsewhere(sent_at - message.failed_s)
        match action:
            case relay.Action.KNOWN:
                if self._contradicts(message, known_at):
                    self._check_soon(now)
                    return
                self._follower.confirmed(known_at)
            case relay.Action.ASK:
                self._ask_for_gap(message, view, sender, now)
                return
            case relay.Action.WATCH | relay.Action.CHECK_EPOCH:
                self._check_soon(now)
                return
            case relay.Action.APPLY:
                if not self._follower.told(message, known_at):
                    self._check_soon(now)
                    return
                self._wake.set()
        self._views.known(sender, sent_at - message.age_s, known_at)
        self._confirmed(sender, now)

    def _contradicts(self, message, known_at):
        """Tells whether the store went back without a new epoch."""
        lower = message.after < self._history.number
        return lower and known_at > self._history.learned_at + CONTRADICTION_S

    def _check_soon(self, now):
        if self._due_calls.check_soon(now):
            self._wake.set()

    def _ask_for_gap(self, message, view, sender, now):
        addr = self._link.peers.get(sender)
        if addr is not None:
            self._link.ask(view.epoch, view.number, [addr])
        self._due_calls.gap_found(message.after, now)
        self._wake.set()

    def _confirmed(self, sender, now):
        """Ends what waits until all that a sender knew is known here."""
        self._due_calls.told(self._history.number)
        if self._acting and not self._silent(now):
            order = self._order()
            own = relay.rank(order, self._cfg.instance)
            self._acting = own < relay.rank(order, sender)

    def _tick(self):
        self._ticker = self._loop.call_later(ASK_INTERVAL_S, self._tick)
        view = self._follower.view
        if view is None or not self.in_force:
            return
        self._views.keep(self._link.peers)
        order = self._order()
        if self._silent(self._loop.time()):
            # Any of them may be the one that the store answers.
            lone = not self._has_listeners()
            limit_s = LONE_SILENCE_S if lone else SILENCE_S
            if self._follower.ages.answer_age_s() >= limit_s:
                self._ask(view, order)
        elif self._cfg.instance not in order:
            self._ask(view, order[: relay.WATCHERS])

    def _ask(self, view, names):
        peers = self._link.peers
        addresses = [peers[name] for name in names if name in peers]
        self._link.ask(view.epoch, view.number, addresses)
