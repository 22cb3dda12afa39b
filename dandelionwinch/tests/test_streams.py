"""Tests of generations: streams, resumption and separate prefill."""

import asyncio

import attrs
import pytest

from dandelionwinch import gateway
from dandelionwinch.gateway import _generation_handler
from dandelionwinch.gateway import _next_attempt
from dandelionwinch.gateway import _separate_prefill
from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch import upstreams

ONE_EVENT = [
    gateway_harness.STREAM_HEAD,
    gateway_harness.chunk(gateway_harness.event(1)),
    gateway_harness.LAST_CHUNK,
]


def stream(scripts, path='/stream/1', tokens=100):
    """Sends one generation; returns its response and upstream requests.

    `scripts` has a list of responses for each upstream; a response is a
    list of steps.
    """

    async def scenario(harness):
        harness.generate(path, tokens=tokens)
        response = await harness.read_response()
        return response, harness.requests

    return gateway_harness.run_scenario(scripts, scenario)


def test_a_stream_is_handed_on_event_by_event():
    body = gateway_harness.event(1) + gateway_harness.event(2, b'y')
    (status, headers, got), _seen = stream(
        [
            [
                [
                    gateway_harness.STREAM_HEAD,
                    gateway_harness.chunk(body[:7]),
                    gateway_harness.chunk(body[7:]),
                    gateway_harness.LAST_CHUNK,
                ]
            ]
        ]
    )
    assert (status, got, headers['x-head']) == (200, body, 'first')


@pytest.mark.parametrize(
    'end',
    [
        [scripted.RESET],
        [scripted.CLOSE],
        [gateway_harness.chunk(b'id: 2\nda'), scripted.CLOSE],
        [gateway_harness.chunk(b'id: 2\nda'), gateway_harness.LAST_CHUNK],
    ],
)
def test_a_stream_that_breaks_off_never_looks_complete(end):
    (status, _headers, got), _seen = stream(
        [
            [
                [
                    gateway_harness.STREAM_HEAD,
                    gateway_harness.chunk(gateway_harness.event(1)),
                    *end,
                ]
            ]
        ]
    )
    assert (status, got) == (200, gateway_harness.event(1) + b'<cut>')


@pytest.mark.parametrize(
    'end',
    [[scripted.RESET], [gateway_harness.chunk(b'id: 2\nda'), scripted.CLOSE]],
)
def test_a_resumable_stream_goes_on_at_another_upstream(end):
    scripts = [
        [
            gateway_harness.STREAM_HEAD,
            gateway_harness.chunk(gateway_harness.event(1)),
            *end,
        ],
        [
            gateway_harness.STREAM_HEAD.replace(b'first', b'second'),
            gateway_harness.chunk(
                gateway_harness.event(1, b'again')
                + gateway_harness.event(2)
                + gateway_harness.event(3)
            ),
            gateway_harness.LAST_CHUNK,
        ],
    ]

    async def scenario(harness):
        for upstream in harness.upstreams:
            upstream._scripts = scripts
        harness.generate('/resume/1')
        response = await harness.read_response()
        return response, harness.requests

    (status, headers, got), seen = gateway_harness.run_scenario(
        [[], []], scenario
    )
    assert (status, headers['x-head']) == (200, 'first')
    assert got == gateway_harness.event(1) + gateway_harness.event(
        2
    ) + gateway_harness.event(3)
    resumed = [s for s in seen if 'last-event-id' in s.headers]
    assert [s.headers['last-event-id'] for s in resumed] == ['1']


def test_a_stream_that_breaks_before_its_first_event_is_answered_502():
    (status, _headers, _got), seen = stream(
        [[[gateway_harness.STREAM_HEAD, scripted.RESET]]]
    )
    assert (status, len(seen)) == (502, 1)


def test_a_full_engine_means_not_run():
    (status, headers, _got), _seen = stream([[[samples.refusal()]]])
    assert status == 503
    assert 'retry-after' in headers


def test_no_engine_with_room_is_answered_at_once():
    async def scenario(harness):
        harness.gateway.fleet.registry.remove('u0', 0.0)
        harness.generate('/resume/1')
        return await harness.read_response()

    assert (
        gateway_harness.run_scenario(
            [[[gateway_harness.response()]]], scenario
        )[0]
        == 503
    )


def test_a_resumption_without_room_elsewhere_ends_at_once():
    async def scenario(harness):
        harness.generate('/resume/1', tokens=5000)
        response = await harness.read_response()
        return response, harness.requests

    script = [
        [
            gateway_harness.STREAM_HEAD,
            gateway_harness.chunk(gateway_harness.event(1)),
            scripted.RESET,
        ]
    ]
    (_status, _headers, got), seen = gateway_harness.run_scenario(
        [script], scenario
    )
    assert got == gateway_harness.event(1) + b'<cut>'
    assert len(seen) == 1


@pytest.mark.parametrize(
    ('path', 'tokens'), [('/resume/1', 5000), ('/resume/1', 100)]
)
def test_a_silent_upstream_is_awaited_if_no_other_can_go_on(
    monkeypatch, path, tokens
):
    """A sound upstream falls silent and goes on; its stream was cut."""
    monkeypatch.setattr(_next_attempt, 'MIN_READ_TIMEOUT_S', 0.01)
    monkeypatch.setattr(_next_attempt, 'READ_TIMEOUT_FACTOR', 0.0)

    async def scenario(harness):
        harness.generate(path, tokens=tokens)
        noticed = {'attempt.failed', 'attempt.waits'}
        await harness.log.wait_until(
            lambda: noticed & set(harness.log.names())
        )
        harness.upstreams[0].release.set()
        return await harness.read_response()

    script = [
        gateway_harness.STREAM_HEAD,
        gateway_harness.chunk(gateway_harness.event(1)),
        scripted.HOLD,
        gateway_harness.chunk(gateway_harness.event(2)),
        gateway_harness.LAST_CHUNK,
    ]
    status, _headers, got = gateway_harness.run_scenario([[script]], scenario)
    events = gateway_harness.event(1) + gateway_harness.event(2)
    assert (status, got) == (200, events)


def test_a_stalled_stream_that_sends_bytes_goes_on_elsewhere(monkeypatch):
    """Each byte restarted the read timeout, so it lasted to its deadline."""
    monkeypatch.setattr(_next_attempt, 'MIN_READ_TIMEOUT_S', 0.05)
    monkeypatch.setattr(_next_attempt, 'READ_TIMEOUT_FACTOR', 0.0)
    head = gateway_harness.STREAM_HEAD
    first = gateway_harness.chunk(gateway_harness.event(1))
    second = gateway_harness.chunk(gateway_harness.event(2))
    scripts = [
        [[head, first, scripted.TRICKLE]],
        [[head, second, gateway_harness.LAST_CHUNK]],
    ]

    async def scenario(harness):
        _set_ready(harness, 'u1', False)
        harness.generate('/resume/1')
        await harness.log.wait_until(lambda: harness.requests)
        _set_ready(harness, 'u1', True)
        return await harness.read_response()

    status, _headers, got = gateway_harness.run_scenario(scripts, scenario)
    events = gateway_harness.event(1) + gateway_harness.event(2)
    assert (status, got) == (200, events)


def _set_ready(harness, upstream_id, ready):
    registry = harness.gateway.fleet.registry
    entry = registry.get(upstream_id).entry
    registry.apply(attrs.evolve(entry, ready=ready))


def _left_for_refusals(monkeypatch, refusals):
    """Returns how a stream goes on after a silence and some refusals.

    The last of them is followed by one that would go on.
    """
    monkeypatch.setattr(_next_attempt, 'MIN_READ_TIMEOUT_S', 0.01)
    monkeypatch.setattr(_next_attempt, 'READ_TIMEOUT_FACTOR', 0.0)
    head = gateway_harness.STREAM_HEAD
    first = gateway_harness.chunk(gateway_harness.event(1))
    second = gateway_harness.chunk(gateway_harness.event(2))
    scripts = [
        [[head, first, scripted.HANG]],
        *[[[scripted.HOLD, samples.refusal()]]] * refusals,
        [[head, second, gateway_harness.LAST_CHUNK]],
    ]

    async def scenario(harness):
        others = [f'u{n}' for n in range(1, len(scripts))]
        for upstream_id in others:
            _set_ready(harness, upstream_id, False)
        harness.generate('/resume/1')
        async with asyncio.timeout(recorder.TIMEOUT_S):
            await harness.reader.readuntil(first)
        # Each upstream is ready once the one before it has the request.
        for number, upstream_id in enumerate(others):
            before = harness.upstreams[number]
            await harness.log.wait_until(lambda up=before: up.requests)
            _set_ready(harness, upstream_id, True)
            before.release.set()
        rest = await harness.read_chunks()
        return rest, [len(up.requests) for up in harness.upstreams]

    return gateway_harness.run_scenario(scripts, scenario)


def test_a_stream_goes_on_although_the_next_upstream_refuses(monkeypatch):
    """It had left a silent upstream, and was cut by the refusal."""
    rest, sent = _left_for_refusals(monkeypatch, 1)
    assert rest == gateway_harness.event(2)
    assert sent == [1, 1, 1]


def test_refusals_of_a_stream_end_it_after_some_attempts(monkeypatch):
    rest, sent = _left_for_refusals(monkeypatch, 3)
    assert rest == b'<cut>'
    assert sent == [1, 1, 1, 1, 0]


def make_prefill_engine(harness):
    """Makes the first upstream a prefill engine."""
    registry = harness.gateway.fleet.registry
    entry = registry.get('u0').entry
    registry.apply(attrs.evolve(entry, role=upstreams.Role.PREFILL))


def run_with_prefill_engine(scripts):
    """Sends twelve long prompts; returns statuses and the upstreams."""

    async def scenario(harness):
        make_prefill_engine(harness)
        statuses = []
        for number in range(12):
            harness.generate('/stream/1', f'r{number}', tokens=5000 + number)
            statuses.append((await harness.read_response())[0])
        return statuses, harness.upstreams

    return gateway_harness.run_scenario(scripts, scenario)


def test_a_prompt_is_prefilled_at_one_engine_and_answered_at_another():
    handle = samples.prefill_body('h1')
    prefill = [[gateway_harness.response(handle)]]
    decode = [ONE_EVENT]

    statuses, (first, second) = run_with_prefill_engine([prefill, decode])
    assert set(statuses) == {200}
    assert first.requests
    assert all(
        s.headers['x-dandelionwinch-stage'] == 'prefill'
        for s in first.requests
    )
    source = f'{first.address}/h1'
    sources = [
        s.headers.get('x-dandelionwinch-kv-source') for s in second.requests
    ]
    assert sources.count(source) == len(first.requests)


def test_an_engine_that_leaves_during_a_prefill_gets_nothing():
    handle = samples.prefill_body('h1')
    decode = [ONE_EVENT]
    scripts = [
        [[scripted.HOLD, gateway_harness.response(handle)]],
        decode,
        decode,
    ]

    async def scenario(harness):
        registry = harness.gateway.fleet.registry
        make_prefill_engine(harness)
        registry.remove('u2', 0.0)
        number = 0
        while not harness.upstreams[0].requests:
            number += 1
            harness.generate('/stream/1', f'r{number}', tokens=5000 + number)
            await harness.log.wait_until(
                lambda n=number: len(harness.requests) >= n
            )
            if not harness.upstreams[0].requests:
                await harness.read_response()
        before = len(harness.upstreams[1].requests)
        leaving = registry.get('u1').entry
        other = registry.get('u2').entry
        registry.apply(attrs.evolve(leaving, ready=False))
        registry.apply(other)
        harness.upstreams[0].release.set()
        status, _headers, _body = await harness.read_response()
        after = len(harness.upstreams[1].requests)
        return status, after - before, len(harness.upstreams[2].requests)

    assert gateway_harness.run_scenario(scripts, scenario) == (200, 0, 1)


def test_a_request_is_decoded_only_once_even_if_its_prefill_fails():
    prefill = [[samples.refusal()]]
    decode = [ONE_EVENT]

    _statuses, (_first, second) = run_with_prefill_engine([prefill, decode])
    ids = [s.headers[samples.REQUEST_ID] for s in second.requests]
    assert len(ids) == len(set(ids))


def test_a_prompt_whose_handle_is_gone_is_prefilled_by_the_decode_engine():
    prefill = [[gateway_harness.response(samples.prefill_body('h1'))]]

    async def scenario(harness):
        make_prefill_engine(harness)
        number, status = 0, None
        while not harness.upstreams[0].requests:
            number += 1
            harness.upstreams[1]._scripts = [[samples.refusal()], ONE_EVENT]
            harness.generate('/stream/1', f'r{number}', tokens=5000 + number)
            status = (await harness.read_response())[0]
        return status, harness.upstreams[1].requests[-2:]

    status, (first, second) = gateway_harness.run_scenario(
        [prefill, []], scenario
    )
    assert status == 200
    assert (
        first.headers[samples.REQUEST_ID]
        == (second.headers[samples.REQUEST_ID])
    )
    assert 'x-dandelionwinch-kv-source' in first.headers
    assert 'x-dandelionwinch-kv-source' not in second.headers


def test_a_silent_prefill_is_awaited_if_no_retry_may_follow(monkeypatch):
    """It was left, and the request refused for want of a retry."""
    monkeypatch.setattr(_separate_prefill, 'PREFILL_TIMEOUT_FACTOR', 0.1)
    # The caller's shorter timeout shall not make this a background prompt.
    monkeypatch.setattr(_generation_handler, 'RETRIED_TIMEOUT_RATIO', 0.0)
    asked = asyncio.Event()

    def refuse(*_args):
        asked.set()
        return False

    monkeypatch.setattr(gateway.Gateway, 'allows_retry', refuse)
    monkeypatch.setattr(gateway.Gateway, 'spend_retry', refuse)

    async def scenario(harness):
        make_prefill_engine(harness)
        harness.generate('/resume/1', tokens=5000)
        async with asyncio.timeout(recorder.TIMEOUT_S):
            await asked.wait()
        harness.upstreams[0].release.set()
        status, _headers, _body = await harness.read_response()
        return status, [len(up.requests) for up in harness.upstreams]

    handle = gateway_harness.response(samples.prefill_body('h1'))
    scripts = [
        [[scripted.HOLD, handle]],
        [ONE_EVENT],
    ]
    status, sent = gateway_harness.run_scenario(scripts, scenario)
    assert (status, sent) == (200, [1, 1])


def test_a_request_of_another_process_is_none_of_a_stand_ins():
    """A soak that ran beside the tests still sent to a port of before."""

    async def scenario(harness):
        make_prefill_engine(harness)
        host, _, port = harness.upstreams[0].address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        headers = [(samples.UPSTREAM_ID, 'u-28')]
        writer.write(samples.request('/safe/1', 'safe-7-590', more=headers))
        async with asyncio.timeout(recorder.TIMEOUT_S):
            answer = await reader.readuntil(b'\r\n')
        writer.close()
        harness.generate('/resume/1', tokens=5000)
        status, _headers, _body = await harness.read_response()
        return answer, status, [len(up.requests) for up in harness.upstreams]

    handle = gateway_harness.response(samples.prefill_body('h1'))
    answer, status, sent = gateway_harness.run_scenario(
        [[[handle]], [ONE_EVENT]], scenario
    )
    assert (b' 421 ' in answer, status, sent) == (True, 200, [1, 1])
