"""A gateway on real sockets with scripted upstreams and a caller."""

import asyncio
import random

import attrs

from dandelionwinch import control
from dandelionwinch import gateway
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.standins import scripted
from dandelionwinch.tests import recorder
from dandelionwinch import upstreams


def response(body=b'hello', status='200 OK', more='', request_id='{id}'):
    """Returns a signed response with Content-Length.

    Args:
        body: Bytes of the body.
        status: Status code and reason phrase.
        more: Further header lines, each with its CRLF.
        request_id: Id of the request; the upstream replaces ``{id}``.
    """
    head = samples.response_head(
        request_id, f'Content-Length: {len(body)}', status, more
    )
    return head + body


STREAM_HEAD = samples.response_head(
    '{id}',
    'Transfer-Encoding: chunked',
    more='X-Head: first\r\nContent-Type: text/event-stream\r\n',
)
LAST_CHUNK = b'0\r\n\r\n'


def chunk(data):
    """Returns one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def event(number, text=b'x'):
    """Returns one server-sent event."""
    return b'id: %d\ndata: %b\n\n' % (number, text)


@attrs.define
class Config:
    """The settings that a gateway uses."""

    instance: str = 'edge-1'
    data_centre: str = 'dc'
    regions: dict = attrs.Factory(lambda: {'dc': 'r'})
    retry_ratio: float = 20.0
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    strict_revoke: bool = False
    revoke_s: float = 5.0
    duty_settings: control.DutySettings = control.DutySettings()
    limits_held_bytes: bool = False
    max_held_bytes: int = 1 << 25
    drain_s: float = 4.0


def route(name, retry_policy, streaming=False, max_upstreams=2, **changes):
    """Returns a route to service `s` under the path ``/name/``."""
    default = routes.Route(
        name,
        'desk',
        f'/{name}/',
        retry_policy,
        streaming,
        5.0,
        0.15,
        0,
        max_upstreams,
        (routes.TrafficShare('s', 1.0),),
        token_gap_s=0.15,
    )
    return attrs.evolve(default, **changes)


ROUTES = [
    route('safe', routes.RetryPolicy.IDEMPOTENT),
    route('once', routes.RetryPolicy.ONCE, max_upstreams=1),
    # Retried at another upstream only if the first did not execute it.
    route('failover', routes.RetryPolicy.ONCE, max_upstreams=2),
    route('short', routes.RetryPolicy.ONCE, max_upstreams=1, timeout_s=0.3),
    route('open', routes.RetryPolicy.IDEMPOTENT, public=True),
    route('stream', routes.RetryPolicy.ONCE, True, max_upstreams=1),
    route('resume', routes.RetryPolicy.RESUMABLE, True),
]


class GatewayHarness:
    """Starts a gateway, its scripted upstreams and a caller's connection.

    Args:
        scripts: For each upstream, its scripts (see ScriptedUpstream).
        limits: routes.Limits of the gateway.
        poison: Id of a part of a prompt, or last part of a path, on which
            the upstreams crash, or ''.
        directory: TeamDirectory, None for no teams.
        cfg: Config, None for the default one.

    Attributes:
        log: Recorder of the gateway's events.
        upstreams: The ScriptedUpstreams.
        gateway: The Gateway.
    """

    def __init__(
        self, scripts, limits=None, poison='', directory=None, cfg=None
    ):
        self._cfg = cfg or Config()
        self._directory = directory
        self._scripts = scripts
        self._poison = poison
        self._sent_ids = set()
        self.limits = limits or routes.Limits()

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.log = recorder.Recorder()
        self.upstreams = [self.make_upstream(s) for s in self._scripts]
        self.gateway = gateway.Gateway(
            loop,
            _wire_codec.WireCodec(),
            self.log,
            self._cfg,
            random.Random(1),
        )
        services = [routes.Service('s', 100)]
        self.gateway.fleet.table = routes.RouteTable(
            1, ROUTES, services, self.limits, self._directory
        )
        refusal = samples.refusal('421 Misdirected Request')
        for number, upstream in enumerate(self.upstreams):
            upstream.expect_target(samples.UPSTREAM_ID, f'u{number}', refusal)
            await upstream.start()
            self.gateway.fleet.registry.apply(
                upstreams.Entry(
                    f'u{number}',
                    's',
                    upstream.address,
                    'dc',
                    1,
                    True,
                    upstreams.Role.DECODE,
                    4,
                )
            )
        self.server = gateway.Server(loop, self.gateway.handle, self.limits)
        await self.server.start('127.0.0.1:0')
        await self.connect()
        return self

    def make_upstream(self, script):
        """Returns the upstream of a script."""
        return scripted.CrashingUpstream(
            self._poison,
            samples.PROMPT_PREFIX,
            samples.REQUEST_ID,
            script,
            self.log.notify,
        )

    async def connect(self):
        """Opens the connection of the caller."""
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self.server.port
        )

    async def __aexit__(self, *_exc):
        self.writer.close()
        self.server.close()
        self.gateway.close()
        for upstream in self.upstreams:
            await upstream.close()
        # Of other processes that send to the port, nothing is required.
        misdirected = {
            req.headers.get(samples.REQUEST_ID)
            for upstream in self.upstreams
            for req in upstream.misdirected
        }
        assert not misdirected & self._sent_ids

    @property
    def requests(self):
        """All requests that the upstreams received."""
        return [req for up in self.upstreams for req in up.requests]

    def send(
        self, path, request_id='r1', prompt=None, headers=(), timeout_ms=3000
    ):
        """Sends a request of the caller.

        Args:
            path: Path of a route, such as ``/safe/1``.
            request_id: Id of the request.
            prompt: Tokens of each prefix block of the prompt, or None.
            headers: Further headers, as pairs.
            timeout_ms: Time for which the caller waits.
        """
        self._sent_ids.add(request_id)
        self.writer.write(
            samples.request(
                path,
                request_id,
                timeout_ms=timeout_ms,
                prompt=prompt,
                more=headers,
            )
        )

    def generate(self, path, request_id='r1', tokens=100):
        """Sends a request with a prompt of `tokens` tokens."""
        self.send(path, request_id, (50, tokens - 50))

    def generate_on(self, path, request_id, *parts):
        """Sends a request whose prompt has the given parts."""
        self.send(path, request_id, headers=samples.prompt_headers(parts))

    async def read_response(self):
        """Returns status, headers and body of the next response.

        The body of an incomplete response ends with b'<cut>'.
        """
        async with asyncio.timeout(recorder.TIMEOUT_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            first, *lines = head.decode().strip().split('\r\n')
            headers = {
                name.lower(): value
                for name, value in (line.split(': ', 1) for line in lines)
            }
            status = int(first.split(' ')[1])
            if 'content-length' in headers:
                length = int(headers['content-length'])
                body = await self.reader.readexactly(length)
                return status, headers, body
            return status, headers, await self.read_chunks()

    async def read_chunks(self):
        """Returns the rest of a chunked body, with b'<cut>' if incomplete."""
        body = b''
        try:
            while True:
                size = int(await self.reader.readuntil(b'\r\n'), 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    return body
                body += data[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return body + b'<cut>'


def run_scenario(
    scripts, scenario, limits=None, poison='', directory=None, cfg=None
):
    """Runs a coroutine function of a GatewayHarness; returns its result."""

    async def run():
        harness = GatewayHarness(scripts, limits, poison, directory, cfg)
        async with harness:
            return await scenario(harness)

    return asyncio.run(run())


def send_one(scripts, path):
    """Returns the response to one request, and the upstreams' requests.

    `scripts` has the form that GatewayHarness takes.
    """

    async def scenario(harness):
        harness.send(path)
        result = await harness.read_response()
        return result, harness.requests

    return run_scenario(scripts, scenario)
