"""Steps of the scenarios about claims."""

import uuid

import pytest
import pytest_bdd
from pytest_bdd import parsers

from dandelionwinch import claims
from dandelionwinch import effects
from dandelionwinch import settings
from dandelionwinch.standins import store

pytest_bdd.scenarios('features/claims.feature')

CFG = settings.ClaimSettings()
SETTLE_S = 10.0
WALL = 1.0e9
KEY = 'deposits/k'


class _Stage:
    """A bucket and what came of the last change."""

    def __init__(self):
        self.bucket = claims.Bucket(CFG)
        self.result = None
        self.key = KEY
        self.store = store.MemoryStore()
        self.late = None

    def write(self, mutation):
        """Writes a change to the store."""
        program = claims.commit_batch('bucket', [mutation], CFG)
        return effects.drive(
            program, self.store.execute, lambda: effects.Time(0.0, WALL)
        )[0]


@pytest.fixture
def stage():
    return _Stage()


@pytest_bdd.given(parsers.parse('a claim that is {state}'))
def _claim(stage, state):
    stage.bucket.apply(claims.Open(KEY, 'a#1#1', 'request'), WALL)
    if state != 'open':
        close = claims.Close(KEY, 'a#1#1', claims.State(state))
        stage.bucket.apply(close, WALL)


@pytest_bdd.when(parsers.parse('the key comes again {after}'))
def _again(stage, after):
    opening = {
        'from another instance': claims.Open(KEY, 'b#1#1', 'request'),
        'with its own token': claims.Open(KEY, 'a#1#1', 'request'),
        'with another request': claims.Open(KEY, 'b#1#1', 'other'),
    }[after]
    stage.result = stage.bucket.apply(opening, WALL)


@pytest_bdd.then(parsers.parse('the result is {result}'))
def _result(stage, result):
    wanted = {'held': claims.Held, 'granted': claims.Granted}[result]
    assert isinstance(stage.result, wanted)


@pytest_bdd.when(
    parsers.parse(
        'the back end says {word} after {quiet:d} seconds and its holder is '
        '{holder}'
    )
)
def _resolved(stage, word, quiet, holder):
    claim = stage.bucket.get(KEY)
    gone = holder == 'gone'
    state = claims.resolved_state(
        claim, claims.OutcomeStatus(word), gone, quiet, SETTLE_S
    )
    stage.result = state or claim.state


@pytest_bdd.then(parsers.parse('the claim becomes {state}'))
def _becomes(stage, state):
    assert stage.result == claims.State(state)


@pytest_bdd.given('an opening whose write is still under way')
def _under_way(stage):
    bucket = claims.Bucket(CFG)
    bucket.apply(claims.Open(KEY, 'a#1#1', 'request'), WALL)
    stage.late = effects.Commit(
        (effects.Guard('bucket', 0),),
        (effects.Put('bucket', bucket.dump()),),
    )


@pytest_bdd.when('its call is refused and the refusal is recorded')
def _refused(stage):
    close = claims.Close(KEY, 'a#1#1', claims.State.NOT_RUN)
    assert stage.write(close) == claims.Recorded(claims.State.NOT_RUN)


@pytest_bdd.when('the late write arrives')
def _arrives(stage):
    stage.result = stage.store.execute(stage.late)


@pytest_bdd.then('the late write fails')
def _fails(stage):
    assert stage.result == effects.GuardFailed()


@pytest_bdd.then('the key can be claimed anew')
def _anew(stage):
    opening = claims.Open(KEY, 'b#1#1', 'request')
    assert stage.write(opening) == claims.Granted('b#1#1')


@pytest_bdd.given('a dated key from two days ago')
def _dated(stage):
    milliseconds = int((WALL - 2 * 86400) * 1000)
    number = (milliseconds << 80) | (7 << 76) | (2 << 62)
    stage.key = f'deposits/{uuid.UUID(int=number)}'


@pytest_bdd.given('a bucket without room')
def _full(stage):
    cfg = settings.ClaimSettings(max_bucket_bytes=3000)
    stage.bucket = claims.Bucket(cfg)
    for number in range(3):
        opening = claims.Open(f'deposits/{number}', 'a#1#1', 'request')
        stage.bucket.apply(opening, WALL)


@pytest_bdd.then(parsers.re('opening (it|a key) gives (?P<name>.*)'))
def _opening(stage, name):
    opening = claims.Open(stage.key, 'b#1#1', 'request')
    result = stage.bucket.apply(opening, WALL)
    assert type(result).__name__ == name
