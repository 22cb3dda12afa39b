"""The adapter: settings, catalogue, the store, and a whole entry."""

import asyncio
import json
import os
import pathlib
import random

import attrs
import pytest

from dandelionwinch import addresses
from dandelionwinch import eventlog
from dandelionwinch import gateway
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _catalogue
from dandelionwinch.platform import _dialect
from dandelionwinch.platform import _entry
from dandelionwinch.platform import _registration
from dandelionwinch.platform import _store
from dandelionwinch.platform import _sync
from dandelionwinch import routes
from dandelionwinch.standins import kvstore
from dandelionwinch.standins import scripted
from dandelionwinch.tests import test_gateway
from dandelionwinch import upstreams

PATIENCE_S = 10

SETTINGS = """
nodeName = "edge-a-1"
ip = "10.1.0.35"
zone = "a"
heartbeatMs = 1200
serves = ["edge"]
somethingNew = [1, 2]
[zones]
a = "north"
b = "south"
[listen]
frontend = "10.1.0.35:8144"
readiness = "10.1.0.35:8140"
directory = "10.1.0.35:8143"
[bounds]
graceS = 8
leaseMs = 3000
drainMs = 2500
retryBudgetRatio = 0.2
retrySlack = 58
budgetWindowS = 10
ttl_max_s = 5
[platform]
address = "10.200.1.7:8142"
minTtlMs = 1000
"""


def test_settings_are_read_and_unknown_fields_ignored():
    boot = _boot.read(SETTINGS)
    assert (boot.instance, boot.data_centre) == ('edge-a-1', 'a')
    assert boot.regions == {'a': 'north', 'b': 'south'}
    assert (boot.retry_slack, boot.grace_s) == (58.0, 8.0)
    assert boot.findings == ()


@pytest.mark.parametrize(
    ('old', 'new', 'finding'),
    [
        ('graceS = 8', '', 'field "bounds.graceS" is missing'),
        ('graceS = 8', 'graceS = "x"', 'field "bounds.graceS" is not of'),
        ('graceS = 8', 'graceS = true', 'field "bounds.graceS" is not of'),
        ('[zones]', '[other]', 'field "zones" is missing'),
    ],
)
def test_bad_fields_are_findings_with_their_place(old, new, finding):
    boot = _boot.read(SETTINGS.replace(old, new))
    assert any(item.startswith(finding) for item in boot.findings)
    assert boot.grace_s == 8.0


@pytest.mark.parametrize(
    'text', ['not = [toml', SETTINGS.replace('10.200.1.7:8142', '')]
)
def test_settings_without_a_store_are_refused(text):
    with pytest.raises(_boot.SettingsInvalid):
        _boot.read(text)


ENTRY = {
    'service': 's',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 24,
    'state': 'ready',
    'coldRemainingMs': 0,
    'phase': 'decode',
    'sequence': 4,
    'born': 17,
}


def test_an_upstreams_entry_is_read():
    entry = _catalogue.read_upstream('i-1', json.dumps(ENTRY).encode())
    assert entry == upstreams.Entry(
        'i-1',
        's',
        '10.128.0.9:8080',
        'a',
        17,
        True,
        upstreams.Role.DECODE,
        24,
    )


@pytest.mark.parametrize(
    'change',
    [
        {'service': None},
        {'service': 7},
        {'address': 'nowhere'},
        {'address': 9},
        {'state': 'resting'},
        {'state': True},
        {'slots': '24'},
        {'born': 1.5},
        {'born': '17'},
        {'phase': 'dreaming'},
        {'zone': []},
        {'coldRemainingMs': 'x'},
    ],
)
def test_an_entry_of_another_writer_names_no_upstream(change):
    value = json.dumps({**ENTRY, **change}).encode()
    with pytest.raises(_catalogue.EntryInvalid):
        _catalogue.read_upstream('i-1', value)


@pytest.mark.parametrize('value', [b'', b'\xff\x00', b'[]', b'{"a":'])
def test_bytes_that_cannot_be_read_name_no_upstream(value):
    with pytest.raises(_catalogue.EntryInvalid):
        _catalogue.read_upstream('i-1', value)


def route_row(**changes):
    row = {
        'name': 'r1',
        'host': 'desk',
        'prefix': '/a/',
        'kind': 'idempotent',
        'timeoutMs': 1200,
        'targetLatencyMs': 150,
        'priority': 2,
        'service': 's',
        'maxAttempts': 2,
    }
    return {**row, **changes}


SERVICE_ROW = {'name': 's', 'healthPath': '/health', 'maxConnections': 110}


@pytest.mark.parametrize(
    ('changes', 'repeat', 'streaming'),
    [
        ({}, routes.Repeat.IDEMPOTENT, False),
        ({'kind': 'non_idempotent'}, routes.Repeat.ONCE, False),
        ({'kind': 'streaming'}, routes.Repeat.ONCE, True),
        (
            {'kind': 'streaming', 'resumable': True},
            routes.Repeat.RESUMABLE,
            True,
        ),
        (
            {'kind': 'streaming', 'resumable': 'yes'},
            routes.Repeat.ONCE,
            True,
        ),
        ({'kind': 'new_kind'}, routes.Repeat.ONCE, False),
    ],
)
def test_what_may_be_repeated_follows_from_the_kind(
    changes, repeat, streaming
):
    value = kvstore.config_bytes(3, [route_row(**changes)], [SERVICE_ROW])
    table = _catalogue.read_config(value)
    route = table.match('desk', '/a/1')
    assert (table.version, route.repeat) == (3, repeat)
    assert (route.streaming, route.timeout_s) == (streaming, 1.2)


@pytest.mark.parametrize(
    'value',
    [
        b'{"version": 1, "routes": [1], "services": []}',
        b'{"version": 1, "routes": [], "services": ["x"]}',
        b'{"version": 1, "routes": [], "services": [], "limits": [1]}',
        b'{"version": 1, "routes": {}, "services": []}',
        b'{"version": "1", "routes": [], "services": []}',
    ],
)
def test_a_configuration_of_other_types_is_refused(value):
    with pytest.raises(_catalogue.EntryInvalid):
        _catalogue.read_config(value)


def test_beliefs_are_followed_after_an_answer_that_cannot_be_taken(kv):
    async def scenario(synced):
        await synced.until(lambda: 'kv-watch' in kv.calls)
        kv.write('servers/i-0', b'x')
        broken = {'key': 'servers/i-1', 'revision': 99, 'value': 'a'}
        with kv._changed:
            kv._history.append(broken)
            kv._changed.notify_all()
        await synced.until(lambda: kv.calls.count('kv-range') > 1)
        write_upstream(kv, 'i-2')
        await synced.until(lambda: synced.serving() == ['i-2'])

    follow(kv, scenario)


def test_a_broken_configuration_is_refused_whole():
    value = kvstore.config_bytes(3, [route_row(timeoutMs='x')], [])
    with pytest.raises(_catalogue.EntryInvalid, match='timeoutMs'):
        _catalogue.read_config(value)


@pytest.fixture
def kv():
    store = kvstore.KvStore()
    store.start()
    yield store
    store.close()


def with_store(kv, scenario):
    async def run():
        loop = asyncio.get_running_loop()
        store = _store.Store(loop, kv.address)
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await scenario(store)
        finally:
            store.close()

    return asyncio.run(run())


def test_a_listing_goes_over_all_pages(kv):
    kv.page = 2
    for number in range(5):
        kv.write(f'k/{number}', b'v')
    listing = with_store(kv, lambda store: store.list('k/'))
    assert [item.key for item in listing.items] == [
        f'k/{number}' for number in range(5)
    ]


def test_a_watch_brings_changes_and_deletions_in_order(kv):
    kv.write('k/1', b'a')
    kv.write('k/2', b'b')
    kv.remove('k/1')

    listing = with_store(kv, lambda store: store.watch('k/', 1, 1.0))
    assert [(i.key, i.value) for i in listing.items] == [
        ('k/1', b'a'),
        ('k/2', b'b'),
        ('k/1', None),
    ]


def test_history_that_is_gone_is_said_so(kv):
    kv.write('k/1', b'a')
    kv.drop_history()
    with pytest.raises(_store.HistoryGone):
        with_store(kv, lambda store: store.watch('k/', 1, 1.0))


@pytest.mark.parametrize('status', [429, 503])
def test_a_refused_call_did_nothing(kv, status):
    kv.refuse = status
    with pytest.raises(_store.StoreRefused):
        with_store(kv, lambda store: store.put('k/1', b'v'))
    assert kv.value('k/1') is None


def test_a_lost_answer_is_not_called_refused(kv):
    kv.lose = 1
    with pytest.raises(_store.StoreFailed) as caught:
        with_store(kv, lambda store: store.put('k/1', b'v'))
    assert not isinstance(caught.value, _store.StoreRefused)
    assert kv.value('k/1') == b'v'


def test_conditions_and_leases_are_kept(kv):
    async def scenario(store):
        revision = await store.put('k/1', b'a', revision=0)
        with pytest.raises(_store.Conflict):
            await store.put('k/1', b'b', revision=0)
        await store.put('k/1', b'c', revision=revision)
        with pytest.raises(_store.LeaseEnded):
            await store.put('k/2', b'd', lease=7)
        lease = await store.lease(3.0)
        await store.put('k/3', b'e', lease=lease)
        await store.keep(lease)
        await store.end(lease)
        with pytest.raises(_store.LeaseEnded):
            await store.keep(lease)

    with_store(kv, scenario)
    assert (kv.value('k/1'), kv.value('k/3')) == (b'c', None)


class Synced:
    """A gateway whose beliefs follow a store."""

    def __init__(self, kv):
        self._kv = kv

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._sink = os.open(os.devnull, os.O_WRONLY)
        log = eventlog.EventLog('test', self._sink)
        rng = random.Random(1)
        self.gateway = gateway.Gateway(
            loop, _dialect.Dialect(), log, test_gateway.Config(), rng
        )
        self._store = _store.Store(loop, self._kv.address)
        self.tables = []
        self.sync = _sync.Sync(
            loop, self._store, self.gateway, log, rng, self.tables.append
        )
        self.sync.start()
        return self

    async def __aexit__(self, *_exc):
        self.sync.close()
        self.gateway.close()
        self._store.close()
        os.close(self._sink)

    def serving(self):
        found = self.gateway.fleet.beliefs.serving('s')
        return sorted(belief.entry.id for belief in found)

    async def until(self, condition):
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                await asyncio.sleep(0.01)


def follow(kv, scenario):
    async def run():
        async with Synced(kv) as synced:
            await scenario(synced)

    asyncio.run(run())


def write_upstream(kv, name, **changes):
    kv.write(f'servers/{name}', json.dumps({**ENTRY, **changes}).encode())


def test_beliefs_follow_the_store(kv):
    for name in ('i-1', 'i-2', 'i-3'):
        write_upstream(kv, name)
    kv.write('op/config', kvstore.config_bytes(2, [route_row()], []))

    async def scenario(synced):
        await synced.until(lambda: len(synced.serving()) == 3)
        assert synced.sync.ready
        write_upstream(kv, 'i-1', state='draining')
        await synced.until(lambda: synced.serving() == ['i-2', 'i-3'])
        kv.remove('servers/i-2')
        await synced.until(lambda: synced.serving() == ['i-3'])
        kv.write('servers/i-3', b'\xff')
        await synced.until(lambda: synced.serving() == [])
        write_upstream(kv, 'i-3', born=18)
        await synced.until(lambda: synced.serving() == ['i-3'])

    follow(kv, scenario)


def test_an_older_configuration_never_returns(kv):
    kv.write('op/config', kvstore.config_bytes(5, [route_row()], []))

    async def scenario(synced):
        await synced.until(lambda: synced.tables)
        kv.write('op/config', kvstore.config_bytes(4, [], []))
        kv.write('op/config', b'{')
        write_upstream(kv, 'i-9')
        await synced.until(lambda: synced.serving() == ['i-9'])
        assert synced.gateway.fleet.table.version == 5
        kv.write('op/config', kvstore.config_bytes(9, [], []))
        await synced.until(lambda: synced.gateway.fleet.table.version == 9)

    follow(kv, scenario)


def test_changes_in_a_gap_of_the_history_are_found(kv):
    for name in ('i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7'):
        write_upstream(kv, name)

    async def scenario(synced):
        await synced.until(lambda: len(synced.serving()) == 7)
        kv.refuse = 503
        kv.remove('servers/i-1')
        write_upstream(kv, 'i-8')
        kv.drop_history()
        kv.refuse = 0
        await synced.until(lambda: 'i-8' in synced.serving())
        await synced.until(lambda: 'i-1' not in synced.serving())

    follow(kv, scenario)


def test_a_registration_whose_answer_was_lost_is_withdrawn(kv):
    async def scenario(store):
        loop = asyncio.get_running_loop()
        with open(os.devnull, 'wb') as sink:
            log = eventlog.EventLog('test', sink.fileno())
            presence = addresses.Presence('a', '127.0.0.1:1', 'dc', 'r')
            made = _registration.Registration(loop, store, log, presence, 3.0)
            kv.lose = 1
            made.start()
            while kv.value('dandelionwinch/instances/a') is None:
                await asyncio.sleep(0.001)
            await made.withdraw()

    with_store(kv, scenario)
    assert kv.value('dandelionwinch/instances/a') is None


def test_a_whole_entry_serves_registers_and_stops(kv, tmp_path):
    """One process's parts together, by the ports that the system gives."""

    async def scenario():
        loop = asyncio.get_running_loop()
        upstream = scripted.ScriptedUpstream(
            test_gateway.ID, [[test_gateway.whole()]]
        )
        await upstream.start()
        write_upstream(kv, 'i-1', address=upstream.address, phase='decode')
        kv.write(
            'op/config', kvstore.config_bytes(1, [route_row()], [SERVICE_ROW])
        )
        boot = attrs.evolve(
            _boot.read(SETTINGS),
            ip='127.0.0.1',
            store=kv.address,
            callers='127.0.0.1:0',
            readiness='127.0.0.1:0',
            directory='127.0.0.1:0',
        )
        entry = _entry.Entry(loop, boot, tmp_path / 'none', metrics_port=0)
        await entry.start()
        try:
            async with asyncio.timeout(PATIENCE_S):
                await _serve_one(entry, kv)
        finally:
            entry.close()
            await upstream.close()

    asyncio.run(scenario())


async def _get(port, target, headers=()):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    lines = [f'GET {target} HTTP/1.1', 'Host: desk', 'Connection: close']
    lines += headers
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
    data = await reader.read()
    writer.close()
    head, _, body = data.partition(b'\r\n\r\n')
    return int(head.split(b' ')[1]), body


@pytest.mark.parametrize('text', ['', 'not = [toml', SETTINGS])
def test_a_changed_settings_file_closes_nothing(kv, tmp_path, text):
    path = tmp_path / 'local.toml'
    path.write_text(text)

    async def scenario():
        loop = asyncio.get_running_loop()
        boot = attrs.evolve(
            _boot.read(SETTINGS),
            ip='127.0.0.1',
            store=kv.address,
            callers='127.0.0.1:0',
            readiness='127.0.0.1:0',
            directory='127.0.0.1:0',
        )
        entry = _entry.Entry(loop, boot, path, metrics_port=0)
        await entry.start()
        try:
            port = entry.ports()['readiness']
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            entry.reload()
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n')
            async with asyncio.timeout(PATIENCE_S):
                assert (await reader.readline()).startswith(b'HTTP/1.1 ')
            writer.close()
        finally:
            entry.close()

    asyncio.run(scenario())


ROOT = pathlib.Path(__file__).parents[1]
DECISIONS = ('attempts', 'dispatch', 'leadership', 'routes', 'upstreams')


def test_no_decision_reads_the_time_of_day():
    """Clocks may jump; decisions take steady times as arguments."""
    for folder in (*DECISIONS, 'gateway'):
        for path in (ROOT / folder).glob('*.py'):
            text = path.read_text()
            assert 'import time' not in text, path
            assert 'datetime' not in text, path


async def _serve_one(entry, kv):
    ports = entry.ports()
    while (await _get(ports['readiness'], '/-/ready'))[0] != 200:
        await asyncio.sleep(0.01)
    status, body = await _get(
        ports['directory'], '/-/resolve?name=desk&region=north&zone=a'
    )
    assert (status, json.loads(body)['addresses']) == (200, ['127.0.0.1:0'])
    request_id = ('X-Dandelionwinch-Request-Id: r1',)
    status, body = await _get(ports['callers'], '/a/1', request_id)
    assert (status, body) == (200, b'hello')
    status, body = await _get(ports['metrics'], '/metrics')
    assert b'dandelionwinch_gateway_answers_total' in body
    key = 'dandelionwinch/instances/edge-a-1'
    while kv.value(key) is None:
        await asyncio.sleep(0.01)
    kv.end_leases()
    while kv.value(key) is None:
        await asyncio.sleep(0.01)
    entry.stop()
    while kv.value(key) is not None:
        await asyncio.sleep(0.01)
    assert (await _get(ports['readiness'], '/-/ready'))[0] == 503
