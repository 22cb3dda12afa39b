"""A stand-in of the platform's list of instances."""

import threading

from dandelionwinch.standins import http_server


class LiveListServer(http_server.HttpStandIn):
    """Serves the EndpointSlices that tests and demos add."""

    __slots__ = ('_lock', '_slices')

    def __init__(self, listen='127.0.0.1:0'):
        self._slices = {}
        self._lock = threading.Lock()
        super().__init__(listen)

    def add(self, cfg, leaving=False):
        """Adds an instance, or replaces it.

        Args:
            cfg: InstanceSettings.
            leaving: Whether the platform is terminating the instance.
        """
        host, _, client_port = cfg.client_address.rpartition(':')
        ports = {
            'client': client_port,
            'peer': cfg.peer_address.rpartition(':')[2],
            'operator': cfg.operator_address.rpartition(':')[2],
        }
        endpoint_slice = {
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
            self._slices[cfg.name] = endpoint_slice

    def remove(self, name):
        """Removes an instance from the list."""
        with self._lock:
            self._slices.pop(name, None)

    def _handle(self, _req):
        with self._lock:
            items = list(self._slices.values())
        return http_server.Reply(
            body={'kind': 'EndpointSliceList', 'items': items}
        )
