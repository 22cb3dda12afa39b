"""Operators see the shares of teams at a running instance."""

import json

import attrs
import pytest

from dandelionwinch import limits
from dandelionwinch import routes
from dandelionwinch import teams
from dandelionwinch.tests import instance_harness
from dandelionwinch.tools import shares

TABLE = routes.RouteTable(
    1,
    [],
    [routes.Service('desk', 64)],
    routes.Limits(),
    teams.TeamDirectory([(teams.Team('blue'), []), (teams.Team('red'), [])]),
)


def _run(kv, tmp_path, duties, scenario):
    def with_table(running):
        running.process.instance._gateway.set_table(TABLE)
        return scenario(running)

    return instance_harness.run(with_table, kv, tmp_path, more_settings=duties)


async def _show(running):
    _status, body = await running.get('metrics', '/-/shares')
    return json.loads(body), await running.invoke('shares')


def test_the_holder_shows_what_it_found(kv, tmp_path):
    async def scenario(running):
        sharing = running.process.instance._gateway.fair_sharing
        loads = [
            limits.TeamLoad('blue', 80.0, refused=100.0),
            limits.TeamLoad('red', 20.0),
        ]
        found = limits.find_shares(loads)
        sharing.take_shares('desk', 7, found, 'edge-a-1')
        return await _show(running)

    body, shown = _run(kv, tmp_path, instance_harness.USAGE_DUTIES, scenario)
    assert (body['instance'], body['holder']) == ('edge-a-1', '')
    (row,) = body['services']
    assert (row['service'], row['found'], row['token']) == ('desk', 'here', 7)
    assert (row['capacity_per_s'], row['demand_per_s']) == (100.0, 200.0)
    assert row['level_per_s'] == 80.0 and row['in_force']
    assert 0 <= row['age_s'] < 5
    assert row['teams'] == [{'team': 'blue', 'ratio': 0.556}]
    assert shown.exit_code == 0
    assert '  team=blue ratio=0.556\n' in shown.output
    assert 'desk capacity_per_s=100.0 demand_per_s=200.0' in shown.output


def test_others_show_what_they_received(kv, tmp_path):
    async def scenario(running):
        sharing = running.process.instance._gateway.fair_sharing
        found = limits.Shares(9.0, 9.0)
        sharing.take_shares('desk', 3, found, 'edge-b-1')
        return await _show(running)

    body, shown = _run(kv, tmp_path, instance_harness.USAGE_DUTIES, scenario)
    (row,) = body['services']
    assert (row['found'], row['source']) == ('received', 'edge-b-1')
    assert row['level_per_s'] is None and not row['in_force']
    assert 'received from=edge-b-1 token=3' in shown.output
    assert 'not_in_force' in shown.output


@pytest.mark.parametrize(
    'duties', ['', instance_harness.USAGE_DUTIES.replace('usage_', 'un')]
)
def test_without_reports_of_usage_there_are_no_shares(kv, tmp_path, duties):
    async def scenario(running):
        status, _body = await running.get('metrics', '/-/shares')
        return status, await running.invoke('shares')

    status, shown = _run(kv, tmp_path, duties, scenario)
    assert status == 404
    assert shown.exit_code == 1
    assert 'name no reports of usage' in shown.output


def test_the_page_of_an_instance_before_any_shortage_is_one_line():
    page = {'instance': 'i1', 'holder': '', 'token': 0, 'services': []}
    found = shares._parse(page)
    assert attrs.evolve(found, holder='') == found
    assert shares.format_lines(found) == ['holder=none token=0 instance=i1']
