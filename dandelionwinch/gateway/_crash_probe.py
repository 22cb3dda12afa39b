"""Tells a crashed upstream from a lost connection by new connections."""

import asyncio

# Time within which a crashed upstream refuses a new connection.
CONFIRM_TIMEOUT_S = 0.15
# Time within which the system of a process that is ending closes a connection
# to it that was still accepted.
ENDING_S = 0.03
# First pause after a connection that was reset or closed; it doubles each
# time, as an upstream that lives resets those beyond the number it accepts.
RETRY_PAUSE_S = 0.005


class _Probe(asyncio.Protocol):
    """A connection that tells when it is lost."""

    def __init__(self, loop):
        self.lost = loop.create_future()

    def connection_lost(self, exc):
        """Ends the future, whatever the cause."""
        self.lost.set_result(None)


class CrashProbe:
    """Connections to an upstream that closed one before its answer.

    A process that is gone refuses a new connection at once; one that lives
    accepts it, and one that is frozen or cut off does not answer. The system
    may close the connections of a process that ends before it closes its
    listening socket: a new connection is then accepted and closed, or reset
    while it is opened.

    Args:
        loop: The event loop.
        address: IP address and port of the upstream.
        patient: Whether `refuses` waits for the end of a process that still
            accepts connections.
    """

    __slots__ = (
        '_address',
        '_loop',
        '_patient',
        '_pause_s',
        '_probe',
        '_transport',
    )

    def __init__(self, loop, address, *, patient):
        self._loop = loop
        self._address = address
        self._patient = patient
        self._pause_s = RETRY_PAUSE_S
        self._transport = None
        # The last connection that was not refused, open or not.
        self._probe = None

    def close(self):
        """Closes the connection that is open."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    async def refuses(self):
        """Tells within CONFIRM_TIMEOUT_S whether connections are refused."""
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                return await self._refuses_at_once()
        except (OSError, ValueError):
            return False

    async def _refuses_at_once(self):
        ending_until = self._loop.time() + ENDING_S
        while not await self._is_refused():
            if self._probe.lost.done():
                # Reset while it was opened.
                if not self._patient and self._loop.time() > ending_until:
                    return False
            elif not self._patient or not await self._ends_soon():
                return False
            await self._pause()
        return True

    async def _pause(self):
        pause_s = self._pause_s
        self._pause_s *= 2
        await asyncio.sleep(pause_s)

    async def _ends_soon(self):
        await asyncio.wait([self._probe.lost], timeout=ENDING_S)
        return self._probe.lost.done()

    async def ends(self, span_s):
        """Tells whether connections come to be refused within a time.

        Args:
            span_s: The time in seconds.
        """
        try:
            async with asyncio.timeout(span_s):
                while True:
                    if self._probe is not None:
                        await asyncio.wait([self._probe.lost])
                    if await self._is_refused():
                        return True
                    await self._pause()
        except (OSError, ValueError):
            return False

    async def _is_refused(self):
        """Opens a new connection; tells whether it is refused.

        Raises:
            OSError: If the upstream can't be reached.
            ValueError: If the address has no port.
        """
        self.close()
        host, _, port = self._address.rpartition(':')
        probe = _Probe(self._loop)
        try:
            self._transport, _ = await self._loop.create_connection(
                lambda: probe, host, int(port)
            )
        except ConnectionRefusedError:
            return True
        except ConnectionError:
            if not probe.lost.done():
                probe.lost.set_result(None)
        self._probe = probe
        return False
