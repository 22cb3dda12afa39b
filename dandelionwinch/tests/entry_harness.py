"""An instance with stand-ins of all its systems, on real sockets."""

import json
import threading

import urllib3

from dandelionwinch import entry
from dandelionwinch import settings
from dandelionwinch.standins import livelist
from dandelionwinch.standins import service
from dandelionwinch.standins import store
from dandelionwinch.standins import upstream
from dandelionwinch import utils

# Together 30 s, which end a test that hangs.
MAX_WAIT_STEPS = 1500
WAIT_STEP_S = 0.02
MODEL = 'counter-lm'


def wait_until(condition, what):
    """Waits until a condition holds.

    Args:
        condition: Function that returns whether it holds.
        what: Name of the condition in the error text.

    Raises:
        AssertionError: If it does not hold within 30 seconds.
    """
    never_set = threading.Event()
    for _step in range(MAX_WAIT_STEPS):
        if condition():
            return
        never_set.wait(WAIT_STEP_S)
    raise AssertionError(f'the condition did not hold in time: {what}')


class EntryHarness:
    """Stand-ins and an instance in this process.

    Args:
        security: SecuritySettings of the instance.
        relay: RelaySettings of the instance.
        roles: Roles of the model engines, one each.

    Attributes:
        store: Stand-in of the store.
        live_list: Stand-in of the list of instances.
        service: Stand-in of a plain service, with its `journal`.
        upstreams: Stand-ins of model engines.
        entry: The Entry, or None before `start`.
        cfg: Its EntrySettings, or None before `start`.
    """

    def __init__(self, security=None, relay=None, roles=('mixed', 'mixed')):
        self.store = store.StoreServer()
        self.live_list = livelist.LiveListServer()
        self.journal = service.Journal()
        self.service = service.ServiceServer('plain', self.journal)
        self.upstreams = [
            upstream.UpstreamServer(_upstream(n, role), MODEL)
            for n, role in enumerate(roles)
        ]
        self.security = security or settings.SecuritySettings()
        self._relay = relay or settings.RelaySettings(threads=16, max_jobs=12)
        self.http = urllib3.PoolManager(retries=False, cert_reqs='CERT_NONE')
        self.entry = None
        self.cfg = None

    def start(self, tmp_path):
        """Starts all and waits until the instance is ready."""
        servers = [self.store, self.live_list, self.service, *self.upstreams]
        for server in servers:
            server.start()
        catalog = tmp_path / 'catalog.yaml'
        catalog.write_text(json.dumps(self._catalog()))
        addresses = [f'127.0.0.1:{p}' for p in utils.free_ports(3)]
        self.cfg = settings.EntrySettings(
            instance=settings.InstanceSettings(
                name='nanyuki-1',
                data_centre='Nanyuki',
                region='laikipia',
                client_address=addresses[0],
                peer_address=addresses[1],
                operator_address=addresses[2],
            ),
            store=settings.StoreSettings(endpoints=[self.store.address]),
            live_list=settings.LiveListSettings(
                address=self.live_list.address
            ),
            relay=self._relay,
            security=self.security,
            catalog_file=str(catalog),
        )
        self.live_list.add(self.cfg.instance)
        self.entry = entry.Entry(self.cfg)
        self.entry.start()
        wait_until(
            lambda: not self.entry.core.unready_reason(), 'instance ready'
        )

    def _catalog(self):
        def service_of(name, repeat, **more):
            return {'name': name, 'repeat': repeat, **more}

        return {
            'data_centres': [{'name': 'Nanyuki', 'region': 'laikipia'}],
            'models': [{'name': MODEL}],
            'services': [
                service_of('lookups', 'idempotent'),
                service_of('deposits', 'once', asks_by_key=True),
                service_of('blind', 'once'),
                service_of('careful', 'once', dedupes_by_key=True),
            ],
            'pools': [
                {'name': 'lm', 'data_centre': 'Nanyuki', 'model': MODEL},
                {
                    'name': 'plain',
                    'data_centre': 'Nanyuki',
                    'services': ['lookups', 'deposits', 'blind', 'careful'],
                },
            ],
            'upstreams': [
                *(self._row(server) for server in self.upstreams),
                {
                    'name': 'plain-1',
                    'pool': 'plain',
                    'address': self.service.address,
                    'role': 'service',
                },
            ],
        }

    @staticmethod
    def _row(server):
        cfg = server.engine.cfg
        return {
            'name': cfg.name,
            'pool': 'lm',
            'address': server.address,
            'role': str(cfg.role),
        }

    def close(self):
        """Stops the instance and all stand-ins."""
        if self.entry is not None:
            self.entry.close()
        servers = [self.store, self.live_list, self.service, *self.upstreams]
        for server in servers:
            server.close()

    def send(self, method, path, body=None, headers=None, operator=False):
        """Sends a request to the instance and returns the response.

        Args:
            method: HTTP method.
            path: Path of the request.
            body: Bytes, or a value to be sent as JSON.
            headers: Dict of headers.
            operator: Whether to use the operators' listener.
        """
        cfg = self.cfg.instance
        address = cfg.operator_address if operator else cfg.client_address
        scheme = 'https' if self.security.certificate_file else 'http'
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return self.http.request(
            method,
            f'{scheme}://{address}{path}',
            body=body,
            headers=headers or {},
            timeout=30,
        )

    def chat(self, tokens=20, stream=False, prompt='boots for a child'):
        """Sends a chat completion request and returns the response."""
        body = {
            'model': MODEL,
            'max_tokens': tokens,
            'stream': stream,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        return self.send('POST', '/v1/chat/completions', body)

    def charge(self, key, service_name='deposits', body=b'{}'):
        """Calls a service with an idempotency key; returns the response."""
        path = f'/v1/services/{service_name}/charge'
        headers = {'Idempotency-Key': key}
        return self.send('POST', path, body, headers)

    def ask(self, statement):
        """Sends an operator's statement and returns the parsed response."""
        reply = self.send('POST', '/v1/ask', statement.encode(), {}, True)
        return reply.json()


def _upstream(number, role):
    return settings.Upstream(
        name=f'lm-{number + 1}',
        pool='lm',
        address='127.0.0.1:1',
        role=settings.Role(role),
        decode_tokens_per_s=1000.0,
    )


def text_of_stream(data):
    """Returns the text of a chat stream and checks its end mark."""
    lines = data.decode().split('\n\n')
    assert lines[-2] == 'data: [DONE]'
    events = [json.loads(line.removeprefix('data: ')) for line in lines[:-2]]
    deltas = [event['choices'][0]['delta'] for event in events]
    return ''.join(delta.get('content') or '' for delta in deltas)
