"""A stand-in of the platform's list of instances."""

import threading

from dandelionwinch.standins import http_server


class LiveListServer(http_server.HttpStandIn):
    """Serves EndpointSlices that a test or demo fills in."""

    __slots__ = ('_lines', '_lock')

    def __init__(self, listen='127.0.0.1:0'):
        self._lines = {}
        self._lock = threading.Lock()
        super().__init__(listen)

    def add(self, cfg, leaving=False):
        """Lists an instance by its settings."""
        host, _, client_port = cfg.client_address.rpartition(':')
        ports = {
            'client': client_port,
            'peer': cfg.peer_address.rpartition(':')[2],
            'operator': cfg.operator_address.rpartition(':')[2],
        }
        line = {
            'metadata': {'name': cfg.name},
            'endpoints': [
                {
                    'addresses': [host],
                    'zone': cfg.data_centre,
                    'conditions': {
                        'ready': not leaving,
                        'serving': True,
                        'terminating': leaving,
                    },
                }
            ],
            'ports': [
                {'name': name, 'port': int(port)}
                for name, port in ports.items()
            ],
        }
        with self._lock:
            self._lines[cfg.name] = line

    def remove(self, name):
        """Takes an instance off the list."""
        with self._lock:
            self._lines.pop(name, None)

    def _handle(self, _req):
        with self._lock:
            items = list(self._lines.values())
        return http_server.Reply(
            body={'kind': 'EndpointSliceList', 'items': items}
        )
