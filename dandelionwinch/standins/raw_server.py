"""A server on raw sockets, for stand-ins that break the protocol."""

import abc
import asyncio

READ_BYTES = 1 << 16


class RawServer(abc.ABC):
    """Serves the requests of each connection one after the other.

    Args:
        read_bytes: Bytes that wait in the process to be read.

    Attributes:
        address: IP address and port, once started.
    """

    def __init__(self, read_bytes=READ_BYTES):
        self._read_bytes = read_bytes
        self._server = None
        # Writer of each connection, by the task that serves it.
        self._connections = {}
        self.address = ''

    async def start(self):
        """Starts to listen on a port that the system chooses."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=self._read_bytes
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def close(self):
        """Stops listening and closes all connections, as a crash does."""
        self._server.close()
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections[task] = writer
        try:
            while await self._serve_request(reader, writer):
                pass
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass
        finally:
            del self._connections[task]
            self._end_connection(writer)

    @abc.abstractmethod
    async def _serve_request(self, reader, writer):
        """Serves a request; returns whether the connection stays open."""

    @abc.abstractmethod
    def _end_connection(self, writer):
        """Closes a connection after its last request."""


def read_headers(lines):
    """Returns the headers in lines of a head, by name in lower case."""
    pairs = (line.split(': ', 1) for line in lines)
    return {name.lower(): value for name, value in pairs}
