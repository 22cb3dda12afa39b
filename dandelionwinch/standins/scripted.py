"""An upstream on raw sockets that responds by a script, with faults."""

import asyncio
import socket
import struct

import attrs

from dandelionwinch.standins import raw_server

RESET = 'reset'
CLOSE = 'close'
HANG = 'hang'
HOLD = 'hold'
CRASH = 'crash'
TRICKLE = 'trickle'
TRICKLE_INTERVAL_S = 0.005
EXIT = 'exit'
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.frozen
class ReceivedRequest:
    """A request that the stand-in received."""

    method: str
    target: str
    headers: dict
    body: bytes


class ScriptedUpstream(raw_server.RawServer):
    """Responds to each request by the steps of a script.

    The first request gets the first script, and so on; the last script
    serves all further requests. A step is bytes to send, RESET or CLOSE
    of the connection, HANG (sends nothing until the caller closes the
    connection), HOLD (waits until `release` is set), CRASH (resets all
    connections and refuses new ones), TRICKLE (sends chunks of one byte
    that complete no event, until the caller closes the connection) or EXIT
    (closes the connection, as the system does for a process that was killed,
    and refuses new ones). In
    bytes, `{id}` is replaced by the request id.

    Args:
        id_header: Name of the header with the request id, in lower case.
        scripts: A sequence of steps for each request.
        on_change: Called when a request arrives or a connection ends.

    Attributes:
        misdirected: Requests that name another upstream; they are refused
            and take no script.
        release: Event that ends the wait of HOLD.
        requests: All requests received.
        closed_connections: Number of connections that ended.
    """

    def __init__(self, id_header, scripts, on_change=lambda: None):
        super().__init__()
        self._id_header = id_header
        self._on_change = on_change
        self._scripts = list(scripts)
        self.release = asyncio.Event()
        self.requests = []
        self.misdirected = []
        self.closed_connections = 0
        self._target = None

    def expect_target(self, header, upstream_id, refusal):
        """Refuses requests that name another upstream from now on.

        Another process may still send to the port that this one got.

        Args:
            header: Name of the header that names it, in lower case.
            upstream_id: Its id.
            refusal: Bytes of the response.
        """
        self._target = (header, upstream_id, refusal)

    def _end_connection(self, writer):
        self.closed_connections += 1
        self._on_change()
        writer.close()

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        req = await self._read_request(head.decode('latin-1'), reader)
        if self._target is not None:
            header, upstream_id, refusal = self._target
            if req.headers.get(header, upstream_id) != upstream_id:
                self.misdirected.append(req)
                writer.write(refusal)
                return True
        self.requests.append(req)
        self._on_change()
        return await self._respond(req, reader, writer)

    async def _respond(self, req, reader, writer):
        """Returns whether the connection stays open."""
        steps = self._take_script(req)
        request_id = req.headers.get(self._id_header, '').encode()
        for step in steps:
            if step == CRASH:
                self._crash()
                return False
            if step == RESET:
                _reset(writer)
                return False
            if step == HOLD:
                await self.release.wait()
                continue
            if step == EXIT:
                self._server.close()
            if step in (CLOSE, EXIT):
                return False
            if step == HANG:
                await reader.read()
                return False
            if step == TRICKLE:
                await _trickle(writer)
                return False
            writer.write(step.replace(b'{id}', request_id))
            await writer.drain()
        return True

    def _take_script(self, req):
        """Returns the steps that respond to a request."""
        if len(self._scripts) > 1:
            return self._scripts.pop(0)
        return self._scripts[0]

    def _crash(self):
        self._server.close()
        for writer in self._connections.values():
            _reset(writer)

    @staticmethod
    async def _read_request(head, reader):
        first, *lines = head.strip().split('\r\n')
        method, target, _version = first.split(' ')
        headers = raw_server.read_headers(lines)
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
        return ReceivedRequest(method, target, headers, body)


class CrashingUpstream(ScriptedUpstream):
    """Crashes when it begins to run a poison request.

    Args:
        poison: Id of a part of its prompt, or the last part of its path.
        parts_header: Name of the header with the parts, in lower case.
        args: Arguments of ScriptedUpstream.
    """

    def __init__(self, poison, parts_header, *args):
        super().__init__(*args)
        self._poison = poison
        self._parts_header = parts_header

    def _take_script(self, req):
        parts = req.headers.get(self._parts_header, '').split(',')
        ids = [part.partition(':')[0] for part in parts]
        ids.append(req.target.rpartition('/')[2])
        if self._poison and self._poison in ids:
            return [CRASH]
        return super()._take_script(req)


async def _trickle(writer):
    """Sends chunks of one byte until the connection is closed."""
    while not writer.is_closing():
        writer.write(b'1\r\n:\r\n')
        await writer.drain()
        await asyncio.sleep(TRICKLE_INTERVAL_S)


def _reset(writer):
    """Closes a connection with a reset."""
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
    )
    writer.transport.abort()
