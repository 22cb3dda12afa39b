"""Carries out one order, step by step, as a decision program."""

import attrs

from dandelionwinch import effects
from dandelionwinch.orders import _drain
from dandelionwinch.orders import _shard

SEND_MARGIN_S = 3.0


@attrs.frozen
class PollUpstream:
    """Asks an upstream for its Status; the reply is None if it is silent."""

    upstream: str


@attrs.frozen
class HoldUpstream:
    """Asks all instances to place nothing new; the reply is a Hold."""

    upstream: str
    order_id: str


@attrs.frozen
class ReleaseHold:
    """Takes a hold back; there is no reply."""

    upstream: str
    order_id: str


@attrs.frozen
class SendOrder:
    """Sends an order if the lease still holds at that moment.

    The reply is None if no answer came, else whether it was taken.
    """

    order: _shard.Order


@attrs.frozen
class UpstreamStatus:
    """An upstream's own word.

    Attributes:
        order_id: The last order that it took.
        away: Whether it is carrying that out.
        jobs: Jobs that it serves.
        epoch: Highest fencing number that it has seen.
    """

    order_id: str
    away: bool
    jobs: int
    epoch: int = 0


@attrs.frozen
class HoldState:
    """How a hold stands.

    Attributes:
        may_live: Names of the instances that may live.
        reports: DrainReport by instance.
    """

    maybe_alive: tuple
    reports: dict


@attrs.frozen
class DesiredRole:
    """What is wanted of an upstream.

    Attributes:
        source: Catalog revision that asked for it.
        order_id: Identifier for the order, should it be written.
    """

    role: str
    source: int
    order_id: str


@attrs.frozen
class Progress:
    """Result of a step.

    Attributes:
        event: What happened, or an empty text.
        reason: Why the order waits, or an empty text.
        order_id: The order, if there is one.
    """

    event: str = ''
    reason: str = ''
    order_id: str = ''


class OrderExecutor:
    """Carries out the orders of one shard's holder.

    An order is in the store before it is sent, an upstream has at most
    one open order, and an order is closed only on the upstream's own
    word. Each order has a fencing number of its own, so that a delayed
    copy of a closed order is refused. Where an upstream ignores fencing
    numbers, the next order waits until no copy can be under way.
    """

    __slots__ = ('_lease', '_closed_seen', '_settle_s')

    def __init__(self, authority, settle_s):
        self._lease = authority
        self._settle_s = settle_s
        self._closed_seen = {}

    def step(self, upstream, wish):
        """Goes on with an upstream's order, or writes a wished one.

        Args:
            upstream: The upstream's settings.
            wish: A Wish, or None.

        Returns:
            Progress.
        """
        shard = self._lease.shard
        if shard is None:
            return Progress()
        order = shard.open_order(upstream.name)
        if order is not None:
            return (yield from self._go_on(upstream, order))
        if wish is None:
            return Progress()
        return (yield from self._write(shard, upstream, wish))

    def _write(self, shard, upstream, wish):
        clock = yield effects.Clock()
        reason = self._unsettled(shard, upstream, clock.now)
        if reason:
            return Progress(reason=reason)

        def add(held):
            if held.open_order(upstream.name) is not None:
                return None
            epoch = held.epoch + 1
            order = _shard.Order(
                wish.order_id, epoch, upstream.name, wish.role, wish.source
            )
            return attrs.evolve(held.with_order(order), epoch=epoch)

        written = yield from self._lease.update(add)
        if written is None:
            return Progress(reason='the order was not written')
        return Progress('order.written', order_id=wish.order_id)

    def _unsettled(self, shard, upstream, now):
        last = shard.orders.get(upstream.name)
        if upstream.checks_fencing or last is None:
            return ''
        since = self._closed_seen.setdefault(last.id, now)
        if now - since >= self._settle_s:
            return ''
        return (
            'a copy of the last order may be under way, and the upstream '
            'ignores fencing'
        )

    def _go_on(self, upstream, order):
        status = yield PollUpstream(upstream.name)
        if status is not None and status.order_id == order.id:
            if status.away:
                return Progress(reason='being carried out', order_id=order.id)
            state = _shard.OrderState.DONE
            return (yield from self._close(order, state, order.epoch))
        hold = yield HoldUpstream(upstream.name, order.id)
        clock = yield effects.Clock()
        reason = _drain.may_send(
            hold.maybe_alive,
            hold.reports,
            None if status is None else status.jobs,
            clock.now,
            SEND_MARGIN_S,
        )
        if reason:
            return Progress('order.waits', reason, order.id)
        taken = yield SendOrder(order)
        if taken is None:
            return Progress('order.unanswered', 'no answer', order.id)
        if not taken:
            state = _shard.OrderState.FENCED
            epoch = max(order.epoch, status.epoch)
            return (yield from self._close(order, state, epoch))
        return Progress('order.sent', 'being carried out', order.id)

    def _close(self, order, state, epoch):
        def close(held):
            last = held.orders.get(order.upstream)
            if last is None or last.id != order.id:
                return None
            closed = held.with_order(attrs.evolve(last, state=state))
            return attrs.evolve(closed, epoch=max(held.epoch, epoch))

        written = yield from self._lease.update(close)
        if written is None:
            return Progress(reason='not recorded yet', order_id=order.id)
        yield ReleaseHold(order.upstream, order.id)
        return Progress('order.closed', str(state), order.id)
