"""An event log for tests, which wait for its events without polling."""

import asyncio

# Ends a test that hangs; no result depends on it.
TIMEOUT_S = 30


class Recorder:
    """Records events like an EventLog and wakes waiting tests."""

    def __init__(self):
        self.events = []
        self._loop = asyncio.get_running_loop()
        self._waiters = []

    def event(self, name, **fields):
        """Records an event."""
        self.events.append((name, fields))
        self.notify()

    def flush(self):
        """Does nothing; there is no output."""

    def notify(self):
        """Makes all waiting tests check their conditions."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def notify_from_thread(self):
        """Calls `notify` from any thread."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self.notify)

    def names(self):
        """Returns the names of all events."""
        return [name for name, _fields in self.events]

    async def wait_until(self, condition):
        """Waits until a condition holds; checks it at each event."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                waiter = self._loop.create_future()
                self._waiters.append(waiter)
                await waiter
