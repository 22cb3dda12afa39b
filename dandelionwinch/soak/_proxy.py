"""A loopback proxy that resets, drops or delays traffic."""

import asyncio
import enum
import socket
import struct

CHUNK_BYTES = 65536
DELAY_S = 0.2
# Socket option with which a connection that is closed is reset.
NO_LINGER = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What the proxy does with the bytes that it receives.

    SILENT drops both directions, ONE_WAY drops the responses.
    """

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    RESET = 'reset'


class Proxy:
    """Forwards connections to one address.

    Args:
        target: The address, as host:port.

    Attributes:
        address: The address that it listens on.
        mode: The current Mode.
        name: Name of the link in the timeline of the soak: the frontend
            address of the instance for a link to the store, the id of the
            upstream for a link to one, else ''.
    """

    __slots__ = (
        '_reserved',
        '_server',
        '_target',
        '_writers',
        'address',
        'mode',
        'name',
    )

    def __init__(self, target):
        self._target = target
        self._server = None
        self._writers = set()
        # Holds the port after `refuse`.
        self._reserved = None
        self.address = ''
        self.name = ''
        self.mode = Mode.PASS

    async def start(self):
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def set_mode(self, mode):
        """Changes the mode; RESET aborts all open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for writer in list(self._writers):
                _reset(writer)

    def refuse(self):
        """Resets all connections and refuses new ones.

        The port stays bound, so that no other process gets it.
        """
        self.set_mode(Mode.RESET)
        self._server.close()
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, _, port = self.address.rpartition(':')
        self._reserved.bind((host, int(port)))

    async def close(self):
        """Stops listening and aborts all connections."""
        self.set_mode(Mode.RESET)
        self._server.close()
        if self._reserved is not None:
            self._reserved.close()

    async def _serve(self, reader, writer):
        if self.mode is Mode.RESET:
            _reset(writer)
            return
        host, _, port = self._target.rpartition(':')
        try:
            remote = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, remote[1]}
        try:
            await asyncio.gather(
                self._copy(reader, remote[1], (Mode.SILENT,)),
                self._copy(remote[0], writer, (Mode.SILENT, Mode.ONE_WAY)),
            )
        except asyncio.CancelledError:
            # The event loop shuts down with the soak; nothing awaits the task.
            _reset(writer)
        finally:
            self._writers -= {writer, remote[1]}

    async def _copy(self, reader, writer, dropping_modes):
        dropped = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                # What follows lost bytes is never delivered without them.
                if dropped or self.mode in dropping_modes:
                    dropped = True
                    continue
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            dropped = True
        finally:
            # No end in order may follow bytes that are missing.
            if dropped:
                _reset(writer)
            writer.close()


def _reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
