"""The platform's list of instances, by Kubernetes' EndpointSlices."""

import attrs
from urllib3 import exceptions

from dandelionwinch.adapters import connection_pools

_PATH = '/apis/discovery.k8s.io/v1/namespaces/{}/endpointslices'
_CLIENT_PORT = 'client'
_PEER_PORT = 'peer'
_OPERATOR_PORT = 'operator'


@attrs.frozen
class ListedInstance:
    """One line of the platform's list.

    Attributes:
        ready: Whether it may get new work.
        leaving: Whether the platform is about to take it away.
    """

    name: str
    data_centre: str
    client_address: str
    peer_address: str
    operator_address: str
    ready: bool
    leaving: bool


class EndpointSliceList:
    """Reads the list; an instance that is gone has no line."""

    __slots__ = ('_cfg', '_pools', 'calls')

    def __init__(self, cfg, idle_s):
        self._cfg = cfg
        self._pools = connection_pools.ConnectionPools(idle_s)
        self.calls = 0

    def fetch(self):
        """Reads the whole list.

        Returns:
            A tuple of ListedInstance, or None if it was not reached.
        """
        self.calls += 1
        path = _PATH.format(self._cfg.namespace)
        try:
            reply = self._pools.pool_for(self._cfg.address).request(
                'GET', path, timeout=self._cfg.timeout_s
            )
            if reply.status != 200:
                return None
            slices = reply.json()['items']
            return tuple(_read(part) for part in slices)
        except (exceptions.HTTPError, ValueError, LookupError, TypeError):
            self._pools.discard(self._cfg.address)
            return None

    def close(self):
        """Closes all connections."""
        self._pools.close()


def _read(part):
    endpoint = part['endpoints'][0]
    host = endpoint['addresses'][0]
    ports = {port['name']: port['port'] for port in part['ports']}
    conditions = endpoint.get('conditions', {})
    return ListedInstance(
        name=part['metadata']['name'],
        data_centre=endpoint.get('zone', ''),
        client_address=f'{host}:{ports[_CLIENT_PORT]}',
        peer_address=f'{host}:{ports[_PEER_PORT]}',
        operator_address=f'{host}:{ports[_OPERATOR_PORT]}',
        ready=bool(conditions.get('ready', True)),
        leaving=bool(conditions.get('terminating', False)),
    )
