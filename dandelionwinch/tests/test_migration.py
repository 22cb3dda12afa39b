"""Decisions on the migration of streams, in virtual time."""

import random

import attrs
import pytest

from dandelionwinch import gateway
from dandelionwinch import migration
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples

SOURCE = migration.Engine('e0', 'a', 'north', 'v1', True, True, 4.0, 0.0)
NEAR = attrs.evolve(SOURCE, id='near', reclaimable=False)
REGION = attrs.evolve(SOURCE, id='region', data_centre='b')
FAR = attrs.evolve(SOURCE, id='far', data_centre='c', region='south')
COPIED = migration.Copied('h', 3)


def target_of(*engines):
    return migration.choose_target(SOURCE, engines, frozenset(), 'r1')


def test_near_engines_go_before_those_across_regions():
    assert target_of(FAR, REGION, NEAR) == 'near'
    assert target_of(FAR, REGION) == 'region'
    ordinary = attrs.evolve(FAR, id='ordinary', reclaimable=False)
    assert target_of(FAR, ordinary) == 'ordinary'
    assert target_of(attrs.evolve(NEAR, free_slots=0.0), FAR) == 'far'


@pytest.mark.parametrize(
    'engine',
    [
        SOURCE,
        attrs.evolve(NEAR, reclaimable=True),
        attrs.evolve(NEAR, software_version='v2'),
        attrs.evolve(NEAR, decodes=False),
    ],
)
def test_what_leaves_too_or_can_not_go_on_is_no_target(engine):
    """Reclaimable engines of a data centre are taken away all at once."""
    assert target_of(engine) is None


def test_many_streams_are_spread_over_the_targets():
    """All instances chose the same engine, which had no room for all."""
    engines = [attrs.evolve(NEAR, id=f'e{n}') for n in range(1, 5)]
    engines[0] = attrs.evolve(engines[0], delay_s=1.0)
    chosen = [
        migration.choose_target(SOURCE, engines, frozenset(), f'r{n}')
        for n in range(300)
    ]
    counts = [chosen.count(engine.id) for engine in engines]
    assert min(counts[1:]) > 70 > counts[0]


@pytest.mark.parametrize(
    ('tokens', 'left_s', 'moves'),
    [(20, 2.0, False), (200, 2.0, True), (0, 2.0, True), (20, 1.2, True)],
)
def test_streams_that_end_in_time_stay(tokens, left_s, moves):
    """They would stand still for their last copy without need."""
    progress = migration.Progress(tokens)
    for number in range(10):
        progress.record_event(0.04 * number)
    assert migration.must_move(progress, 0.36 + left_s, 0.36) is moves


def test_a_stream_of_an_engine_that_should_have_left_stays():
    progress = migration.Progress(0)
    assert not migration.must_move(progress, 2.0, 1.0)
    progress.record_event(1.0)
    assert migration.must_move(progress, 2.0, 1.0)
    assert not migration.must_move(progress, 2.0, 2.0)


def test_the_time_left_is_that_of_the_entry_once_it_is_known():
    departures = migration.Departures()
    departures.record('i', None, 4.0, 10.0)
    departures.record('i', None, 4.0, 11.0)
    assert departures.leaves_at('i') == 14.0
    departures.record('i', 2.0, 4.0, 11.0)
    departures.record('i', 2.0, 4.0, 11.5)
    assert departures.leaves_at('i') == 13.0
    departures.record('j', None, 4.0, 99.0)
    assert departures.leaves_at('i') is None


def test_an_engine_that_did_not_leave_as_told_may_leave_later():
    """A false notice kept the streams on an engine that then drained."""
    departures = migration.Departures()
    departures.record('i', None, 4.0, 0.0)
    departures.record('i', None, 4.0, 20.0)
    assert departures.leaves_at('i') == 24.0


def stopping():
    """Returns a Migration whose last copy was asked for."""
    machine = migration.Migration(2.0)
    for message in (
        migration.Begin(),
        migration.Chosen('near'),
        COPIED,
        migration.Ready(),
    ):
        (action,) = machine.step(message, 0.0)
    assert action == migration.Copy('near', True, 3.0)
    return machine


def test_a_migration_takes_no_longer_than_the_engine_stays():
    machine = migration.Migration(2.0)
    machine.step(migration.Begin(), 0.0)
    machine.step(migration.Chosen('near'), 0.0)
    assert machine.step(migration.Refused(), 2.0) == [
        migration.Stay(migration.Result.NO_TIME)
    ]
    machine = stopping()
    machine.step(migration.InProgress(), 0.1)
    assert machine.step(migration.Waited(), 2.1) == [
        migration.Free('h'),
        migration.Stay(migration.Result.NO_TIME),
    ]


MESSAGES = [
    migration.Begin(),
    migration.Chosen('near'),
    migration.Chosen(None),
    COPIED,
    migration.Copied('other', 5),
    migration.Refused(),
    migration.Refused('kept'),
    migration.InProgress(),
    migration.Waited(),
    migration.NoSuchRun(),
    migration.NotSent(),
    migration.Unanswered(),
    migration.Ready(),
    migration.TargetGone(),
    migration.NoBudget(),
]
# Messages that may follow what a Migration asks for.
ANSWERS = {
    migration.Choose: MESSAGES[1:3],
    migration.Confirm: [*MESSAGES[12:], migration.NotSent()],
    migration.Copy: [*MESSAGES[3:8], *MESSAGES[9:12]],
    migration.Wait: [migration.Waited()],
}


@pytest.mark.parametrize('seed', range(300))
def test_whatever_is_answered_nothing_goes_on_before_a_stop(seed):
    """Any order of answers, with the end of the stream at any time."""
    rng = random.Random(seed)
    machine = migration.Migration(2.0)
    message, now, stops, ended = migration.Begin(), 0.0, False, None
    # Handles of copies that take memory.
    live = set()
    while message is not None:
        handle = getattr(message, 'handle', '')
        live |= {handle} - {''}
        actions = machine.step(message, now)
        for action in actions:
            match action:
                case migration.Free():
                    live.remove(action.handle)
                case migration.GoOn():
                    assert stops and handle == action.handle
                    assert ended is None
                    # A repeated call completes the copy of the first one.
                    live.clear()
        asked = [a for a in actions if type(a) in ANSWERS]
        assert len(asked) <= 1
        message = None
        if asked:
            now += rng.choice((0.0, 0.01, 0.3))
            if ended is None and rng.random() < 0.1:
                ended = machine.step(
                    migration.StreamEnded(migration.Result.LEFT), now
                )
                for action in ended[:-1]:
                    live.remove(action.handle)
            stops = isinstance(asked[0], migration.Copy) and asked[0].last
            message = rng.choice(ANSWERS[type(asked[0])])
            if message == migration.Refused('kept') and not stops:
                message = migration.Refused()
    assert not live
    assert machine.result is not None or machine.stopping
    assert machine.step(migration.Waited(), now) == []


def test_a_copy_that_is_answered_after_the_stream_is_freed():
    machine = stopping()
    ended = migration.StreamEnded(migration.Result.LEFT)
    assert machine.step(ended, 0.1) == [migration.Stay(migration.Result.LEFT)]
    assert not machine.stopping
    freed = machine.step(migration.Refused('kept'), 0.2)
    assert freed == [migration.Free('h'), migration.Free('kept')]


def test_a_stop_that_is_not_answered_counts_as_lost():
    machine = stopping()
    assert machine.step(migration.Unanswered(), 0.1) == [
        migration.Free('h'),
        migration.Stay(migration.Result.LOST),
    ]


CODEC = _wire_codec.WireCodec()


@pytest.mark.parametrize(
    ('status', 'body', 'message'),
    [
        (200, b'{"kvHandle": "h", "created": 3}', COPIED),
        (200, b'{"kvHandle": "h"}', migration.Copied('h', 0)),
        (200, b'{"kvHandle": "a\\r\\nb"}', migration.Unanswered()),
        (200, b'{"kvHandle": 5}', migration.Unanswered()),
        (200, b'[' * 100000, migration.Unanswered()),
        (404, b'', migration.NoSuchRun()),
        (409, b'', migration.InProgress()),
        (503, b'', migration.Refused()),
        (503, b'{"kvHandle": "h"}', migration.Refused('h')),
        (500, b'{"kvHandle": "h"}', migration.Unanswered()),
    ],
)
def test_what_an_engine_answers_to_a_call_for_a_copy(status, body, message):
    """A handle is sent on in a header, so it must not break that."""
    head = gateway.Head('', '', status, (), True, 0)
    assert CODEC.parse_move_reply(head, body) == message


def test_a_call_for_a_copy_is_what_the_platform_specifies():
    method, path, _headers, body = CODEC.move_request('u', 'r', '1.2:3', True)
    assert (method, path) == ('POST', '/-/kv-move')
    assert body == b'{"id": "r", "target": "1.2:3", "last": true}'
    assert CODEC.free_request('u', 'h/ 1')[:2] == (
        'DELETE',
        '/-/kv-handle/h%2F%201',
    )


@pytest.mark.parametrize(
    ('moves', 'scaled', 'expected'),
    [(True, True, True), (1, True, False), (True, False, False)],
)
def test_streams_move_where_the_configuration_says_so(moves, scaled, expected):
    engine = {'slots': 4, 'kvTokens': 9, 'kvTokenBytes': 1.0, 'moves': moves}
    scaling = {'minReplicas': 1, 'maxReplicas': 2, 'bootS': 1.0}
    row = samples.service(engine=engine, scaling=scaling if scaled else None)
    table = _store_codec.read_config(samples.config(1, [], [row]))
    assert table.services['s'].moves_streams is expected
