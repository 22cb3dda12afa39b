"""The streams at each engine, and the engines that leave."""

import asyncio

from dandelionwinch.gateway import _move_calls
from dandelionwinch.gateway import _stream_migration
from dandelionwinch import migration
from dandelionwinch import upstreams

# Streams that one instance moves off an engine at a time. The copies of one
# engine go one after the other, and a run stands still during its last one.
MAX_MOVES = 2
_FIXED = _stream_migration.FixedStream()


class EngineDepartures:
    """Moves the streams of one instance off engines that leave.

    It is in force for services that have `Service.moves_streams`.

    Args:
        gateway: The Gateway.
        regions: Region by data centre.
        drain_s: Time that an engine has which does not state when it leaves.

    Attributes:
        calls: MoveCalls.
        log: EventLog.
        loop: The event loop.
    """

    __slots__ = (
        '_counter',
        '_departures',
        '_drain_s',
        '_fleet',
        '_gateway',
        '_regions',
        '_streams',
        '_tasks',
        '_turns',
        'calls',
        'log',
        'loop',
    )

    def __init__(self, gateway, regions, drain_s):
        self._gateway = gateway
        self._fleet = gateway.fleet
        self._regions = regions
        self._drain_s = drain_s
        self._counter = gateway.metrics.stream_moves
        self._departures = migration.Departures()
        # MovingStreams by incarnation of their engine.
        self._streams = {}
        # Semaphore by incarnation of an engine that leaves.
        self._turns = {}
        self._tasks = set()
        self.calls = _move_calls.MoveCalls(gateway.fleet, gateway.wire_codec)
        self.log = gateway.log
        self.loop = gateway.loop

    def close(self):
        """Ends all calls."""
        for task in self._tasks:
            task.cancel()

    def watch(self, state, source, conn, moved):
        """Returns the MovingStream of a stream, or a FixedStream.

        Args:
            state: RequestState of its request.
            source: Upstream that runs it.
            conn: Connection from which it is read.
            moved: MovingStream that it was before, or None.
        """
        if not self._moves_streams(state.service):
            return _FIXED
        stream = _stream_migration.MovingStream(
            self, state, source, conn, moved
        )
        incarnation = source.entry.incarnation
        self._streams.setdefault(incarnation, {})[stream] = None
        return stream

    def _moves_streams(self, service_name):
        table = self._fleet.table
        service = table.services.get(service_name) if table else None
        return service is not None and service.moves_streams

    def remove(self, stream):
        """Forgets a stream that is not relayed from its engine any more."""
        incarnation = stream.source.entry.incarnation
        streams = self._streams.get(incarnation, {})
        streams.pop(stream, None)
        if not streams:
            self._streams.pop(incarnation, None)

    def engine_leaves(self, engine):
        """Moves the streams that do not end before an engine leaves.

        Args:
            engine: Upstream of whose departure something new is known.
        """
        entry = engine.entry
        if not self._moves_streams(entry.service):
            return
        self._departures.record(
            entry.incarnation,
            entry.leaves_in_s,
            self._drain_s,
            self.loop.time(),
        )
        for stream in list(self._streams.get(entry.incarnation, ())):
            stream.consider()

    def leaves_at(self, engine):
        """Returns the loop time at which an engine leaves, or None."""
        return self._departures.leaves_at(engine.entry.incarnation)

    def turn(self, engine):
        """Returns a semaphore for the moves off an engine."""
        incarnation = engine.entry.incarnation
        turn = self._turns.get(incarnation)
        if turn is None:
            # Those of engines that have left are not needed any more.
            self._turns = {
                key: kept
                for key, kept in self._turns.items()
                if key in self._streams
            }
            turn = self._turns[incarnation] = asyncio.Semaphore(MAX_MOVES)
        return turn

    def spawn(self, coroutine):
        """Starts a task that ends with the gateway; returns it."""
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def free(self, engines, handle):
        """Frees a copy at the first engine that answers."""
        for engine in engines:
            call = engine and await self.calls.connect(engine)
            if call and await call.free(handle):
                return

    def spend_retry(self, service):
        """Spends a retry of the shared budget; tells whether there was one."""
        return self._gateway.spend_retry(service)

    def count(self, result):
        """Counts a migration that has ended, by its migration.Result."""
        self._counter.labels(result.value).inc()

    def takes(self, engine):
        """Tells whether an engine accepts requests and is not leaving."""
        now = self.loop.time()
        leaves_at = self.leaves_at(engine)
        return (
            self._fleet.serves(engine)
            and engine.rate_limit.admits(now)
            and engine.excluded_until <= now
            and engine.role_change_until <= now
            and (leaves_at is None or leaves_at <= now)
        )

    def choose(self, stream, exclude):
        """Returns the Upstream that a stream may move to, or None."""
        serving = {
            engine.entry.id: engine
            for engine in self._fleet.serving(stream.service)
            if self.takes(engine)
        }
        target = migration.choose_target(
            self._describe(stream.source),
            [self._describe(engine) for engine in serving.values()],
            exclude | stream.excluded,
            stream.request_id,
        )
        return serving.get(target)

    def _describe(self, engine):
        """Returns an Upstream as a migration.Engine."""
        entry = engine.entry
        share = max(1.0, entry.slots / self._fleet.capacity_ratio)
        now = self.loop.time()
        return migration.Engine(
            entry.id,
            entry.data_centre,
            self._regions.get(entry.data_centre, ''),
            entry.software_version,
            entry.reclaimable,
            entry.role is not upstreams.Role.PREFILL,
            share - engine.active - self._arriving(entry.id),
            self._gateway.placer.delay_s(engine, now),
        )

    def _arriving(self, engine_id):
        """Returns the number of streams that are being moved to an engine."""
        return sum(
            stream.is_moving_to(engine_id)
            for streams in self._streams.values()
            for stream in streams
        )
