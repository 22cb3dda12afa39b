"""Signals to the instances of a soak."""

import asyncio
import signal

from dandelionwinch.soak import _poison

# Time for which an instance may drain after SIGTERM before it is killed.
GRACE_S = 4
INTERRUPTING = ('kill', 'term', 'pause')


class Signals:
    """Kills, stops, pauses and reloads instances.

    Args:
        rng: Random generator of the soak's faults.
        checks: Checks.
        poison: Poison.
        spawn: Function that runs a coroutine until the soak ends.
        spawn_restart: The same for one that may start a process.
    """

    __slots__ = ('_checks', '_poison', '_rng', '_spawn', '_spawn_restart')

    def __init__(self, rng, checks, poison, spawn, spawn_restart):
        self._rng = rng
        self._checks = checks
        self._poison = poison
        self._spawn = spawn
        self._spawn_restart = spawn_restart

    def send(self, fault, instance):
        """Sends the signal of a fault to an Instance."""
        if fault in INTERRUPTING:
            self._checks.record_interruption(instance.frontend)
            now = asyncio.get_running_loop().time()
            self._poison.signals.append(
                _poison.Signal(instance.frontend, now, fault)
            )
        match fault:
            case 'kill':
                self._checks.record_disturbed(instance.frontend, 0.0)
                instance.send_signal(signal.SIGKILL)
                self._spawn_restart(instance.restart())
            case 'term':
                instance.send_signal(signal.SIGTERM)
                self._spawn_restart(_finish_stop(instance))
            case 'hup':
                instance.send_signal(signal.SIGHUP)
            case 'pause':
                instance.send_signal(signal.SIGSTOP)
                self._spawn(self._resume_later(instance))

    async def _resume_later(self, instance):
        process = instance.process
        cut_off = self._checks.begin_cut_off(instance.frontend)
        pause_s = self._rng.uniform(0.5, 4.0)
        self._checks.record_disturbed(instance.frontend, pause_s)
        await asyncio.sleep(pause_s)
        cut_off.end = asyncio.get_running_loop().time()
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)


async def _finish_stop(instance):
    process = instance.process
    try:
        async with asyncio.timeout(GRACE_S):
            await process.wait()
    except TimeoutError:
        # It is killed as on the platform; a graceful stop is shorter.
        instance.send_signal(signal.SIGKILL)
    await instance.restart()
