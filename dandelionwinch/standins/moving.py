"""An engine whose streams can be moved, on raw sockets, with faults."""

import asyncio
import json

from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted

# Faults of calls for a copy.
REFUSE = 'refuse'
BUSY = 'busy'
LOSE = 'lose'
CRASH = 'crash'
HOLD = 'hold'


class MovingEngine(scripted.ScriptedUpstream):
    """Streams numbered events and copies runs to other engines.

    Args:
        moves: Moves, which the engines of a site share.
        total: Events of each stream.
        id_header: As of ScriptedUpstream.
        on_change: As of ScriptedUpstream.

    Attributes:
        limit: Number of the last event that it may make for now.
        faults: Faults of the next calls for a copy, '' for none. HOLD waits
            for `release`, LOSE closes the connection without an answer.
        refuses: Whether it refuses continuations.
        framed: Whether its streams say themselves where they end.
    """

    def __init__(self, moves, total, id_header, on_change):
        super().__init__(id_header, [], on_change)
        self._moves = moves
        self._total = total
        self._changed = asyncio.Event()
        self.limit = total
        self.faults = []
        self.refuses = False
        self.framed = True

    def make_up_to(self, number):
        """Lets it make events up to a number."""
        self.limit = number
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _respond(self, req, reader, writer):
        if req.target == samples.MOVE_PATH:
            return await self._move(req, writer)
        if req.method == 'DELETE':
            self._moves.free(req.target.rpartition('/')[2])
            writer.write(_answer(200, {}))
            self._on_change()
            return True
        return await self._stream(req, writer)

    async def _move(self, req, writer):
        fault = self.faults.pop(0) if self.faults else ''
        if fault == CRASH:
            self._crash()
            return False
        if fault == BUSY:
            writer.write(_answer(409, {}))
            return True
        answer = self._moves.move(self.address, req.body, fault == REFUSE)
        self._wake()
        if fault == HOLD:
            await self.release.wait()
        if fault == LOSE:
            return False
        writer.write(_answer(*answer))
        return True

    async def _stream(self, req, writer):
        """Streams a run; tells whether it made the end of it."""
        copy, kv_source = None, req.headers.get(samples.KV_SOURCE)
        if kv_source is not None:
            if not self.refuses:
                copy = self._moves.take(self.address, kv_source)
            if copy is None:
                writer.write(samples.refusal())
                return True
        request_id = req.headers[self._id_header]
        last = int(req.headers.get(samples.LAST_EVENT_ID, 0))
        run = self._moves.begin(self.address, request_id, copy, last)
        framing = 'Transfer-Encoding: chunked' if self.framed else ''
        writer.write(samples.response_head(request_id, framing))
        try:
            while run.created < self._total:
                while run.created >= self.limit and not run.stopped:
                    await self._changed.wait()
                if run.stopped:
                    return False
                run.created += 1
                self._write(writer, event(run.created, run.began_at))
                await writer.drain()
        finally:
            run.ended = True
        if self.framed:
            writer.write(b'0\r\n\r\n')
        return self.framed

    def _write(self, writer, data):
        if self.framed:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        writer.write(data)


def event(number, began_at):
    """Returns an event of the run that began at an address."""
    return f'id: {number}\ndata: {began_at}\n\n'.encode()


def _answer(status, fields):
    body = json.dumps(fields).encode()
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body
