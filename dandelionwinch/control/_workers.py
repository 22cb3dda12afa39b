"""Run the duties of the holder of the lease, in place or as tasks."""

import asyncio
import traceback

from dandelionwinch.control import _store

# Longest wait for calls in flight at a graceful stop: the call timeout of the
# duty API's client, with a margin.
STOP_WAIT_S = 2.5


class InlineWorker:
    """Performs one duty between two renewals, with no task of its own.

    Args:
        duty: Duty.
    """

    __slots__ = ('_duty',)

    def __init__(self, duty):
        self._duty = duty

    async def perform(self, authority):
        """Performs the duty to its end."""
        await self._duty.perform(authority)

    async def stop(self):
        """Does nothing, as the task of the lease was cancelled."""

    def close(self):
        """Does nothing, as the task of the lease was cancelled."""


class DutyRunner:
    """Performs each duty in its own task, so that none delays another.

    Args:
        loop: Event loop.
        duties: Sequence of Duty.
        calls: DutyCalls, through which duties reach their API.
        log: EventLog.
    """

    __slots__ = ('_calls', '_duties', '_log', '_loop', '_stopped', '_tasks')

    def __init__(self, loop, duties, calls, log):
        self._loop = loop
        self._duties = duties
        self._calls = calls
        self._log = log
        # Token and task of the last performance of each duty, by its name.
        self._tasks = {}
        self._stopped = False

    async def perform(self, authority):
        """Starts each duty whose last performance has ended."""
        if self._stopped or not authority.held:
            return
        for duty in self._duties:
            token, task = self._tasks.get(duty.name, (0, None))
            if task is not None and not task.done():
                # It can send nothing under an authority that was lost.
                if token != authority.token:
                    task.cancel()
                continue
            task = self._loop.create_task(self._perform(duty, authority))
            self._tasks[duty.name] = (authority.token, task)

    async def _perform(self, duty, authority):
        try:
            await duty.perform(authority)
        except _store.StoreFailed as exc:
            self._log.event(
                'duties.store_failed', duty=duty.name, reason=str(exc)
            )
        except Exception:
            self._log.event(
                'duties.fault', duty=duty.name, trace=traceback.format_exc()
            )

    async def stop(self):
        """Ends all duties once no call is in flight.

        A call that has no answer after STOP_WAIT_S is cancelled, and counts
        as unanswered.
        """
        self._stopped = True
        await self._calls.wait_idle(STOP_WAIT_S)
        self.close()
        tasks = [task for _token, task in self._tasks.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        """Cancels all duties."""
        self._stopped = True
        for _token, task in self._tasks.values():
            task.cancel()
