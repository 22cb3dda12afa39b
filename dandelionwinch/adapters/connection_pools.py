"""Pools of HTTP connections that are closed after an idle time."""

import socket
import threading
import time

import urllib3
from urllib3 import connection

KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3
MAX_POOLED_CONNECTIONS = 128

SOCKET_OPTIONS = connection.HTTPConnection.default_socket_options + [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        (KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S) * 1000,
    ),
]


class ConnectionPools:
    """Connection pools by address; a pool that was idle is replaced.

    A middlebox may drop the state of an idle connection without notifying
    its ends. A pool that was not used for ``idle_s`` seconds is therefore
    closed and replaced. Requests in progress on it are not affected.

    Args:
        idle_s: Seconds without use after which a pool is replaced; must be
            well below the idle timeouts of middleboxes.
    """

    __slots__ = ('_idle_s', '_lock', '_pools', '_used_at')

    def __init__(self, idle_s):
        self._idle_s = idle_s
        self._lock = threading.Lock()
        self._pools = {}
        self._used_at = {}

    def pool_for(self, address):
        """Returns the connection pool of an address.

        Args:
            address: IP address and port, such as ``127.0.0.1:80``.
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
            maxsize=MAX_POOLED_CONNECTIONS,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def discard(self, address):
        """Closes the pool of an address after a connection error."""
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
