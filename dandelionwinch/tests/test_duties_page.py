"""Operators see the holder and its duties at a running instance."""

import json

import attrs
import click.testing

from dandelionwinch.platform import _duties_page
from dandelionwinch.tests import duty_node
from dandelionwinch.tests import instance_harness
from dandelionwinch.tools import cli
from dandelionwinch.tools import duties


def _status():
    row = {
        'duty': 'usage',
        'in_flight': 1,
        'result': 'Unanswered',
        'reason': 'status 503',
        'token': 9,
        'age_s': 0.5,
    }
    return duties.Duties(
        'n1', 'n2', 9, False, False, ['n3'], 0.1, [duties.Duty(**row)]
    )


def test_the_lines_tell_the_holder_and_the_last_results():
    assert duties.format_lines(_status()) == [
        'holder=n2 token=9 next=n3',
        'instance=n1 state=follows view_age_s=0.1',
        'usage result=Unanswered token=9 age_s=0.5 in_flight=1 '
        'reason=status 503',
    ]
    acting = attrs.evolve(_status(), holds=True, may_act=True)
    assert 'state=holds, acts' in duties.format_lines(acting)[1]


def test_a_running_instance_shows_its_duties(kv, tmp_path):
    async def scenario(running):
        return (
            await running.get('metrics', _duties_page.PAGE.path),
            await running.get('metrics', '/metrics'),
            await running.invoke('duties'),
        )

    page, metrics, command = instance_harness.run(
        scenario, kv, tmp_path, duty_settings=duty_node.DUTIES
    )
    status, body = page
    shown = json.loads(body)
    assert status == 200
    assert shown['instance'] == 'edge-a-1' and not shown['may_act']
    assert [row['duty'] for row in shown['duties']] == ['capacity', 'usage']
    assert b'dandelionwinch_duty_calls' in metrics[1]
    assert command.exit_code == 0
    assert command.output.startswith('holder=none token=0')


def test_without_duties_there_is_no_page(kv, tmp_path):
    async def scenario(running):
        page = await running.get('metrics', _duties_page.PAGE.path)
        return page, await running.invoke('duties')

    page, command = instance_harness.run(scenario, kv, tmp_path)
    assert page[0] == 404
    assert command.exit_code == 1


def test_a_server_that_does_not_answer_is_an_error():
    runner = click.testing.CliRunner()
    result = runner.invoke(cli.main, ['duties', '127.0.0.1:1'])
    assert result.exit_code != 0
    assert 'gave no answer' in result.output
