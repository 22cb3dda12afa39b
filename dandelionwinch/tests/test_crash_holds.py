"""Operators see and lift holds of prompt subjects at a running instance."""

import asyncio
import json

import click.testing
import pytest

from dandelionwinch import quarantine
from dandelionwinch.tests import instance_harness
from dandelionwinch.tools import cli

CRASHES = 3


def _hold(running, subject):
    """Makes an instance hold a subject, by the crashes of its peers."""
    guard = running.process.instance._gateway.crash_guard
    now = asyncio.get_running_loop().time()
    guard.take_hold(quarantine.Hold(subject, now, now, CRASHES), 'edge-b-1')


def _address(running):
    port = running.process.instance.ports()['metrics']
    return f'127.0.0.1:{port}'


async def _invoke(*args):
    runner = click.testing.CliRunner()
    return await asyncio.to_thread(runner.invoke, cli.main, ['holds', *args])


async def _delete(running, target):
    head = f'DELETE {target} HTTP/1.1\r\nHost: a\r\nConnection: close'
    return await running.exchange('metrics', f'{head}\r\n\r\n'.encode())


def test_holds_are_listed_and_lifted_once(kv, tmp_path):
    async def scenario(running):
        assert await running.get('metrics', '/-/holds') == (
            200,
            b'{"holds": []}',
        )
        _hold(running, 'bad/1')
        status, body = await running.get('metrics', '/-/holds')
        lifted = await _delete(running, '/-/holds/bad%2F1')
        again = await _delete(running, '/-/holds/bad%2F1')
        _status, after = await running.get('metrics', '/-/holds')
        released = [
            fields
            for name, fields in running.log.events
            if name == 'subject.released'
        ]
        return status, json.loads(body), lifted[0], again[0], after, released

    status, body, lifted, again, after, released = instance_harness.run(
        scenario, kv, tmp_path
    )
    assert status == 200
    (row,) = body['holds']
    assert set(row) == {'subject', 'held_s', 'ends_in_s', 'crashes', 'refused'}
    assert (row['subject'], row['crashes'], row['refused']) == ('bad/1', 3, 0)
    assert row['ends_in_s'] > 0
    assert (lifted, again) == (200, 404)
    assert json.loads(after) == {'holds': []}
    assert released == [{'subject': 'bad/1', 'why': 'lifted'}]


@pytest.mark.parametrize('target', ['/metrics', '/', '/-/holds/bad', '/x'])
def test_other_paths_of_the_metrics_server_give_the_metrics(
    kv, tmp_path, target
):
    async def scenario(running):
        _hold(running, 'bad')
        return await running.get('metrics', target)

    status, body = instance_harness.run(scenario, kv, tmp_path)
    assert status == 200
    assert b'dandelionwinch_gateway_holds 1.0' in body


def test_the_command_shows_and_lifts_holds(kv, tmp_path):
    async def scenario(running):
        address = _address(running)
        _hold(running, 'bad')
        shown = await _invoke(address)
        lifted = await _invoke(address, '--lift', 'bad')
        again = await _invoke(address, '--lift', 'bad')
        return shown, lifted, again, await _invoke(address)

    shown, lifted, again, after = instance_harness.run(scenario, kv, tmp_path)
    assert shown.exit_code == 0
    (line,) = shown.output.splitlines()
    assert line.startswith('bad held_s=')
    assert line.endswith('crashes=3 refused=0')
    assert (lifted.exit_code, again.exit_code) == (0, 1)
    assert 'subject "bad" is not held' in again.output
    assert (after.exit_code, after.output) == (0, '')


def test_the_command_reports_an_address_that_gives_no_holds(kv, tmp_path):
    async def scenario(running):
        port = running.process.instance.ports()['directory']
        return await _invoke(f'127.0.0.1:{port}'), await _invoke('127.0.0.1:1')

    no_list, no_answer = instance_harness.run(scenario, kv, tmp_path)
    assert (no_list.exit_code, no_answer.exit_code) == (2, 2)
    assert 'gave no list of holds' in no_list.output
    assert 'gave no answer' in no_answer.output
