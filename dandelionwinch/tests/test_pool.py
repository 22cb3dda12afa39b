"""Waiting for a connection of a full pool."""

import asyncio

import pytest

from dandelionwinch.gateway import _pool
from dandelionwinch.tests import virtual

BUSY_S = 60.0


class _Connection:
    """A connection that can be reused for ever."""

    usable = quiet = True
    reusable_until = float('inf')

    def finish(self):
        return True

    def abort(self):
        pass


async def _full_pool():
    """Returns a pool whose only connection is in use, and this one."""
    pool = _pool.Pool(asyncio.get_running_loop(), '127.0.0.1:1', 1)
    pool.open = 1
    return pool, _Connection()


async def _start_waiting(pool, timeout_s=BUSY_S):
    task = asyncio.create_task(pool.acquire(timeout_s))
    await asyncio.sleep(0)
    return task


def test_the_wake_up_of_a_waiter_that_is_cancelled_goes_to_the_next():
    async def scenario():
        pool, conn = await _full_pool()
        first = await _start_waiting(pool)
        second = await _start_waiting(pool)
        pool.release(conn)
        first.cancel()
        async with asyncio.timeout(BUSY_S / 2):
            assert await second is conn
        with pytest.raises(asyncio.CancelledError):
            await first

    virtual.run(scenario())


def test_a_waiter_gets_the_connection_that_is_released():
    async def scenario():
        pool, conn = await _full_pool()
        waiting = await _start_waiting(pool)
        pool.release(conn)
        assert await waiting is conn

    virtual.run(scenario())


def test_a_wait_ends_at_its_timeout():
    async def scenario():
        pool, _conn = await _full_pool()
        with pytest.raises(_pool.PoolBusy):
            await pool.acquire(0.0)

    virtual.run(scenario())


def test_all_waits_end_when_nothing_may_be_sent():
    async def scenario():
        pool, conn = await _full_pool()
        waiting = [await _start_waiting(pool) for _n in range(3)]
        pool.turn_away()
        async with asyncio.timeout(BUSY_S / 2):
            found = await asyncio.gather(*waiting, return_exceptions=True)
        assert [type(exc) for exc in found] == [_pool.PoolBusy] * 3
        pool.release(conn)
        assert await pool.acquire(BUSY_S) is conn

    virtual.run(scenario())


class _SkippingLoop(asyncio.SelectorEventLoop):
    """A loop whose clock can skip seconds, as in a stall of the process."""

    skipped_s = 0.0

    def time(self):
        return super().time() + self.skipped_s


class _StallingPool(_pool.Pool):
    """A pool of a process that stalls while its first connection opens."""

    __slots__ = ('stalls',)

    def _new_connection(self):
        if self.stalls:
            self.stalls -= 1
            self._loop.skipped_s += 2 * BUSY_S
        return super()._new_connection()


@pytest.mark.parametrize('stalls', [1, 2])
def test_a_stall_of_this_process_fails_no_connection(monkeypatch, stalls):
    """The upstream was ejected, though the connection had been made.

    A second stall is no proof that the upstream answers.
    """
    monkeypatch.setattr(_pool, 'CONNECT_TIMEOUT_S', BUSY_S)

    async def scenario():
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(
            lambda _reader, writer: writer.close(), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        pool = _StallingPool(loop, f'127.0.0.1:{port}', 1)
        pool.stalls = stalls
        try:
            pool.discard(await pool.acquire(100 * BUSY_S))
        except _pool.NotConnected:
            return 'failed', pool.open
        finally:
            server.close()
        return 'opened', pool.open

    with asyncio.Runner(loop_factory=_SkippingLoop) as runner:
        result = runner.run(scenario())
    assert result == ('opened' if stalls == 1 else 'failed', 0)
