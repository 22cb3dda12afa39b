"""Bounds what upstreams hold, and finds those that have stopped to read."""

import prometheus_client

from dandelionwinch.gateway import _byte_reports
from dandelionwinch.gateway import _byte_shares
from dandelionwinch.gateway import _learnt_bounds
from dandelionwinch.gateway import _upstream_bytes

# Interval of the looks at what upstreams have read.
POLL_S = 0.25


class ByteLimits:
    """The bodies of all requests in flight, by service and upstream.

    It is in use only if the settings ask for it.

    Args:
        loop: The event loop.
        fleet: Fleet with the configuration.
        link: PeerLink to the other instances.
        name: Name of the local instance.
        log: EventLog.
        registry: Registry of the metrics.
        rng: Source of randomness.
    """

    __slots__ = (
        '_active',
        '_bound_bytes',
        '_fleet',
        '_guards',
        '_held',
        '_learnt',
        '_log',
        '_loop',
        '_server',
        '_shares',
        '_stalled',
        '_timer',
    )

    def __init__(self, loop, fleet, link, name, log, registry, rng):
        self._loop = loop
        self._fleet = fleet
        self._log = log
        # Guards by incarnation, those that have something to observe, and
        # those of stalled upstreams.
        self._guards = {}
        self._active = set()
        self._stalled = set()
        reports = _byte_reports.ByteReports(log, registry)
        self._learnt = _learnt_bounds.LearntBounds(
            loop, fleet, link, name, log, reports, rng
        )
        self._shares = _byte_shares.ByteShares(
            loop, fleet, link, name, self._learnt, reports
        )
        self._server = None
        self._timer = None
        self._held = prometheus_client.Gauge(
            'dandelionwinch_gateway_held_bytes',
            'Bytes that wait to be read, or are held until they are sent',
            ['direction'],
            registry=registry,
        )
        self._bound_bytes = prometheus_client.Gauge(
            'dandelionwinch_gateway_bytes_bound',
            'Bound learnt from crashes on the bytes held by an upstream',
            ['service'],
            registry=registry,
        )

    def start(self):
        """Starts to observe the upstreams."""
        self._learnt.start()
        self._shares.start()
        self._tick()

    def close(self):
        """Stops it."""
        self._learnt.close()
        self._shares.close()
        if self._timer is not None:
            self._timer.cancel()

    def guard(self, entry):
        """Returns the Guard of a new pool.

        Args:
            entry: Entry of the upstream that the pool leads to.
        """
        guard = _upstream_bytes.UpstreamBytes(
            self._loop, entry, self, self._shares
        )
        self._guards[entry.incarnation] = guard
        return guard

    def forget(self, guard):
        """Forgets the guard of an upstream that is not used any more."""
        self._guards.pop(guard.entry.incarnation, None)
        self._active.discard(guard)
        self._stalled.discard(guard)

    def activate(self, guard):
        """Observes a guard until it has nothing in flight."""
        self._active.add(guard)

    def admitted(self, upstreams):
        """Returns the upstreams that read, or get a request as a trial."""
        if not self._stalled:
            return upstreams
        avoided = {
            guard.entry.incarnation
            for guard in self._stalled
            if not guard.admits()
        }
        return [u for u in upstreams if u.entry.incarnation not in avoided]

    def without_room(self, service, size):
        """Returns the ids of the upstreams that have no room for a body."""
        found = set()
        for upstream in self._fleet.registry.in_service(service):
            guard = self._guards.get(upstream.entry.incarnation)
            if guard is not None and not guard.has_room(size):
                found.add(upstream.entry.id)
        return found

    def bound(self, service):
        """Returns the bound on this instance's bodies at one upstream."""
        learnt = self._learnt.bytes(service)
        most = self._learnt.most()
        return most if learnt is None else min(most, learnt)

    def crashed(self, upstream):
        """Records that an upstream crashed."""
        guard = self._guards.get(upstream.entry.incarnation)
        held = 0 if guard is None else guard.held_at_crash()
        if held:
            self._learnt.record_crash(upstream, held, guard.known_total())

    def stall_changed(self, guard):
        """Records that an upstream has stopped to read, or reads again."""
        watch = guard.watch
        if not watch.stalled:
            self._stalled.discard(guard)
            self._log.event('upstream.reads', upstream=guard.entry.id)
            return
        self._stalled.add(guard)
        self._log.event(
            'upstream.stalled',
            upstream=guard.entry.id,
            unread_bytes=watch.unread_bytes,
            seconds=round(watch.silent_s, 3),
        )

    def serve_caller(self, caller, team):
        """Counts what is held for a caller to its team from now on.

        Args:
            caller: The CallerConnection.
            team: Name of the team of its request, or ''.
        """
        self._server = caller.server
        self._server.sheds_largest = True
        caller.assign(team)

    def _tick(self):
        now = self._loop.time()
        for guard in list(self._active):
            guard.observe(now)
            if guard.idle:
                self._active.discard(guard)
        self._update_metrics()
        self._timer = self._loop.call_later(POLL_S, self._tick)

    def _update_metrics(self):
        unread = sum(guard.watch.unread_bytes for guard in self._active)
        self._held.labels('to_upstreams').set(unread)
        self._bound_bytes.clear()
        for service in self._learnt.services():
            learnt = self._learnt.bytes(service)
            self._bound_bytes.labels(service).set(learnt)
        if self._server is not None:
            bodies, responses = self._server.held()
            self._held.labels('from_callers').set(bodies)
            self._held.labels('to_callers').set(responses)
