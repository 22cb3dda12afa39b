"""The client of the duty API tells what became of each call."""

import asyncio
import contextlib
import json

import attrs
import pytest

from dandelionwinch import control
from dandelionwinch.gateway import _connection
from dandelionwinch.platform import _call_rate
from dandelionwinch.platform import _duty_api
from dandelionwinch.standins import duty_api
from dandelionwinch.standins import duty_ledger

SETTINGS = control.DutySettings(
    'none', frozenset(control.Duty), calls_per_s=50.0
)
REPORT = control.UsageReport(7, {'team-1': 3})
ORDER = control.CapacityOrder('s', 'a', 4, reclaimable=True)
UNUSED_ADDRESS = '127.0.0.1:1'
# A call is sent well within this time, also on a busy machine.
SILENCE_S = 2.0


@pytest.fixture
def api():
    server = duty_api.DutyApi()
    server.start()
    yield server
    server.close()


def run(address, scenario):
    """Runs a scenario with a client."""

    async def with_client():
        loop = asyncio.get_running_loop()
        settings = attrs.evolve(SETTINGS, address=address)
        client = _duty_api.DutyApi(loop, settings)
        with contextlib.closing(client):
            return await scenario(client)

    return asyncio.run(with_client())


def report(address, may_act=lambda: True):
    """Returns the result of one report."""
    return run(
        address,
        lambda client: client.report_usage('n1', 9, REPORT, may_act),
    )


def test_calls_carry_the_holder_its_token_and_the_body(api):
    async def scenario(client):
        first = await client.report_usage('n1', 9, REPORT, lambda: True)
        second = await client.order_capacity('n1', 9, ORDER, lambda: True)
        return first, second

    results = run(api.address, scenario)
    assert results == (control.Accepted(), control.Accepted())
    assert [(c.path, c.holder, c.token, c.body) for c in api.calls] == [
        ('/usage', 'n1', 9, {'window': 7, 'counts': {'team-1': 3}}),
        (
            '/scale',
            'n1',
            9,
            {'service': 's', 'zone': 'a', 'desiredCount': 4, 'spot': True},
        ),
    ]
    assert api.findings == [] and api.ledger.violations == []


@pytest.mark.parametrize(
    ('mode', 'result'),
    [
        (duty_api.Mode.REFUSING, control.Refused()),
        (duty_api.Mode.THROTTLED, control.Throttled()),
        (duty_api.Mode.BUSY, control.Unanswered('status 503')),
    ],
)
def test_a_status_has_its_result(api, mode, result):
    api.mode = mode
    assert report(api.address) == result


@pytest.mark.parametrize('mode', [duty_api.Mode.RESET, duty_api.Mode.SILENT])
def test_a_call_without_an_answer_may_have_been_accepted(
    api, mode, monkeypatch
):
    monkeypatch.setattr(_duty_api, 'CALL_TIMEOUT_S', SILENCE_S)
    api.mode = mode
    assert isinstance(report(api.address), control.Unanswered)
    assert len(api.accepted('/usage')) == 1


def test_without_a_connection_nothing_was_sent():
    assert isinstance(report(UNUSED_ADDRESS), control.NotSent)


def test_nothing_is_sent_once_the_lease_is_uncertain(api):
    """The check comes after the waits for a turn and a connection."""
    result = report(api.address, lambda: False)
    assert result == control.NotSent('the lease is not certain')
    assert api.calls == []


def test_nothing_is_awaited_between_the_check_and_the_send(api, monkeypatch):
    """Another task in between could make the check outdated."""
    steps = []
    send = _connection.Connection.send

    def recorded_send(conn, data):
        steps.append('send')
        send(conn, data)

    monkeypatch.setattr(_connection.Connection, 'send', recorded_send)

    async def scenario(client):
        def may_act():
            steps.append('check')
            asyncio.get_running_loop().call_soon(steps.append, 'other task')
            return True

        return await client.report_usage('n1', 9, REPORT, may_act)

    assert run(api.address, scenario) == control.Accepted()
    assert steps == ['check', 'send', 'other task']


def test_a_slow_duty_leaves_a_connection_to_the_other(api, monkeypatch):
    """The first order holds its connection until the other calls ended."""
    monkeypatch.setattr(_duty_api, 'CALL_TIMEOUT_S', 60.0)
    api.mode = duty_api.Mode.SILENT

    async def scenario(client):
        order = asyncio.create_task(
            client.order_capacity('n1', 9, ORDER, lambda: True)
        )
        # It has begun, and set its time, before the time is changed.
        await asyncio.sleep(0)
        monkeypatch.setattr(_duty_api, 'CALL_TIMEOUT_S', SILENCE_S)
        usage, more = await asyncio.gather(
            client.report_usage('n1', 9, REPORT, lambda: True),
            client.order_capacity('n1', 9, ORDER, lambda: True),
        )
        assert not order.done()
        order.cancel()
        return usage, more

    usage, more = run(api.address, scenario)
    assert isinstance(usage, control.Unanswered)
    assert isinstance(more, control.NotSent)
    assert len(api.calls) == 2


def test_calls_keep_to_their_part_of_the_rate():
    rate = _call_rate.CallRate(10.0, 0.0)
    now, taken = 0.0, 0
    while now < 10.0:
        wait_s = rate.take(now)
        taken += not wait_s
        now += wait_s
    assert 100 <= taken <= 111


def test_a_throttled_client_pauses_for_a_bounded_time():
    rate = _call_rate.CallRate(10.0, 0.0)
    rate.throttled(0.0, 60.0)
    assert rate.take(0.0) == _call_rate.MAX_PAUSE_S
    rate.throttled(5.0, 0.0)
    assert rate.take(5.0) == pytest.approx(0.1)


def test_the_stand_in_refuses_calls_above_the_rate():
    server = duty_api.DutyApi(calls_per_s=3.0)
    with contextlib.closing(server):
        server.start()

        async def scenario(client):
            return [
                await client.report_usage('n1', 9, REPORT, lambda: True)
                for _call in range(4)
            ]

        *_others, last = run(server.address, scenario)
    assert last == control.Throttled()


def test_the_stand_in_finds_two_reports_of_one_window(api):
    async def scenario(client):
        await client.report_usage('n1', 9, REPORT, lambda: True)
        other = control.UsageReport(7, {'team-1': 4})
        await client.report_usage('n1', 9, other, lambda: True)

    run(api.address, scenario)
    assert api.findings == ['window 7 has two reports']


def _ledger(calls, handover_s=0.0):
    ledger = duty_ledger.DutyLedger(3.0, handover_s)
    for at, subject, holder, token in calls:
        ledger.record(duty_ledger.Call(at, subject, holder, token))
    return ledger


@pytest.mark.parametrize(
    'calls',
    [
        [(0.0, 's', 'a', 2), (1.0, 's', 'b', 1)],
        [(0.0, 's', 'a', 1), (1.0, 's', 'b', 1)],
        [(0.0, 's', 'a', 1), (1.0, 's', 'b', 2), (2.9, 's', 'a', 3)],
    ],
)
def test_the_ledger_finds_each_broken_rule(calls):
    assert len(_ledger(calls).violations) == 1


def test_the_ledger_accepts_turns_of_holders():
    calls = [
        (0.0, 's', 'a', 1),
        (0.5, 's', 'b', 2),
        (0.5, 't', 'a', 1),
        (3.1, 's', 'a', 3),
    ]
    assert _ledger(calls).violations == []
    assert len(_ledger(calls, 1.0).violations) == 1


def test_a_call_without_a_token_is_a_finding(api):
    async def scenario(_client):
        host, _, port = api.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps({'window': 1, 'counts': {}})
        writer.write(
            'POST /usage HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
        )
        reply = await reader.read()
        writer.close()
        return reply

    assert b' 400 ' in run(api.address, scenario)
    assert len(api.findings) == 1
