"""One entry instance with stand-ins, for tests over real sockets."""

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

MAX_POLLS = 1500
POLL_S = 0.02
MODEL = 'counter-lm'


def wait_until(condition, what):
    """Polls a condition; fails after 30 s, longer than any sound run takes."""
    idle = threading.Event()
    for _step in range(MAX_POLLS):
        if condition():
            return
        idle.wait(POLL_S)
    raise AssertionError(f'timed out waiting for: {what}')


class EntryHarness:
    """Stand-ins and one entry instance in this process.

    The stand-ins are the store, the platform's list of instances, a plain
    service and one model upstream for each role.

    Args:
        security: SecuritySettings of the instance.
        relay: RelaySettings of the instance.
        roles: Roles of the model upstreams.
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
        """Starts everything and waits until the instance is ready."""
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
        """Sends an HTTP request and returns the response."""
        me = self.cfg.instance
        address = me.operator_address if operator else me.client_address
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
        """Sends a call that may run only once and returns the response."""
        path = f'/v1/services/{service_name}/charge'
        headers = {'Idempotency-Key': key}
        return self.send('POST', path, body, headers)

    def ask(self, statement):
        """Sends a statement as an operator and returns the parsed answer."""
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
    """Returns the text of an event stream, which must end with [DONE]."""
    lines = data.decode().split('\n\n')
    assert lines[-2] == 'data: [DONE]'
    events = [json.loads(line.removeprefix('data: ')) for line in lines[:-2]]
    deltas = [event['choices'][0]['delta'] for event in events]
    return ''.join(delta.get('content') or '' for delta in deltas)
