"""Load reports of upstreams, and holds on upstreams that are to change."""

import asyncio

import attrs

from dandelionwinch.daemon import _periodic
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement
from dandelionwinch import settings
from dandelionwinch import utils

REPORT_LIFE_S = 5.0
FIRST_REST_S = 0.5
LONGEST_REST_S = 15.0


@attrs.define
class _Seen:
    """The newest report of an upstream, as it came from whoever polled."""

    made_at: float
    message: peer_pb2.UpstreamLoad


@attrs.define
class _Rest:
    until: float = 0.0
    failures: int = 0


class Loads:
    """Polls some upstreams and learns of the others from peers.

    Each upstream is polled by one instance of its data centre, chosen by
    rendezvous hashing, so that polling grows with upstreams only.
    """

    def __init__(self, core):
        self._core = core
        self._seen = {}
        self._holds = {}
        self._rests = {}

    def runs(self):
        """Returns the coroutines of this task."""
        period_s = self._core.cfg.timing.load_s
        yield _periodic.every(period_s, self._poll_all, self._core.rng)

    async def _poll_all(self):
        core = self._core
        now = core.now()
        self._end_holds(now)
        mine = [
            upstream
            for upstream in core.catalog.all('upstream')
            if upstream.role is not settings.Role.SERVICE
            and upstream.state is not settings.UpstreamState.RETIRED
            and self._poller_of(upstream, now) == core.name
        ]
        await asyncio.gather(*(self.poll(upstream) for upstream in mine))

    def _poller_of(self, upstream, now):
        core = self._core
        data_centre = core.catalog.data_centre_of(upstream)
        live = core.members.live(now)
        near = [k for k in live if k.data_centre == data_centre] or live
        if not near:
            return core.name
        best = max(
            near, key=lambda k: utils.stable_hash(upstream.name, k.name)
        )
        return best.name

    async def poll(self, upstream):
        """Asks an upstream for its load and notes the report.

        Returns:
            The Load, or None if it did not answer.
        """
        core = self._core
        asked_at = core.now()
        load = await core.call(core.upstreams.fetch_load, upstream.address)
        message = peer_pb2.UpstreamLoad(upstream=upstream.name)
        if load is None:
            message.failed = True
        else:
            message.running = load.running
            message.waiting = load.waiting
            message.waiting_tokens = load.waiting_tokens
            message.kv_tokens = load.kv_tokens
            message.role = load.role
            message.away = load.applying_order
            message.order_id = load.order_id
            message.epoch = load.epoch
        self._take(message, asked_at)
        return load

    def merge(self, messages, now):
        """Takes in reports that a peer passed on."""
        for message in messages:
            self._take(message, now - message.age_s)

    def _take(self, message, made_at):
        held = self._seen.get(message.upstream)
        if held is not None and made_at <= held.made_at + 0.001:
            return
        if self._core.catalog.get('upstream', message.upstream) is None:
            return
        self._seen[message.upstream] = _Seen(made_at, message)
        estimates = self._core.scheduler.estimates
        if message.failed:
            estimates.failed(message.upstream, self._core.now())
            return
        if message.role not in set(settings.Role):
            return
        estimates.report(
            message.upstream,
            placement.Report(
                made_at,
                message.running,
                message.waiting_tokens,
                message.kv_tokens,
                settings.Role(message.role),
                message.away,
            ),
        )

    def known(self, now, limit=None):
        """Returns recent reports with their ages, for a digest."""
        fresh = [
            seen
            for seen in self._seen.values()
            if now - seen.made_at <= REPORT_LIFE_S
        ]
        if limit is not None and len(fresh) > limit:
            fresh = self._core.rng.sample(fresh, limit)
        for seen in fresh:
            seen.message.age_s = now - seen.made_at
            yield seen.message

    def latest(self, upstream):
        """Returns the newest report of an upstream and its time, or None."""
        return self._seen.get(upstream)

    def hold(self, request):
        """Places nothing new on an upstream for a time."""
        core = self._core
        key = (request.upstream, request.order_id)
        if request.release:
            self._holds.pop(key, None)
        else:
            if key not in self._holds:
                core.event('upstream.held', request.upstream, request.order_id)
            self._holds[key] = core.now() + request.ttl_s
        self._mark_held(request.upstream)
        jobs = core.scheduler.job_history.count_on_upstream(request.upstream)
        return peer_pb2.HoldReply(jobs=jobs, instance=core.name)

    def is_held(self, upstream):
        """Tells whether an upstream is held."""
        return any(name == upstream for name, _order in self._holds)

    def _mark_held(self, upstream):
        estimate = self._core.scheduler.estimates.get(upstream)
        if estimate is not None:
            estimate.held = self.is_held(upstream)

    def _end_holds(self, now):
        over = [key for key, until in self._holds.items() if until < now]
        for key in over:
            del self._holds[key]
            self._mark_held(key[0])
            self._core.event('upstream.hold_ended', key[0], key[1])

    def rest(self, upstream, now):
        """Leaves a service's upstream alone for a while."""
        rest = self._rests.setdefault(upstream, _Rest())
        wait_s = min(LONGEST_REST_S, FIRST_REST_S * 2**rest.failures)
        rest.failures = min(rest.failures + 1, 10)
        rest.until = now + wait_s

    def rested(self, upstream):
        """Notes that a service's upstream answered well."""
        self._rests.pop(upstream, None)

    def is_resting(self, upstream, now):
        """Tells whether an upstream takes no new work at present."""
        rest = self._rests.get(upstream)
        resting = rest is not None and now < rest.until
        return resting or self.is_held(upstream)
