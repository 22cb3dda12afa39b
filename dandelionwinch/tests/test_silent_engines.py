"""Engines that are silent in one way while their streams go on."""

import asyncio

import pytest

from dandelionwinch.gateway import _next_attempt
from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch.tests import test_capacity_duty
from dandelionwinch.tests import test_reclaims

CALL = [scripted.HOLD, gateway_harness.response(b'whole')]


@pytest.mark.parametrize(
    ('path', 'script', 'whole'),
    [
        ('/stream/1', test_reclaims.STREAM, test_reclaims.WHOLE),
        ('/resume/1', test_reclaims.STREAM, test_reclaims.WHOLE),
        ('/safe/1', CALL, b'whole'),
        ('/once/1', CALL, b'whole'),
    ],
)
@pytest.mark.parametrize('returns', [False, True])
def test_an_entry_that_lapses_ends_nothing_that_runs(
    monkeypatch, path, script, whole, returns
):
    """Its engine is slow to report, and its entry may be written again."""
    monkeypatch.setattr(
        _next_attempt, 'MIN_READ_TIMEOUT_S', recorder.TIMEOUT_S
    )

    async def scenario(harness):
        fleet = harness.gateway.fleet
        first = fleet.registry.get('u0').entry
        later = test_reclaims.keep_only_first(harness)
        harness.generate(path)
        await harness.log.wait_until(lambda: harness.requests)
        fleet.registry.apply(later)
        fleet.registry.remove('u0', harness.gateway.loop.time())
        fleet.sweep(harness.gateway.loop.time() + 3.0)
        if returns:
            fleet.registry.apply(first)
        harness.upstreams[0].release.set()
        _status, _headers, body = await harness.read_response()
        return body, [len(up.requests) for up in harness.upstreams]

    found = gateway_harness.run_scenario([[script], [script]], scenario)
    assert found == (whole, [1, 0])


def hang_from(loop, number, address):
    """Has connections to an address get no answer from a number on."""
    create_connection = loop.create_connection
    opened = []

    async def create(protocol, host, port, **kwargs):
        opened.extend([port] * (address == f'{host}:{port}'))
        if port in opened and len(opened) >= number:
            await asyncio.Event().wait()
        return await create_connection(protocol, host, port, **kwargs)

    loop.create_connection = create


@pytest.mark.parametrize('number', [2, 3])
def test_new_connections_without_an_answer_end_no_stream(monkeypatch, number):
    """The second one is a request, the third one the probe of a crash."""
    monkeypatch.setattr(
        _next_attempt, 'MIN_READ_TIMEOUT_S', recorder.TIMEOUT_S
    )

    async def scenario(harness):
        later = test_reclaims.keep_only_first(harness)
        address = harness.upstreams[0].address
        hang_from(harness.gateway.loop, number, address)
        harness.generate('/resume/1')
        await harness.log.wait_until(lambda: harness.requests)
        first = harness.reader, harness.writer
        await harness.connect()
        harness.send('/once/1', 'r2')
        status = (await harness.read_response())[0]
        harness.writer.close()
        harness.reader, harness.writer = first
        harness.gateway.fleet.registry.apply(later)
        harness.upstreams[0].release.set()
        body = (await harness.read_response())[2]
        crashed = 'upstream.crashed' in harness.log.names()
        return status, body, crashed, len(harness.upstreams[1].requests)

    scripts = [[test_reclaims.STREAM, [scripted.RESET]], [[]]]
    status, *rest = gateway_harness.run_scenario(scripts, scenario)
    assert status == (503 if number == 2 else 502)
    assert rest == [test_reclaims.WHOLE, False, 0]


@pytest.mark.parametrize('data_centres', ['b', 'abc'])
def test_no_capacity_is_ordered_as_entries_lapse(data_centres):
    """An order would end engines once the entries are there again."""

    async def scenario(holder):
        await asyncio.sleep(1)
        await holder.perform(40.0)
        platform, before = holder.platform, list(holder.platform.calls)
        lapsed = [
            (upstream_id, kind)
            for kind, ids in platform._ids.items()
            for upstream_id in ids
            if kind[0] in data_centres
        ]
        for upstream_id, _kind in lapsed:
            holder.items.remove(samples.entry_key(upstream_id))
        await holder.perform(3.0)
        for upstream_id, kind in lapsed:
            platform._write(upstream_id, *kind)
        await holder.perform(20.0)
        assert len(lapsed) >= 5
        assert platform.calls == before

    test_capacity_duty.run_holder(scenario)
