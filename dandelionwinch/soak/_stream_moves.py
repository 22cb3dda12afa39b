"""Long streams of the soak, and how its upstreams move them."""

import asyncio
import json

from dandelionwinch.platform import samples
from dandelionwinch.standins import moves

# Route of streams that last so long that an upstream may be taken away
# meanwhile, and that must not be repeated.
ROUTE = 'long'
EVENTS_PER_STREAM = 80
EVENT_INTERVAL_S = 0.03
TIMEOUT_S = 6.0
COPY_S = 0.02
# Part of the calls for a copy that are refused, and that get no answer.
REFUSED_RATIO = 0.1
LOST_RATIO = 0.05
# Properties of the upstreams' service in the configuration.
ENGINE = {'slots': 24, 'kvTokens': 100000, 'kvTokenBytes': 1.0, 'moves': True}


class StreamMoves:
    """Runs and copies of the upstreams of one soak."""

    def __init__(self):
        self._moves = moves.Moves()

    async def answer(self, upstream, request_line, body, rng):
        """Returns the response to a call of an instance.

        Args:
            upstream: The SoakUpstream that is called.
            request_line: First line of the call.
            body: Bytes of its body.
            rng: Random generator that selects the faults.

        Returns:
            Bytes, or None if the connection is closed without a response.
        """
        method, path, _version = request_line.split(' ')
        if method == 'DELETE':
            self._moves.free(path.rpartition('/')[2])
            return _response(200, {})
        if path != samples.MOVE_PATH:
            # A call for cache events, which it has not.
            return samples.refusal('404 Not Found')
        draw = rng.random()
        status, fields = self._moves.move(
            upstream.proxy.address, body, draw < REFUSED_RATIO
        )
        await asyncio.sleep(COPY_S)
        if draw > 1.0 - LOST_RATIO:
            return None
        return _response(status, fields)

    def begin(self, upstream, headers):
        """Begins a run, or goes on with a copy; returns the Run or None."""
        address = upstream.proxy.address
        copy = None
        if samples.KV_SOURCE in headers:
            copy = self._moves.take(address, headers[samples.KV_SOURCE])
            if copy is None:
                return None
        created = int(headers.get(samples.LAST_EVENT_ID, 0))
        request_id = headers[samples.REQUEST_ID]
        return self._moves.begin(address, request_id, copy, created)


def is_long(request_id):
    """Tells whether a request is a long stream."""
    return request_id.startswith(f'{ROUTE}-')


def _response(status, fields):
    body = json.dumps(fields).encode()
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body
