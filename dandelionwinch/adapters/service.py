"""Client of plain HTTP services and of their outcomes by idempotency key."""

import json

import attrs
import urllib3
from urllib3 import exceptions

from dandelionwinch.adapters import connection_pools
from dandelionwinch import errors

_OUTCOME_TIMEOUT_S = 2.0
# The second one is for a connection that the service closed meanwhile.
_OUTCOME_ATTEMPTS = 2
_SERVER_ERROR = 500
_NOT_SENT_ERRORS = (
    exceptions.NewConnectionError,
    exceptions.ConnectTimeoutError,
)


@attrs.frozen
class ServiceCall:
    """A call of a plain service.

    Attributes:
        key: Idempotency key, or an empty string.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    key: str
    request_id: str


@attrs.frozen
class Answered:
    """Call result: the service responded."""

    status: int
    body: bytes
    content_type: str


@attrs.frozen
class NotSent:
    """Call result: no connection was made, so the call did not run."""


@attrs.frozen
class NoAnswer:
    """Call result: the call was sent and may have run."""


@attrs.frozen
class Ran:
    """Outcome: a call with the key ran.

    Attributes:
        body: The response body of that call, as JSON.
    """

    body: bytes


@attrs.frozen
class NeverSeen:
    """Outcome: the service has not received a call with the key."""


@attrs.frozen
class CannotSay:
    """Outcome: unknown to the service, or the service did not respond."""


class ServiceAdapter:
    """Client of plain services; a failure is returned as a result.

    Args:
        connect_timeout_s: Timeout of opening a connection in seconds.
        idle_s: Seconds after which idle connections are closed.
    """

    __slots__ = ('_connect_timeout_s', '_pools')

    def __init__(self, connect_timeout_s, idle_s):
        self._connect_timeout_s = connect_timeout_s
        self._pools = connection_pools.ConnectionPools(idle_s)

    def call(self, address, call, timeout_s):
        """Sends a call, without retries and redirects.

        Args:
            address: IP address and port of the service.
            call: A ServiceCall.
            timeout_s: Timeout of each read from the connection in seconds.

        Returns:
            Answered, NotSent or NoAnswer.
        """
        headers = {
            'Content-Type': call.content_type,
            'X-Request-Id': call.request_id,
        }
        if call.key:
            headers['Idempotency-Key'] = call.key
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s, read=timeout_s
        )
        try:
            reply = self._pools.pool_for(address).request(
                call.method,
                call.path,
                body=call.body,
                headers=headers,
                timeout=timeout,
                redirect=False,
            )
        except _NOT_SENT_ERRORS:
            self._pools.discard(address)
            return NotSent()
        except exceptions.HTTPError:
            self._pools.discard(address)
            return NoAnswer()
        if reply.status >= _SERVER_ERROR:
            # Many servers close the connection behind it without a word.
            self._pools.discard(address)
        content_type = reply.headers.get('Content-Type', '')
        return Answered(reply.status, reply.data, content_type)

    def fetch_outcome(self, address, key):
        """Fetches the outcome of the call with an idempotency key.

        Returns:
            Ran, NeverSeen or CannotSay.
        """
        for _attempt in range(_OUTCOME_ATTEMPTS):
            try:
                return self._ask_outcome(address, key)
            except exceptions.ProtocolError:
                self._pools.discard(address)
            except (exceptions.HTTPError, *errors.SHAPE_ERRORS):
                self._pools.discard(address)
                break
        return CannotSay()

    def _ask_outcome(self, address, key):
        reply = self._pools.pool_for(address).request(
            'GET', f'/outcomes/{key}', timeout=_OUTCOME_TIMEOUT_S
        )
        if reply.status != 200:
            return CannotSay()
        return _parse_outcome(reply.json())

    def close(self):
        """Closes all idle connections."""
        self._pools.close()


def _parse_outcome(body):
    match body.get('state'):
        case 'done':
            return Ran(json.dumps(body.get('answer')).encode())
        case 'never seen':
            return NeverSeen()
    return CannotSay()
