"""Starts a small deployment: the store, instances and runners.

The settings are those of `sites/nyandarua-hire.toml` with fewer machines.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

from common import client
from common import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HOST = 'desk.example'
HEARTBEAT_S = 1.2
ZONES = ('ndaragwa', 'nanyuki', 'naromoru')
SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge","registry"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{peer},{peer}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
contracts = [
    "base", "drain", "config", "cost", "retry",
    "recover", "split", "stream", "engine", "platform",
]
[zones]
ndaragwa = "nyandarua"
nanyuki = "laikipia"
naromoru = "nyeri"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
controlPlane = ""
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackTimeoutMs = 5000
catchUpS = 4
drainMs = 2500
graceS = 8
lossSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
outerMs = 6000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 58
recoveryS = 12
transitMs = 250
reuseWindowS = 3.6
requireFencing = false
leaseMs = 3000
thawSlackMs = 300
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""
REGIONS = {'ndaragwa': 'nyandarua', 'nanyuki': 'laikipia', 'naromoru': 'nyeri'}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}
ENGINE = {
    'slots': 24,
    'kvTokens': 1196258,
    'kvTokenBytes': 327680,
    'linkMbps': 11000000.0,
    'moves': True,
    'backups': True,
    'stride': 49,
    'most': 12,
    'handleTtlS': 5.0,
    'roleSwitchS': 3.0,
    'pinMs': 4000.0,
    'holdMs': 2000.0,
    'models': [{'name': 'm'}],
}


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self._began = time.monotonic()

    def add(self, what, **fields):
        """Writes one line."""
        at = time.monotonic() - self._began
        text = ' '.join(f'{k}={v}' for k, v in fields.items())
        self._file.write(f'{at:8.3f} {what} {text}\n')
        self._file.flush()


class Runner:
    """A runner: a process of its own, and its entry in the store.

    Args:
        site: Site.
        runner_id: Its id.
        service: Name of its service.
        zone: Its zone.
        options: Further words of the command line of runner.py.
        more: Further fields of its entry.
    """

    def __init__(self, site, runner_id, service, zone, options=(), more=None):
        self.id = runner_id
        self._site = site
        self._options = options
        self._entry = {
            'service': service,
            'zone': zone,
            'version': 'v1',
            'slots': 24,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            **(more or {}),
        }
        self.process = None
        self.address = ''
        self._beats = None

    async def start(self):
        """Starts the process and writes its entry."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(HERE / 'runner.py'),
            self.id,
            *self._options,
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = (await self.process.stdout.readline()).decode().strip()
        self._entry['address'] = self.address
        self._entry['born'] = int(time.time() * 1e3)
        asyncio.create_task(self._follow())
        await self.write()
        self._beats = asyncio.create_task(self._beat())

    async def _follow(self):
        async for line in self.process.stdout:
            fields = json.loads(line)
            self._site.runs.append({'runner': self.id, **fields})
            self._site.record.add('runner', id=self.id, **fields)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._entry['sequence'] += 1
            await self.write()

    async def write(self, **changes):
        """Writes its entry."""
        self._entry.update(changes)
        await self._site.store.put(f'servers/{self.id}', self._entry)

    async def drain(self):
        """Reports that it is leaving, as before a planned shutdown."""
        self._site.record.add('draining', id=self.id)
        await self.write(state='draining')

    def kill(self):
        """Kills the process, which says nothing to the store."""
        self._site.record.add('kill', id=self.id)
        self._beats.cancel()
        self.process.send_signal(signal.SIGKILL)
        asyncio.create_task(self._lapse())

    async def _lapse(self):
        """Removes the entry after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self._site.store.remove(f'servers/{self.id}')

    async def leave(self):
        """Ends the process and removes the entry, after a drain."""
        self._site.record.add('exit', id=self.id)
        self._beats.cancel()
        self.process.send_signal(signal.SIGTERM)
        await self._site.store.remove(f'servers/{self.id}')


class Site:
    """A deployment.

    Attributes:
        runs: What the runners told of requests, as dicts.
    """

    def __init__(self, folder, instances=3):
        self.record = Record(folder)
        self.store = store.Store()
        self.runs = []
        self.runners = []
        self.instances = []
        self._count = instances
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        # All ports but that of the metrics are chosen; the addresses are of
        # a random part of the loopback network.
        self._net = f'127.{random.randint(64, 120)}.{random.randint(1, 250)}'
        names = ('frontend', 'readiness', 'directory', 'peer')
        self._ports = dict(zip(names, _free_ports(len(names)), strict=True))
        client.PORT = self._ports['frontend']

    async def start(self, config, runners):
        """Starts all, and waits until the instances are ready."""
        await self.store.start()
        await self.store.put('op/config', config)
        for runner in runners(self):
            self.runners.append(runner)
            await runner.start()
        for number in range(self._count):
            self.instances.append(await self._start_instance(number))
        deadline = time.monotonic() + 20
        while not await self._all_ready():
            if time.monotonic() > deadline:
                raise CannotRun('the instances are not ready')
            await asyncio.sleep(0.2)
        # All know each other, and the machines are in touch.
        await asyncio.sleep(4.5)

    async def _start_instance(self, number):
        zone = ZONES[number % len(ZONES)]
        ip = f'{self._net}.{number + 1}'
        path = self._folder / f'{number}.toml'
        path.write_text(
            SETTINGS.format(
                name=f'edge-{zone}-{number + 1}',
                ip=ip,
                zone=zone,
                region=REGIONS[zone],
                store=self.store.address,
                **self._ports,
            )
        )
        return await self._spawn(path, ip)

    async def _spawn(self, path, ip):
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'DANDELIONWINCH_BOOT': str(path),
        }
        with open(f'{path}.log', 'ab') as log:
            # The words of `run` in deploy/system.toml.
            process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'dandelionwinch.platform',
                env=env,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        process.ip = ip
        process.log_path = f'{path}.log'
        return process

    async def restart(self, number):
        """Stops an instance with SIGTERM and starts it again."""
        process = self.instances[number]
        self.record.add('sigterm', instance=number)
        process.send_signal(signal.SIGTERM)
        await process.wait()
        self.record.add('ended', instance=number, code=process.returncode)
        await asyncio.sleep(0.3)
        path = pathlib.Path(process.log_path.removesuffix('.log'))
        self.instances[number] = await self._spawn(path, process.ip)
        self.record.add('started', instance=number)

    async def _all_ready(self):
        for process in self.instances:
            if process.returncode is not None:
                raise CannotRun(
                    pathlib.Path(process.log_path).read_text()[-2000:]
                )
            try:
                status = await _get_status(
                    process.ip, self._ports['readiness'], '/-/ready'
                )
            except OSError:
                return False
            if status != 200:
                return False
        return True

    async def close(self):
        """Ends all processes that were started."""
        for process in self.instances:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for runner in self.runners:
            if runner.process and runner.process.returncode is None:
                runner.process.kill()
                await runner.process.wait()


def _free_ports(count):
    """Returns TCP ports that are free."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


async def _get_status(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    writer.write(f'GET {path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
    line = await reader.readline()
    writer.close()
    return int(line.split()[1]) if line else 0


def route(name, kind, service, **more):
    """Returns a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 5000,
        'targetLatencyMs': 175,
        'priority': 2,
        'service': service,
        'maxAttempts': 2 if kind == 'idempotent' else 1,
        **more,
    }


def config(version, routes, services, limits=None):
    """Returns a configuration.

    Args:
        version: Its version.
        routes: Its routes.
        services: Its services, by name; the value is True for model runners.
        limits: Limits that differ from the usual ones.
    """
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConnections': 210 if is_model else 110,
                'protocol': 'h1',
                'tls': False,
                **({'engine': ENGINE} if is_model else {}),
            }
            for name, is_model in services.items()
        ],
        'limits': {**LIMITS, **(limits or {})},
    }


def main(case, folder):
    """Runs a case and exits: 1 if the rule was broken, 0 if not, 2 if
    it could not run.

    Args:
        case: Coroutine function of the folder and of whether there is
            trouble; returns whether the rule held.
        folder: Folder of the case.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        held = asyncio.run(asyncio.wait_for(case(folder, trouble), 110))
    except (CannotRun, OSError, TimeoutError) as exc:
        print(f'could not run: {exc!r}')
        sys.exit(2)
    print('held' if held else 'broken')
    sys.exit(0 if held else 1)
