"""Executes role orders step by step, as a program without I/O."""

import attrs

from dandelionwinch import effects
from dandelionwinch.orders import _drain
from dandelionwinch.orders import _shard

# Every hold must still last this long when an order is sent.
SEND_MARGIN_S = 3.0


@attrs.frozen
class PollUpstream:
    """Requests an UpstreamStatus; the reply is None without a response."""

    upstream: str


@attrs.frozen
class HoldUpstream:
    """Puts a hold on an upstream at all instances.

    While it lasts, no instance places a new job on the upstream (a cordon).
    The reply is a HoldState.
    """

    upstream: str
    order_id: str


@attrs.frozen
class ReleaseHold:
    """Releases a hold at all instances; there is no reply."""

    upstream: str
    order_id: str


@attrs.frozen
class SendOrder:
    """Sends an order if the lease is still held at that time.

    The reply is whether the upstream accepted it, or None if no response
    arrived.
    """

    order: _shard.Order


@attrs.frozen
class UpstreamStatus:
    """The state that an upstream reports.

    Attributes:
        order_id: The last order that it accepted.
        applying_order: Whether it is still executing that order.
        jobs: Number of jobs that it serves.
        epoch: Highest fencing token that it has accepted.
    """

    order_id: str
    applying_order: bool
    jobs: int
    epoch: int = 0


@attrs.frozen
class HoldState:
    """The state of a hold on an upstream.

    Attributes:
        maybe_alive: Names of the instances that may still be alive.
        reports: DrainReport by name, of the instances that confirmed it.
    """

    maybe_alive: tuple
    reports: dict


@attrs.frozen
class DesiredRole:
    """The role that an upstream should have.

    Attributes:
        source: Catalog revision that set it, or 0 for a policy.
        order_id: Identifier of the order, if one is written.
    """

    role: str
    source: int
    order_id: str


@attrs.frozen
class Progress:
    """The result of a step.

    Attributes:
        event: Name of the event to log, or an empty string.
        reason: Why the order waits, or an empty string.
        order_id: Identifier of the order, or an empty string.
    """

    event: str = ''
    reason: str = ''
    order_id: str = ''


class OrderExecutor:
    """Executes the orders of a shard while this instance holds its lease.

    An order is written to the store before it is sent, an upstream has at
    most one open order, and an order is closed only when the upstream
    itself reports it. Each order has its own fencing token, so that a
    delayed copy of a closed order is rejected. If an upstream ignores
    fencing tokens, the next order waits until no copy can be in flight.

    Args:
        lease: ShardLease of the shard.
        max_transit_s: Longest time in seconds that a sent order may be in
            flight.
    """

    __slots__ = ('_closed_seen_at', '_lease', '_max_transit_s')

    def __init__(self, lease, max_transit_s):
        self._lease = lease
        self._max_transit_s = max_transit_s
        self._closed_seen_at = {}

    def step(self, upstream, desired):
        """Advances an upstream's open order, or writes a new one.

        Args:
            upstream: Settings of the upstream.
            desired: DesiredRole for a new order, or None.

        Returns:
            Progress.
        """
        shard = self._lease.shard
        if shard is None:
            return Progress()
        order = shard.open_order(upstream.name)
        if order is not None:
            return (yield from self._continue(upstream, order))
        if desired is None:
            return Progress()
        return (yield from self._write(shard, upstream, desired))

    def _write(self, shard, upstream, desired):
        clock = yield effects.Clock()
        reason = self._transit_reason(shard, upstream, clock.now)
        if reason:
            return Progress(reason=reason)

        def add(current):
            if current.open_order(upstream.name) is not None:
                return None
            epoch = current.epoch + 1
            order = _shard.Order(
                desired.order_id,
                epoch,
                upstream.name,
                desired.role,
                desired.source,
            )
            return attrs.evolve(current.with_order(order), epoch=epoch)

        updated = yield from self._lease.update(add)
        if updated is None:
            return Progress(reason='the order was not written')
        return Progress('order.written', order_id=desired.order_id)

    def _transit_reason(self, shard, upstream, now):
        """Returns why a copy of the last order may be in flight, or ''."""
        last = shard.orders.get(upstream.name)
        if upstream.checks_fencing or last is None:
            return ''
        since = self._closed_seen_at.setdefault(last.id, now)
        if now - since >= self._max_transit_s:
            return ''
        return (
            'a copy of the last order may be under way, and the upstream '
            'ignores fencing'
        )

    def _continue(self, upstream, order):
        status = yield PollUpstream(upstream.name)
        if status is not None and status.order_id == order.id:
            if status.applying_order:
                return Progress(reason='being carried out', order_id=order.id)
            state = _shard.OrderState.DONE
            return (yield from self._close(order, state, order.epoch))
        hold_state = yield HoldUpstream(upstream.name, order.id)
        clock = yield effects.Clock()
        reason = _drain.drain_wait_reason(
            hold_state.maybe_alive,
            hold_state.reports,
            None if status is None else status.jobs,
            clock.now,
            SEND_MARGIN_S,
        )
        if reason:
            return Progress('order.waits', reason, order.id)
        # The upstream reported its status, as drain_wait_reason returns a
        # reason without one.
        accepted = yield SendOrder(order)
        if accepted is None:
            return Progress('order.unanswered', 'no answer', order.id)
        if not accepted:
            state = _shard.OrderState.FENCED
            epoch = max(order.epoch, status.epoch)
            return (yield from self._close(order, state, epoch))
        return Progress('order.sent', 'being carried out', order.id)

    def _close(self, order, state, epoch):
        def close(current):
            last = current.orders.get(order.upstream)
            if last is None or last.id != order.id:
                return None
            closed = current.with_order(attrs.evolve(last, state=state))
            return attrs.evolve(closed, epoch=max(current.epoch, epoch))

        updated = yield from self._lease.update(close)
        if updated is None:
            return Progress(reason='not recorded yet', order_id=order.id)
        yield ReleaseHold(order.upstream, order.id)
        return Progress('order.closed', str(state), order.id)
