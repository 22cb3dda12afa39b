"""What engines keep: beliefs, the calls for them, and what they cost."""

import asyncio
import json

import pytest

from dandelionwinch import dispatch
from dandelionwinch import gateway
from dandelionwinch.gateway import _cache_watch
from dandelionwinch.gateway import _connection
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch.tests import fixtures
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch import upstreams

CODEC = _wire_codec.WireCodec()
PROMPT = fixtures.make_prompt()
SHARED_TOKENS = 6000


def events(*changes, epoch=1, lost=False):
    return dispatch.CacheEvents(epoch, len(changes), lost, changes)


def test_events_tell_what_other_instances_sent():
    cache = dispatch.PrefixCache()
    assert cache.hit_tokens(PROMPT, 'e0', 0.0) == 0
    cache.record_events('e0', events(('a', 2500), ('s1', 3500)), 0.0)
    assert cache.hit_tokens(PROMPT, 'e0', 1.0) == SHARED_TOKENS
    assert cache.hit_tokens(PROMPT, 'e1', 1.0) == 0


def test_a_block_behind_an_evicted_one_is_no_hit():
    cache = dispatch.PrefixCache()
    cache.record_events('e0', events(('a', 2500), ('s1', 3500)), 0.0)
    cache.record_events('e0', events(('a', None)), 1.0)
    assert cache.hit_tokens(PROMPT, 'e0', 1.0) == 0


def test_own_sends_bridge_the_delay_of_events_and_no_more():
    cache = dispatch.PrefixCache()
    cache.record_events('e0', events(), 0.0)
    cache.record(PROMPT, 'e0', 0.0)
    assert cache.hit_tokens(PROMPT, 'e0', 1.0) == SHARED_TOKENS
    cache.record_events('e0', events(), 3.0)
    assert cache.hit_tokens(PROMPT, 'e0', 3.0) == 0


@pytest.mark.parametrize(
    'later', [events(epoch=2), events(lost=True), events(('a', None))]
)
def test_a_restart_a_gap_and_an_eviction_end_what_was_known(later):
    cache = dispatch.PrefixCache()
    cache.record_events('e0', events(('a', 2500), ('s1', 3500)), 0.0)
    cache.record_events('e0', later, 1.0)
    assert cache.hit_tokens(PROMPT, 'e0', 1.0) == 0


def test_old_events_give_way_to_own_sends():
    cache = dispatch.PrefixCache()
    cache.record_events('e0', events(('a', 2500), ('s1', 3500)), 0.0)
    assert cache.hit_tokens(PROMPT, 'e0', 20.0) == 0
    cache.record(PROMPT, 'e0', 20.0)
    assert cache.hit_tokens(PROMPT, 'e0', 25.0) == SHARED_TOKENS


def calls_per_s(instances, engines, prompts_per_s):
    """Returns the calls of all instances that share a rate of prompts."""
    plan = dispatch.WatchPlan()
    own = prompts_per_s / instances
    for number in range(round(20 * own)):
        plan.record_prompt(number / own)
    interval_s = plan.interval_s(engines, 20.0)
    if interval_s is None:
        return 0.0
    return instances * engines / interval_s


@pytest.mark.parametrize('instances', [1, 6, 20, 60, 195])
def test_calls_do_not_grow_with_the_instances(instances):
    assert calls_per_s(instances, 20, 260.0) <= 1.2 * 260.0


def test_few_instances_follow_all_engines_and_many_none():
    assert calls_per_s(6, 6, 80.0) == pytest.approx(6 * 6 / 0.5)
    assert calls_per_s(195, 20, 260.0) == 0.0
    assert calls_per_s(6, 0, 80.0) == 0.0
    assert calls_per_s(6, 6, 0.1) == 0.0


def test_cache_events_are_parsed():
    body = (
        b'{"epoch": 7, "next": 4, "lost": false, "events": '
        b'[[3, "+", "", "ab", 12, "m"], [4, "-", "", "cd", 0, "m"]]}'
    )
    assert CODEC.parse_cache_events(body) == dispatch.CacheEvents(
        7, 4, False, (('m/ab', 12), ('m/cd', None))
    )
    method, target, headers = CODEC.cache_events_request('i-1', 4, 1.0)
    assert (method, target) == ('GET', '/-/kv-events?since=4')
    assert ('Wait-Ms', '1000') in headers


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'7',
        b'{"epoch": 1, "next": 2, "lost": false}',
        b'{"epoch": 1, "next": 2, "lost": false, "events": [[1, "+"]]}',
        b'{"epoch": 1, "next": 2, "lost": false, "events": 3}',
        b'{"epoch": 1, "next": 2, "lost": 0, "events": '
        b'[[1, "?", "", "a", 1, "m"]]}',
    ],
)
def test_malformed_cache_events_are_none(body):
    assert CODEC.parse_cache_events(body) is None


class _Placer:
    def __init__(self):
        self.recorded = []
        self.interval_s = 0.01

    def watch_interval_s(self, _count, _now):
        return self.interval_s

    def record_cache_events(self, upstream_id, events_, _now):
        self.recorded.append((upstream_id, events_.position))


async def _serve(bodies):
    """Serves bodies in order, then the last one; returns it and targets."""
    targets = []

    async def handle(reader, writer):
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                writer.close()
                return
            targets.append(head.split(b' ')[1].decode())
            body = bodies.pop(0) if len(bodies) > 1 else bodies[0]
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
                + body
            )

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    return server, targets


def test_the_watch_goes_on_from_the_last_change_and_after_nonsense():
    async def scenario():
        loop = asyncio.get_running_loop()
        bodies = [
            json.dumps(
                {'epoch': 1, 'next': n, 'lost': False, 'events': []}
            ).encode()
            for n in (5, 9)
        ]
        server, targets = await _serve([bodies[0], b'nonsense', bodies[1]])
        port = server.sockets[0].getsockname()[1]
        log = recorder.Recorder()
        fleet = gateway.Fleet(loop)
        entry = upstreams.Entry(
            'e1',
            's',
            f'127.0.0.1:{port}',
            'dc',
            1,
            True,
            upstreams.Role.PREFILL,
            4,
        )
        fleet.registry.apply(entry)
        placer = _Placer()
        watch = _cache_watch.CacheWatch(loop, fleet, placer, CODEC, log)
        watch._update(loop.time())
        while len(placer.recorded) < 3:
            await asyncio.sleep(0)
        placer.interval_s = None
        watch._update(loop.time())
        assert not watch._tasks
        watch.close()
        fleet.close()
        server.close()
        return targets, placer.recorded, log.names()

    targets, recorded, names = asyncio.run(scenario())
    assert [target.partition('=')[2] for target in targets[:4]] == [
        '0',
        '5',
        '5',
        '9',
    ]
    assert recorded[:3] == [('e1', 5), ('e1', 9), ('e1', 9)]
    assert names.count('cache.unknown') == 1


@pytest.mark.parametrize(
    'script', [[samples.refusal()], [gateway_harness.response(b'nonsense')]]
)
def test_a_connection_is_not_reused_after_a_watch_that_failed(script):
    """Its response names no request.

    A late second copy of a refusal would be taken for that of the caller's
    request on the connection, which would be sent again and run twice.
    """

    async def scenario(harness):
        fleet = harness.gateway.fleet
        engine = fleet.registry.get('u0')
        with pytest.raises(_connection.ConnectionLost):
            await harness.gateway._cache_watch._fetch(engine, 0)
        return fleet.pool(engine).open

    assert gateway_harness.run_scenario([[script]], scenario) == 0


def test_the_gateway_starts_the_watch_without_any_engine():
    """The first look once failed, as there were neither engines nor calls."""

    async def scenario(harness):
        watch = harness.gateway._cache_watch
        watch._update(0.0)
        return watch._tasks

    assert gateway_harness.run_scenario([], scenario) == {}
