"""The real processes of a soak, and loopback addresses of its own."""

import asyncio
import os
import socket
import sys

from dandelionwinch.platform import samples

RESTART_S = 0.5
LOCK_PORT = 9463
BLOCKS = 200


def own_block():
    """Returns a lock and a block of loopback addresses of its own."""
    for step in range(BLOCKS):
        block = 1 + (os.getpid() + step) % BLOCKS
        lock = socket.socket()
        try:
            lock.bind((f'127.{block}.0.1', LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return lock, block
    raise OSError(f'all {BLOCKS} blocks of addresses are in use')


class Instance:
    """One real process.

    Attributes:
        front: Its address for callers.
        stopped: Whether it is not to be started again.
    """

    def __init__(self, name, front, path, log_path):
        self.name = name
        self.front = front
        self._path = path
        self._log_path = log_path
        self.process = None
        self.stopped = False

    async def start(self):
        """Starts the program."""
        env = {**os.environ, samples.SETTINGS_VARIABLE: str(self._path)}
        with open(self._log_path, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'dandelionwinch.platform',
                env=env,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Sends a signal if the process runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self):
        """Waits for the end of the process and starts it again."""
        await self.process.wait()
        await asyncio.sleep(RESTART_S)
        if not self.stopped:
            await self.start()
