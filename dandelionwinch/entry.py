"""The entry daemon, which serves clients and operators over HTTP.

Worker threads of the listeners run the handlers here and the relays. The
state of the instance belongs to the core, an event loop in a thread of
its own; handlers and relays send it messages by ``core.request``.
"""

import threading

import loguru

from dandelionwinch import completion_relay
from dandelionwinch import daemon
from dandelionwinch.daemon import messages
from dandelionwinch import errors
from dandelionwinch import listeners
from dandelionwinch import service_relay

OPERATOR_THREADS = 8
DEFAULT_TEAM = 'default'
_SERVICE_PREFIX = '/v1/services/'
_COMPLETION_PATHS = ('/v1/completions', '/v1/chat/completions')
_HEALTH_PATHS = ('/healthz', '/readyz', '/metrics')

logger = loguru.logger


class Entry:
    """One instance of the entry daemon: its core, relays and listeners.

    Args:
        cfg: EntrySettings.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._core = daemon.Core(cfg)
        self._completion_relay = completion_relay.CompletionRelay(self._core)
        self._service_relay = service_relay.ServiceRelay(self._core)
        self._client_listener = listeners.Listener(
            cfg.instance.client_address,
            self._serve_client,
            cfg.relay.threads,
            cfg,
        )
        self._operator_listener = listeners.Listener(
            cfg.instance.operator_address,
            self._serve_operator,
            OPERATOR_THREADS,
            cfg,
        )
        self._stopped = threading.Event()

    @property
    def core(self):
        """The Core, for programs that embed the instance."""
        return self._core

    def start(self):
        """Starts the core, then the listeners; the client listener last.

        No client is served before the core runs and operators can connect.
        """
        self._core.start()
        self._operator_listener.start()
        self._client_listener.start()
        logger.info('serving clients on {}', self._cfg.instance.client_address)

    def stop(self):
        """Drains the instance and closes it; only the first call has effect.

        Running jobs are completed if they end within
        ``timing.drain_limit_s``.
        """
        if self._stopped.is_set():
            return
        self._stopped.set()
        self._core.leave()
        self._core.drain()
        self.close()

    def close(self):
        """Closes the listeners and the core without draining."""
        self._client_listener.close()
        self._operator_listener.close()
        self._service_relay.close()
        self._core.close()
        logger.info('stopped')

    def _serve_client(self, request):
        if request.path in _HEALTH_PATHS:
            return self._health(request)
        listeners.check_token(request, self._cfg.security.client_token)
        team = request.header('x-team', DEFAULT_TEAM)
        match (request.method, request.path):
            case ('GET', '/v1/address'):
                return self._address(request, team)
            case ('GET', '/v1/models'):
                return self._list_models()
            case ('POST', path) if path in _COMPLETION_PATHS:
                return self._completion_relay.serve(request, team)
            case (_, path) if path.startswith(_SERVICE_PREFIX):
                name, _, rest = path.removeprefix(_SERVICE_PREFIX).partition(
                    '/'
                )
                return self._service_relay.serve(
                    request, name, f'/{rest}', team
                )
        raise errors.NotFound(
            f'path "{request.path}" does not exist for {request.method}'
        )

    def _health(self, request):
        match request.path:
            case '/metrics':
                return listeners.Response(
                    body=self._core.metrics.exposition(),
                    content_type='text/plain; version=0.0.4',
                )
            case '/readyz':
                reason = self._core.request(messages.CheckReadiness())
                status = 503 if reason else 200
                value = {'ready': not reason, 'reason': reason}
                return listeners.json_response(value, status)
        return listeners.json_response({'alive': True})

    def _address(self, request, team):
        data_centre = request.query.get('data_centre', self._core.data_centre)
        team = request.query.get('team', team)
        found = self._core.request(messages.FindAddress(data_centre, team))
        return listeners.json_response(
            {
                'address': found.address,
                'instance': found.instance,
                'fallback': found.fallback,
                'valid_s': found.valid_s,
            },
            headers={'Cache-Control': f'max-age={int(found.valid_s)}'},
        )

    def _list_models(self):
        models = [
            {'id': model.name, 'object': 'model'}
            for model in self._core.catalog.all('model')
        ]
        return listeners.json_response({'object': 'list', 'data': models})

    def _serve_operator(self, request):
        if request.path in _HEALTH_PATHS:
            return self._health(request)
        listeners.check_token(request, self._cfg.security.operator_token)
        if (request.method, request.path) != ('POST', '/v1/ask'):
            raise errors.NotFound(
                f'path "{request.path}" does not exist for {request.method}'
            )
        try:
            text = request.body.decode('utf-8')
        except UnicodeDecodeError as exc:
            raise errors.BadRequest('statement is not UTF-8') from exc
        return listeners.json_response(
            self._core.request(messages.RunStatement(text))
        )
