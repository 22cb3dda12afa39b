"""Client of the platform's list of instances: Kubernetes EndpointSlices."""

import attrs
from urllib3 import exceptions

from dandelionwinch.adapters import connection_pools
from dandelionwinch import errors

_PATH = '/apis/discovery.k8s.io/v1/namespaces/{}/endpointslices'
_CLIENT_PORT_NAME = 'client'
_PEER_PORT_NAME = 'peer'
_OPERATOR_PORT_NAME = 'operator'


@attrs.frozen
class ListedInstance:
    """One instance of the platform's list.

    Attributes:
        ready: Whether the instance may receive new work.
        leaving: Whether the platform is terminating the instance.
    """

    name: str
    data_centre: str
    client_address: str
    peer_address: str
    operator_address: str
    ready: bool
    leaving: bool


class EndpointSliceList:
    """Client of the list; instances that ended are not listed.

    Attributes:
        calls: Number of requests.
    """

    __slots__ = ('_cfg', '_pools', 'calls')

    def __init__(self, cfg, idle_s):
        self._cfg = cfg
        self._pools = connection_pools.ConnectionPools(idle_s)
        self.calls = 0

    def fetch(self):
        """Fetches the list.

        Returns:
            A tuple of ListedInstance, or None if the platform did not
            respond or the response is invalid.
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
            return tuple(_parse_slice(item) for item in slices)
        except (exceptions.HTTPError, *errors.SHAPE_ERRORS):
            self._pools.discard(self._cfg.address)
            return None

    def close(self):
        """Closes all connections."""
        self._pools.close()


def _parse_slice(item):
    endpoint = item['endpoints'][0]
    host = endpoint['addresses'][0]
    ports = {port['name']: port['port'] for port in item['ports']}
    conditions = endpoint.get('conditions', {})
    return ListedInstance(
        name=item['metadata']['name'],
        data_centre=endpoint.get('zone', ''),
        client_address=f'{host}:{ports[_CLIENT_PORT_NAME]}',
        peer_address=f'{host}:{ports[_PEER_PORT_NAME]}',
        operator_address=f'{host}:{ports[_OPERATOR_PORT_NAME]}',
        ready=bool(conditions.get('ready', True)),
        leaving=bool(conditions.get('terminating', False)),
    )
