"""Calls that copy the KV cache of a run to another engine."""

from dandelionwinch.gateway import _attempt_connections
from dandelionwinch.gateway import _codec
from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _whole_response
from dandelionwinch import migration

FREE_TIMEOUT_S = 1.0


class MoveCalls:
    """Asks engines to copy runs, and to free copies.

    Responses to these calls name no request, so each call has a new
    connection, which no request uses; see `Pool.acquire`.

    Args:
        fleet: Fleet with the engines.
        wire_codec: WireCodec.
    """

    __slots__ = ('_fleet', '_wire_codec')

    def __init__(self, fleet, wire_codec):
        self._fleet = fleet
        self._wire_codec = wire_codec

    async def connect(self, engine):
        """Returns a MoveCall on a new connection, None if there is none."""
        pool = self._fleet.pool(engine)
        try:
            conn = await pool.acquire(
                _attempt_connections.ACQUIRE_TIMEOUT_S, new=True
            )
        except _pool.NotConnected:
            return None
        return MoveCall(self._wire_codec, engine, pool, conn)


class MoveCall:
    """One call to an engine; it is closed after its only use.

    Args:
        wire_codec: WireCodec.
        engine: Upstream that is called.
        pool: Its connection pool.
        conn: The connection.
    """

    __slots__ = ('_conn', '_engine', '_pool', '_wire_codec')

    def __init__(self, wire_codec, engine, pool, conn):
        self._wire_codec = wire_codec
        self._engine = engine
        self._pool = pool
        self._conn = conn

    def close(self):
        """Closes the connection, used or not."""
        self._pool.discard(self._conn)

    async def copy(self, request_id, target, *, last, timeout_s):
        """Asks for a copy of a run; the bytes leave before any await.

        Args:
            request_id: Id of the request that it runs.
            target: Upstream that gets the copy.
            last: Whether the run is to be stopped first.
            timeout_s: Longest wait for the answer.

        Returns:
            The message for the Migration.
        """
        request = self._wire_codec.move_request(
            self._engine.entry.id, request_id, target.entry.address, last
        )
        if not self._conn.usable:
            self.close()
            return migration.NotSent()
        try:
            # What was not delivered then must not stop the run later.
            self._conn.limit_delivery(timeout_s)
            self._conn.send(_codec.request_bytes(*request))
            head, body = await _whole_response.read_response(
                self._conn, timeout_s
            )
        except (_connection.ConnectionLost, OSError):
            return migration.Unanswered()
        finally:
            self.close()
        return self._wire_codec.parse_move_reply(head, body)

    async def free(self, handle):
        """Asks to free a copy; tells whether the engine answered."""
        request = self._wire_codec.free_request(self._engine.entry.id, handle)
        try:
            self._conn.send(_codec.request_bytes(*request, b''))
            await _whole_response.read_response(self._conn, FREE_TIMEOUT_S)
        except _connection.ConnectionLost:
            return False
        finally:
            self.close()
        return True
