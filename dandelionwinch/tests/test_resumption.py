"""Tests of streams that go on at the software version that began them."""

import asyncio
import contextlib
import json
import random

import attrs
import pytest

from dandelionwinch.gateway import _peer_link
from dandelionwinch.gateway import _stream_link
from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.standins import scripted
from dandelionwinch import streams
from dandelionwinch.streams import _records
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import instance_harness
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual
from dandelionwinch import utils

BROKEN = [
    gateway_harness.STREAM_HEAD,
    gateway_harness.chunk(gateway_harness.event(1)),
    scripted.RESET,
]
REST = [
    gateway_harness.STREAM_HEAD,
    gateway_harness.chunk(gateway_harness.event(2)),
    gateway_harness.LAST_CHUNK,
]
ROUTE = samples.route_of(
    'resume', routes.RetryPolicy.RESUMABLE, streaming=True, attempts=2
)


@pytest.mark.parametrize(
    ('versions', 'whole'),
    [
        (('v1', 'v1'), True),
        (('v1', 'v2'), False),
        (('v1', 'v2', 'v1'), True),
        (('v1', 'v2', 'v3'), False),
    ],
)
def test_a_stream_is_resumed_only_at_the_version_that_began_it(
    versions, whole
):
    """Incident: begun at v1.1, crashed, and gone on at v1."""

    async def scenario(harness):
        registry = harness.gateway.fleet.registry
        for number, version in enumerate(versions):
            entry = registry.get(f'u{number}').entry
            ready = number == 0
            registry.apply(
                attrs.evolve(entry, software_version=version, ready=ready)
            )
        harness.generate('/resume/1')
        await harness.log.wait_until(lambda: harness.requests)
        for number in range(1, len(versions)):
            entry = registry.get(f'u{number}').entry
            registry.apply(attrs.evolve(entry, ready=True))
        harness.upstreams[0].release.set()
        _status, _headers, got = await harness.read_response()
        sent = [len(upstream.requests) for upstream in harness.upstreams]
        return got, sent

    first = [*BROKEN[:2], scripted.HOLD, scripted.RESET]
    scripts = [[first]] + [[REST]] * (len(versions) - 1)
    got, sent = gateway_harness.run_scenario(scripts, scenario)
    begun = gateway_harness.event(1)
    end = gateway_harness.event(2) if whole else b'<cut>'
    assert got == begun + end
    others = [
        count
        for version, count in zip(versions, sent, strict=True)
        if version != 'v1'
    ]
    assert sum(others) == 0


@pytest.mark.parametrize(
    ('path', 'recorded'), [('/resume/1', 'v1'), ('/stream/1', None)]
)
def test_each_stream_that_may_be_taken_up_is_recorded(path, recorded):
    """Also beside one version: the second one comes later."""

    async def scenario(harness):
        registry = harness.gateway.fleet.registry
        entry = registry.get('u0').entry
        registry.apply(attrs.evolve(entry, software_version='v1'))
        harness.generate(path)
        await harness.read_response()
        return harness.gateway.streams._copies.get('r1')

    assert gateway_harness.run_scenario([[REST]], scenario) == recorded


class _Pair:
    """Two instances before engines of two versions, v1 and v2.

    The engine of v2 is known and leaving while the first stream begins. It
    is the nearer one, so that it would be chosen for the rest.
    """

    def __init__(self, kv, tmp_path):
        self._kv = kv
        self._path = tmp_path / 'none'
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.old = scripted.ScriptedUpstream(
            samples.REQUEST_ID, [BROKEN, REST]
        )
        self.new = scripted.ScriptedUpstream(samples.REQUEST_ID, [REST])
        for upstream in (self.old, self.new):
            await upstream.start()
            self._stack.push_async_callback(upstream.close)
        self._write_entry('i-1', self.old, 'v1', 'ready', 'b')
        self._write_entry('i-2', self.new, 'v2', 'draining', 'a')
        config = samples.config(1, [ROUTE], [samples.service()])
        self._kv.write(samples.CONFIG_KEY, config)
        port = utils.free_ports(1)[0]
        self.instances = [await self._start(number, port) for number in (2, 3)]
        for instance in self.instances:
            await self._wait(instance, 'instance.added', 2)
        return self

    async def _start(self, number, port, upstreams=2):
        instance = instance_harness.RunningInstance(
            self._kv,
            self._path,
            name=f'edge-a-{number}',
            ip=f'127.0.0.{number}',
            peer_port=port,
        )
        await self._stack.enter_async_context(instance)
        await self._wait(instance, 'upstream.changed', upstreams)
        await self._wait(instance, 'config.applied', 1)
        await self._wait(instance, 'registration.made', 1)
        return instance

    async def __aexit__(self, *_exc):
        await self._stack.aclose()

    def _write_entry(self, upstream_id, upstream, version, state, zone):
        entry = samples.entry(
            address=upstream.address, version=version, state=state, zone=zone
        )
        self._kv.write(samples.entry_key(upstream_id), entry)

    @staticmethod
    async def _wait(instance, name, count):
        await instance.log.wait_until(
            lambda: instance.log.names().count(name) >= count
        )

    async def restart_all(self):
        """Kills all instances at once, and starts others in their place."""
        for instance in self.instances:
            instance.process.close()
        self._write_entry('i-2', self.new, 'v2', 'ready', 'a')
        self._kv.remove(samples.entry_key('i-1'))
        port = utils.free_ports(1)[0]
        self.instances = [
            await self._start(number, port, upstreams=1) for number in (4, 5)
        ]

    async def admit_new(self):
        """Makes the engine of v2 ready, in the view of both instances."""
        self._write_entry('i-2', self.new, 'v2', 'ready', 'a')
        for instance in self.instances:
            await self._wait(instance, 'upstream.changed', 3)

    async def send(self, number, request):
        """Sends a request to one instance; returns status and body."""
        reader, writer = await self.instances[number].connect('callers')
        writer.write(request)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            data = await reader.readuntil(b'\r\n\r\n')
            status = int(data.split(b' ')[1])
            body = b''
            while status == 200 and (chunk := await reader.readline()):
                body += chunk
                if chunk == b'0\r\n':
                    break
        writer.close()
        return status, body


def _generation(request_id, *more):
    return samples.request('/resume/1', request_id, prompt=(50, 50), more=more)


@pytest.mark.parametrize(
    ('resumes', 'status', 'sent'), [('r1', 200, [2, 0]), ('r9', 503, [1, 0])]
)
def test_a_stream_that_is_taken_up_elsewhere_stays_at_its_version(
    kv, tmp_path, resumes, status, sent
):
    """A stream of an unknown version is refused: it may not be joined."""

    async def scenario():
        async with _Pair(kv, tmp_path) as pair:
            _status, body = await pair.send(0, _generation('r1'))
            assert b'id: 1' in body
            await pair.admit_new()
            again = _generation('r2', *samples.resumption(resumes, 1))
            found, _body = await pair.send(1, again)
            counts = [len(up.requests) for up in (pair.old, pair.new)]
            return found, counts

    assert asyncio.run(scenario()) == (status, sent)


def test_a_stream_is_taken_up_although_its_instance_is_gone(kv, tmp_path):
    """The others keep the record of an instance that was killed."""

    async def scenario():
        async with _Pair(kv, tmp_path) as pair:
            await pair.send(0, _generation('r1'))
            await pair.admit_new()
            pair.instances[0].process.close()
            again = _generation('r2', *samples.resumption('r1', 1))
            return await pair.send(1, again)

    status, body = asyncio.run(scenario())
    assert status == 200
    assert b'id: 2' in body


def test_after_a_kill_of_all_no_stream_joins_two_versions(kv, tmp_path):
    """Second report of incident CONFIG: the old version has just left."""

    async def scenario():
        async with _Pair(kv, tmp_path) as pair:
            await pair.send(0, _generation('r1'))
            await pair.restart_all()
            again = _generation('r2', *samples.resumption('r1', 1))
            taken_up = [await pair.send(n, again) for n in (0, 1)]
            fresh = await pair.send(0, _generation('r3'))
            return taken_up, fresh, len(pair.new.requests)

    taken_up, fresh, sent = asyncio.run(scenario())
    assert [status for status, _body in taken_up] == [503, 503]
    assert fresh[0] == 200
    assert sent == 1


V1 = streams.Sole('v1', 60.0)
V2 = streams.Sole('v2', 60.0)
NEW_V1 = streams.Sole('v1', 1.0)
LATE_V1 = streams.Sole('v1', 60.0, 0.9)
TOO_LATE_V1 = streams.Sole('v1', 60.0, 1.1)


@pytest.mark.parametrize(
    ('sole', 'told', 'version'),
    [
        # One version, for as long as streams live.
        (V1, [], 'v1'),
        (V1, [V1, V1], 'v1'),
        # An instance that has just started believes an older one.
        (NEW_V1, [], None),
        (NEW_V1, [V1], 'v1'),
        (NEW_V1, [NEW_V1], None),
        # It does so only if that one's view reaches its own start.
        (NEW_V1, [LATE_V1], 'v1'),
        (NEW_V1, [TOO_LATE_V1], None),
        # Several versions, here or elsewhere.
        (None, [], None),
        (None, [V1], None),
        (V1, [None], None),
        (V1, [V2], None),
    ],
)
def test_a_stream_without_a_record_goes_on_only_at_a_sure_version(
    sole, told, version
):
    assert streams.sole_version(sole, told, 20.0) == version


def test_an_instance_takes_over_what_others_saw_before_it():
    """Each restart in turn would else end what all know of before."""
    history = streams.VersionHistory()
    history.adopt('s', V1, 0.0)
    assert history.sole('s', 0.0) is None
    history.observe({'s': {'v1'}}, 100.0)
    history.adopt('s', V2, 101.0)
    history.adopt('s', streams.Sole('v1', 60.0, 1.1), 101.0)
    assert history.sole('s', 101.0).for_s == 1.0
    history.adopt('s', streams.Sole('v1', 60.0, 0.9), 101.0)
    assert history.sole('s', 101.0).for_s == 60.0
    history.adopt('s', streams.Sole('v1', 5.0, 0.9), 101.0)
    assert history.sole('s', 101.0).for_s == 60.0


def test_records_are_kept_for_a_time_and_up_to_a_number(monkeypatch):
    monkeypatch.setattr(_records, 'MAX_RECORDS', 2)
    records = streams.VersionRecords()
    records.put('r1', 'v1', 0.0)
    records.put('r2', 'v2', 1.0)
    assert records.get('r1', 1.0) == 'v1'
    records.put('r3', 'v3', 2.0)
    found = [records.get(name, 2.0) for name in ('r1', 'r2', 'r3')]
    assert found == [None, 'v2', 'v3']
    assert records.get('r3', 2.0 + _records.RECORD_TTL_S) == 'v3'
    assert records.get('r3', 2.1 + _records.RECORD_TTL_S) is None


def test_a_record_lasts_as_long_as_its_stream_may():
    """A stream of a long timeout could not be taken up late in its life."""
    records = streams.VersionRecords()
    records.put('r1', 'v1', 0.0, 90.0)
    records.put('r2', 'v1', 1.0)
    records.put('r1', 'v1', 2.0)
    assert records.get('r1', 90.0) == 'v1'
    assert records.get('r2', 90.0) is None
    assert [record.left_s for record in records.all(80.0)] == [10.0]


def test_instances_with_other_views_agree_on_most_holders():
    names = [f'edge-{number}' for number in range(30)]
    keeping, asking = streams.Holders(names), streams.Holders(names[3:])
    missed = 0
    for number in range(200):
        request_id = f'r{number}'
        kept = keeping.keepers(request_id)
        missed += not set(kept) & set(asking.asked(request_id))
    # Both holders are among the three unknown ones: 3 in 30 times 2 in 29.
    assert missed <= 5


def test_holders_are_the_same_however_the_instances_came_and_went():
    """A record would be sought elsewhere than it was put."""
    rng = random.Random(5)
    names = [f'edge-{number}' for number in range(12)]
    requests = [f'r{number}' for number in range(300)]
    grown = streams.Holders()
    for _step in range(60):
        known = rng.sample(names, rng.randint(1, len(names)))
        grown.update(known)
        fresh = streams.Holders(known)
        for request_id in rng.sample(requests, 40):
            assert grown.asked(request_id) == fresh.asked(request_id)
    records = [
        streams.Record(request_id, 'v1', 9.0) for request_id in requests
    ]
    others = streams.Holders(names[1:])
    wanted = streams.Holders(names)
    assert others.select(records, names[0]) == [
        record
        for record in records
        if names[0] in wanted.asked(record.request_id)
    ]


def test_a_version_is_the_only_one_since_the_others_left():
    history = streams.VersionHistory()
    assert history.sole('s', 0.0) is None
    history.observe({'s': {'v1'}}, 1.0)
    history.observe({'s': {'v1'}}, 5.0)
    assert history.sole('s', 9.0) == streams.Sole('v1', 8.0)
    history.observe({'s': {'v1', 'v2'}}, 10.0)
    assert history.sole('s', 11.0) is None
    history.observe({'s': {'v2'}}, 12.0)
    assert history.sole('s', 13.0) == streams.Sole('v2', 1.0)


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff',
        b'{}',
        b'[]',
        b'["began", 1, "v1"]',
        b'["records", [["r1", "v1"]], false]',
        b'["records", [["r1", "v1", -1.0]], false]',
        b'["records", [["r1", "v1", 1e9]], true]',
        b'["records", [["r1", 1, 1.0]], true]',
        b'["records", [["r1", "v1", 1.0]]]',
        b'["records", {}, true]',
        b'["need", 1]',
        b'["ask", "1", "r1", "s"]',
        b'["told", 1, 7, null, 0]',
        b'["told", 1, null, "v1", "x"]',
        b'["told", 1, null, "v1", 1, "x"]',
        b'["told", 1, null, "v1", 1, 1, 1, 1]',
        b'["told", 1, null, "v1", 1, 1, -1]',
        b'["unknown", 1]',
        b'[' * 20000,
    ],
)
def test_a_malformed_datagram_is_dropped(data):
    async def scenario():
        log = recorder.Recorder()
        began = []
        loop = asyncio.get_running_loop()
        link = _peer_link.PeerLink(loop, log, 'a')
        streamer = _stream_link.StreamLink(
            loop, link, began.append, lambda *_args: None
        )
        streamer.on_records = lambda *args, **_more: began.append(args)
        streamer.on_need = lambda *args: began.append(args)
        link.datagram_received(data, ('127.0.0.1', 9))
        link.datagram_received(data, ('127.0.0.1', 9))
        link.datagram_received(b'["began", "r1", ""]', ('127.0.0.1', 9))
        return log.names(), began

    assert asyncio.run(scenario()) == (['peer.invalid'], ['r1'])


def test_an_instance_that_is_silent_ends_no_question():
    """A datagram is lost, or its instance is; the others are heard."""

    async def scenario():
        loop = asyncio.get_running_loop()
        link = _peer_link.PeerLink(loop, recorder.Recorder(), 'own')
        asker = _stream_link.StreamLink(loop, link, None, None)
        sent = []

        class Transport:
            def sendto(self, data, addr):
                sent.append((json.loads(data)[0], addr))
                if addr == 'b':
                    told = ['told', 1, None, 'v1', 60.0, 0.0, 0.0]
                    link.datagram_received(json.dumps(told).encode(), ('b', 1))

        link.connection_made(Transport())
        told = await asker.ask('r1', 's', ['a', 'b'])
        return told, sent

    told, sent = virtual.run(scenario())
    assert _stream_link.Told(None, V1) in told
    assert sent.count(('ask', 'a')) == 2
