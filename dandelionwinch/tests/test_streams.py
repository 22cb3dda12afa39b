"""Generations: streams, resumption, and prompts that are read apart."""

import attrs
import pytest

from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch.tests import house as house_module
from dandelionwinch import upstreams

ONE_EVENT = [
    house_module.STREAM_HEAD,
    house_module.chunk(house_module.event(1)),
    house_module.LAST,
]


def stream(scripts, path='/stream/1', tokens=100):
    async def scenario(house):
        house.generate(path, tokens=tokens)
        answer = await house.answer()
        return answer, house.seen

    return house_module.play(scripts, scenario)


def test_a_stream_is_handed_on_event_by_event():
    body = house_module.event(1) + house_module.event(2, b'y')
    (status, headers, got), _seen = stream(
        [
            [
                [
                    house_module.STREAM_HEAD,
                    house_module.chunk(body[:7]),
                    house_module.chunk(body[7:]),
                    house_module.LAST,
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
        [house_module.chunk(b'id: 2\nda'), scripted.CLOSE],
        [house_module.chunk(b'id: 2\nda'), house_module.LAST],
    ],
)
def test_a_stream_that_breaks_off_never_looks_complete(end):
    (status, _headers, got), _seen = stream(
        [
            [
                [
                    house_module.STREAM_HEAD,
                    house_module.chunk(house_module.event(1)),
                    *end,
                ]
            ]
        ]
    )
    assert (status, got) == (200, house_module.event(1) + b'<cut>')


@pytest.mark.parametrize(
    'end',
    [[scripted.RESET], [house_module.chunk(b'id: 2\nda'), scripted.CLOSE]],
)
def test_a_resumable_stream_goes_on_at_another_upstream(end):
    scripts = [
        [
            house_module.STREAM_HEAD,
            house_module.chunk(house_module.event(1)),
            *end,
        ],
        [
            house_module.STREAM_HEAD.replace(b'first', b'second'),
            house_module.chunk(
                house_module.event(1, b'again')
                + house_module.event(2)
                + house_module.event(3)
            ),
            house_module.LAST,
        ],
    ]

    async def scenario(house):
        for upstream in house.upstreams:
            upstream._scripts = scripts
        house.generate('/resume/1')
        answer = await house.answer()
        return answer, house.seen

    (status, headers, got), seen = house_module.play([[], []], scenario)
    assert (status, headers['x-head']) == (200, 'first')
    assert got == house_module.event(1) + house_module.event(
        2
    ) + house_module.event(3)
    resumed = [s for s in seen if 'last-event-id' in s.headers]
    assert [s.headers['last-event-id'] for s in resumed] == ['1']


def test_a_stream_that_broke_before_its_first_event_is_not_called_not_run():
    (status, _headers, _got), seen = stream(
        [[[house_module.STREAM_HEAD, scripted.RESET]]]
    )
    assert (status, len(seen)) == (502, 1)


def test_a_full_engine_means_not_run():
    (status, headers, _got), _seen = stream([[[samples.refusal()]]])
    assert status == 503
    assert 'retry-after' in headers


def test_no_engine_with_room_is_answered_at_once():
    async def scenario(house):
        house.gateway.fleet.registry.remove('u0', 0.0)
        house.generate('/resume/1')
        return await house.answer()

    assert house_module.play([[[house_module.whole()]]], scenario)[0] == 503


def test_a_resumption_without_room_elsewhere_ends_at_once():
    async def scenario(house):
        house.generate('/resume/1', tokens=5000)
        answer = await house.answer()
        return answer, house.seen

    script = [
        [
            house_module.STREAM_HEAD,
            house_module.chunk(house_module.event(1)),
            scripted.RESET,
        ]
    ]
    (_status, _headers, got), seen = house_module.play([script], scenario)
    assert got == house_module.event(1) + b'<cut>'
    assert len(seen) == 1


def make_reader(house):
    """Lets the first upstream be one that only reads prompts."""
    registry = house.gateway.fleet.registry
    entry = registry.get('u0').entry
    registry.apply(attrs.evolve(entry, role=upstreams.Role.PREFILL))


def play_reader(scripts):
    """Sends twelve long prompts; returns statuses and the upstreams."""

    async def scenario(house):
        make_reader(house)
        statuses = []
        for number in range(12):
            house.generate('/stream/1', f'r{number}', tokens=5000 + number)
            statuses.append((await house.answer())[0])
        return statuses, house.upstreams

    return house_module.play(scripts, scenario)


def test_a_prompt_is_prefilled_at_one_engine_and_answered_at_another():
    handle = samples.prefill_body('h1')
    prefill = [[house_module.whole(handle)]]
    decode = [ONE_EVENT]

    statuses, (first, second) = play_reader([prefill, decode])
    assert set(statuses) == {200}
    assert first.seen
    assert all(
        s.headers['x-dandelionwinch-stage'] == 'prefill' for s in first.seen
    )
    source = f'{first.address}/h1'
    sources = [
        s.headers.get('x-dandelionwinch-kv-source') for s in second.seen
    ]
    assert sources.count(source) == len(first.seen)


def test_an_engine_that_leaves_during_a_prefill_gets_nothing():
    handle = samples.prefill_body('h1')
    answer = [ONE_EVENT]
    scripts = [[[scripted.HOLD, house_module.whole(handle)]], answer, answer]

    async def scenario(house):
        registry = house.gateway.fleet.registry
        make_reader(house)
        registry.remove('u2', 0.0)
        number = 0
        while not house.upstreams[0].seen:
            number += 1
            house.generate('/stream/1', f'r{number}', tokens=5000 + number)
            await house.log.until(lambda n=number: len(house.seen) >= n)
            if not house.upstreams[0].seen:
                await house.answer()
        before = len(house.upstreams[1].seen)
        leaving = registry.get('u1').entry
        other = registry.get('u2').entry
        registry.apply(attrs.evolve(leaving, ready=False))
        registry.apply(other)
        house.upstreams[0].release.set()
        status, _headers, _body = await house.answer()
        after = len(house.upstreams[1].seen)
        return status, after - before, len(house.upstreams[2].seen)

    assert house_module.play(scripts, scenario) == (200, 0, 1)


def test_a_request_is_read_only_once_even_if_its_prefill_fails():
    prefill = [[samples.refusal()]]
    decode = [ONE_EVENT]

    _statuses, (_first, second) = play_reader([prefill, decode])
    ids = [s.headers[samples.REQUEST_ID] for s in second.seen]
    assert len(ids) == len(set(ids))


def test_a_prompt_whose_handle_is_gone_is_read_where_it_is_answered():
    prefill = [[house_module.whole(samples.prefill_body('h1'))]]

    async def scenario(house):
        make_reader(house)
        number, status = 0, None
        while not house.upstreams[0].seen:
            number += 1
            house.upstreams[1]._scripts = [[samples.refusal()], ONE_EVENT]
            house.generate('/stream/1', f'r{number}', tokens=5000 + number)
            status = (await house.answer())[0]
        return status, house.upstreams[1].seen[-2:]

    status, (first, second) = house_module.play([prefill, []], scenario)
    assert status == 200
    assert (
        first.headers[samples.REQUEST_ID]
        == (second.headers[samples.REQUEST_ID])
    )
    assert 'x-dandelionwinch-kv-source' in first.headers
    assert 'x-dandelionwinch-kv-source' not in second.headers
