"""HTTP connections that are retired before they fall silent."""

import socket
import threading
import time

import urllib3
from urllib3 import connection

KEEPALIVE_IDLE_S = 10
KEEPALIVE_PROBE_S = 3
KEEPALIVE_PROBES = 3
POOL_SIZE = 128

SOCKET_OPTIONS = connection.HTTPConnection.default_socket_options + [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        (KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_PROBE_S) * 1000,
    ),
]


class ConnectionPools:
    """Pools of kept connections, renewed as a whole after a time.

    A middlebox may forget an idle connection without a word. Idle
    connections are therefore dropped after ``idle_s`` seconds, well
    before such boxes forget them; calls under way go on undisturbed.
    """

    __slots__ = ('_idle_s', '_lock', '_pools', '_used_at')

    def __init__(self, idle_s):
        self._idle_s = idle_s
        self._lock = threading.Lock()
        self._pools = {}
        self._used_at = {}

    def pool_for(self, address):
        """Returns the pool of connections to an address.

        Args:
            address: IP number and port, such as ``127.0.0.1:80``.
        """
        now = time.monotonic()
        with self._lock:
            pool = self._pools.get(address)
            idle_s = now - self._used_at.get(address, now)
            if pool is not None and idle_s > self._idle_s:
                pool.close()
                pool = None
            if pool is None:
                pool = self._open(address)
                self._pools[address] = pool
            self._used_at[address] = now
            return pool

    @staticmethod
    def _open(address):
        host, _, port = address.rpartition(':')
        return urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=POOL_SIZE,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def discard(self, address):
        """Drops kept connections to an address that misbehaved."""
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self):
        """Closes all idle connections."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.close()
