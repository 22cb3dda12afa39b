"""Streams that move off an engine that leaves, with each failure of it."""

import asyncio

import attrs
import pytest

from dandelionwinch import gateway
from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.standins import moves
from dandelionwinch.standins import moving
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch.tests import test_reclaims

TOTAL = 8
# Events that the source makes before it leaves.
BEFORE = 3
ENGINE = routes.EngineSpec(4, 1000, 1.0, 5.0, 3.0, moves=True)
SCALING = routes.Scaling(1, 9, 1.0, None, {})


class Harness(gateway_harness.GatewayHarness):
    """A gateway with engines whose streams move; u0 begins the stream.

    Attributes:
        site: Moves of the engines.
    """

    def __init__(self, engines, **service):
        super().__init__([None] * engines)
        self.site = moves.Moves()
        self._service = {'engine': ENGINE, 'scaling': SCALING, **service}

    def make_upstream(self, script):
        return moving.MovingEngine(
            self.site, TOTAL, samples.REQUEST_ID, self.log.notify
        )

    async def begin(self, path='/stream/1', request_id='r1'):
        """Begins a stream at u0, of which BEFORE events are relayed."""
        service = routes.Service('s', 100, **self._service)
        self.gateway.fleet.table = routes.RouteTable(
            1, gateway_harness.ROUTES, [service], self.limits
        )
        registry = self.gateway.fleet.registry
        others = [e.entry for e in registry if e.entry.id != 'u0']
        for entry in others:
            registry.remove(entry.id, 0.0)
        self.upstreams[0].make_up_to(BEFORE)
        self.generate(path, request_id)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            last = b'id: %d\n' % BEFORE
            self.begun = await self.reader.readuntil(last)
        for entry in others:
            registry.apply(entry)

    def drain(self, upstream_id, **changes):
        """Applies an entry that says that an engine drains."""
        test_reclaims.drain(self, upstream_id, **changes)

    async def rest(self):
        """Returns numbers and runs of the events that came, and the end."""
        async with asyncio.timeout(recorder.TIMEOUT_S):
            try:
                rest = await self.reader.readuntil(b'\r\n0\r\n\r\n')
                end = 'whole'
            except (asyncio.IncompleteReadError, ConnectionError) as exc:
                rest, end = getattr(exc, 'partial', b''), 'cut'
        lines = (self.begun + rest).split(b'\n')
        ids = [int(line[4:]) for line in lines if line.startswith(b'id: ')]
        data = {line[6:] for line in lines if line.startswith(b'data: ')}
        return ids, {item.decode() for item in data}, end

    async def is_whole(self):
        """Checks that each event came once, from the run that began."""
        expected = list(range(1, TOTAL + 1)), {self.upstreams[0].address}
        assert await self.rest() == (*expected, 'whole')

    def calls(self, number):
        """Returns the paths of the calls that an engine got, in order."""
        kinds = {samples.MOVE_PATH: 'move', '/stream/1': 'run'}
        return [
            kinds.get(req.target, 'free' if req.method == 'DELETE' else '')
            for req in self.upstreams[number].requests
        ]

    async def result(self):
        """Returns the result of the migration that failed."""
        await self.log.wait_until(
            lambda: 'stream.move_failed' in self.log.names()
        )
        return dict(self.log.events)['stream.move_failed']['why']

    async def freed(self):
        """Waits until all copies that are not used were freed."""
        copies = self.site.copies
        await self.log.wait_until(
            lambda: copies and all(c.used or c.freed for c in copies.values())
        )


def run(scenario, engines=2, **service):
    """Runs a coroutine function of a Harness; returns its result."""

    async def main():
        async with Harness(engines, **service) as harness:
            return await scenario(harness)

    return asyncio.run(main())


@pytest.mark.parametrize('framed', [True, False])
def test_a_stream_goes_on_at_another_engine_as_the_same_run(framed):
    """It was cut as its engine left; it must not be repeated."""

    async def scenario(harness):
        for engine in harness.upstreams:
            engine.framed = framed
        await harness.begin()
        harness.drain('u0')
        await harness.is_whole()
        first, last = harness.upstreams[0].requests[1:]
        source = harness.upstreams[0].address
        (again,) = harness.upstreams[1].requests
        assert b'"last": false' in first.body
        assert b'"last": true' in last.body
        (handle,) = harness.site.copies
        assert again.headers[samples.KV_SOURCE] == f'{source}/{handle}'
        assert again.headers[samples.LAST_EVENT_ID] == str(BEFORE)
        assert harness.gateway.fleet.registry.get('u0').failure_rate == 0.0
        assert 'upstream.crashed' not in harness.log.names()
        await harness.log.wait_until(
            lambda: 'request.answered' in harness.log.names()
        )
        answered = dict(harness.log.events)['request.answered']
        return answered['outcome'], answered['upstream']

    assert run(scenario) == ('whole', 'u1')


def test_a_stream_moves_once_its_engine_announces_its_end():
    """Its entry, which says so a second later, may leave no time."""

    async def scenario(harness):
        await harness.begin()
        entry = harness.gateway.fleet.registry.get('u0').entry
        leaving = ((samples.LEAVING, '1'),)
        head = gateway.Head('', '', 200, leaving, True, 0)
        harness.gateway.fleet.observe_head(entry.incarnation, head)
        await harness.is_whole()
        return harness.calls(1)

    assert run(scenario) == ['run']


def test_an_engine_may_drain_before_there_is_a_configuration():
    """An instance that starts reads entries before the configuration."""

    async def scenario(harness):
        harness.gateway.fleet.table = None
        harness.drain('u0')
        return harness.log.names()

    assert run(scenario) == []


def test_a_stream_moves_while_the_instance_stops():
    async def scenario(harness):
        await harness.begin()
        harness.gateway.begin_stop(harness.gateway.loop.time() + 8.0)
        harness.drain('u0')
        await harness.is_whole()
        return harness.calls(1)

    assert run(scenario) == ['run']


def test_few_streams_move_off_an_engine_at_a_time():
    """The last copy of each waited for the first copies of all others."""

    async def scenario(harness):
        callers, writers = [], []
        for number in range(4):
            await harness.connect()
            await harness.begin(request_id=f'r{number}')
            writers.append(harness.writer)
            callers.append((harness.reader, harness.begun))
        harness.upstreams[0].faults = [moving.HOLD] * 4
        harness.drain('u0')
        await harness.log.wait_until(lambda: len(harness.site.copies) == 2)
        await asyncio.sleep(0)
        begun = harness.calls(0).count('move')
        harness.upstreams[0].release.set()
        for harness.reader, harness.begun in callers:
            await harness.is_whole()
        return begun, harness.calls(0).count('move')

    assert run(scenario, 4) == (2, 8)


def test_the_next_target_is_asked_if_one_refuses_the_first_copy():
    async def scenario(harness):
        await harness.begin()
        harness.upstreams[0].faults = [moving.REFUSE, moving.REFUSE]
        harness.drain('u0')
        await harness.is_whole()
        return harness.calls(0)

    assert run(scenario, 4) == ['run', 'move', 'move', 'move', 'move']


def test_a_stream_stays_if_three_targets_refuse():
    async def scenario(harness):
        await harness.begin()
        harness.upstreams[0].faults = [moving.REFUSE] * 9
        harness.drain('u0')
        result = await harness.result()
        harness.upstreams[0].make_up_to(TOTAL)
        await harness.is_whole()
        return result, harness.calls(0)

    moved = ['run', 'move', 'move', 'move']
    assert run(scenario, 5) == ('no_target', moved)


def test_a_target_that_is_gone_between_the_copies_is_replaced():
    async def scenario(harness):
        await harness.begin()
        harness.upstreams[0].faults = [moving.HOLD]
        harness.drain('u0')
        await harness.log.wait_until(lambda: harness.site.copies)
        (copy,) = harness.site.copies.values()
        (gone,) = [
            upstream.entry.id
            for upstream in harness.gateway.fleet.registry
            if upstream.entry.address == copy.target
        ]
        harness.gateway.fleet.registry.remove(gone, 0.0)
        harness.upstreams[0].release.set()
        await harness.is_whole()
        await harness.freed()
        return copy.freed

    assert run(scenario, 3)


@pytest.mark.parametrize(
    ('path', 'end'), [('/stream/1', 'cut'), ('/resume/1', 'whole')]
)
def test_a_lost_answer_to_the_last_copy_moves_nothing(path, end):
    """The source may still run it: only a route that may be resumed is."""

    async def scenario(harness):
        await harness.begin(path)
        harness.upstreams[0].faults = ['', moving.LOSE]
        harness.drain('u0')
        _ids, _runs, found = await harness.rest()
        assert harness.gateway.fleet.registry.get('u0').failure_rate == 0.0
        sources = [
            req.headers.get(samples.KV_SOURCE)
            for req in harness.upstreams[1].requests
            if req.method == 'POST'
        ]
        return found, sources, await harness.result()

    sent = [None] if end == 'whole' else []
    assert run(scenario) == (end, sent, 'lost')


def test_a_close_without_a_length_and_a_lost_answer_is_no_end():
    async def scenario(harness):
        harness.upstreams[0].framed = False
        await harness.begin()
        harness.upstreams[0].faults = ['', moving.LOSE]
        harness.drain('u0')
        return (await harness.rest())[2]

    assert run(scenario) == 'cut'


@pytest.mark.parametrize('faults', [[moving.CRASH], ['', moving.CRASH]])
def test_a_source_that_crashes_during_a_migration_cuts_its_stream(faults):
    async def scenario(harness):
        await harness.begin()
        harness.upstreams[0].faults = faults
        harness.drain('u0')
        ids, _runs, end = await harness.rest()
        return ids, end, harness.calls(1).count('run')

    assert run(scenario) == ([1, 2, 3], 'cut', 0)


def test_the_copy_of_a_run_that_ends_is_freed():
    async def scenario(harness):
        await harness.begin()
        harness.upstreams[0].faults = [moving.HOLD]
        harness.drain('u0')
        await harness.log.wait_until(lambda: harness.site.copies)
        harness.upstreams[0].make_up_to(TOTAL)
        await harness.is_whole()
        harness.upstreams[0].release.set()
        await harness.freed()
        return harness.calls(0), harness.calls(1), await harness.result()

    assert run(scenario) == (['run', 'move', 'free'], [], 'ended')


@pytest.mark.parametrize('faults', [[moving.HOLD], ['', moving.HOLD]])
def test_the_copy_is_freed_if_the_caller_disconnects(faults):
    async def scenario(harness):
        await harness.begin()
        harness.upstreams[0].faults = list(faults)
        harness.drain('u0')
        await harness.log.wait_until(
            lambda: harness.calls(0).count('move') == len(faults)
        )
        harness.writer.close()
        await harness.log.wait_until(
            lambda: 'request.left' in harness.log.names()
        )
        harness.upstreams[0].release.set()
        await harness.freed()
        return harness.calls(1), await harness.result()

    assert run(scenario) == ([], 'left')


def test_a_stream_moves_again_if_its_next_engine_leaves():
    async def scenario(harness):
        for engine in harness.upstreams:
            engine.limit = 0
        await harness.begin()
        harness.drain('u0')
        await harness.log.wait_until(
            lambda: harness.calls(1) + harness.calls(2)
        )
        second = 1 if harness.calls(1) else 2
        harness.upstreams[second].make_up_to(BEFORE + 2)
        harness.drain(f'u{second}')
        harness.upstreams[3 - second].make_up_to(TOTAL)
        await harness.is_whole()
        return harness.calls(second)

    assert run(scenario, 3) == ['run', 'move', 'move']


def test_the_source_goes_on_if_the_target_refuses_to():
    async def scenario(harness):
        await harness.begin()
        harness.upstreams[1].refuses = True
        harness.drain('u0')
        await harness.log.wait_until(lambda: harness.calls(1))
        harness.upstreams[0].make_up_to(TOTAL)
        await harness.is_whole()
        return harness.calls(0), harness.calls(1)

    assert run(scenario) == (['run', 'move', 'move', 'run'], ['run'])


def test_a_stream_that_no_engine_continues_is_cut():
    """To send a run on as a new one would repeat what must not be."""

    async def scenario(harness):
        await harness.begin()
        for engine in harness.upstreams:
            engine.refuses = True
        harness.drain('u0')
        end = (await harness.rest())[2]
        return end, [harness.calls(n).count('run') for n in range(3)]

    end, runs = run(scenario, 3)
    assert (end, runs[0], sorted(runs[1:])) == ('cut', 2, [0, 1])


def test_the_source_goes_on_if_the_last_copy_has_no_room():
    async def scenario(harness):
        await harness.begin()
        harness.upstreams[0].faults = ['', moving.REFUSE]
        harness.drain('u0')
        await harness.log.wait_until(lambda: harness.calls(0)[1:].count('run'))
        harness.upstreams[0].make_up_to(TOTAL)
        await harness.is_whole()
        return harness.calls(1)

    assert run(scenario) == ['free']


@pytest.mark.parametrize('engines', [2, 3])
def test_a_stream_that_returns_moves_to_another_engine_only(engines):
    """Soak 3024: it was moved again to the one that had had no room."""

    async def scenario(harness):
        await harness.begin()
        harness.upstreams[0].faults = ['', moving.REFUSE]
        harness.drain('u0')
        await harness.log.wait_until(lambda: harness.calls(0)[1:].count('run'))
        harness.upstreams[0].make_up_to(BEFORE + 2)
        if engines == 2:
            await harness.result()
            harness.upstreams[0].make_up_to(TOTAL)
        await harness.is_whole()
        others = range(1, engines)
        return sum(harness.calls(number).count('run') for number in others)

    assert run(scenario, engines) == engines - 2


def test_a_call_that_meets_another_one_is_repeated():
    async def scenario(harness):
        await harness.begin()
        harness.upstreams[0].faults = [moving.BUSY, '', moving.BUSY]
        harness.drain('u0')
        await harness.is_whole()
        return harness.calls(0)

    assert run(scenario) == ['run'] + ['move'] * 4


def test_a_stream_stays_without_a_retry():
    async def scenario(harness):
        await harness.begin()
        harness.gateway.budget = type(harness.gateway.budget)(0.0, 0.0, 10.0)
        harness.drain('u0')
        result = await harness.result()
        harness.upstreams[0].make_up_to(TOTAL)
        await harness.is_whole()
        await harness.freed()
        return result, harness.calls(1)

    assert run(scenario) == ('no_budget', [])


@pytest.mark.parametrize(
    'service',
    [
        {'scaling': None},
        {'engine': None},
        {'engine': attrs.evolve(ENGINE, moves=False)},
    ],
)
def test_nothing_is_sent_where_streams_are_not_moved(service):
    async def scenario(harness):
        await harness.begin()
        harness.drain('u0')
        harness.upstreams[0].make_up_to(TOTAL)
        await harness.is_whole()
        return harness.calls(0), harness.calls(1)

    assert run(scenario, **service) == (['run'], [])
