"""Holds of upstreams at all live instances, for orders and drains."""

from dandelionwinch.daemon import _periodic
from dandelionwinch import orders
from dandelionwinch.peers import peer_pb2
from dandelionwinch import settings

# A hold that the instance behind it no longer renews ends after this time. It
# is renewed by each step of an order until the upstream applies it, and every
# DRAIN_RENEW_S during a drain.
HOLD_TTL_S = 10.0
DRAIN_RENEW_S = 1.0


class Holds:
    """Makes, renews and releases holds; load_reports keeps those made here.

    A hold keeps new jobs off an upstream at every instance.
    """

    def __init__(self, core):
        self._core = core
        self._drain_holds = {}

    def coroutines(self):
        """Returns the coroutines of the background tasks."""
        yield _periodic.every(
            DRAIN_RENEW_S, self._renew_drains, self._core.rng
        )

    async def hold(self, upstream_name, order_id):
        """Starts or renews a hold at all live instances.

        Returns:
            An orders.HoldState. The hold of each instance counts from before
            the request, so it never ends earlier than assumed here.
        """
        core = self._core
        requested_at = core.now()
        request = peer_pb2.HoldRequest(
            upstream=upstream_name, order_id=order_id, ttl_s=HOLD_TTL_S
        )
        own_reply = core.load_reports.hold(request)
        replies = await core.peers.broadcast('Hold', request)
        replies[core.name] = own_reply
        reports = {
            name: orders.DrainReport(
                name, reply.jobs, requested_at, HOLD_TTL_S
            )
            for name, reply in replies.items()
            if reply is not None
        }
        names = [peer.name for peer in core.members.maybe_alive(core.now())]
        return orders.HoldState(tuple(names), reports)

    async def release(self, upstream_name, order_id):
        """Releases a hold at all live instances."""
        request = peer_pb2.HoldRequest(
            upstream=upstream_name, order_id=order_id, release=True
        )
        self._core.load_reports.hold(request)
        await self._core.peers.broadcast('Hold', request)

    async def hold_for_drain(self, upstream_name):
        """Puts a hold on an upstream at all live instances, without the store.

        It is renewed until the drain is stored or taken back.

        Returns:
            Names of the live instances that did not confirm the hold.
        """
        self._drain_holds[upstream_name] = self._core.now()
        hold = await self.hold(upstream_name, f'drain:{upstream_name}')
        live = self._core.members.live(self._core.now())
        return [peer.name for peer in live if peer.name not in hold.reports]

    async def end_drain(self, upstream_name):
        """Releases the hold of a drain."""
        self._drain_holds.pop(upstream_name, None)
        await self.release(upstream_name, f'drain:{upstream_name}')

    async def _renew_drains(self):
        for name in list(self._drain_holds):
            upstream = self._core.catalog.get('upstream', name)
            stored = (
                upstream is None
                or upstream.state is not settings.UpstreamState.ACTIVE
            )
            if stored:
                # The stored state keeps new jobs off the upstream at
                # every instance, so the hold is not needed any more.
                del self._drain_holds[name]
            else:
                await self.hold_for_drain(name)
