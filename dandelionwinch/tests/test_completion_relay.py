"""Failures of the two upstreams of a split completion, and size limits."""

import asyncio

import attrs
import pytest

from dandelionwinch.adapters import upstream as upstream_adapter
from dandelionwinch import answer_relay
from dandelionwinch.daemon import messages
from dandelionwinch import errors
from dandelionwinch import settings
from dandelionwinch.tests import core_harness

PREFILL_FAILURES = [
    (upstream_adapter.UpstreamRefused(503, 'full'), []),
    (upstream_adapter.UpstreamUnreachable('refused'), []),
    (upstream_adapter.IncompleteResponse('broken'), [('10.0.0.1:1', 'j-1')]),
]


@attrs.define
class _Config:
    relay: settings.RelaySettings


@attrs.define
class _Core:
    """A core that places a job on `pairs`, and its upstream adapter.

    Attributes:
        pairs: Name of the prefill upstream, '' for none, and of the decode
            upstream, for each placement.
        prefills: Result or exception of each prefill.
        text: Text of the answer.
        streams: Items of each attempt's stream, of which an exception is
            raised; without any, a stream has the text.
        sent: Job id and offset to resume after of each attempt.
    """

    pairs: list
    prefills: list
    text: str = 'done'
    relay: settings.RelaySettings = settings.RelaySettings()
    failed: list = attrs.Factory(list)
    excluded: list = attrs.Factory(list)
    cancelled: list = attrs.Factory(list)
    streams: list = attrs.Factory(list)
    sent: list = attrs.Factory(list)
    stop_at: float = float('inf')

    @property
    def cfg(self):
        return _Config(self.relay)

    @property
    def upstreams(self):
        return self

    @property
    def metrics(self):
        return self

    @property
    def first_token(self):
        return self

    def observe(self, _seconds):
        pass

    def request(self, message):
        match message:
            case messages.PlaceCompletion(exclude=exclude):
                self.excluded.append(exclude)
                if not self.pairs:
                    raise errors.NoUpstream('no other upstream')
                prefill, decode = self.pairs.pop(0)
                return messages.Placement(
                    upstream=decode,
                    address='10.0.0.2:1',
                    prefill_upstream=prefill,
                    prefill_address='10.0.0.1:1' if prefill else '',
                    token_gap_s=0.04,
                    first_token_s=1.0,
                )
            case messages.UpstreamFailed(upstream=name):
                self.failed.append(name)
        return True

    def prefill(self, _address, _call):
        result = self.prefills.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def stream(self, _address, call):
        self.sent.append((call.job_id, call.resume_after))
        items = [_chunk(0, self.text), upstream_adapter.End()]
        if self.streams:
            items = self.streams.pop(0)
        for item in items:
            if isinstance(item, Exception):
                raise item
            yield item

    def cancel(self, address, job_id):
        self.cancelled.append((address, job_id))


def _chunk(offset, text):
    return upstream_adapter.Chunk(offset, text, [])


def _chunks(core, **job_changes):
    job = attrs.evolve(core_harness.JOB, **job_changes)
    relay = answer_relay.AnswerRelay(core, 'j', job)
    return list(relay.chunks())


@pytest.mark.parametrize(('failure', 'cancelled'), PREFILL_FAILURES)
def test_a_failed_prefill_blames_the_prefill_upstream_alone(
    failure, cancelled
):
    core = _Core([('p-1', 'd-1'), ('p-2', 'd-1')], [failure, {}])
    assert [chunk.text for chunk in _chunks(core)] == ['done']
    assert core.failed == ['p-1']
    assert core.excluded == [frozenset(), frozenset({'p-1'})]
    assert core.cancelled == cancelled


@pytest.mark.parametrize(('text', 'fits'), [('x' * 8, True), ('é' * 8, False)])
def test_the_size_limit_of_an_answer_counts_bytes(text, fits):
    relay = settings.RelaySettings(max_answer_bytes=8)
    core = _Core([('', 'd-1')], [], text, relay)
    if fits:
        assert len(_chunks(core)) == 1
        return
    with pytest.raises(errors.UpstreamFailed):
        _chunks(core)


SILENCE = upstream_adapter.UpstreamSilent('timed out')
# An upstream sends a chunk and is silent twice; then it goes on.
SILENT_STREAMS = [
    [_chunk(0, 'a'), SILENCE],
    [SILENCE],
    [_chunk(1, 'b'), upstream_adapter.End()],
]


@pytest.mark.parametrize(
    ('pairs', 'continuable'),
    [([('', 'd-1')], True), ([('', 'd-1'), ('', 'd-2')], False)],
)
def test_a_silent_upstream_is_awaited_if_no_other_can_go_on(
    pairs, continuable
):
    """It was cancelled before another generation was placed."""
    core = _Core(list(pairs), [], streams=list(SILENT_STREAMS))
    chunks = _chunks(core, continuable=continuable)
    assert [chunk.text for chunk in chunks] == ['a', 'b']
    assert core.sent == [('j-1', -1), ('j-1', 0), ('j-1', 0)]
    assert core.cancelled == []
    assert core.failed == ['d-1']


def test_a_silent_upstream_is_left_once_another_one_is_placed():
    core = _Core(
        [('', 'd-1'), ('', 'd-2')], [], streams=list(SILENT_STREAMS[:2])
    )
    assert [chunk.text for chunk in _chunks(core)] == ['a', 'done']
    assert core.sent[-1] == ('j-2', -1)
    assert core.cancelled == [('10.0.0.2:1', 'j-1')]
    assert core.excluded[-1] == frozenset({'d-1'})


def test_a_placement_that_is_a_retry_takes_one_from_the_budget():
    harness = core_harness.CoreHarness(lambda _method, _request: None)
    scheduler = harness.core.scheduler
    harness.admit()
    again = messages.PlaceCompletion(
        'job-1', core_harness.JOB, frozenset({'lm-1'}), is_retry=True
    )
    assert asyncio.run(scheduler.place(again)).upstream == 'lm-2'
    spent = messages.Retry('job-1', core_harness.MODEL)
    while scheduler.retry(spent):
        pass
    again = attrs.evolve(again, exclude=frozenset({'lm-2'}))
    with pytest.raises(errors.NoUpstream):
        asyncio.run(scheduler.place(again))
    # The job counts as work where it stays.
    assert scheduler.job_history.get('job-1').upstream == 'lm-2'
    harness.close()


@pytest.mark.parametrize(
    ('failure', 'error', 'execution'),
    [
        (
            upstream_adapter.IncompleteResponse('broken'),
            errors.UpstreamFailed,
            errors.ExecutionStatus.UNKNOWN,
        ),
        (
            upstream_adapter.UpstreamRefused(500, 'failed'),
            errors.UpstreamFailed,
            errors.ExecutionStatus.UNKNOWN,
        ),
        (
            upstream_adapter.UpstreamRefused(503, 'full'),
            errors.NoUpstream,
            errors.ExecutionStatus.NOT_RUN,
        ),
        (
            upstream_adapter.UpstreamUnreachable('refused'),
            errors.NoUpstream,
            errors.ExecutionStatus.NOT_RUN,
        ),
    ],
)
def test_not_run_is_reported_only_if_no_upstream_may_have_run(
    failure, error, execution
):
    """A job that may have run was refused as not run."""
    core = _Core([('', 'd-1')], [], streams=[[failure]])
    with pytest.raises(error) as caught:
        _chunks(core)
    assert caught.value.execution is execution


def test_the_end_of_a_stop_ends_an_answer_with_an_error():
    """The answer went on until its connection was cut."""
    items = [_chunk(0, 'a'), _chunk(1, 'b'), upstream_adapter.End()]
    core = _Core([('', 'd-1')], [], streams=[items])
    relay = answer_relay.AnswerRelay(core, 'j', core_harness.JOB)
    chunks = relay.chunks()
    assert next(chunks).text == 'a'
    core.stop_at = 0.0
    with pytest.raises(errors.UpstreamFailed) as caught:
        list(chunks)
    assert caught.value.execution is errors.ExecutionStatus.UNKNOWN
    assert core.cancelled == [('10.0.0.2:1', 'j-1')]


def test_the_end_of_a_stop_refuses_what_was_not_sent():
    core = _Core([('', 'd-1')], [], stop_at=0.0)
    with pytest.raises(errors.Unready) as caught:
        _chunks(core)
    assert caught.value.execution is errors.ExecutionStatus.NOT_RUN
    assert core.sent == []
