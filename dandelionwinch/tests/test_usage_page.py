"""Operators see the usage of teams at a running instance."""

import json

import pytest

from dandelionwinch.tests import instance_harness
from dandelionwinch import usage


def test_the_last_windows_are_shown(kv, tmp_path):
    async def scenario(running):
        gateway = running.process.instance._gateway
        sharing = gateway.usage
        window = int(sharing.now() // sharing.totals.window_s) - 5
        sharing._counts.settle(0.0)
        for _ in range(3):
            gateway.usage_meter.record('red', window * 5.0 + 1)
        gateway.usage_meter.record('red', window * 5.0 + 6)
        sharing.saw_report(usage.Report(window, {'blue': 2, 'red': 4}))
        _status, body = await running.get('metrics', '/-/usage')
        return window, json.loads(body), await running.invoke('usage')

    window, body, shown = instance_harness.run(
        scenario, kv, tmp_path, more_settings=instance_harness.USAGE_DUTIES
    )
    first, second = body['windows']
    assert (first['window'], second['window']) == (window, window + 1)
    assert first['counted'] == {'red': 3}
    assert first['reported'] == {'blue': 2, 'red': 4}
    assert second['counted'] == {'red': 1}
    assert second['reported'] is None
    assert shown.exit_code == 0
    assert '  team=red counted=3 reported=4\n' in shown.output
    assert '  team=blue counted=0 reported=2\n' in shown.output
    assert '  team=red counted=1\n' in shown.output


@pytest.mark.parametrize(
    'duties', ['', instance_harness.USAGE_DUTIES.replace('usage_', 'un')]
)
def test_without_reports_of_usage_there_is_no_page(kv, tmp_path, duties):
    async def scenario(running):
        status, _body = await running.get('metrics', '/-/usage')
        return status, await running.invoke('usage')

    status, shown = instance_harness.run(
        scenario, kv, tmp_path, more_settings=duties
    )
    assert status == 404
    assert shown.exit_code == 1
    assert 'name no reports of usage' in shown.output
