"""Tests for a whole instance on the platform's protocol."""

import asyncio
import json
import pathlib

import attrs
import pytest

from dandelionwinch.platform import _boot
from dandelionwinch.platform import _entry
from dandelionwinch.platform import samples
from dandelionwinch.standins import kvstore
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder

ROOT = pathlib.Path(__file__).parents[1]
DECISION_PACKAGES = (
    'attempts',
    'dispatch',
    'leadership',
    'routes',
    'upstreams',
)
ENTRY_KEY = 'dandelionwinch/instances/edge-a-1'


@pytest.fixture
def kv():
    store = kvstore.KvStore()
    store.start()
    yield store
    store.close()


class RunningInstance:
    """Runs an instance on free ports, with a recorded log."""

    def __init__(self, kv, path):
        self._kv = kv
        self._path = path

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.log = recorder.Recorder()
        self._kv.on_change = self.log.notify_from_thread
        cfg = attrs.evolve(
            _boot.read(samples.settings(ip='127.0.0.1')),
            store=self._kv.address,
            callers='127.0.0.1:0',
            readiness='127.0.0.1:0',
            directory='127.0.0.1:0',
        )
        self.process = _entry.PlatformProcess(
            loop, cfg, self._path, 0, self.log
        )
        await self.process.start()
        return self

    async def __aexit__(self, *_exc):
        self._kv.on_change = lambda: None
        self.process.close()

    async def exchange(self, server, request):
        """Sends a request with `Connection: close`; returns status, body."""
        port = self.process.instance.ports()[server]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(request)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            data = await reader.read()
        writer.close()
        head, _, body = data.partition(b'\r\n\r\n')
        return int(head.split(b' ')[1]), body

    async def get(self, server, target):
        """Sends a GET request to one of the servers other than callers'."""
        lines = f'GET {target} HTTP/1.1\r\nHost: desk\r\nConnection: close'
        return await self.exchange(server, f'{lines}\r\n\r\n'.encode())


def test_an_entry_serves_registers_and_stops(kv, tmp_path):
    async def scenario():
        upstream = scripted.ScriptedUpstream(
            samples.REQUEST_ID, [[gateway_harness.response()]]
        )
        await upstream.start()
        async with RunningInstance(kv, tmp_path / 'none') as running:
            assert (await running.get('readiness', '/-/ready'))[0] == 503
            entry = samples.entry(address=upstream.address)
            kv.write(samples.entry_key('i-1'), entry)
            value = samples.config(1, [samples.route()], [samples.service()])
            kv.write(samples.CONFIG_KEY, value)
            await _serve_and_stop(running, kv)
        await upstream.close()

    asyncio.run(scenario())


async def _serve_and_stop(running, kv):
    await running.log.wait_until(
        lambda: 'config.applied' in running.log.names()
    )
    assert (await running.get('readiness', '/-/ready'))[0] == 200
    status, body = await running.exchange(
        'directory', samples.resolve_request('a', 'north')
    )
    assert (status, samples.resolved_addresses(body)) == (200, ['127.0.0.1:0'])
    request = samples.request('/a/1', 'r1', more=(('Connection', 'close'),))
    assert await running.exchange('callers', request) == (200, b'hello')
    _status, body = await running.get('metrics', '/metrics')
    assert b'dandelionwinch_gateway_answers_total' in body
    await running.log.wait_until(lambda: kv.value(ENTRY_KEY) is not None)
    assert json.loads(kv.value(ENTRY_KEY))['name'] == 'edge-a-1'
    kv.revoke_leases()
    await running.log.wait_until(lambda: kv.value(ENTRY_KEY) is not None)
    running.process.instance.stop()
    await running.log.wait_until(lambda: kv.value(ENTRY_KEY) is None)
    assert (await running.get('readiness', '/-/ready'))[0] == 503


@pytest.mark.parametrize('text', ['', 'not = [toml', samples.settings()])
def test_a_changed_settings_file_closes_nothing(kv, tmp_path, text):
    path = tmp_path / 'local.toml'
    path.write_text(text)

    async def scenario():
        async with RunningInstance(kv, path) as running:
            port = running.process.instance.ports()['readiness']
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            running.process.reload()
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n')
            async with asyncio.timeout(recorder.TIMEOUT_S):
                assert (await reader.readline()).startswith(b'HTTP/1.1 ')
            writer.close()

    asyncio.run(scenario())


def test_no_decision_reads_the_time_of_day():
    """Decisions get monotonic times as arguments: the wall clock may jump."""
    for package in (*DECISION_PACKAGES, 'gateway'):
        for path in (ROOT / package).glob('*.py'):
            text = path.read_text()
            assert 'import time' not in text, path
            assert 'datetime' not in text, path
