"""Heartbeats between instances, and the state that they carry."""

import asyncio

from dandelionwinch.daemon import _periodic
from dandelionwinch import timeline

# Load reports in a digest for another data centre, drawn at random.
MAX_LOADS_ACROSS_DATA_CENTRES = 64
RATE_MAX_AGE_S = 10.0


class Heartbeats:
    """Exchanges digests with peers and reads the platform's list.

    A digest carries heartbeats, load reports, use of team limits, demand
    by pool, the settings revision and the time of the hybrid logical
    clock, so that no extra calls are needed to share them.

    Attributes:
        demands: By peer, the time at which its demand was received and a
            mapping of pool to rates.
    """

    def __init__(self, core):
        self._core = core
        self._unknown_ids = {}
        self.demands = {}
        self._sent_rates = {}

    def coroutines(self):
        """Returns the coroutines of the background tasks."""
        timing = self._core.cfg.timing
        rng = self._core.rng
        yield _periodic.every(timing.beat_s, self._send_heartbeats, rng)
        period_s = self._core.cfg.live_list.poll_s
        yield _periodic.every(period_s, self._read_live_list, rng)

    async def _read_live_list(self):
        core = self._core
        listed = await core.run_blocking(core.live_list.fetch)
        if listed is None:
            core.departures.list_unavailable()
            return
        core.members.merge_list(listed)
        core.departures.list_read(line.name for line in listed)

    async def _send_heartbeats(self):
        core = self._core
        now = core.now()
        for peer in core.members.all_instances():
            core.departures.saw_incarnation(peer.name, peer.member.incarnation)
        addresses = core.members.tick(now)
        core.members.local.jobs = core.scheduler.running_jobs()
        core.members.local.revision = core.documents.revision
        core.metrics.members.set(len(core.members.live(now)))
        core.metrics.ready.set(0 if core.unready_reason() else 1)
        await asyncio.gather(*(self._exchange(a) for a in addresses))

    async def announce(self):
        """Sends a heartbeat to every live peer at once."""
        core = self._core
        core.members.tick(core.now())
        core.members.local.revision = core.documents.revision
        peers = [
            peer.member.peer_address
            for peer in core.members.live(core.now())
            if peer is not core.members.local
        ]
        await asyncio.gather(*(self._exchange(a) for a in peers))

    async def _exchange(self, address):
        core = self._core
        requested_at = core.now()
        data_centre = core.members.data_centre_at(address)
        reply = await core.peers.exchange_digests(
            address, self.build_digest(address, data_centre)
        )
        if reply is None:
            return
        await self.receive(address, reply)
        if reply.revision <= core.documents.revision:
            core.freshness.merge_ages(
                reply.sender.data_centre, requested_at, reply
            )

    def build_digest(self, peer_address, data_centre):
        """Builds the digest for a peer.

        Args:
            peer_address: Address of the peer. Identifiers in its last
                digest that are unknown here are sent back to it, so that
                it introduces those instances.
            data_centre: Data centre of the peer, or None if unknown.
        """
        core = self._core
        now = core.now()
        digest = core.members.digest(now, data_centre, peer_address)
        digest.asked.extend(self._unknown_ids.pop(peer_address, ()))
        digest.revision = core.documents.revision
        core.freshness.add_ages(digest, now)
        is_near = data_centre in (None, core.data_centre)
        digest.loads.extend(
            core.load_reports.recent(
                now, None if is_near else MAX_LOADS_ACROSS_DATA_CENTRES
            )
        )
        for team, rate in core.scheduler.admission.rates_by_team(now).items():
            digest.uses.add(team=team, jobs_per_s=rate)
        sent = core.scheduler.placer.own_rates(now)
        for pool, rates in core.scheduler.demands(now).items():
            digest.demands.add(
                pool=pool,
                short_prefill=rates[0][0],
                short_decode=rates[0][1],
                prefill=rates[1][0],
                decode=rates[1][1],
                sent=sent.get(pool, 0.0),
            )
        timestamp = core.hybrid_clock.now()
        digest.physical_us = timestamp.physical_us
        digest.logical = timestamp.logical
        return digest

    async def receive(self, peer_address, digest):
        """Merges a digest and fetches settings if the peer has newer ones.

        Args:
            peer_address: Address of the peer.
            digest: The digest.
        """
        core = self._core
        now = core.now()
        timestamp = timeline.Timestamp(digest.physical_us, digest.logical)
        core.hybrid_clock.update(timestamp)
        before = {peer.name for peer in core.members.live(now)}
        unknown = core.members.merge(digest, now)
        self._unknown_ids[peer_address] = unknown
        after = {peer.name for peer in core.members.live(now)}
        for name in sorted(after - before):
            core.event('instance.seen', name)
        core.load_reports.merge(digest.loads, now)
        uses = {item.team: item.jobs_per_s for item in digest.uses}
        core.scheduler.admission.record_peer_rates(
            digest.sender.name, uses, now
        )
        self.demands[digest.sender.name] = (now, _demand_rates(digest))
        sent = {item.pool: item.sent for item in digest.demands}
        self._sent_rates[digest.sender.name] = (now, sent)
        if digest.revision > core.documents.revision:
            address = digest.sender.peer_address
            await core.settings.fetch_from(address)

    def peer_rates(self, now):
        """Returns prompt tokens per second that peers sent, by pool."""
        total = {}
        for at, sent in self._sent_rates.values():
            if now - at < RATE_MAX_AGE_S:
                for pool, rate in sent.items():
                    total[pool] = total.get(pool, 0.0) + rate
        return total

    async def handle(self, digest):
        """Merges a peer's digest and returns the one to reply with."""
        await self.receive(digest.sender.peer_address, digest)
        return self.build_digest(
            digest.sender.peer_address, digest.sender.data_centre
        )


def _demand_rates(digest):
    return {
        item.pool: [
            (item.short_prefill, item.short_decode),
            (item.prefill, item.decode),
        ]
        for item in digest.demands
    }
