"""The client of plain services at servers that close their connections."""

import contextlib
import json
import socket
import threading

import pytest

from dandelionwinch.adapters import service as service_adapter
from dandelionwinch.standins import service

TIMEOUT_S = 30.0
CALL = service_adapter.ServiceCall(
    'POST', '/charge', b'{}', 'application/json', 'k-1', 'r-1'
)
ANSWER = b'{"ok": true}'
OUTCOME = json.dumps({'state': 'done', 'answer': {'ok': True}}).encode()


def _response(status, body):
    head = f'HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def _read_request(conn):
    """Reads one request, whose body has at most the size of CALL's."""
    data = b''
    while b'\r\n\r\n' not in data:
        more = conn.recv(4096)
        if not more:
            return False
        data += more
    if data.startswith(b'POST') and not data.endswith(CALL.body):
        conn.recv(4096)
    return True


@contextlib.contextmanager
def _serve(*scripts):
    """Serves connections, each by the responses of its script.

    A connection closes without an answer when a request comes behind its
    script, as one does that a server closes at that moment.
    """
    listener = socket.create_server(('127.0.0.1', 0))
    listener.settimeout(TIMEOUT_S)

    def serve():
        for script in scripts:
            conn, _address = listener.accept()
            with conn:
                conn.settimeout(TIMEOUT_S)
                for response in script:
                    if not _read_request(conn):
                        break
                    conn.sendall(response)
                else:
                    _read_request(conn)

    thread = threading.Thread(target=serve)
    thread.start()
    adapter = service_adapter.ServiceAdapter(TIMEOUT_S, TIMEOUT_S)
    host, port = listener.getsockname()
    try:
        yield adapter, f'{host}:{port}'
    finally:
        adapter.close()
        thread.join()
        listener.close()


def test_an_outcome_is_asked_again_where_a_connection_was_closed():
    """The outcome of a call stayed unknown although its service knew it."""
    scripts = [_response(200, ANSWER)], [_response(200, OUTCOME)]
    with _serve(*scripts) as (adapter, address):
        assert adapter.call(address, CALL, TIMEOUT_S).status == 200
        outcome = adapter.fetch_outcome(address, 'k-1')
    assert outcome == service_adapter.Ran(ANSWER)


def test_an_outcome_is_asked_on_two_connections_at_most():
    with _serve([], []) as (adapter, address):
        outcome = adapter.fetch_outcome(address, 'k-1')
    assert outcome == service_adapter.CannotSay()


def test_a_connection_is_not_used_again_after_a_server_error():
    """Servers close it behind the error, while the next attempt is sent."""
    scripts = [_response(500, b'')], [_response(200, ANSWER)]
    with _serve(*scripts) as (adapter, address):
        assert adapter.call(address, CALL, TIMEOUT_S).status == 500
        assert adapter.call(address, CALL, TIMEOUT_S).status == 200


@pytest.mark.parametrize('path', ['/charge', '/load'])
def test_the_stand_in_closes_connections_without_a_response(path):
    """It sent status 500, so no test had ever lost an answer."""
    server = service.ServiceServer('plain', service.Journal())
    server.start()
    server.alive = False
    host, _, port = server.address.rpartition(':')
    with socket.create_connection((host, int(port)), TIMEOUT_S) as conn:
        conn.sendall(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
        assert conn.recv(4096) == b''
    server.close()
