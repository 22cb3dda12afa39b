"""A log that tests read, and wait on instead of on time."""

import asyncio

# Only a bound for a test that hangs; nothing is measured by it.
PATIENCE_S = 30


class Recorder:
    """Takes events like an EventLog, and wakes those who wait."""

    def __init__(self):
        self.events = []
        self._loop = asyncio.get_running_loop()
        self._waiters = []

    def event(self, name, **fields):
        """Records an event."""
        self.events.append((name, fields))
        self.poke()

    def flush(self):
        """Does nothing; there is no output."""

    def poke(self):
        """Lets all who wait look again."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def poke_from_thread(self):
        """Lets all who wait look again, from any thread."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self.poke)

    def names(self):
        """Returns the names of all events."""
        return [name for name, _fields in self.events]

    async def until(self, condition):
        """Waits until a condition holds; it is checked at each event."""
        async with asyncio.timeout(PATIENCE_S):
            while not condition():
                waiter = self._loop.create_future()
                self._waiters.append(waiter)
                await waiter
