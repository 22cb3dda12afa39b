"""Holds back plain calls of teams above their share of a service."""

import asyncio

import attrs
import prometheus_client

from dandelionwinch import limits

# Time for which a limit of calls in flight is used.
LIMIT_S = 0.1


class CallRefused(Exception):
    """A call of a team above its share has no room.

    Attributes:
        retry_after_s: Seconds after which there will be room.
    """

    def __init__(self, service, team, retry_after_s):
        super().__init__(
            f'team "{team}" is above its share of service "{service}"'
        )
        self.retry_after_s = retry_after_s


@attrs.frozen(eq=False)
class Permit:
    """Permission to send a call, which counts to the limit until its end.

    Attributes:
        service: Name of the service.
        call: limits.QueuedCall.
    """

    service: str
    call: limits.QueuedCall


class _Waiting:
    """The queue of one service, with the futures of the calls in it."""

    __slots__ = ('futures', 'limited_at', 'queue', 'timer')

    def __init__(self):
        self.queue = limits.CallQueue()
        self.futures = {}
        self.limited_at = float('-inf')
        self.timer = None


class CallGate:
    """Sends, queues or refuses the calls of teams above their share.

    Args:
        loop: The event loop.
        fleet: Fleet with the upstreams.
        sharing: FairSharing.
        registry: Registry of the metrics.
    """

    __slots__ = (
        '_fleet',
        '_limited_calls',
        '_loop',
        '_services',
        '_sharing',
    )

    def __init__(self, loop, fleet, sharing, registry):
        self._loop = loop
        self._fleet = fleet
        self._sharing = sharing
        self._services = {}
        self._limited_calls = prometheus_client.Counter(
            'dandelionwinch_gateway_limited_calls',
            'Plain calls of teams above their share by what became of them',
            ['result'],
            registry=registry,
        )

    def close(self):
        """Stops the timers; calls that wait are left to their tasks."""
        for waiting in self._services.values():
            if waiting.timer is not None:
                waiting.timer.cancel()

    async def enter(self, service, call):
        """Waits until a call may be sent.

        Args:
            service: Name of the service.
            call: limits.QueuedCall.

        Returns:
            A Permit, to be given to `end` or `leave`; None if the team of the
            call is not above its share.

        Raises:
            CallRefused: If it cannot be sent in time.
        """
        if self._sharing.excess(service, call.team) is None:
            return None
        waiting = self._of(service)
        self._set_limit(service, waiting, call.team)
        match waiting.queue.offer(call, self._loop.time()):
            case limits.Refuse(retry_after_s):
                self._limited_calls.labels('refused').inc()
                raise CallRefused(service, call.team, retry_after_s)
            case limits.Send():
                self._limited_calls.labels('sent').inc()
            case limits.Wait():
                self._limited_calls.labels('waited').inc()
                await self._wait(service, waiting, call)
        return Permit(service, call)

    def _of(self, service):
        waiting = self._services.get(service)
        if waiting is None:
            waiting = self._services[service] = _Waiting()
        return waiting

    def _set_limit(self, service, waiting, team=''):
        now = self._loop.time()
        if now - waiting.limited_at < LIMIT_S:
            return
        wanted = self._sharing.wanted(service, team)
        if not wanted:
            return
        waiting.limited_at = now
        slots = sum(u.entry.slots for u in self._fleet.serving(service))
        slots = max(1, slots)
        capacity = self._sharing.capacity_per_s(service)
        limit = limits.in_flight_limit(
            slots, self._sharing.instances, capacity, wanted
        )
        waiting.queue.set_limit(limit, slots / capacity, now)

    async def _wait(self, service, waiting, call):
        future = self._loop.create_future()
        waiting.futures[call] = future
        self._poll(service)
        try:
            refuse = await future
        except asyncio.CancelledError:
            # The caller left; the call may have been sent just now.
            waiting.futures.pop(call, None)
            waiting.queue.leave(call, self._loop.time())
            waiting.queue.drop(call)
            self._poll(service)
            raise
        if refuse is not None:
            self._limited_calls.labels('expired').inc()
            raise CallRefused(service, call.team, refuse.retry_after_s)

    def _poll(self, service):
        """Wakes the calls that are due, and sets the timer for the next."""
        waiting = self._services[service]
        if waiting.timer is not None:
            waiting.timer.cancel()
            waiting.timer = None
        if not waiting.queue.waiting:
            return
        self._set_limit(service, waiting)
        now = self._loop.time()
        sharing = self._sharing
        for call in waiting.queue.take_unlimited(
            lambda team: sharing.excess(service, team) is not None
        ):
            _wake(waiting.futures.pop(call, None), None)
        due = waiting.queue.poll(now)
        for call in due.sent:
            _wake(waiting.futures.pop(call, None), None)
        for call, refuse in due.refused:
            _wake(waiting.futures.pop(call, None), refuse)
        if due.next_at is not None:
            at = min(due.next_at, now + LIMIT_S)
            waiting.timer = self._loop.call_at(at, self._poll, service)

    def end(self, permit, *, answered):
        """Ends a call that was sent.

        Args:
            permit: Permit of the call.
            answered: Whether an upstream answered it, so that its duration
                tells how long calls take.
        """
        queue = self._services[permit.service].queue
        if answered:
            queue.release(permit.call, self._loop.time())
        else:
            queue.drop(permit.call)
        self._poll(permit.service)

    def leave(self, permit):
        """Ends a call whose caller has left while it was sent."""
        queue = self._services[permit.service].queue
        hold_s = queue.leave(permit.call, self._loop.time())
        if hold_s:
            self._loop.call_later(hold_s, self._end_left, permit)
        else:
            self._poll(permit.service)

    def _end_left(self, permit):
        self.end(permit, answered=False)


def _wake(future, refuse):
    if future is not None and not future.done():
        future.set_result(refuse)
