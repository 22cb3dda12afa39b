"""Client of the API at which the holder performs its duties."""

import asyncio
import json

from dandelionwinch import control
from dandelionwinch import gateway
from dandelionwinch import leadership
from dandelionwinch.platform import _call_rate
from dandelionwinch.platform import _retry_after

# Includes the waits for the rate and for a connection. The API answers within
# 1 s when it is 50 times slower than usual.
CALL_TIMEOUT_S = 2.0
# Connections of all duties together.
CONNECTIONS = 2
# Part of the API's rate of calls that this instance uses. A former holder
# may have used the same part just before.
RATE_RATIO = 0.2
HOLDER_HEADER = 'X-Dandelionwinch-Lease-Holder'
TOKEN_HEADER = 'X-Dandelionwinch-Fencing-Token'
USAGE_PATH = '/usage'
CAPACITY_PATH = '/scale'


class DutyApi:
    """Sends the calls of duties; see control.DutyApi.

    Each duty has its own part of the connections, so that slow calls of one
    don't hold up the other.

    Args:
        loop: Event loop.
        settings: DutySettings.
    """

    __slots__ = ('_loop', '_pools', '_rate')

    def __init__(self, loop, settings):
        self._loop = loop
        limit = max(1, CONNECTIONS // max(1, len(settings.duties)))
        self._pools = {
            path: gateway.Pool(loop, settings.address, limit)
            for path in (USAGE_PATH, CAPACITY_PATH)
        }
        self._rate = _call_rate.CallRate(
            RATE_RATIO * settings.calls_per_s, loop.time()
        )

    def close(self):
        """Closes idle connections."""
        for pool in self._pools.values():
            pool.close()

    async def report_usage(self, holder, token, report, may_act):
        """Reports usage, as a UsageReport."""
        body = {'window': report.window, 'counts': report.counts}
        return await self._call(USAGE_PATH, holder, token, body, may_act)

    async def order_capacity(self, holder, token, order, may_act):
        """Orders upstreams, by a CapacityOrder."""
        body = {
            'service': order.service,
            'zone': order.data_centre,
            'desiredCount': order.count,
        }
        if order.reclaimable:
            body['spot'] = True
        return await self._call(CAPACITY_PATH, holder, token, body, may_act)

    async def _call(self, path, holder, token, body, may_act):
        request = _request_bytes(path, holder, token, body)
        deadline = self._loop.time() + CALL_TIMEOUT_S
        if not await self._take_turn(deadline):
            return control.NotSent('too many calls')
        pool = self._pools[path]
        try:
            conn = await pool.acquire(deadline - self._loop.time(), new=True)
        except gateway.NotConnected as exc:
            return control.NotSent(str(exc))
        # Responses name no request: a late duplicate on a connection that is
        # used again could be taken for the response to the next call.
        try:
            return await self._exchange(conn, request, may_act, deadline)
        except gateway.ConnectionLost as exc:
            return control.Unanswered(str(exc))
        finally:
            pool.discard(conn)

    async def _take_turn(self, deadline):
        """Waits for the rate; returns False if that takes too long."""
        while True:
            now = self._loop.time()
            wait_s = self._rate.take(now)
            if not wait_s:
                return True
            if now + wait_s >= deadline:
                return False
            await asyncio.sleep(wait_s)

    async def _exchange(self, conn, request, may_act, deadline):
        conn.limit_delivery(leadership.CALL_DELIVERY_S)
        # There must be no await between this check and the write.
        if not may_act():
            return control.NotSent('the lease is not certain')
        conn.send(request)
        left_s = deadline - self._loop.time()
        head, _body = await gateway.read_response(conn, left_s)
        return self._result(head)

    def _result(self, head):
        if 200 <= head.status < 300:
            return control.Accepted()
        if head.status == 409:
            return control.Refused()
        if head.status == 429:
            return self._throttled(head)
        return control.Unanswered(f'status {head.status}')

    def _throttled(self, head):
        text = head.header('retry-after')
        if not text:
            self._rate.throttled(self._loop.time(), 0.0)
            return control.Throttled()
        wait_s = _retry_after.parse(text, head.header('date')).wait_s
        self._rate.throttled(self._loop.time(), wait_s)
        return control.Throttled(wait_s)


def _request_bytes(path, holder, token, body):
    headers = [
        ('Host', 'duties'),
        ('Content-Type', 'application/json'),
        (HOLDER_HEADER, holder),
        (TOKEN_HEADER, token),
    ]
    return gateway.request_bytes(
        'POST', path, headers, json.dumps(body).encode()
    )
