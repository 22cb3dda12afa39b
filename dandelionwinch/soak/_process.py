"""Instance processes of a soak, and the loopback addresses they use."""

import asyncio
import json
import os
import socket
import sys
import time

from dandelionwinch.platform import samples

RESTART_DELAY_S = 0.5
LOCK_PORT = 9463
BLOCK_COUNT = 200
# Event that the soak itself writes into an instance's log before a process
# of it starts. The process logs its own start only once it listens.
PROCESS_STARTED = 'process.started'
# Lines of an instance's log that an error message repeats.
LOG_TAIL_LINES = 3


class StartFailed(Exception):
    """An instance did not start."""


def reserve_address_block():
    """Reserves a block of loopback addresses for one soak.

    Soaks that run at the same time get different blocks.

    Returns:
        A bound socket that holds the reservation until it is closed by this
        process and by those that it is passed to, and the number of the
        block, the second byte of its addresses.

    Raises:
        OSError: If all blocks are reserved.
    """
    for step in range(BLOCK_COUNT):
        block = 1 + (os.getpid() + step) % BLOCK_COUNT
        lock = socket.socket()
        try:
            lock.bind((f'127.{block}.0.1', LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return lock, block
    raise OSError(f'all {BLOCK_COUNT} blocks of addresses are in use')


class Instance:
    """An instance in a process of its own.

    Args:
        name: Its name.
        frontend: Its frontend address.
        settings_path: Path of its settings file.
        log_path: Path of the file that its output is added to.
        lock: Socket of the reserved addresses, which the process holds, too:
            one that outlives its soak keeps them. None without one.

    Attributes:
        frontend: Its frontend address.
        stopped: Whether ``restart`` must not start it again.
    """

    def __init__(self, name, frontend, settings_path, log_path, lock=None):
        self.name = name
        self.frontend = frontend
        self._settings_path = settings_path
        self._log_path = log_path
        self._lock = lock
        self.process = None
        self.stopped = False
        self._restarting = False

    async def start(self):
        """Starts the process."""
        env = {
            **os.environ,
            samples.SETTINGS_VARIABLE: str(self._settings_path),
        }
        with open(self._log_path, 'ab') as log:
            log.write(self._start_line())
            log.flush()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'dandelionwinch.platform',
                env=env,
                stdout=log,
                stderr=log,
                pass_fds=() if self._lock is None else (self._lock.fileno(),),
            )

    def _start_line(self):
        """Returns the line of the log that begins those of a process."""
        fields = {
            'at': time.monotonic(),
            'time': time.time(),
            'instance': self.name,
            'event': PROCESS_STARTED,
        }
        return b'\n' + json.dumps(fields).encode() + b'\n'

    def describe_state(self):
        """Returns the state of the process and the end of its log."""
        code = self.process.returncode
        state = 'runs' if code is None else f'exited with {code}'
        with open(self._log_path, encoding='utf-8') as log:
            tail = log.read().splitlines()[-LOG_TAIL_LINES:]
        return '\n'.join([f'{self.name} {state}', *tail])

    def send_signal(self, signal_number):
        """Sends a signal if the process runs."""
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def restart(self):
        """Waits until the process exits, then starts it again.

        Does nothing if another restart already waits for that.
        """
        if self._restarting:
            return
        self._restarting = True
        try:
            await self.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.stopped:
                await self.start()
        finally:
            self._restarting = False
