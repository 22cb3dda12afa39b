"""End-to-end tests of one instance between a client and its upstreams."""

import json
import socket
import threading
import time

import pytest

from dandelionwinch.standins import engine
from dandelionwinch.tests import entry_harness


def _expected_text(prompt, tokens):
    messages = [{'role': 'user', 'content': prompt}]
    seed = json.dumps(messages, sort_keys=True)
    return engine.answer_of(seed, 0, tokens)


def _error(reply):
    return reply.json()['error']


def test_streamed_chat_arrives_whole(harness):
    reply = harness.chat(tokens=30, stream=True, prompt='snow on the ridge')
    text = entry_harness.text_of_stream(reply.data)
    assert text == _expected_text('snow on the ridge', 30)
    assert reply.headers['X-Request-Id']


def test_whole_chat_and_usage(harness):
    answer = harness.chat(tokens=12, prompt='boots').json()
    content = answer['choices'][0]['message']['content']
    assert content == _expected_text('boots', 12)
    assert answer['usage']['completion_tokens'] == 12


def test_text_completion(harness):
    body = {'model': entry_harness.MODEL, 'prompt': 'trail', 'max_tokens': 5}
    answer = harness.send('POST', '/v1/completions', body).json()
    expected = engine.answer_of('trail', 1, 6)
    assert answer['choices'][0]['text'] == expected


def test_several_choices_are_passed_on_as_they_are(harness):
    body = {
        'model': entry_harness.MODEL,
        'prompt': 'trail',
        'max_tokens': 5,
        'n': 2,
    }
    reply = harness.send('POST', '/v1/completions', body)
    assert reply.status == 200
    assert reply.json()['usage']['completion_tokens'] == 5


def _busy_upstream(harness):
    busy = []

    def found():
        for server in harness.upstreams:
            if server.engine.running(time.monotonic()):
                busy.append(server)
        return bool(busy)

    entry_harness.wait_until(found, 'an upstream runs a job')
    return busy[0]


@pytest.mark.parametrize('stream', [True, False])
def test_answer_is_whole_although_its_upstream_crashes(harness, stream):
    replies = []
    prompt = f'crash {stream}'
    thread = threading.Thread(
        target=lambda: replies.append(harness.chat(120, stream, prompt))
    )
    thread.start()
    _busy_upstream(harness).engine.crash()
    thread.join()
    if stream:
        text = entry_harness.text_of_stream(replies[0].data)
    else:
        text = replies[0].json()['choices'][0]['message']['content']
    assert text == _expected_text(prompt, 120)


def test_silent_stream_is_resumed_on_another_connection(harness):
    for server in harness.upstreams:
        server.streams_to_stall = 1
    reply = harness.chat(tokens=20, stream=True, prompt='silence')
    text = entry_harness.text_of_stream(reply.data)
    assert text == _expected_text('silence', 20)


def test_charge_runs_once_and_is_replayed(harness):
    first = harness.charge('replayed')
    second = harness.charge('replayed')
    assert first.json() == second.json()
    assert second.headers['Idempotent-Replay'] == 'true'
    runs = [e for e in harness.journal.executions if e.key == 'replayed']
    assert len(runs) == 1


def test_same_key_with_another_request_is_refused(harness):
    harness.charge('reused', body=b'{"amount": 1}')
    reply = harness.charge('reused', body=b'{"amount": 2}')
    assert (reply.status, _error(reply)['code']) == (422, 'key_reused')


def test_charge_without_key_is_refused(harness):
    reply = harness.send('POST', '/v1/services/deposits/charge', b'{}')
    assert _error(reply)['code'] == 'key_missing'
    assert _error(reply)['truth'] == 'not run'


def test_charge_while_store_is_down_is_not_run(harness):
    harness.store.down = True
    reply = harness.charge('store-down')
    error = _error(reply)
    assert (reply.status, error['truth']) == (503, 'not run')
    assert error['retry_after_s'] > 0
    assert not [e for e in harness.journal.executions if e.key == 'store-down']


def test_back_end_that_dedupes_is_called_while_store_is_down(harness):
    harness.store.down = True
    assert harness.charge('careful-1', 'careful').status == 200


def test_lost_answer_of_the_store_neither_doubles_nor_loses(harness):
    harness.store.replies_to_drop = 1
    assert harness.charge('lost-store-answer').status == 200
    keys = [e.key for e in harness.journal.executions]
    assert keys.count('lost-store-answer') == 1


def test_lost_answer_of_a_service_that_tells_outcomes(harness):
    harness.service.replies_to_drop = 1
    assert harness.charge('lost-answer').status == 200
    keys = [e.key for e in harness.journal.executions]
    assert keys.count('lost-answer') == 1


def test_lost_answer_of_a_service_that_cannot_tell(harness):
    harness.service.replies_to_drop = 1
    reply = harness.charge('blind-1', 'blind')
    assert _error(reply)['truth'] == 'unknown'
    again = harness.charge('blind-1', 'blind')
    assert _error(again)['code'] == 'key_unresolved'
    keys = [e.key for e in harness.journal.executions]
    assert keys.count('blind-1') == 1


def test_lookup_is_retried(harness):
    harness.service.replies_to_drop = 1
    reply = harness.send('POST', '/v1/services/lookups/trail', b'{}')
    assert reply.status == 200


def test_address_answer(harness):
    answer = harness.send('GET', '/v1/address?data_centre=Nanyuki').json()
    assert answer['address'] == harness.cfg.instance.client_address
    assert answer['valid_s'] > 0


def test_delivered_jobs_are_earned_once(harness):
    before = harness.ask('show earnings')['rows']
    assert harness.chat(tokens=7, prompt='earned').status == 200
    tokens = {row['team']: row['tokens'] for row in before}.get('default', 0)
    entry_harness.wait_until(
        lambda: (
            harness.ask('show earnings')['rows'][0]['tokens'] >= tokens + 7
        ),
        'the job is counted in the earnings',
    )


BAD_REQUESTS = [
    (b'{', 400, 'bad_request'),
    (b'[]', 400, 'bad_request'),
    (b'{"model": 3}', 400, 'bad_request'),
    (b'{"model": "counter-lm"}', 400, 'bad_request'),
    (b'{"model": "counter-lm", "messages": [1]}', 400, 'bad_request'),
    (
        b'{"model": "x", "messages": [{"role": "user", "content": "a"}]}',
        404,
        'not_found',
    ),
    (
        b'{"model": "counter-lm", "max_tokens": -1, '
        b'"messages": [{"role": "user", "content": "a"}]}',
        400,
        'bad_request',
    ),
    (b'x' * (1024 * 1024 + 1), 413, 'too_large'),
    (b'\xff\xfe', 400, 'bad_request'),
]


@pytest.mark.parametrize(('body', 'status', 'code'), BAD_REQUESTS)
def test_bad_request_gets_a_clear_error(harness, body, status, code):
    reply = harness.send('POST', '/v1/chat/completions', body)
    error = _error(reply)
    assert (reply.status, error['code']) == (status, code)
    assert error['truth'] == 'not run'
    assert error['request_id'] == reply.headers['X-Request-Id']
    assert 'Traceback' not in reply.data.decode()


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/nothing'),
        ('POST', '/v1/services/nothing/x'),
        ('GET', '/v1/completions'),
    ],
)
def test_unknown_path_or_service(harness, method, path):
    reply = harness.send(method, path)
    assert (reply.status, _error(reply)['code']) == (404, 'not_found')


def test_half_sent_body_loses_nothing(harness):
    host, _, port = harness.cfg.instance.client_address.rpartition(':')
    with socket.create_connection((host, int(port))) as conn:
        conn.sendall(
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 100\r\n\r\n{"model"'
        )
        conn.shutdown(socket.SHUT_WR)
        answer = conn.recv(4096)
    assert b'400' in answer.split(b'\r\n')[0]
    assert harness.chat(tokens=3).status == 200


def test_health_and_metrics(harness):
    assert harness.send('GET', '/healthz').status == 200
    assert harness.send('GET', '/readyz').json()['ready'] is True
    text = harness.send('GET', '/metrics').data.decode()
    assert 'dandelionwinch_settings_revision 1.0' in text


def test_client_who_leaves_cancels_the_work(harness):
    host, _, port = harness.cfg.instance.client_address.rpartition(':')
    body = json.dumps(
        {
            'model': entry_harness.MODEL,
            'prompt': 'leaver',
            'max_tokens': 3000,
            'stream': True,
        }
    ).encode()
    with socket.create_connection((host, int(port))) as conn:
        head = f'Content-Length: {len(body)}\r\n\r\n'.encode()
        conn.sendall(
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n' + head + body
        )
        conn.recv(100)
    entry_harness.wait_until(
        lambda: (
            not any(
                s.engine.running(time.monotonic()) for s in harness.upstreams
            )
        ),
        'the upstream cancels the job',
    )
    entry_harness.wait_until(
        lambda: harness.ask("show jobs where code = 'client_left'")['rows'],
        'the job is recorded as abandoned',
    )
