"""Follows the cache events of the engines."""

import asyncio
import traceback

from dandelionwinch.gateway import _codec
from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _whole_response
from dandelionwinch import upstreams

# Time between two looks at which engines there are and how often to call.
PLAN_INTERVAL_S = 0.5
# Longest time that an engine may hold a call, and what is added to it for
# the response.
WAIT_S = 1.0
RESPONSE_MARGIN_S = 1.0
ACQUIRE_TIMEOUT_S = 0.5
# A smaller pool has no connection to spare, so each call opens its own.
MIN_POOL_TO_KEEP = 8
# Pause after a failed call, as a multiple of the time between two calls.
FAILURE_FACTOR = 4.0


class CacheWatch:
    """Tasks that call each engine for its cache events.

    Responses to these calls name no request. A late second copy of one could
    be taken for the refusal of a caller's request, so the calls to an engine
    have a connection that no request uses.

    Args:
        loop: Event loop.
        fleet: Fleet with the engines.
        placer: EnginePlacer that gets the events.
        wire_codec: WireCodec.
        log: Event log.
    """

    __slots__ = (
        '_conns',
        '_fleet',
        '_interval_s',
        '_log',
        '_loop',
        '_placer',
        '_planner',
        '_positions',
        '_tasks',
        '_wire_codec',
    )

    def __init__(self, loop, fleet, placer, wire_codec, log):
        self._loop = loop
        self._fleet = fleet
        self._placer = placer
        self._wire_codec = wire_codec
        self._log = log
        self._interval_s = None
        self._planner = None
        self._positions = {}
        self._tasks = {}
        # Pool and Connection for the next call, by id and start of an engine.
        self._conns = {}

    def start(self):
        """Starts the watch."""
        self._planner = self._loop.create_task(self._plan())

    def close(self):
        """Stops all tasks."""
        if self._planner is not None:
            self._planner.cancel()
        self._stop_all()

    def _stop_all(self):
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        for key in list(self._conns):
            self._drop(key)

    async def _plan(self):
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            try:
                self._update(self._loop.time())
            except Exception:
                # If this task ended, sizes of prompts would be wrong for good.
                self._log.event('cache.fault', trace=traceback.format_exc())

    def _update(self, now):
        """Starts and stops the tasks of single engines."""
        # Most instances of a large fleet place too few prompts to follow even
        # one engine; they need not look at all of them.
        engines = {}
        self._interval_s = self._placer.watch_interval_s(1, now)
        if self._interval_s is not None:
            engines = self._followed(now)
            self._interval_s = self._placer.watch_interval_s(len(engines), now)
        if self._interval_s is None:
            self._stop_all()
            return
        for key in self._tasks.keys() - engines.keys():
            self._tasks.pop(key).cancel()
            self._drop(key)
        for key in self._positions.keys() - engines.keys():
            del self._positions[key]
        for key in engines.keys() - self._tasks.keys():
            self._tasks[key] = self._loop.create_task(
                self._follow(key, engines[key])
            )

    def _followed(self, now):
        """Returns the engines whose events are wanted, by key."""
        return {
            _key(u): u
            for u in self._fleet.registry
            if u.entry.role is not upstreams.Role.PLAIN
            and u.accepts_requests(now)
            and u.ejected_until <= now
            and not u.rate_limit.in_force
        }

    async def _follow(self, key, engine):
        """Calls one engine again and again, each time for the next changes."""
        while True:
            pause_s = self._interval_s
            try:
                await self._call(key, engine)
            except (_pool.NotConnected, _connection.ConnectionLost) as exc:
                self._log.event(
                    'cache.unknown', upstream=engine.entry.id, reason=str(exc)
                )
                pause_s *= FAILURE_FACTOR
            await asyncio.sleep(pause_s)

    async def _call(self, key, engine):
        events = await self._fetch(engine, self._positions.get(key, 0))
        self._positions[key] = events.position
        self._placer.record_cache_events(
            engine.entry.id, events, self._loop.time()
        )

    async def _fetch(self, engine, position):
        """Returns the CacheEvents after a position.

        Raises:
            NotConnected: If there is no connection.
            ConnectionLost: If there is no complete and valid response.
        """
        request = _codec.request_bytes(
            *self._wire_codec.cache_events_request(
                engine.entry.id, position, WAIT_S
            ),
            b'',
        )
        pool, conn = await self._acquire(engine)
        try:
            if not self._fleet.serves(engine):
                raise _pool.NotConnected('the engine accepts no requests')
            conn.send(request)
            head, body = await _whole_response.read_response(
                conn, WAIT_S + RESPONSE_MARGIN_S, self._fleet.answer_bytes
            )
            events = self._read_events(head, body)
        except BaseException:
            pool.discard(conn)
            raise
        self._keep(engine, pool, conn)
        return events

    async def _acquire(self, engine):
        """Returns the pool and the connection for a call to an engine."""
        pool, conn = self._conns.pop(_key(engine), (None, None))
        if conn is not None:
            expired = conn.reusable_until <= self._loop.time()
            if not (conn.heard or expired):
                return pool, conn
            pool.discard(conn)
        pool = self._fleet.pool(engine)
        return pool, await pool.acquire(ACQUIRE_TIMEOUT_S, new=True)

    def _keep(self, engine, pool, conn):
        """Keeps a connection for the next call, if the pool can spare it."""
        if conn.finish() and pool.limit >= MIN_POOL_TO_KEEP:
            self._conns[_key(engine)] = (pool, conn)
        else:
            pool.discard(conn)

    def _drop(self, key):
        pool, conn = self._conns.pop(key, (None, None))
        if conn is not None:
            pool.discard(conn)

    def _read_events(self, head, body):
        events = self._wire_codec.parse_cache_events(body)
        if head.status != 200 or events is None:
            raise _connection.ConnectionLost(
                _connection.LossCause.PROTOCOL_ERROR,
                f'status {head.status} without cache events',
            )
        return events


def _key(engine):
    return engine.entry.id, engine.entry.started_at_ms
