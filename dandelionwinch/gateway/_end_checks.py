"""Tells whether an upstream outlived the end of an answer without a length.

The system closes the connections of a process that ends in the same way as
a process closes one on which it has sent all. Only the process tells the two
apart: one that is gone refuses new connections. Its address may be another
process's soon after, so an end that may have come earlier can't be checked.
"""

import asyncio
import collections
import enum

import attrs

from dandelionwinch.gateway import _crash_probe

# A lost packet of a connection is sent again by the system after a second
# only, so another connection is opened meanwhile.
NEXT_CONNECTION_S = 0.1
MAX_CHECK_S = 0.4
# An instance that stood still reads what came meanwhile; it notices this by a
# timer that is late, and reads for a while.
TICK_S = 1.0
STALL_S = 0.5
READ_S = 0.2


class Ending(enum.Enum):
    """What is known of an upstream whose connection has ended."""

    OUTLIVED = 'outlived'
    GONE = 'gone'
    UNKNOWN = 'unknown'


@attrs.frozen
class _End:
    """An end that is being checked.

    Attributes:
        at: Loop time of the end.
        ending: Future of the Ending.
    """

    at: float
    ending: asyncio.Future


class EndChecks:
    """Checks the ends of answers without a length, at any upstream.

    Args:
        loop: The event loop.
        registry: Registry of the upstreams.
        on_gone: Called with an Upstream whose process was found to be gone.
    """

    __slots__ = (
        '_ends',
        '_loop',
        '_on_gone',
        '_registry',
        '_stalled_until',
        '_tasks',
        '_tick_at',
        '_timer',
    )

    def __init__(self, loop, registry, on_gone):
        self._loop = loop
        self._registry = registry
        self._on_gone = on_gone
        self._tick_at = None
        self._stalled_until = float('-inf')
        self._timer = None
        # Ends that wait for their check, the oldest first, by incarnation.
        self._ends = {}
        self._tasks = set()

    def start(self):
        """Starts to notice when the instance stands still."""
        now = self._loop.time()
        if self._is_late(now):
            self._stalled_until = now + READ_S
        self._tick_at = now
        self._timer = self._loop.call_later(TICK_S, self.start)

    def _is_late(self, now):
        due_at = now if self._tick_at is None else self._tick_at + TICK_S
        return now > due_at + STALL_S

    def close(self):
        """Ends all checks; nothing waits for them any more."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def begin(self, upstream):
        """Begins to check an end that was read just now.

        An upstream that is draining, has announced its end or has no entry
        is asked like any other: it is the next one to exit.

        Args:
            upstream: The Upstream.

        Returns:
            Future of the Ending.
        """
        now = self._loop.time()
        end = _End(now, self._loop.create_future())
        incarnation = upstream.entry.incarnation
        if self._is_late(now) or now < self._stalled_until:
            end.ending.set_result(Ending.UNKNOWN)
            return end.ending
        if self._registry.is_followed(upstream):
            end.ending.set_result(Ending.GONE)
            return end.ending
        waiting = self._ends.get(incarnation)
        if waiting is not None:
            waiting.append(end)
            return end.ending
        self._ends[incarnation] = collections.deque((end,))
        task = self._loop.create_task(self._run(upstream, incarnation))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return end.ending

    async def _run(self, upstream, incarnation):
        """Checks the ends of one upstream until none is left."""
        waiting = self._ends[incarnation]
        try:
            while waiting:
                # The listening socket of a process that ends may be the last
                # one that the system closes.
                first_at = waiting[0].at
                due_at = first_at + _crash_probe.ENDING_S
                await asyncio.sleep(max(0.0, due_at - self._loop.time()))
                until = self._loop.time() - _crash_probe.ENDING_S
                ending = await self._check(upstream.entry.address)
                if ending is Ending.GONE:
                    self._on_gone(upstream)
                _settle(waiting, ending, max(first_at, until))
        finally:
            del self._ends[incarnation]
            _settle(waiting, Ending.UNKNOWN, self._loop.time())

    async def _check(self, address):
        """Opens connections until one is accepted or refused."""
        attempts = set()
        try:
            async with asyncio.timeout(MAX_CHECK_S):
                while True:
                    attempts.add(
                        self._loop.create_task(self._connect(address))
                    )
                    ended, attempts = await asyncio.wait(
                        attempts,
                        timeout=NEXT_CONNECTION_S,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    for attempt in ended:
                        if attempt.result() is not Ending.UNKNOWN:
                            return attempt.result()
                    if ended:
                        await asyncio.sleep(_crash_probe.RETRY_PAUSE_S)
        except TimeoutError:
            return Ending.UNKNOWN
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _connect(self, address):
        host, _, port = address.rpartition(':')
        try:
            transport, _protocol = await self._loop.create_connection(
                asyncio.Protocol, host, int(port)
            )
        except ConnectionRefusedError:
            return Ending.GONE
        except (OSError, ValueError):
            return Ending.UNKNOWN
        transport.abort()
        return Ending.OUTLIVED


def _settle(waiting, ending, until):
    """Ends the checks up to a time; what is gone is so for all of them."""
    while waiting and (ending is Ending.GONE or waiting[0].at <= until):
        future = waiting.popleft().ending
        if not future.done():
            future.set_result(ending)
