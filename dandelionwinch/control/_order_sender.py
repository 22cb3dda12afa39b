"""Sends an order to an engine, after a last check of the order lease."""

import time

import attrs

from dandelionwinch import gateway
from dandelionwinch import leadership

ORDER_TIMEOUT_S = 1.0


def boot_clock():
    """Returns seconds of a clock that runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _NotServing(Exception):
    """The engine stopped to accept requests; nothing was sent."""


@attrs.frozen
class Sent:
    """The result of sending an order.

    Attributes:
        status: HTTP status of the engine's response, 0 without one.
        reason: Why there is no response, or ''.
    """

    status: int
    reason: str


class OrderSender:
    """Sends orders of one instance.

    Responses to reports and orders name no request, so each is read from a
    connection of its own.

    Args:
        fleet: Fleet of the gateway, with the pools of connections.
        wire_codec: WireCodec that also has order_request(),
            report_request() and accepted_order_count().
        name: Name of the instance.
    """

    __slots__ = ('_wire_codec', '_fleet', '_name')

    def __init__(self, fleet, wire_codec, name):
        self._fleet = fleet
        self._wire_codec = wire_codec
        self._name = name

    async def send(self, upstream, role_change, token, may_send_order):
        """Sends an order that is valid only for the engine's current state.

        Args:
            upstream: The engine.
            role_change: The RoleChange.
            token: Fencing token.
            may_send_order: Function that returns whether an order may be
                sent now.

        Returns:
            Sent.
        """
        pool = self._fleet.pool(upstream)
        try:
            accepted_count = await self._fetch_accepted_count(pool, upstream)
            if accepted_count is None:
                return Sent(0, 'the engine is busy')
            request = gateway.request_bytes(
                *self._wire_codec.order_request(
                    role_change, self._name, token, accepted_count
                )
            )
            conn = await pool.acquire(ORDER_TIMEOUT_S, new=True)
            try:
                conn.limit_delivery(leadership.CALL_DELIVERY_S)
                # There must be no await between this check and the write.
                if not may_send_order():
                    return Sent(0, 'the lease is not certain')
                self._check_serves(upstream)
                conn.send(request)
                head = await conn.next_item(ORDER_TIMEOUT_S)
            finally:
                pool.discard(conn)
        except (
            _NotServing,
            gateway.NotConnected,
            gateway.ConnectionLost,
        ) as exc:
            return Sent(0, str(exc))
        return Sent(head.status, '')

    def _check_serves(self, upstream):
        if not self._fleet.serves(upstream):
            raise _NotServing('the engine accepts no requests')

    async def _fetch_accepted_count(self, pool, upstream):
        """Returns how many orders an engine accepted, None if it is busy."""
        request = gateway.request_bytes(
            *self._wire_codec.report_request(upstream.entry.id), b''
        )
        conn = await pool.acquire(ORDER_TIMEOUT_S, new=True)
        try:
            self._check_serves(upstream)
            conn.send(request)
            _head, body = await gateway.read_response(
                conn, ORDER_TIMEOUT_S, self._fleet.answer_bytes
            )
        finally:
            pool.discard(conn)
        return self._wire_codec.accepted_order_count(body)
