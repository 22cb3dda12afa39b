"""Divides the bound of what upstreams hold among the instances.

The instances agree, by rendezvous hashing, on the one that grants the shares
of an upstream's bound, as for its rate limit. Nothing is sent while no bound
is learnt, and by an instance whose bodies fit into its even part.
"""

import asyncio

from dandelionwinch.gateway import _byte_share_link
from dandelionwinch.gateway import _granting_instances
from dandelionwinch import ratelimits

# Interval of the periodic work while shares are in use, and otherwise.
TICK_S = 0.05
IDLE_TICK_S = 1.0
# Longest time for which a body waits for room: one interval between requests
# for a share and the way to another region and back.
ROOM_WAIT_S = 0.4
# Time up to which an instance that does not agree on who grants asks again.
DISAGREED_S = 0.25


class ByteShares:
    """The shares of one instance, and those that it grants.

    Args:
        loop: The event loop.
        fleet: Fleet.
        link: PeerLink.
        name: Name of the local instance.
        learnt: LearntBounds.
        reports: ByteReports.
    """

    __slots__ = (
        '_answers',
        '_fleet',
        '_granters',
        '_instances',
        '_learnt',
        '_link',
        '_loop',
        '_name',
        '_names',
        '_names_at',
        '_reports',
        '_timer',
        '_used',
    )

    def __init__(self, loop, fleet, link, name, learnt, reports):
        self._loop = loop
        self._fleet = fleet
        self._link = _byte_share_link.ByteShareLink(link, self)
        self._name = name
        self._learnt = learnt
        self._reports = reports
        self._instances = _granting_instances.GrantingInstances(
            self._link, name, fleet
        )
        # The BytesGranters, the guards that have or want a share, and the
        # futures of bodies that await an answer, by key.
        self._granters = {}
        self._used = {}
        self._answers = {}
        # Names of the other instances, and the time since which they are so.
        self._names = frozenset()
        self._names_at = loop.time()
        self._timer = None

    def start(self):
        """Starts the periodic work."""
        self._tick()

    def close(self):
        """Stops it."""
        if self._timer is not None:
            self._timer.cancel()

    def divides(self, service):
        """Tells whether the bound of a service is divided."""
        return self._learnt.bytes(service) is not None and bool(
            self._link.peers
        )

    def limit(self, guard):
        """Returns the bytes that this instance may hold at an upstream.

        Args:
            guard: Its UpstreamBytes.
        """
        bound = self._learnt.bytes(guard.entry.service)
        count, now = self._instances.count(), self._loop.time()
        return guard.allowance.limit(bound, count, now)

    def may_have_room(self, guard, size):
        """Tells whether a body that exceeds the share may get room soon."""
        if size > self._learnt.bytes(guard.entry.service):
            return False
        allowance, now = guard.allowance, self._loop.time()
        return allowance.asked or allowance.is_due(now)

    async def await_room(self, guard, size, timeout_s):
        """Waits until a share has room for a body, or it is known not to.

        Args:
            guard: UpstreamBytes of the upstream.
            size: Bytes of the body.
            timeout_s: Longest wait in seconds.
        """
        guard.allowance.begin_wait(size)
        try:
            until = self._loop.time() + min(ROOM_WAIT_S, timeout_s)
            await self._await_room(guard, size, until)
        finally:
            guard.allowance.end_wait(size)

    async def _await_room(self, guard, size, until):
        key, allowance = guard.key, guard.allowance
        asked = allowance.number
        self._use(key, guard)
        while not guard.fits(size):
            answered = allowance.number > asked and not allowance.asked
            left_s = until - self._loop.time()
            late = not allowance.asked and allowance.next_at >= until
            if answered or late or left_s <= 0:
                return
            await self._await_answer(key, left_s)

    async def _await_answer(self, key, timeout_s):
        answer = self._loop.create_future()
        waiting = self._answers.setdefault(key, [])
        waiting.append(answer)
        try:
            await asyncio.wait([answer], timeout=timeout_s)
        finally:
            waiting.remove(answer)
            if not waiting and self._answers.get(key) is waiting:
                del self._answers[key]

    def sent(self, guard):
        """Records that a body beyond the even part has been admitted."""
        self._use(guard.key, guard)

    def _use(self, key, guard):
        if key not in self._used:
            self._used[key] = guard
            self._schedule_tick()
        self._ask_if_due(key, guard)

    def _ask_if_due(self, key, guard):
        """Asks for a share; here if this instance grants them."""
        allowance, now = guard.allowance, self._loop.time()
        if not allowance.is_due(now):
            return
        bound = self._learnt.bytes(guard.entry.service)
        even = ratelimits.even_part(bound, self._instances.count())
        if not allowance.is_wanted(guard.held, even, now):
            return
        owner = self._instances.of(key)
        if owner == self._name and not self._learnt.hears_others():
            # The others may have chosen another one by now.
            allowance.next_at = now + TICK_S
            return
        req = allowance.ask(self._name, guard.held, now)
        if owner == self._name:
            granter = self._granter(key, guard.entry.service)
            self._grant_own(key, granter, req, bound)
            return
        addr = self._link.peers[owner]
        self._link.send_request(key, allowance.number, req, addr)

    def _grant_own(self, key, granter, req, bound):
        now = self._loop.time()
        grant = granter.grant(req, bound, self._instances.count(), now)
        number = self._used[key].allowance.number
        self.take_grant(key, number, grant, bound, granter.total(now))

    def _granter(self, key, service):
        granter = self._granters.get(key)
        if granter is None:
            granter = self._granters[key] = self._new_granter(service)
        return granter

    def _new_granter(self, service):
        self._note_names()
        learnt_at = self._learnt.since(service)
        if learnt_at >= self._names_at:
            # No share can be in force.
            warm_up_s = ratelimits.warm_up_s(0)
            return ratelimits.BytesGranter(learnt_at, warm_up_s)
        warm_up_s = ratelimits.warm_up_s(self._instances.count())
        return ratelimits.BytesGranter(self._names_at, warm_up_s)

    def take_request(self, key, number, req, addr):
        """Grants a share to another instance."""
        self._learnt.heard()
        upstream = self._fleet.registry.get(key[0])
        if upstream is None or _granting_instances.key_of(upstream) != key:
            self._reports.count_unknown(key[0], req.instance)
            return
        service = upstream.entry.service
        bound = self._learnt.bytes(service)
        if bound is None:
            # This instance missed the crash.
            self._learnt.ask([addr])
            return
        if self._instances.of(key) != self._name:
            grant = ratelimits.Grant(0.0, DISAGREED_S, DISAGREED_S)
            self._link.send_grant(key, number, grant, bound, (0, 0.0), addr)
            return
        granter, now = self._granter(key, service), self._loop.time()
        if granter.is_late(req.instance, number):
            return
        grant = granter.grant(req, bound, self._instances.count(), now)
        total = granter.total(now)
        self._link.send_grant(key, number, grant, bound, total, addr)

    def take_grant(self, key, number, grant, bound, total):
        """Takes over a share that was granted to this instance."""
        guard, now = self._used.get(key), self._loop.time()
        if guard is None:
            return
        if not guard.allowance.grant(number, grant, bound, now):
            return
        guard.allowance.set_total(*total, now)
        for answer in self._answers.get(key, ()):
            if not answer.done():
                answer.set_result(None)

    def count_invalid(self):
        """Counts a malformed datagram."""
        self._reports.count('invalid')

    def _tick(self):
        self._note_names()
        for key, guard in list(self._used.items()):
            if not self.divides(guard.entry.service):
                del self._used[key]
            elif not self._is_used(guard):
                del self._used[key]
            else:
                self._ask_if_due(key, guard)
        for key in list(self._granters):
            if not self._grants(key):
                del self._granters[key]
        self._schedule_tick()

    def _is_used(self, guard):
        bound = self._learnt.bytes(guard.entry.service)
        even = ratelimits.even_part(bound, self._instances.count())
        now = self._loop.time()
        allowance = guard.allowance
        return allowance.asked or allowance.is_wanted(guard.held, even, now)

    def _grants(self, key):
        """Tells whether this instance goes on to grant the shares of a key."""
        upstream = self._fleet.registry.get(key[0])
        return (
            upstream is not None
            and _granting_instances.key_of(upstream) == key
            and self.divides(upstream.entry.service)
            and self._instances.of(key) == self._name
        )

    def _note_names(self):
        """Begins anew with other granting instances where they change."""
        names = frozenset(self._link.peers)
        if names == self._names:
            return
        self._names = names
        self._names_at = now = self._loop.time()
        for granter in self._granters.values():
            granter.keep_numbers({self._name, *names})
        for guard in self._used.values():
            guard.allowance.renew(now)

    def _schedule_tick(self):
        self.close()
        interval_s = TICK_S if self._used else IDLE_TICK_S
        self._timer = self._loop.call_later(interval_s, self._tick)
