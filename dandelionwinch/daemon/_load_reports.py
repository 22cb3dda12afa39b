"""Load reports, holds and backoff of upstreams."""

import asyncio

import attrs

from dandelionwinch.daemon import _periodic
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement
from dandelionwinch import settings
from dandelionwinch import utils

REPORT_MAX_AGE_S = 5.0
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0


@attrs.define
class _StoredReport:
    """The newest report of an upstream, polled here or by a peer.

    Attributes:
        made_at: Time before the poll was sent, on the local clock.
    """

    made_at: float
    message: peer_pb2.UpstreamLoad


@attrs.define
class _Backoff:
    until: float = 0.0
    failures: int = 0


class LoadReports:
    """Polls some upstreams and receives reports on the others from peers.

    Each upstream is polled by one instance of its data centre, chosen by
    rendezvous hashing, so that the number of polls does not grow with
    the number of instances.

    A hold keeps new jobs off an upstream while its role changes or it
    drains. Backoff gives upstreams of plain services that failed the
    lowest preference for a while.
    """

    def __init__(self, core):
        self._core = core
        self._reports = {}
        self._holds = {}
        self._backoffs = {}

    def coroutines(self):
        """Returns the coroutines of the background tasks."""
        period_s = self._core.cfg.timing.load_s
        yield _periodic.every(period_s, self._poll_all, self._core.rng)

    async def _poll_all(self):
        core = self._core
        now = core.now()
        self._expire_holds(now)
        own = [
            upstream
            for upstream in core.catalog.all('upstream')
            if upstream.role is not settings.Role.SERVICE
            and upstream.state is not settings.UpstreamState.RETIRED
            and self._poller_of(upstream, now) == core.name
        ]
        await asyncio.gather(*(self.poll(upstream) for upstream in own))

    def _poller_of(self, upstream, now):
        core = self._core
        data_centre = core.catalog.data_centre_of(upstream)
        live = core.members.live(now)
        nearby = [
            peer for peer in live if peer.data_centre == data_centre
        ] or live
        if not nearby:
            return core.name
        best = max(
            nearby,
            key=lambda peer: utils.stable_hash(upstream.name, peer.name),
        )
        return best.name

    async def poll(self, upstream):
        """Polls an upstream and records the report.

        Returns:
            The Load, or None if the upstream did not answer.
        """
        core = self._core
        requested_at = core.now()
        load = await core.run_blocking(
            core.upstreams.fetch_load, upstream.address
        )
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
        self._record(message, requested_at)
        return load

    def merge(self, messages, now):
        """Records reports that came with a peer's digest."""
        for message in messages:
            self._record(message, now - message.age_s)

    def _record(self, message, made_at):
        # Ignores reports that are not newer by more than 1 ms, such as
        # copies of the stored one that peers pass on.
        held = self._reports.get(message.upstream)
        if held is not None and made_at <= held.made_at + 0.001:
            return
        if self._core.catalog.get('upstream', message.upstream) is None:
            return
        self._reports[message.upstream] = _StoredReport(made_at, message)
        estimates = self._core.scheduler.estimates
        if message.failed:
            estimates.record_failure(message.upstream, self._core.now())
            return
        if message.role not in set(settings.Role):
            return
        estimates.record_report(
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

    def recent(self, now, limit=None):
        """Yields the recent reports with their ages set, for a digest.

        Args:
            now: Time in seconds.
            limit: Largest number of reports, drawn at random, or None.
        """
        fresh = [
            report
            for report in self._reports.values()
            if now - report.made_at <= REPORT_MAX_AGE_S
        ]
        if limit is not None and len(fresh) > limit:
            fresh = self._core.rng.sample(fresh, limit)
        for report in fresh:
            report.message.age_s = now - report.made_at
            yield report.message

    def latest(self, upstream):
        """Returns the newest report of an upstream with its time, or None."""
        return self._reports.get(upstream)

    def hold(self, request):
        """Starts, renews or releases a hold on an upstream.

        Args:
            request: A HoldRequest.

        Returns:
            A HoldReply with the number of jobs that this instance still
            has on the upstream.
        """
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

    def held(self):
        """Returns the names of the upstreams that a hold keeps jobs off."""
        return {name for name, _order in self._holds}

    def is_held(self, upstream):
        """Tells whether a hold keeps new jobs off an upstream."""
        return upstream in self.held()

    def _mark_held(self, upstream):
        estimate = self._core.scheduler.estimates.get(upstream)
        if estimate is not None:
            estimate.held = self.is_held(upstream)

    def _expire_holds(self, now):
        expired = [key for key, until in self._holds.items() if until < now]
        for key in expired:
            del self._holds[key]
            self._mark_held(key[0])
            self._core.event('upstream.hold_ended', key[0], key[1])

    def back_off(self, upstream, now):
        """Starts the backoff of a failed upstream, or doubles it."""
        backoff = self._backoffs.setdefault(upstream, _Backoff())
        wait_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**backoff.failures)
        # Keeps the exponent small; MAX_BACKOFF_S is reached long before.
        backoff.failures = min(backoff.failures + 1, 10)
        backoff.until = now + wait_s

    def reset_backoff(self, upstream):
        """Ends the backoff of an upstream that completed a job."""
        self._backoffs.pop(upstream, None)

    def is_unavailable(self, upstream, now):
        """Tells whether an upstream is held or in backoff."""
        backoff = self._backoffs.get(upstream)
        backing_off = backoff is not None and now < backoff.until
        return backing_off or self.is_held(upstream)
