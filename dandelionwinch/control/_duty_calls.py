"""Counts the calls of duties, and keeps the last result of each duty."""

import asyncio

import attrs
import prometheus_client

from dandelionwinch.control import _config
from dandelionwinch.control import _duty


@attrs.frozen
class LastCall:
    """The last call of a duty that ended.

    Attributes:
        result: Accepted, Refused, Throttled, Unanswered or NotSent.
        token: Fencing token of the call.
        at: Loop time of its end.
    """

    result: _duty.CallResult
    token: int
    at: float


class DutyCalls:
    """A DutyApi that passes calls on to another one and records them.

    Args:
        loop: Event loop.
        api: DutyApi.
        log: EventLog.
        registry: Registry of metrics.

    Attributes:
        last: LastCall of each Duty item that has called.
        in_flight: Number of calls without a result, by Duty item.
    """

    __slots__ = (
        '_api',
        '_counter',
        '_idle',
        '_log',
        '_loop',
        'in_flight',
        'last',
    )

    def __init__(self, loop, api, log, registry):
        self._loop = loop
        self._api = api
        self._log = log
        self._counter = prometheus_client.Counter(
            'dandelionwinch_duty_calls',
            'Calls of duties that ended',
            ['duty', 'result'],
            registry=registry,
        )
        self._idle = asyncio.Event()
        self._idle.set()
        self.in_flight = dict.fromkeys(_config.Duty, 0)
        self.last = {}

    async def report_usage(self, holder, token, report, may_act):
        """Reports usage; see DutyApi."""
        call = self._api.report_usage(holder, token, report, may_act)
        return await self._record(_config.Duty.USAGE, token, call)

    async def order_capacity(self, holder, token, order, may_act):
        """Orders upstreams; see DutyApi."""
        call = self._api.order_capacity(holder, token, order, may_act)
        return await self._record(_config.Duty.CAPACITY, token, call)

    async def wait_idle(self, timeout_s):
        """Waits until no call is in flight; tells whether that was in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def close(self):
        """Closes the API's connections."""
        self._api.close()

    async def _record(self, duty, token, call):
        self.in_flight[duty] += 1
        self._idle.clear()
        result = _duty.Unanswered('the call was cancelled')
        try:
            result = await call
        finally:
            self._end(duty, token, result)
        return result

    def _end(self, duty, token, result):
        self.in_flight[duty] -= 1
        if not any(self.in_flight.values()):
            self._idle.set()
        name = type(result).__name__
        self._counter.labels(duty.value, name).inc()
        previous = self.last.get(duty)
        self.last[duty] = LastCall(result, token, self._loop.time())
        if previous is None or type(previous.result) is not type(result):
            self._log.event(
                'duties.result',
                duty=duty.value,
                token=token,
                result=name,
                reason=getattr(result, 'reason', ''),
            )
