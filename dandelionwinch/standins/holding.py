"""An upstream that reads bodies slowly and ends itself if it holds too much.

As a process it writes its address to its output:

    python -m dandelionwinch.standins.holding --max-held 8000000

With `--hold-answers` it answers nothing until it gets SIGUSR1, and writes the
number of bodies that it has read to its output.
"""

import argparse
import asyncio
import os
import signal

from dandelionwinch.platform import samples
from dandelionwinch.standins import raw_server

EXIT_STATUS = 9
# Bytes that are read at a time, and that wait in the process beside them.
READ_BYTES = 1 << 14


class HoldingUpstream(raw_server.RawServer):
    """Holds each body until it has answered the request.

    Args:
        max_held_bytes: Bytes of bodies that it can hold, None for any number.
        on_excess: Called when it holds more.
        on_change: Called when a request arrives, is read or broken off.

    Attributes:
        reading: Event that is cleared while no body is read.
        answering: Event that is cleared while no request is answered.
        begun: Ids of the requests whose heads have arrived.
        executed: Ids of those that were read as a whole.
        broken_off: Ids of those that ended before.
        held_bytes: Bytes of bodies that it holds.
        read_delay_s: Pause after each read.
    """

    def __init__(
        self,
        max_held_bytes=None,
        on_excess=lambda: None,
        on_change=lambda: None,
    ):
        super().__init__(READ_BYTES)
        self._max_held_bytes = max_held_bytes
        self._on_excess = on_excess
        self._on_change = on_change
        self.reading = asyncio.Event()
        self.reading.set()
        self.answering = asyncio.Event()
        self.answering.set()
        self.begun = []
        self.executed = []
        self.broken_off = []
        self.held_bytes = 0
        self.read_delay_s = 0.0

    def hold_answers(self, signal_number, report):
        """Answers nothing until the process gets a signal.

        Args:
            signal_number: The signal.
            report: Called with the number of bodies that were read, each
                time that it may have changed.
        """
        self.answering.clear()
        self._on_change = lambda: report(len(self.executed))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal_number, self.answering.set)

    def _end_connection(self, writer):
        writer.transport.abort()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        headers = raw_server.read_headers(filter(None, head.split('\r\n')[1:]))
        request_id = headers.get(samples.REQUEST_ID, '')
        self.begun.append(request_id)
        self._on_change()
        size = 0
        try:
            async for count in self._read(
                reader, int(headers.get('content-length', 0))
            ):
                size += count
                self._hold(count)
            self.executed.append(request_id)
            self._on_change()
            await self.answering.wait()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.broken_off.append(request_id)
            self._on_change()
            raise
        finally:
            self.held_bytes -= size
        answer = samples.response_head(request_id, 'Content-Length: 2')
        writer.write(answer + b'ok')
        await writer.drain()
        return True

    async def _read(self, reader, length):
        """Yields the sizes of the parts of a body as they are read."""
        while length:
            await self.reading.wait()
            data = await reader.read(min(READ_BYTES, length))
            if not data:
                raise asyncio.IncompleteReadError(b'', length)
            length -= len(data)
            yield len(data)
            if self.read_delay_s:
                await asyncio.sleep(self.read_delay_s)

    def _hold(self, count):
        self.held_bytes += count
        limit = self._max_held_bytes
        if limit is not None and self.held_bytes > limit:
            self._on_excess()


def _print(item):
    print(item, flush=True)  # noqa: T201


async def _run(args):
    upstream = HoldingUpstream(
        args.max_held, on_excess=lambda: os._exit(EXIT_STATUS)
    )
    upstream.read_delay_s = args.read_delay
    if args.hold_answers:
        upstream.hold_answers(signal.SIGUSR1, _print)
    await upstream.start()
    _print(upstream.address)
    await asyncio.Event().wait()


def main():
    """Runs the upstream until its process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--max-held', type=int)
    parser.add_argument('--read-delay', type=float, default=0.0)
    parser.add_argument('--hold-answers', action='store_true')
    asyncio.run(_run(parser.parse_args()))


if __name__ == '__main__':
    main()
