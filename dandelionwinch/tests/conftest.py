"""Fixtures that several test modules share."""

import pathlib

import pytest

from dandelionwinch.tests import entry_harness


@pytest.fixture(scope='module')
def shared_harness(tmp_path_factory):
    made = entry_harness.EntryHarness()
    made.start(tmp_path_factory.mktemp('entry'))
    yield made
    made.close()


@pytest.fixture
def harness(shared_harness):
    """The shared instance, with all faults taken back afterwards."""
    yield shared_harness
    shared_harness.store.down = False
    shared_harness.store.replies_to_drop = 0
    shared_harness.service.replies_to_drop = 0
    shared_harness.service.alive = True
    for server in shared_harness.upstreams:
        server.streams_to_stall = 0
        if not server.engine.alive:
            server.engine.restart()
    core = shared_harness.entry.core
    entry_harness.wait_until(
        lambda: all(
            estimate.usable(core.now())
            for estimate in core.scheduler.estimates.all()
        ),
        'all upstreams usable again',
    )


KNOWN_RED = pathlib.Path(__file__).parents[2] / 'KNOWN-RED.txt'


def _known_red():
    lines = KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix('test: ')
        for line in lines
        if line.startswith('test: ')
    ]


def pytest_collection_modifyitems(items):
    """Passes over the tests of KNOWN-RED.txt; a green one must leave it."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            mark = pytest.mark.xfail(reason='in KNOWN-RED.txt', strict=True)
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter):
    """Prints the tests that are known to be red."""
    for name in _known_red():
        terminalreporter.write_line(f'known red: {name}')
