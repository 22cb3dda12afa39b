"""Tests of the event log on outputs that accept nothing."""

import asyncio
import json
import os

import pytest

from dandelionwinch import eventlog
from dandelionwinch.tests import instance_harness
from dandelionwinch.tests import recorder

PIPE_BYTES = 1 << 16
LINE = 'x' * 1000


@pytest.fixture
def pipe():
    """Yields the reading and the writing end of a pipe."""
    ends = os.pipe()
    yield ends
    for descriptor in ends:
        # A test may have closed it.
        try:
            os.close(descriptor)
        except OSError:
            pass


def _names(data):
    return [json.loads(line)['event'] for line in data.splitlines()]


def test_a_reader_that_went_away_does_not_stop_the_instance(pipe):
    """The exception of a flush ended the timer that flushes the log."""
    reading, writing = pipe
    log = eventlog.EventLog('i-1', writing)
    os.close(reading)
    log.event('instance.started')
    log.flush()
    log.event('instance.stopping')
    log.flush()


def test_lines_wait_for_an_output_that_is_full(pipe):
    """Each line is written once and in order, as writes may be partial."""
    reading, writing = pipe
    log = eventlog.EventLog('i-1', writing)
    names = [f'event.{number}' for number in range(100)]
    for name in names:
        log.event(name, text=LINE)
    log.flush()
    data = os.read(reading, PIPE_BYTES)
    assert len(data) < 100 * len(LINE)
    log.flush()
    data += os.read(reading, 2 * PIPE_BYTES)
    assert _names(data) == names


def test_lines_that_no_output_accepts_stay_within_a_bound(pipe):
    """What is kept for a reader that is gone must not fill the memory."""
    reading, writing = pipe
    log = eventlog.EventLog('i-1', writing, clock=iter(range(10000)).__next__)
    os.close(reading)
    for _number in range(1000):
        log.event('call.failed', text=LINE)
        log.flush()
    again, other = os.pipe()
    os.dup2(other, writing)
    os.set_blocking(writing, False)
    os.close(other)
    log.flush()
    os.set_blocking(again, False)
    size = 0
    while True:
        try:
            size += len(os.read(again, PIPE_BYTES))
        except BlockingIOError:
            break
        log.flush()
    os.close(again)
    most = eventlog.MAX_PENDING_BYTES + 2 * len(LINE)
    assert 0 < size < most


def test_an_instance_stops_though_nobody_reads_its_log(kv, tmp_path, pipe):
    """Its stop was never marked as ended, so the process went on for good."""
    reading, writing = pipe

    async def run():
        running = instance_harness.RunningInstance(kv, tmp_path / 'none', 1)
        async with running:
            instance = running.process.instance
            instance.log = eventlog.EventLog('i-1', writing)
            os.close(reading)
            instance.stop()
            async with asyncio.timeout(recorder.TIMEOUT_S):
                await instance.wait()

    asyncio.run(run())
