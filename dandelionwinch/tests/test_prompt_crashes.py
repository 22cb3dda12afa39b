"""Tests of prompts that crash engines, and of prompts read once."""

import asyncio

import attrs
import pytest

from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch import upstreams

ONE_EVENT = [
    gateway_harness.STREAM_HEAD,
    gateway_harness.chunk(gateway_harness.event(1)),
    gateway_harness.LAST_CHUNK,
]
# Crashes after which few more requests with the part may reach an engine,
# and how many.
KNOWN_AFTER = 5
MAX_MORE = 3
# The same of a request that comes again and was never answered.
KNOWN_AFTER_SAME = 3


def _parts(req):
    text = req.headers[samples.PROMPT_PREFIX]
    return [part.partition(':')[0] for part in text.split(',')]


async def _send(harness, number, part):
    request_id = f'{part}{number}'
    path = f'/resume/{request_id}'
    harness.generate_on(path, request_id, 'first', part, request_id)
    status, _headers, body = await harness.read_response()
    return status, body


def test_requests_with_a_part_that_crashes_engines_are_held():
    """Incident: four engines ended in 0.6 s, and 25 by the end."""

    async def scenario(harness):
        poisoned, sound = [], []
        for number in range(20):
            poisoned.append(await _send(harness, number, 'bad'))
            sound.append(await _send(harness, number, f'good{number % 4}'))
        poisoned = [status for status, _body in poisoned]
        sound = [status for status, _body in sound]
        sent = [req for req in harness.requests if 'bad' in _parts(req)]
        return poisoned, sound, len(sent)

    poisoned, sound, sent = gateway_harness.run_scenario(
        [[ONE_EVENT]] * 14, scenario, poison='bad'
    )
    assert sent <= KNOWN_AFTER + MAX_MORE
    assert set(poisoned[-5:]) == {503}
    assert set(sound) == {200}


@pytest.mark.parametrize('route', ['resume', 'stream'])
def test_the_repeats_of_a_generation_that_crashes_engines_are_held(route):
    """Issue 32: answers on the same parts cleared it between its crashes."""

    async def scenario(harness):
        poisoned, sound = [], []
        for number in range(12):
            request_id = f'b{number}'
            harness.generate_on(f'/{route}/bad', request_id, 'first', 'bad1')
            poisoned.append((await harness.read_response())[0])
            sound.append((await _send(harness, number, 'first'))[0])
        sent = [r for r in harness.requests if r.target.endswith('/bad')]
        return poisoned, sound, len(sent)

    poisoned, sound, sent = gateway_harness.run_scenario(
        [[ONE_EVENT]] * 14, scenario, poison='bad'
    )
    assert sent <= KNOWN_AFTER_SAME + MAX_MORE
    assert set(poisoned[-5:]) == {503}
    assert set(sound) == {200}


def test_a_generation_that_crashes_engines_in_its_stream_is_held():
    """An event is no answer to the whole request, only on its parts."""
    begun = [
        gateway_harness.STREAM_HEAD,
        gateway_harness.chunk(gateway_harness.event(1)),
        scripted.CRASH,
    ]

    async def scenario(harness):
        statuses = []
        for number in range(8):
            harness.generate_on('/stream/bad', f'b{number}', 'first', 'own')
            try:
                statuses.append((await harness.read_response())[0])
            except asyncio.IncompleteReadError:
                statuses.append(0)
            harness.writer.close()
            await harness.connect()
        return statuses, len(harness.requests)

    statuses, sent = gateway_harness.run_scenario([[begun]] * 8, scenario)
    assert sent <= KNOWN_AFTER_SAME + MAX_MORE
    assert set(statuses[-2:]) == {503}


def test_a_prompt_is_read_once_though_its_decode_engine_is_out_of_reach():
    """Incident: prompts were read up to four times, unpaid."""
    handle = samples.prefill_body('h1')
    readers = [[gateway_harness.response(handle)]]
    scripts = [readers] * 3 + [[ONE_EVENT]] * 3
    closed = (3, 4)

    async def scenario(harness):
        registry = harness.gateway.fleet.registry
        for number in range(3):
            entry = registry.get(f'u{number}').entry
            role = upstreams.Role.PREFILL
            registry.apply(attrs.evolve(entry, role=role))
        for number in closed:
            await harness.upstreams[number].close()
        statuses = []
        for number in range(20):
            for other in closed:
                registry.get(f'u{other}').ejected_until = 0.0
            harness.generate('/stream/1', f'r{number}', tokens=5000 + number)
            statuses.append((await harness.read_response())[0])
        read = [up.requests for up in harness.upstreams[:3]]
        return statuses, [req for requests in read for req in requests]

    statuses, read = gateway_harness.run_scenario(scripts, scenario)
    assert set(statuses) == {200}
    ids = [req.headers[samples.REQUEST_ID] for req in read]
    assert ids
    assert len(ids) == len(set(ids))


def test_a_lost_connection_of_an_engine_that_lives_is_no_crash():
    async def scenario(harness):
        for number in range(6):
            await _send(harness, number, 'sound')
        return harness.log.names(), len(harness.requests)

    names, sent = gateway_harness.run_scenario(
        [[[scripted.RESET]]] * 3, scenario
    )
    assert 'upstream.crashed' not in names
    assert sent > KNOWN_AFTER + MAX_MORE


def test_an_engine_that_leaves_as_planned_does_not_crash():
    async def scenario(harness):
        registry = harness.gateway.fleet.registry
        harness.generate_on('/resume/1', 'r1', 'first', 'second', 'r1')
        await harness.log.wait_until(lambda: harness.requests)
        entry = registry.get('u0').entry
        registry.apply(attrs.evolve(entry, ready=False))
        harness.upstreams[0].release.set()
        await harness.read_response()
        return harness.log.names()

    names = gateway_harness.run_scenario(
        [[[scripted.HOLD, scripted.CRASH]]], scenario
    )
    assert 'attempt.failed' in names
    assert 'upstream.crashed' not in names


def test_a_stream_without_an_event_that_ends_with_its_connection_is_broken():
    """An engine that crashes may close its connections in order."""
    head = samples.response_head(
        '{id}', 'Content-Type: text/event-stream', more=''
    )

    async def scenario(harness):
        found = [await _send(harness, number, 'sound') for number in range(4)]
        return found, len(harness.upstreams[0].requests)

    found, broken = gateway_harness.run_scenario(
        [[[head, scripted.CLOSE]], [ONE_EVENT]], scenario
    )
    assert broken
    assert set(found) == {(200, gateway_harness.event(1))}
