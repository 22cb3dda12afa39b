"""Sends an order to an engine, after a last look at the right to do so."""

import time

import attrs

from dandelionwinch import gateway

ORDER_TIMEOUT_S = 1.0


def boot_clock():
    """Returns seconds that also count suspension of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.frozen
class Sent:
    """What came of an order.

    Attributes:
        status: Status of the engine's answer, 0 if there was none.
    """

    status: int
    reason: str


class OrderSender:
    """Sends orders of one instance."""

    __slots__ = ('_wire_codec', '_fleet', '_name')

    def __init__(self, fleet, wire_codec, name):
        self._fleet = fleet
        self._wire_codec = wire_codec
        self._name = name

    async def send(self, upstream, change, token, may_order):
        """Sends an order that holds only for the engine's present state.

        Args:
            upstream: The engine.
            change: The RoleOrder.
            token: Fencing token.
            may_order: Function that tells whether it may be sent now.

        Returns:
            Sent.
        """
        pool = self._fleet.pool(upstream)
        try:
            accepted = await self._accepted(pool, change.upstream_id)
            if accepted is None:
                return Sent(0, 'the engine is busy')
            request = gateway.request_bytes(
                *self._wire_codec.order_request(
                    change, self._name, token, accepted
                )
            )
            conn = await pool.acquire(ORDER_TIMEOUT_S)
            try:
                # Nothing is awaited between this check and the bytes.
                if not may_order():
                    return Sent(0, 'the lease is not certain')
                conn.send(request)
                head = await conn.next_item(ORDER_TIMEOUT_S)
            finally:
                pool.discard(conn)
        except (gateway.NotConnected, gateway.ConnectionLost) as exc:
            return Sent(0, str(exc))
        return Sent(head.status, '')

    async def _accepted(self, pool, upstream_id):
        """Returns the number of orders that an engine has accepted."""
        request = gateway.request_bytes(
            *self._wire_codec.report_request(upstream_id), b''
        )
        conn = await pool.acquire(ORDER_TIMEOUT_S)
        try:
            conn.send(request)
            _head, body = await gateway.read_response(conn, ORDER_TIMEOUT_S)
        finally:
            pool.discard(conn)
        return self._wire_codec.accepted_order_count(body)
