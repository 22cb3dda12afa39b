"""Tokens for each role, separate interfaces and TLS."""

import pytest
import trustme

from dandelionwinch import settings
from dandelionwinch.tests import entry_harness


@pytest.fixture(scope='module')
def secured(tmp_path_factory):
    folder = tmp_path_factory.mktemp('secured')
    authority = trustme.CA()
    issued = authority.issue_cert('127.0.0.1')
    authority.cert_pem.write_to_path(folder / 'ca.pem')
    issued.private_key_pem.write_to_path(folder / 'key.pem')
    for pem in issued.cert_chain_pems:
        pem.write_to_path(folder / 'cert.pem', append=True)
    security = settings.SecuritySettings(
        client_token='for-clients',
        operator_token='for-operators',
        peer_token='for-peers',
        certificate_file=str(folder / 'cert.pem'),
        key_file=str(folder / 'key.pem'),
        authority_file=str(folder / 'ca.pem'),
    )
    harness = entry_harness.EntryHarness(security, roles=('mixed',))
    harness.start(folder)
    yield harness
    harness.close()


def _bearer(token):
    return {'Authorization': f'Bearer {token}'}


@pytest.mark.parametrize(
    ('operator', 'token', 'status'),
    [
        (False, 'for-clients', 200),
        (False, 'for-operators', 401),
        (False, '', 401),
        (True, 'for-operators', 200),
        (True, 'for-clients', 401),
        (True, 'for-peers', 401),
    ],
)
def test_each_interface_accepts_only_its_own_token(
    secured, operator, token, status
):
    method, path, body = 'GET', '/v1/models', None
    if operator:
        method, path, body = 'POST', '/v1/ask', b'show data_centres'
    reply = secured.send(method, path, body, _bearer(token), operator)
    assert reply.status == status
    if status == 401:
        assert reply.json()['error']['code'] == 'unauthorized'


def test_operators_interface_has_no_clients_paths(secured):
    headers = _bearer('for-operators')
    reply = secured.send('GET', '/v1/models', None, headers, True)
    assert reply.status == 404


def test_health_needs_no_token(secured):
    assert secured.send('GET', '/healthz').status == 200


def test_oversized_header_is_refused(secured):
    headers = {'X-Team': 'x' * 20000, **_bearer('for-clients')}
    reply = secured.send('GET', '/v1/models', None, headers)
    assert reply.status == 413


def test_no_event_contains_a_token(secured):
    reply = secured.send(
        'POST', '/v1/ask', b'show events', _bearer('for-operators'), True
    )
    assert b'for-clients' not in reply.data
    assert b'for-peers' not in reply.data
