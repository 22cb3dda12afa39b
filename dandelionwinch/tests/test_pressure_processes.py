"""A real instance under bursts of the largest bodies, over loopback.

Upstreams are processes that end themselves when they hold too much.
"""

import asyncio
import json
import os
import pathlib
import re
import signal
import sys

import attrs
import pytest

from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.soak import _process
from dandelionwinch.standins import holding
from dandelionwinch.tests import recorder
from dandelionwinch import utils

MIB = 1 << 20
LARGEST = 4 * MIB
MEMORY_MB = 160
SMALL_CALLS = 40
ROUTES = (
    ('safe', routes.RetryPolicy.IDEMPOTENT),
    ('once', routes.RetryPolicy.ONCE),
)


def _config():
    route_list = [
        samples.route_of(name, policy, attempts=2, timeout_s=25.0)
        for name, policy in ROUTES
    ]
    value = json.loads(samples.config(1, route_list, [samples.service()]))
    value['limits']['maxBodyBytes'] = LARGEST
    return json.dumps(value).encode()


@attrs.define
class _Caller:
    """The connection of a caller."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def status(self):
        """Returns the status of the next response, 0 if it is cut."""
        async with asyncio.timeout(recorder.TIMEOUT_S):
            try:
                head = await self.reader.readuntil(b'\r\n\r\n')
                length = re.search(rb'(?i)content-length: (\d+)', head)
                await self.reader.readexactly(int(length[1]))
            except (asyncio.IncompleteReadError, ConnectionError):
                return 0
        return int(head.split(b' ')[1])


class _Site:
    """An instance and its upstreams, each in a process of its own.

    Args:
        kv: The KvStore.
        folder: Path of a folder for the settings.
        limited: Whether the settings have the contract `pressure`.
    """

    def __init__(self, kv, folder, limited=True):
        self._kv = kv
        self._path = folder / 'settings.toml'
        self._limited = limited
        self._lock, block = _process.reserve_address_block()
        self._ip = f'127.{block}.0.10'
        self._ports = utils.free_ports(3)
        self._processes = []
        self._writers = []
        self.upstreams = {}

    async def __aenter__(self):
        self.log = recorder.Recorder()
        names = ('callers_port', 'readiness_port', 'directory_port')
        text = samples.settings(
            ip=self._ip,
            store=self._kv.address,
            **dict(zip(names, self._ports, strict=True)),
        )
        if self._limited:
            text = 'contracts = ["pressure"]\n' + text
        text = text.replace('[limits]', f'[limits]\nmemoryMb = {MEMORY_MB}')
        self._path.write_text(text)
        self._kv.write(samples.CONFIG_KEY, _config())
        self.instance = await self._start('dandelionwinch.platform')
        self._log_task = asyncio.create_task(self._read_log())
        await self.wait_for('instance.started')
        return self

    async def __aexit__(self, *_exc):
        for writer in self._writers:
            writer.close()
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await self._log_task
        self._lock.close()

    async def _start(self, module, *options):
        variable = {samples.SETTINGS_VARIABLE: str(self._path)}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *options,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, **variable},
            # It keeps the addresses if it outlives the test.
            pass_fds=(self._lock.fileno(),),
        )
        self._processes.append(process)
        return process

    async def _read_log(self):
        while line := await self.instance.stdout.readline():
            if not line.endswith(b'\n'):
                # The process was ended while it wrote it.
                return
            fields = json.loads(line)
            self.log.event(fields['event'], **fields)

    async def wait_for(self, name, **wanted):
        """Waits for an event with some fields."""
        await self.log.wait_until(lambda: self.events(name, **wanted))

    def events(self, name, **wanted):
        """Returns the events of a name with some fields."""
        return [
            fields
            for event, fields in self.log.events
            if event == name and wanted.items() <= fields.items()
        ]

    async def add_upstream(self, name, *options, zone='a'):
        """Starts an upstream; returns its process."""
        process = await self._start(
            'dandelionwinch.standins.holding', *options
        )
        address = (await process.stdout.readline()).decode().strip()
        self.upstreams[name] = process
        entry = samples.entry(address=address, zone=zone, phase='decode')
        self._kv.write(samples.entry_key(name), entry)
        await self.wait_for('upstream.changed', upstream=name)
        return process

    async def call(self, path, request_id, size=2, rest=0):
        """Sends a call with a body but for its rest; returns its _Caller."""
        conn = await asyncio.open_connection(self._ip, self._ports[0])
        caller = _Caller(*conn)
        self._writers.append(caller.writer)
        request = samples.request(path, request_id, timeout_ms=20000)
        head = request[:-2].replace(b'Length: 2', b'Length: %d' % size)
        caller.writer.write(head + b'b' * (size - rest))
        return caller

    async def call_small(self):
        """Makes small calls, one after the other; returns the statuses."""
        statuses = []
        for number in range(SMALL_CALLS):
            caller = await self.call('/once/1', f'small-{number}')
            statuses.append(await caller.status())
        return statuses

    def peak_mb(self):
        """Returns the most memory that the instance has had."""
        text = pathlib.Path(f'/proc/{self.instance.pid}/status').read_text()
        return int(re.search(r'VmHWM:\s+(\d+) kB', text)[1]) / 1024


def _run(kv, tmp_path, scenario, limited=True):
    async def run():
        async with _Site(kv, tmp_path, limited) as site:
            return await scenario(site)

    return asyncio.run(run())


@pytest.mark.parametrize('rest', [0, LARGEST // 2])
def test_a_burst_of_the_largest_bodies_stays_in_the_memory(kv, tmp_path, rest):
    """Load: 30 bodies of 4 MiB at once to an upstream that reads slowly.

    They come from callers that send all of it, or half of it and wait.
    """

    async def scenario(site):
        slow = await site.add_upstream(
            'slow', '--read-delay', '0.002', '--max-held', str(17 * MIB)
        )
        callers = [
            await site.call('/safe/1', f'large-{n}', LARGEST, rest)
            for n in range(30)
        ]
        statuses = [asyncio.create_task(c.status()) for c in callers]
        small = await site.call_small()
        for caller in callers:
            caller.writer.write(b'b' * rest)
        large = await asyncio.gather(*statuses)
        codes = slow.returncode, site.instance.returncode
        return small, large, codes, site.peak_mb()

    small, large, codes, peak_mb = _run(kv, tmp_path, scenario)
    print(f'peak {peak_mb:.1f} MB, {large.count(200)} of 30 bodies served')
    assert set(small) == {200}
    assert set(large) <= {200, 503}
    assert 200 in large
    assert codes == (None, None)
    assert peak_mb < MEMORY_MB


def test_calls_leave_a_frozen_upstream_with_large_bodies(kv, tmp_path):
    """Load: bodies of 4 MiB to a process that is stopped.

    It is near, so calls prefer it to the sound one in the other region.
    """

    async def scenario(site):
        frozen = await site.add_upstream('frozen')
        await site.add_upstream('sound', zone='b')
        frozen.send_signal(signal.SIGSTOP)
        unknown = await site.call('/once/1', 'unknown', LARGEST)
        moved = await site.call('/safe/1', 'moved', LARGEST)
        statuses = await unknown.status(), await moved.status()
        await site.wait_for('upstream.stalled')
        (stalled,) = site.events('upstream.stalled')
        small = await site.call_small()
        frozen.send_signal(signal.SIGCONT)
        return statuses, stalled, small

    statuses, stalled, small = _run(kv, tmp_path, scenario)
    assert statuses == (502, 200)
    assert stalled['upstream'] == 'frozen'
    assert stalled['unread_bytes'] > MIB
    assert set(small) == {200}


def test_an_upstream_that_is_continued_gets_calls_again(kv, tmp_path):
    """Its connections were closed, so only a trial can show that it reads."""

    async def scenario(site):
        frozen = await site.add_upstream('frozen')
        frozen.send_signal(signal.SIGSTOP)
        large = await site.call('/once/1', 'large', LARGEST)
        unknown = await large.status()
        refused = await (await site.call('/once/1', 'refused')).status()
        frozen.send_signal(signal.SIGCONT)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            status = refused
            while status == 503:
                status = await (await site.call('/once/1', 'next')).status()
        after = await (await site.call('/once/1', 'after')).status()
        return unknown, refused, status, after

    assert _run(kv, tmp_path, scenario) == (502, 503, 200, 200)


async def _reads_all(process, statuses):
    """Waits until an upstream that holds its answers has read all bodies.

    Args:
        process: The process of the upstream.
        statuses: Tasks that end with the status of each call; those that
            were refused have ended.

    Returns:
        False if the upstream has ended instead.
    """
    read = 0
    line = asyncio.create_task(process.stdout.readline())
    while pending := [status for status in statuses if not status.done()]:
        if read == len(pending):
            line.cancel()
            return True
        await asyncio.wait([line, *pending], return_when='FIRST_COMPLETED')
        if line.done():
            if not line.result():
                return False
            read = int(line.result())
            line = asyncio.create_task(process.stdout.readline())
    return False


def _rounds(kv, tmp_path, limited):
    """Sends bursts to an upstream that can hold one body, until one passes.

    Returns:
        Exit statuses of the upstreams that ended, and the bounds that the
        instance logged.
    """

    async def scenario(site):
        ended = []
        for turn in range(4):
            name = f'u{turn}'
            process = await site.add_upstream(
                name, '--max-held', str(6 * MIB), '--hold-answers'
            )
            callers = [
                await site.call('/once/1', f'{name}-{n}', LARGEST)
                for n in range(4)
            ]
            statuses = [asyncio.create_task(c.status()) for c in callers]
            if await _reads_all(process, statuses):
                process.send_signal(signal.SIGUSR1)
            if 502 not in await asyncio.gather(*statuses):
                break
            ended.append(await process.wait())
            if limited:
                await site.wait_for('upstream.crashed', upstream=name)
            site._kv.remove(samples.entry_key(name))
            await site.wait_for('upstream.gone', upstream=name)
        bounds = site.events('upstream.bytes_bound')
        return ended, [event['bytes'] for event in bounds]

    return _run(kv, tmp_path, scenario, limited)


def test_an_upstream_that_ends_when_it_holds_too_much_is_spared(kv, tmp_path):
    """Load: four bodies of 4 MiB at once, where only one has room."""
    ended, bounds = _rounds(kv, tmp_path, limited=True)
    assert ended == [holding.EXIT_STATUS] * 2
    assert bounds == [8 * MIB, 4 * MIB]


def test_without_the_contract_each_burst_ends_an_upstream(kv, tmp_path):
    """Shows that the load above is one that the bound must hold off."""
    ended, bounds = _rounds(kv, tmp_path, limited=False)
    assert len(ended) > 2
    assert bounds == []
