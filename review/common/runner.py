"""A sound runner, after PROTOCOL.md, as a process of its own.

    runner.py ID [--work S] [--pause S] [--unframed] [--events N] [--slots N]

Each plain answer has 800 bytes, sent in two halves `--pause` apart; a stream
has `--events` events, `--pause` apart. At most `--slots` requests run at
a time, the others wait. With `--unframed` answers have neither
a length nor chunks and end with their channel. It prints its address, then a
JSON line for each request that it runs or has answered.
"""

import argparse
import asyncio
import hashlib
import json

BODY_BYTES = 800


def body_of(request_id):
    """Returns the whole body of the answer to a request."""
    text = hashlib.sha256(request_id.encode()).hexdigest() * 13
    return text[:BODY_BYTES].encode()


def event(number, request_id):
    """Returns the bytes of an event of a stream."""
    return f'id: {number}\ndata: {request_id} {number}\n\n'.encode()


class _Server:
    def __init__(self, args):
        self._args = args
        self._slots = asyncio.Semaphore(args.slots)

    async def serve(self, reader, writer):
        """Serves the requests of a channel one after the other."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.strip().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines)
        fields = {k.lower(): v for k, v in fields.items()}
        body = await reader.readexactly(int(fields.get('content-length', 0)))
        target = fields.get('x-dandelionwinch-target-instance', self._args.id)
        if target != self._args.id:
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return True
        request_id = fields.get('x-dandelionwinch-request-id', '')
        if not request_id:
            return await self._answer_platform(writer, first, fields)
        async with self._slots:
            digest = hashlib.sha256(body).hexdigest()
            _tell(run=request_id, first=first, size=len(body), body=digest)
            await asyncio.sleep(self._args.work)
            if 'x-dandelionwinch-token-usage' in fields:
                after = int(fields.get('last-event-id', 0))
                return await self._stream(writer, request_id, after)
            return await self._whole(writer, request_id)

    async def _answer_platform(self, writer, first, fields):
        """Answers a call that is no consumer's request."""
        _method, target, _version = first.split(' ')
        if target.startswith('/-/kv-events'):
            await asyncio.sleep(int(fields.get('wait-ms', 0)) / 1e3)
            data = {'epoch': 1, 'next': 0, 'lost': False, 'events': []}
        elif target == '/-/report':
            data = {
                'phase': 'decode',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'active': 0,
                'kvUsed': 0,
                'kvTotal': 1000000,
                'kvHandles': 0,
            }
        else:
            writer.write(
                b'HTTP/1.1 400 Bad Request\r\n'
                b'X-Dandelionwinch-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return True
        text = json.dumps(data).encode()
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(text), text)
        )
        return True

    def _head(self, request_id, framing):
        if self._args.unframed:
            framing = 'Connection: close'
        return (
            'HTTP/1.1 200 OK\r\n'
            f'X-Dandelionwinch-Request-Id: {request_id}\r\n'
            f'X-Dandelionwinch-Response-Signature: sig.{request_id}\r\n'
            f'{framing}\r\n\r\n'
        ).encode()

    async def _whole(self, writer, request_id):
        body = body_of(request_id)
        half = len(body) // 2
        framing = f'Content-Length: {len(body)}'
        writer.write(self._head(request_id, framing) + body[:half])
        await writer.drain()
        await asyncio.sleep(self._args.pause)
        writer.write(body[half:])
        await writer.drain()
        _tell(answered=request_id, bytes=len(body))
        return not self._args.unframed

    async def _stream(self, writer, request_id, after):
        writer.write(self._head(request_id, 'Transfer-Encoding: chunked'))
        for number in range(after + 1, self._args.events + 1):
            data = event(number, request_id)
            if not self._args.unframed:
                data = b'%x\r\n%b\r\n' % (len(data), data)
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(self._args.pause)
        if not self._args.unframed:
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        _tell(answered=request_id, events=self._args.events)
        return not self._args.unframed


def _tell(**fields):
    print(json.dumps(fields), flush=True)


async def _main():
    parser = argparse.ArgumentParser()
    parser.add_argument('id')
    parser.add_argument('--work', type=float, default=0.02)
    parser.add_argument('--pause', type=float, default=0.0)
    parser.add_argument('--unframed', action='store_true')
    parser.add_argument('--events', type=int, default=10)
    parser.add_argument('--slots', type=int, default=24)
    args = parser.parse_args()
    server = await asyncio.start_server(_Server(args).serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    print(f'{host}:{port}', flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main())
