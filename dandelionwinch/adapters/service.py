"""Plain services over HTTP, with outcomes by idempotency key."""

import json

import attrs
import urllib3
from urllib3 import exceptions

from dandelionwinch.adapters import connection_pools

_OUTCOME_TIMEOUT_S = 2.0
_NEVER_SENT = (
    exceptions.NewConnectionError,
    exceptions.ConnectTimeoutError,
)


@attrs.frozen
class ServiceCall:
    """One call of a plain service."""

    method: str
    path: str
    body: bytes
    content_type: str
    key: str
    request_id: str


@attrs.frozen
class Answered:
    """Reply: the service answered."""

    status: int
    body: bytes
    content_type: str


@attrs.frozen
class NotSent:
    """Reply: the service was not reached, so the call did not run."""


@attrs.frozen
class NoAnswer:
    """Reply: the call was sent and may have run."""


@attrs.frozen
class Ran:
    """Reply: a call with this key ran, with this answer."""

    body: bytes


@attrs.frozen
class NeverSeen:
    """Reply: no call with this key has arrived so far."""


@attrs.frozen
class CannotSay:
    """Reply: the service does not know or was not reached."""


class ServiceAdapter:
    """Speaks to plain services; every failure is a reply."""

    __slots__ = ('_connect_s', '_pools')

    def __init__(self, connect_s, idle_s):
        self._connect_s = connect_s
        self._pools = connection_pools.ConnectionPools(idle_s)

    def call(self, address, call, timeout_s):
        """Sends a call once.

        Returns:
            Answered, NotSent or NoAnswer.
        """
        headers = {
            'Content-Type': call.content_type,
            'X-Request-Id': call.request_id,
        }
        if call.key:
            headers['Idempotency-Key'] = call.key
        timeout = urllib3.Timeout(connect=self._connect_s, read=timeout_s)
        try:
            reply = self._pools.pool_for(address).request(
                call.method,
                call.path,
                body=call.body,
                headers=headers,
                timeout=timeout,
                redirect=False,
            )
        except _NEVER_SENT:
            self._pools.discard(address)
            return NotSent()
        except exceptions.HTTPError:
            self._pools.discard(address)
            return NoAnswer()
        content_type = reply.headers.get('Content-Type', '')
        return Answered(reply.status, reply.data, content_type)

    def fetch_outcome(self, address, key):
        """Asks what became of a key: Ran, NeverSeen or CannotSay."""
        try:
            reply = self._pools.pool_for(address).request(
                'GET', f'/outcomes/{key}', timeout=_OUTCOME_TIMEOUT_S
            )
            if reply.status != 200:
                return CannotSay()
            return _outcome_of(reply.json())
        except (exceptions.HTTPError, ValueError, AttributeError):
            self._pools.discard(address)
            return CannotSay()

    def close(self):
        """Closes all idle connections."""
        self._pools.close()


def _outcome_of(body):
    match body.get('state'):
        case 'done':
            return Ran(json.dumps(body.get('answer')).encode())
        case 'never seen':
            return NeverSeen()
    return CannotSay()
