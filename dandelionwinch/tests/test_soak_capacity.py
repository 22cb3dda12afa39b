"""The soak's stand-in of capacity and its checks."""

import asyncio
import json
import random
from unittest import mock

import pytest

from dandelionwinch.platform import samples
from dandelionwinch.soak import _capacity
from dandelionwinch.soak import _run
from dandelionwinch.soak import _stream_moves
from dandelionwinch.standins import capacity
from dandelionwinch.standins import duty_api
from dandelionwinch.standins import http_server

ORDINARY = capacity.Place('a')
RECLAIMABLE = capacity.Place('a', reclaimable=True)


def _order(place, count):
    body = {'service': 's', 'zone': place.data_centre, 'desiredCount': count}
    return {**body, 'spot': True} if place.reclaimable else body


@pytest.mark.parametrize(
    ('orders', 'broken'),
    [
        ([(RECLAIMABLE, 2), (ORDINARY, 0)], 0),
        ([(RECLAIMABLE, 3)], 1),
        ([(ORDINARY, 7)], 1),
        ([(ORDINARY, 2), (RECLAIMABLE, 4)], 0),
        ([(ORDINARY, 1)], 1),
        ([(ORDINARY, -1)], 1),
        ([(capacity.Place('b'), 7)], 1),
        # One above the limit may be corrected in two steps.
        ([(RECLAIMABLE, 4), (RECLAIMABLE, 3), (RECLAIMABLE, 2)], 1),
    ],
)
def test_counts_outside_the_limits_are_found(orders, broken):
    """Two to six upstreams of both kinds in a data centre, four stand."""
    ledger = capacity.CapacityLedger(2, 6, {ORDINARY: 4})
    for place, count in orders:
        assert ledger.take(_order(place, count))
    assert len(ledger.violations) == broken


def test_no_reclaimable_upstream_can_be_obtained_in_a_shortage():
    ledger = capacity.CapacityLedger(2, 6, {ORDINARY: 4})
    ledger.take(_order(RECLAIMABLE, 2))
    ledger.take_away('b')
    assert ledger.ordered(RECLAIMABLE) == 2
    ledger.take_away('a')
    ledger.short = True
    assert not ledger.take(_order(RECLAIMABLE, 1))
    assert ledger.ordered(RECLAIMABLE) == 0
    assert ledger.take(_order(ORDINARY, 5))
    ledger.short = False
    assert ledger.take(_order(RECLAIMABLE, 1))
    assert ledger.violations == []


@pytest.mark.parametrize(
    ('mode', 'accepts_unanswered', 'in_effect', 'status'),
    [
        (duty_api.Mode.NORMAL, False, True, 200),
        (duty_api.Mode.NORMAL, False, False, 409),
        (duty_api.Mode.RESET, True, True, 0),
        (duty_api.Mode.RESET, True, False, 0),
        (duty_api.Mode.RESET, False, None, 0),
        (duty_api.Mode.BUSY, False, None, 503),
    ],
)
def test_an_order_has_effect_only_if_the_api_accepts_it(
    mode, accepts_unanswered, in_effect, status
):
    taken = []

    def on_order(body):
        taken.append(body)
        return in_effect

    api = duty_api.DutyApi()
    api.mode, api.accepts_unanswered = mode, accepts_unanswered
    api.on_order = on_order
    headers = {
        duty_api.HOLDER_HEADER.lower(): 'i-0',
        duty_api.TOKEN_HEADER.lower(): '7',
    }
    raw = b'{"service": "s", "zone": "a", "desiredCount": 3}'
    request = http_server.Request(
        'POST', duty_api.CAPACITY_PATH, '', headers, raw
    )
    assert api._take(request) == status
    assert len(taken) == (in_effect is not None)
    assert len(api.accepted(duty_api.CAPACITY_PATH)) == bool(in_effect)


class _Upstream:
    def __init__(self, upstream_id, place):
        self.id = upstream_id
        self.place = place


class _Fleet:
    """Records what is done to upstreams in place of a soak's Fleet."""

    def __init__(self, places):
        self.returning = dict.fromkeys([ORDINARY, RECLAIMABLE], 0)
        self.upstreams = [
            _Upstream(f'u-{number}', place)
            for number, place in enumerate(places)
        ]
        self.drained = []
        self.taken = []
        self.is_wanted = None

    async def add(self, place, _rng):
        self.upstreams.append(_Upstream(f'u-{len(self.upstreams)}', place))

    def drain(self, upstream):
        self.upstreams.remove(upstream)
        self.drained.append(upstream.id)

    async def take_away(self, upstream):
        self.upstreams.remove(upstream)
        self.taken.append(upstream.id)


def _run_capacity(fleet, start, scenario, monkeypatch):
    """Runs a scenario with a Capacity whose waits end at once."""

    async def sleep(_delay_s):
        await real_sleep(0)

    async def with_capacity():
        tested = _capacity.Capacity(
            random.Random(1),
            fleet,
            start,
            lambda coroutine: tasks.append(asyncio.create_task(coroutine)),
            lambda *_fault: None,
        )
        tested.start()
        await scenario(tested)
        while tasks:
            await asyncio.gather(*tasks)
            del tasks[:]
            await real_sleep(0)
        return tested

    tasks = []
    real_sleep = asyncio.sleep
    monkeypatch.setattr(_capacity.asyncio, 'sleep', sleep)
    return asyncio.run(with_capacity())


def test_upstreams_start_and_drain_as_ordered(monkeypatch):
    fleet = _Fleet([ORDINARY] * 4)

    async def scenario(tested):
        assert tested.take_order(_order(RECLAIMABLE, 2))
        assert tested.take_order(_order(ORDINARY, 3))
        # It returns after a crash and counts as one that stands.
        fleet.returning[ORDINARY] = 1
        await asyncio.sleep(0)

    tested = _run_capacity(fleet, {ORDINARY: 4}, scenario, monkeypatch)
    places = [upstream.place for upstream in fleet.upstreams]
    assert places == [ORDINARY] * 2 + [RECLAIMABLE] * 2
    assert fleet.drained == ['u-3', 'u-2']
    assert set(tested.drained) == {'u-2', 'u-3'}
    assert not fleet.is_wanted(RECLAIMABLE)
    assert fleet.is_wanted(ORDINARY)


def test_what_is_no_longer_wanted_after_its_start_is_not_added(monkeypatch):
    """It was ordered, and taken away while it started."""
    fleet = _Fleet([ORDINARY] * 4)

    async def scenario(tested):
        tested.take_order(_order(RECLAIMABLE, 2))
        await asyncio.sleep(0)
        tested.ledger.take_away('a')

    _run_capacity(fleet, {ORDINARY: 4}, scenario, monkeypatch)
    assert [u.place for u in fleet.upstreams] == [ORDINARY] * 4


def test_reclaimable_upstreams_are_taken_away_in_one_data_centre(monkeypatch):
    other = capacity.Place('b', reclaimable=True)
    fleet = _Fleet([ORDINARY, RECLAIMABLE, other, RECLAIMABLE])
    faults = []

    async def scenario(tested):
        monkeypatch.setattr(tested._rng, 'choice', lambda _names: 'a')
        takings = [_capacity.Taking(1.0, 5.0)]
        await tested.run(takings, lambda *fault: faults.append(fault))

    tested = _run_capacity(fleet, {RECLAIMABLE: 2}, scenario, monkeypatch)
    assert fleet.taken == ['u-1', 'u-3'] and fleet.drained == []
    assert faults == [('reclaim', 'a')]
    assert tested.ledger.ordered(RECLAIMABLE) == 0
    assert not tested.ledger.short


@pytest.mark.parametrize(
    ('upstream_id', 'cut_at', 'excuse', 'broken'),
    [
        ('u-1', 11.0, '', 1),
        ('u-1', 9.0, '', 0),
        ('u-2', 11.0, '', 0),
        ('u-1', 11.0, 'faulty', 0),
        ('u-1', 11.0, 'crashed', 0),
        ('u-1', 11.0, 'signal', 0),
        ('u-1', 11.0, 'link', 0),
        ('u-1', 11.0, 'disturbed', 0),
        ('u-1', 11.0, 'other signal', 1),
    ],
)
def test_a_request_that_an_ordered_drain_cut_is_found(
    tmp_path, upstream_id, cut_at, excuse, broken
):
    """The upstream u-1 drains from 10.0 s; the request arrived at 8.9 s."""
    tested = _run._Soak(1, 1, 1, tmp_path)
    checked = _capacity.Capacity(None, None, {}, None, None)
    checked.drained['u-1'] = 10.0
    tested._checks.capacity = checked
    tested._observations.sent_to['resume-1'] = 'a'
    tested._observations.cut['resume-1'] = cut_at
    tested._executions.arrivals.append((upstream_id, 'resume-1', 8.9))
    match excuse:
        case 'faulty':
            tested._executions.faulty.add('resume-1')
        case 'crashed':
            tested._executions.crashed.add('u-1')
        case 'signal':
            tested._checks.interruptions.append(('a', 8.0))
        case 'link':
            tested._checks.interruptions.append(('u-1', 8.0))
        case 'other signal':
            tested._checks.interruptions.append(('b', 8.0))
        case 'disturbed':
            tested._checks.disturbed.append(('a', 10.5, 14.5))
    assert len(tested._result().broken) == broken
    tested._lock.close()


def test_the_takings_of_a_run_follow_from_its_seed():
    plans = [_capacity.plan(seed, 20.0) for seed in range(200)]
    assert plans == [_capacity.plan(seed, 20.0) for seed in range(200)]
    scaled = [takings for takings in plans if takings is not None]
    assert 70 < len(scaled) < 130
    assert {len(takings) for takings in scaled} == {1, 2}
    assert _capacity.plan(3, 5.0) is None


def test_the_entry_of_an_upstream_that_is_taken_away_says_so():
    fields = capacity.entry_fields(RECLAIMABLE, 2.0)
    assert fields == {'zone': 'a', 'spot': True, 'leaves_ms': 2000.0}
    plain = samples.entry(**capacity.entry_fields(ORDINARY))
    assert plain == samples.entry()


def test_a_long_stream_goes_on_once_with_its_copy(monkeypatch):
    """Else the soak would take a second run for the same one."""
    monkeypatch.setattr(_stream_moves, 'COPY_S', 0.0)
    first, second = (
        mock.Mock(proxy=mock.Mock(address=address)) for address in ('a', 'b')
    )
    rng = mock.Mock(random=lambda: 0.5)
    tested = _stream_moves.StreamMoves()
    run = tested.begin(first, {samples.REQUEST_ID: 'long-1'})
    run.created = 3

    def move(last):
        body = json.dumps({'id': 'long-1', 'target': 'b', 'last': last})
        line = f'POST {samples.MOVE_PATH} HTTP/1.1'
        answer = tested.answer(first, line, body.encode(), rng)
        _head, _, fields = asyncio.run(answer).partition(b'\r\n\r\n')
        return json.loads(fields)['kvHandle']

    headers = {
        samples.REQUEST_ID: 'long-1',
        samples.LAST_EVENT_ID: '3',
        samples.KV_SOURCE: f'a/{move(False)}',
    }
    assert tested.begin(second, headers) is None
    assert move(True) == headers[samples.KV_SOURCE].removeprefix('a/')
    assert run.stopped
    assert tested.begin(second, headers).created == 3
    assert tested.begin(second, headers) is None
