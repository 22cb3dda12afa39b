"""Keys of callers: who is served, and what upstreams and logs are told."""

import asyncio
import json

import attrs
import pytest

from dandelionwinch import control
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch import teams
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests.gateway_harness import chunk
from dandelionwinch.tests.gateway_harness import event
from dandelionwinch.tests.gateway_harness import LAST_CHUNK
from dandelionwinch.tests.gateway_harness import response
from dandelionwinch.tests.gateway_harness import STREAM_HEAD
from dandelionwinch.tests import instance_harness
from dandelionwinch.tests import test_control
from dandelionwinch import upstreams

KEY = 'k3y-of-blue'
BLUE = teams.Team('blue', 1)


def _directory(*pairs):
    return teams.TeamDirectory(
        [(team, map(teams.digest, keys)) for team, keys in pairs]
    )


DIRECTORY = _directory(
    (BLUE, [KEY.encode(), b'second']),
    (teams.Team('red'), [b'k3y-of-red']),
    (teams.Team('none'), []),
)


def _ask(path, headers, scripts=None, directory=DIRECTORY):
    """Returns status and what the upstreams got, and checks for the key."""

    async def scenario(harness):
        harness.send(path, headers=headers)
        status, reply_headers, body = await harness.read_response()
        told = (
            repr(harness.log.events) + harness.gateway.metrics.text().decode()
        )
        assert KEY not in told + body.decode() + repr(reply_headers)
        return status, reply_headers, body, harness.requests

    return gateway_harness.run_scenario(
        scripts or [[[response()]]], scenario, directory=directory
    )


@pytest.mark.parametrize('scheme', ['Token', 'token', 'TOKEN'])
def test_upstreams_get_the_team_and_never_the_key(scheme):
    headers = [
        ('Authorization', f'{scheme} {KEY}'),
        (samples.TEAM, 'red'),
        ('X-Other', 'kept'),
    ]
    status, _headers, body, (req,) = _ask('/safe/1', headers)
    assert (status, body) == (200, b'hello')
    assert req.headers[samples.TEAM] == 'blue'
    assert 'authorization' not in req.headers
    assert req.headers['x-other'] == 'kept'
    assert KEY not in repr(req.headers)


WITHOUT_VALID_KEY = [
    [],
    [('Authorization', '')],
    [('Authorization', 'Token')],
    [('Authorization', 'Token ')],
    [('Authorization', KEY)],
    [('Authorization', f'Bearer {KEY}')],
    [('Authorization', f'Token {KEY}x')],
    [('Authorization', f'Token {KEY} x')],
    [('Authorization', f'Token {KEY}, Token second')],
    [('Authorization', 'Token ' + 'x' * 9000)],
    [('Authorization', f'Token {KEY}'), ('Authorization', f'Token {KEY}')],
    [('Authorization', f'Token {KEY}'), ('authorization', 'Basic eDp5')],
    [(samples.TEAM, 'blue')],
]


@pytest.mark.parametrize('headers', WITHOUT_VALID_KEY)
def test_a_request_without_a_valid_key_is_not_run(headers):
    status, reply_headers, body, requests = _ask('/safe/1', headers)
    assert status == 401
    assert json.loads(body)['error']['code'] == 'unauthorized'
    assert reply_headers['www-authenticate'] == 'Token'
    assert requests == []


@pytest.mark.parametrize('headers', WITHOUT_VALID_KEY)
def test_a_public_route_serves_callers_without_a_valid_key(headers):
    status, _headers, _body, (req,) = _ask('/open/1', headers)
    assert status == 200
    assert {'authorization', samples.TEAM}.isdisjoint(req.headers)


def test_a_public_route_tells_the_team_of_a_valid_key():
    headers = [samples.key_header(KEY), (samples.TEAM, 'red')]
    _status, _headers, _body, (req,) = _ask('/open/1', headers)
    assert req.headers[samples.TEAM] == 'blue'
    assert 'authorization' not in req.headers


def test_without_teams_both_headers_pass_through():
    headers = [samples.key_header('any'), (samples.TEAM, 'own')]
    _status, _headers, _body, (req,) = _ask('/safe/1', headers, directory=None)
    assert req.headers['authorization'] == 'Token any'
    assert req.headers[samples.TEAM] == 'own'


def test_a_retry_tells_the_team():
    """The second upstream must get what the first one got."""
    failed = response(status='500 Failed')
    headers = [samples.key_header(KEY)]
    _status, _headers, _body, requests = _ask(
        '/safe/1', headers, [[[failed]], [[response()]]]
    )
    assert [req.headers[samples.TEAM] for req in requests] == [
        'blue' for _ in requests
    ]
    assert all('authorization' not in req.headers for req in requests)


def test_a_resumed_stream_tells_the_team():
    """A stream that breaks off goes on at another upstream for its team."""
    begun = STREAM_HEAD + chunk(event(1)) + chunk(event(2))
    rest = STREAM_HEAD + chunk(event(2)) + chunk(event(3)) + LAST_CHUNK
    scripts = [[begun, scripted.RESET], [rest]]

    async def scenario(harness):
        # Whichever upstream is chosen first breaks off.
        for upstream in harness.upstreams:
            upstream._scripts = scripts
        more = samples.prompt_headers(['a', 'b'])
        harness.send('/resume/1', headers=[samples.key_header(KEY), *more])
        status, _headers, body = await harness.read_response()
        return status, body, harness.requests

    status, body, requests = gateway_harness.run_scenario(
        [[], []], scenario, directory=DIRECTORY
    )
    assert (status, body) == (200, event(1) + event(2) + event(3))
    assert len(requests) == 2
    for req in requests:
        assert req.headers[samples.TEAM] == 'blue'
        assert 'authorization' not in req.headers


def test_a_prefill_tells_the_team():
    """The engine that reads a prompt must not get the key either."""
    handle = samples.prefill_body('h1')
    scripts = [
        [[response(handle)]],
        [[STREAM_HEAD + chunk(event(1)) + LAST_CHUNK]],
    ]

    async def scenario(harness):
        registry = harness.gateway.fleet.registry
        entry = registry.get('u0').entry
        role = upstreams.Role.PREFILL
        registry.apply(attrs.evolve(entry, role=role))
        more = samples.prompt_headers(['a', 'b'], 2500)
        harness.send('/stream/1', headers=[samples.key_header(KEY), *more])
        status, _headers, _body = await harness.read_response()
        return status, [up.requests for up in harness.upstreams]

    status, by_upstream = gateway_harness.run_scenario(
        scripts, scenario, directory=DIRECTORY
    )
    assert status == 200
    for (req,) in by_upstream:
        assert req.headers[samples.TEAM] == 'blue'
        assert 'authorization' not in req.headers


def test_accepted_work_ends_though_its_key_is_removed_meanwhile():
    """A key is checked once, when its request has arrived."""

    async def scenario(harness):
        more = samples.prompt_headers(['a', 'b'])
        harness.send('/stream/1', headers=[samples.key_header(KEY), *more])
        await harness.log.wait_until(lambda: harness.requests)
        table = harness.gateway.fleet.table
        table.teams = _directory((BLUE, []))
        harness.upstreams[0].release.set()
        status, _headers, body = await harness.read_response()
        harness.send('/safe/1', 'r2', headers=[samples.key_header(KEY)])
        refused, _headers, _body = await harness.read_response()
        return status, body, refused

    steps = [STREAM_HEAD, scripted.HOLD, chunk(event(1)) + LAST_CHUNK]
    result = gateway_harness.run_scenario(
        [[steps]], scenario, directory=DIRECTORY
    )
    assert result == (200, event(1), 401)


def test_without_a_configuration_no_key_is_judged():
    """No caller may take an instance that knows nothing for a refusal."""

    async def scenario(harness):
        harness.gateway.fleet.table = None
        harness.send('/safe/1', headers=[samples.key_header(KEY)])
        return await harness.read_response()

    status, headers, _body = gateway_harness.run_scenario([[]], scenario)
    assert status == 503
    assert 'retry-after' in headers


def _read(team_list, route=None):
    value = samples.config(3, [route or samples.route()], [], team_list)
    return _store_codec.read_config(value)


def test_teams_are_read_from_the_configuration():
    table = _read(
        [samples.team('blue', KEY, 'b', priority=1), samples.team('none')],
        samples.route(public=True),
    )
    assert table.teams.find(KEY.encode()) == BLUE
    assert table.teams.find(b'b') == BLUE
    assert table.teams.find(b'c') is None
    assert table.match('desk', '/a/1').public


@pytest.mark.parametrize('team_list', [None, []])
def test_a_configuration_without_teams_needs_no_keys(team_list):
    table = _read(team_list)
    assert table.teams is None
    assert not table.match('desk', '/a/1').public


@pytest.mark.parametrize(
    'team_list',
    [
        {'name': 'blue'},
        ['blue'],
        [samples.team('blue', KEY), samples.team('red', KEY)],
        [samples.team('blue', KEY), samples.team('blue', 'b')],
        [{'apiKeys': [KEY]}],
        [samples.team('', KEY)],
        [samples.team(7, KEY)],
        [samples.team([KEY], KEY)],
        [samples.team('a\r\nX-Other: b', KEY)],
        [samples.team('blue', KEY, 7)],
        [samples.team('blue', KEY, '')],
        [samples.team('blue', KEY, 'x\r\ny')],
        [samples.team('blue', KEY, '\ud800')],
        [samples.team('blue', KEY, 'x' * 5000)],
        [{'name': 'blue', 'apiKeys': KEY}],
        [{'name': 'blue', 'apiKeys': {KEY: 1}}],
        [samples.team('blue', KEY, priority=KEY)],
        [samples.team('blue', KEY, priority=True)],
    ],
)
def test_teams_that_contradict_each_other_are_refused(team_list):
    """The finding is logged, so it must not contain a key."""
    with pytest.raises(control.EntryInvalid) as caught:
        _read(team_list)
    assert KEY not in caught.value.message
    assert 'tenants' in caught.value.message


def test_a_public_flag_of_another_type_is_refused():
    with pytest.raises(control.EntryInvalid):
        _read([], samples.route(public='yes'))


def test_no_repr_contains_a_key():
    """Objects with a repr end up in traces of faults."""

    async def scenario(harness):
        harness.send('/safe/1', headers=[samples.key_header(KEY)])
        await harness.read_response()
        return repr(seen)

    seen = []
    handler = gateway_harness.gateway.Gateway._serve

    async def record(self, incoming, caller):
        seen.append(incoming)
        seen.append(self.wire_codec.parse_request(incoming.head, b''))
        seen.append(self.fleet.table.teams)
        await handler(self, incoming, caller)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(gateway_harness.gateway.Gateway, '_serve', record)
        text = gateway_harness.run_scenario(
            [[[response()]]], scenario, directory=DIRECTORY
        )
    assert len(seen) == 3
    assert KEY not in text


def test_the_subjects_of_a_call_do_not_depend_on_its_key():
    """They are told to other instances and logged."""
    subjects = set()
    for key in (KEY, 'second'):

        async def scenario(harness, key=key):
            harness.send('/once/1', headers=[samples.key_header(key)])
            await harness.read_response()
            return dict(harness.log.events)['attempt.failed']['subjects']

        found = gateway_harness.run_scenario(
            [[[scripted.RESET]]], scenario, directory=DIRECTORY
        )
        subjects.add(tuple(found))
    assert len(subjects) == 1


def test_changes_name_the_keys_that_differ():
    newer = _directory(
        (BLUE, [b'second', b'third']),
        (teams.Team('red', 4), [b'k3y-of-red']),
    )
    changes = newer.changes(DIRECTORY)
    assert changes.removed == {teams.digest(KEY.encode())}
    assert changes.added == {
        teams.digest(b'third'): BLUE,
        teams.digest(b'k3y-of-red'): teams.Team('red', 4),
    }
    assert not newer.changes(newer)


def test_a_running_instance_follows_the_keys_of_its_configuration(
    kv, tmp_path
):
    """A version with an error must leave the last good one in force."""

    async def ask(running, key):
        more = [samples.key_header(key), ('Connection', 'close')]
        request = samples.request('/a/1', 'r1', more=more)
        return (await running.exchange('callers', request))[0]

    async def write(running, version, team_list, event_name):
        seen = running.log.names().count(event_name)
        value = samples.config(
            version, [samples.route()], [samples.service()], team_list
        )
        kv.write(samples.CONFIG_KEY, value)
        await running.log.wait_until(
            lambda: running.log.names().count(event_name) > seen
        )

    async def run():
        running = instance_harness.RunningInstance(kv, tmp_path / 'none')
        upstream = scripted.ScriptedUpstream(
            samples.REQUEST_ID, [[response()]]
        )
        await upstream.start()
        async with running:
            await running.serve(upstream.address, samples.route())
            found = [await ask(running, KEY)]
            blue, red = samples.team('blue', KEY), samples.team('red', 'r')
            await write(running, 2, [blue, red], 'config.applied')
            found += [await ask(running, KEY), await ask(running, 'other')]
            twice = [blue, samples.team('red', KEY)]
            await write(running, 3, twice, 'config.invalid')
            found += [await ask(running, KEY), await ask(running, 'r')]
            await write(running, 4, [red], 'keys.changed')
            found += [await ask(running, KEY), await ask(running, 'r')]
            text = repr(running.log.events)
        await upstream.close()
        return found, text

    found, text = asyncio.run(run())
    assert found == [200, 200, 401, 200, 200, 401, 200]
    assert KEY not in text


@pytest.mark.parametrize('strict', [True, False])
def test_strictly_the_view_of_an_idle_store_stays_young(strict, monkeypatch):
    """A bound shorter than a watch must not refuse keys in between."""
    cfg = attrs.evolve(test_control.CFG, strict_revoke=strict, revoke_s=2.0)
    monkeypatch.setattr(test_control, 'CFG', cfg)
    ages = []

    async def scenario(node, _items):
        await asyncio.sleep(2.0)
        for _ in range(200):
            await asyncio.sleep(0.1)
            ages.append(node.sync.ages.age_s())

    test_control.run_node(scenario)
    assert (max(ages) < 2.0) == strict
