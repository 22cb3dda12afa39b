"""An instance on the platform's protocol, in the process of the test."""

import asyncio

import attrs
import click.testing

from dandelionwinch.platform import _boot
from dandelionwinch.platform import _entry
from dandelionwinch.platform import samples
from dandelionwinch.tests import recorder
from dandelionwinch.tools import cli

# Settings by which instances report the usage of teams.
USAGE_DUTIES = """
[cloud]
address = "127.0.0.1:9"
dutyPerS = 50
duties = ["usage_report"]
"""


def run(scenario, kv, tmp_path, **options):
    """Returns what a coroutine function of a RunningInstance returns.

    Args:
        scenario: The coroutine function.
        kv: The KvStore.
        tmp_path: Folder without a settings file.
        options: Further arguments of RunningInstance.
    """

    async def with_instance():
        running = RunningInstance(kv, tmp_path / 'none', **options)
        async with running:
            return await scenario(running)

    return asyncio.run(with_instance())


class RunningInstance:
    """Runs an instance on free ports, with a recorded log.

    Args:
        kv: The KvStore that it uses.
        path: Path of its settings file, which is read by reload() only.
        grace_s: Seconds from SIGTERM to SIGKILL.
        name: Name of the instance.
        ip: Loopback address that it listens on.
        peer_port: Port on which instances speak to each other.
        more_settings: Text that is added to its settings.
        duty_settings: DutySettings, or None for no duty.

    Attributes:
        log: Recorder of its events.
        process: The PlatformProcess.
    """

    def __init__(
        self,
        kv,
        path,
        grace_s=8,
        name='edge-a-1',
        ip='127.0.0.1',
        peer_port=0,
        more_settings='',
        duty_settings=None,
    ):
        self._duty_settings = duty_settings
        self._kv = kv
        self._path = path
        self._ip = ip
        self._settings = samples.settings(
            ip=ip, grace_s=grace_s, name=name, peer_port=peer_port
        )
        self._settings += more_settings

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.log = recorder.Recorder()
        self._kv.on_change = self.log.notify_from_thread
        cfg = attrs.evolve(
            _boot.read(self._settings),
            store=self._kv.address,
            callers=f'{self._ip}:0',
            readiness=f'{self._ip}:0',
            directory=f'{self._ip}:0',
        )
        if self._duty_settings is not None:
            cfg = attrs.evolve(cfg, duty_settings=self._duty_settings)
        self.process = _entry.PlatformProcess(
            loop, cfg, self._path, 0, self.log
        )
        await self.process.start()
        return self

    async def __aexit__(self, *_exc):
        self._kv.on_change = lambda: None
        self.process.close()

    async def serve(self, address, route):
        """Writes an upstream and one route into the store; waits for both.

        Args:
            address: Address of the upstream.
            route: The route, as `samples.route` returns it.
        """
        entry = samples.entry(address=address)
        self._kv.write(samples.entry_key('i-1'), entry)
        value = samples.config(1, [route], [samples.service()])
        self._kv.write(samples.CONFIG_KEY, value)
        await self.log.wait_until(
            lambda: (
                {'config.applied', 'upstream.changed'} <= set(self.log.names())
            )
        )

    async def connect(self, server):
        """Returns reader and writer of a connection to one of the servers."""
        port = self.process.instance.ports()[server]
        return await asyncio.open_connection(self._ip, port)

    async def exchange(self, server, request):
        """Sends a request with `Connection: close`; returns status, body."""
        reader, writer = await self.connect(server)
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

    async def invoke(self, command):
        """Returns the result of a command of the command line for it."""
        port = self.process.instance.ports()['metrics']
        runner = click.testing.CliRunner()
        args = [command, f'{self._ip}:{port}']
        return await asyncio.to_thread(runner.invoke, cli.main, args)
