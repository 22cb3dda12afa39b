"""The tasks of a soak."""

import asyncio


class Tasks:
    """Runs coroutines until they end or the soak does.

    Attributes:
        failures: Descriptions of the exceptions that ended a task. A task
            that fails would leave a part of the soak out unnoticed.
    """

    __slots__ = ('_cancelled', '_finished', 'failures')

    def __init__(self):
        self._cancelled = set()
        self._finished = set()
        self.failures = []

    def spawn(self, coroutine):
        """Starts a task that is cancelled when the soak ends."""
        self._start(coroutine, self._cancelled)

    def spawn_restart(self, coroutine):
        """Starts a task that is not cancelled, as it may start a process.

        `finish` waits for it, so that no process is left over.
        """
        self._start(coroutine, self._finished)

    def _start(self, coroutine, tasks):
        def end(task):
            tasks.discard(task)
            if not task.cancelled() and task.exception() is not None:
                name = task.get_coro().__qualname__
                self.failures.append(f'{name}: {task.exception()!r}')

        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(end)

    async def cancel(self):
        """Cancels what `spawn` has started."""
        for task in list(self._cancelled):
            task.cancel()
        await asyncio.gather(*self._cancelled, return_exceptions=True)

    async def finish(self):
        """Waits for what `spawn_restart` has started."""
        await asyncio.gather(*self._finished, return_exceptions=True)
