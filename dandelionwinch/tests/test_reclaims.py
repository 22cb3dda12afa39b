"""Upstreams that are taken away, and the requests that they have."""

import asyncio
import json
import random

import attrs

from dandelionwinch import addresses
from dandelionwinch.control import _change_relay
from dandelionwinch import dispatch
from dandelionwinch.platform import _boot
from dandelionwinch.platform import samples
from dandelionwinch.standins import kvitems
from dandelionwinch.standins import scripted
from dandelionwinch.tests import datagrams
from dandelionwinch.tests import fixtures
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import test_control
from dandelionwinch.tests import virtual
from dandelionwinch import upstreams

CFG = _boot.read(samples.settings())
INSTANCES = 58
UPSTREAMS = 23
LEAVES_MS = 2000.0
START_INTERVAL_S = 0.023
SETTLE_S = 5.0
CHANGE_INTERVAL_S = 0.05


class Site:
    """Instances that follow one store and tell each other of upstreams.

    Each reads the store at another time, as entries change all the time.
    """

    def __init__(self, seed):
        self.items = kvitems.KvItems()
        self.network = datagrams.Network(random.Random(seed), 0.0)
        for number in range(UPSTREAMS):
            test_control.put_upstream(self.items, f'i-{number}', spot=True)
        test_control.put_config(self.items, 1)
        for number in range(INSTANCES):
            entry = addresses.InstanceEntry(
                f'n{number}', f'10.0.0.{number}:1', 'a', 'north', CFG.capacity
            )
            value = json.dumps(attrs.asdict(entry)).encode()
            key = f'{test_control.INSTANCE_PREFIX}n{number}'
            self.items.put(key, value)
        self.nodes = []

    async def start(self):
        """Starts the instances one after another."""
        self.keep_changing(1)
        for number in range(INSTANCES):
            node = test_control.Node(self.items, f'n{number}')
            addr = (f'10.0.0.{number}', CFG.peer_port)
            self.network.add(node.gateway.peers, addr)
            self.nodes.append(node)
            await asyncio.sleep(START_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)

    def keep_changing(self, sequence):
        """Writes another heartbeat of an upstream at short intervals."""
        test_control.put_upstream(self.items, 'other', sequence=sequence)
        asyncio.get_running_loop().call_later(
            CHANGE_INTERVAL_S, self.keep_changing, sequence + 1
        )

    def send_to(self, upstream_id):
        """Returns how many instances would still choose an upstream."""
        return sum(
            any(
                u.entry.id == upstream_id
                for u in upstreams.available(
                    node.gateway.fleet.serving('s'),
                    asyncio.get_running_loop().time(),
                )
            )
            for node in self.nodes
        )

    def close(self):
        for node in self.nodes:
            node.close()


def known_after_s(changes):
    """Returns when the last of the instances avoids an upstream."""

    async def scenario():
        loop = asyncio.get_running_loop()
        site = Site(3)
        try:
            await site.start()
            test_control.put_upstream(site.items, 'i-1', spot=True, **changes)
            began = loop.time()
            while site.send_to('i-1'):
                await asyncio.sleep(0.01)
            return loop.time() - began
        finally:
            site.close()

    result = []

    async def run():
        result.append(await scenario())

    virtual.run(run())
    return result[0]


def test_all_know_in_time_of_an_upstream_that_is_taken_away(monkeypatch):
    """Else some send to it during most of its last two seconds."""
    relayed_s = known_after_s({'state': 'draining', 'leaves_ms': LEAVES_MS})
    assert relayed_s < 0.6
    # From here on each instance reads the store for itself.
    monkeypatch.setattr(_change_relay, 'MIN_INSTANCES', INSTANCES + 1)
    told_s = known_after_s({'state': 'draining', 'leaves_ms': LEAVES_MS})
    read_s = known_after_s({'state': 'draining'})
    assert told_s < 0.6
    assert read_s > 0.8


def drain(harness, upstream_id, **changes):
    """Applies an entry that says that an upstream drains."""
    registry = harness.gateway.fleet.registry
    entry = registry.get(upstream_id).entry
    registry.apply(attrs.evolve(entry, ready=False, **changes))
    harness.gateway.upstream_drains(registry.get(upstream_id))


def keep_only_first(harness):
    """Removes the second upstream; returns its entry."""
    registry = harness.gateway.fleet.registry
    entry = registry.get('u1').entry
    registry.remove('u1', 0.0)
    return entry


STREAM = [
    gateway_harness.STREAM_HEAD,
    gateway_harness.chunk(gateway_harness.event(1)),
    scripted.HOLD,
    gateway_harness.chunk(gateway_harness.event(2)),
    gateway_harness.LAST_CHUNK,
]
WHOLE = gateway_harness.event(1) + gateway_harness.event(2)


def stream_while(change):
    """Runs a stream during a change; returns its body and the requests."""

    async def scenario(harness):
        later = keep_only_first(harness)
        harness.generate('/stream/1')
        await harness.log.wait_until(lambda: harness.requests)
        harness.gateway.fleet.registry.apply(later)
        change(harness)
        # What the periodic sweep does must leave the connection alone.
        harness.gateway.fleet.sweep(harness.gateway.loop.time())
        harness.upstreams[0].release.set()
        _status, _headers, body = await harness.read_response()
        return body, [len(up.requests) for up in harness.upstreams]

    return gateway_harness.run_scenario([[STREAM], [STREAM]], scenario)


def test_a_stream_is_not_cut_as_its_upstream_drains():
    """It was just sent; it goes on there and is not sent again."""
    assert stream_while(lambda harness: drain(harness, 'u0')) == (
        WHOLE,
        [1, 0],
    )


def test_a_stream_is_not_cut_as_its_upstream_stops_to_report():
    """Its entry lapses if it is slow to report, while it still works."""

    def lapse(harness):
        harness.gateway.fleet.registry.remove('u0', 0.0)

    assert stream_while(lapse) == (WHOLE, [1, 0])


def test_a_request_that_waits_for_one_that_drains_goes_elsewhere_at_once():
    async def scenario(harness):
        later = keep_only_first(harness)
        registry = harness.gateway.fleet.registry
        pool = harness.gateway.fleet.pool(registry.get('u0'))
        conns = [await pool.acquire(1.0) for _n in range(pool.limit)]
        harness.send('/once/1')
        while not pool._waiters:
            await asyncio.sleep(0)
        registry.apply(later)
        drain(harness, 'u0')
        # The connections stay taken, so it does not wait for one.
        status = (await harness.read_response())[0]
        for conn in conns:
            pool.discard(conn)
        return status, [len(up.requests) for up in harness.upstreams]

    good = [gateway_harness.response()]
    found = gateway_harness.run_scenario([[good], [good]], scenario)
    assert found == (200, [0, 1])


def homes(engines, sessions=2000):
    """Returns the engine of each session."""
    placer = fixtures.make_placer()
    # One after another, so that no rate limit sends one elsewhere.
    return [
        fixtures.place(
            placer, fixtures.make_prompt(n), engines, float(n)
        ).prefill_engine
        for n in range(sessions)
    ]


def test_engines_that_come_and_go_move_only_their_share_of_sessions():
    engines = fixtures.make_engines(20)
    before = homes(engines)
    more = homes(engines + fixtures.make_engines(2, first=20))
    moved = [
        (old, new)
        for old, new in zip(before, more, strict=True)
        if old.entry.id != new.entry.id
    ]
    # All that moved went to the new ones, about 2 of 22.
    assert {new.entry.id for _old, new in moved} <= {'e20', 'e21'}
    assert 0.04 < len(moved) / len(before) < 0.16
    fewer = homes(engines[:-2])
    moved = [
        old
        for old, new in zip(before, fewer, strict=True)
        if old.entry.id != new.entry.id
    ]
    assert {old.entry.id for old in moved} <= {'e18', 'e19'}


def reclaimable(engine):
    engine.entry = attrs.evolve(engine.entry, reclaimable=True)
    return engine


def test_the_ordinary_engine_of_a_data_centre_decodes():
    """It is the one that remains when the reclaimable ones are taken."""
    prefill = upstreams.Role.PREFILL
    ordinary = fixtures.make_engines(1, prefill)
    others = [reclaimable(e) for e in fixtures.make_engines(3, first=1)]
    engines = ordinary + others
    for _change in range(6):
        change = dispatch.plan_role(engines, 0)
        if change is None:
            break
        for engine in engines:
            if engine.entry.id == change.upstream_id:
                engine.entry = attrs.evolve(engine.entry, role=change.role)
    assert change is None
    assert ordinary[0].entry.role is upstreams.Role.DECODE
    roles = [engine.entry.role for engine in others]
    assert roles.count(prefill) == 2
