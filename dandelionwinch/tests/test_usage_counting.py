"""What counts as usage of a team, and when it began to run."""

import json

import pytest

from dandelionwinch import attempts
from dandelionwinch.gateway import _metrics
from dandelionwinch.gateway import _usage_link
from dandelionwinch.gateway import _usage_meter
from dandelionwinch.platform import samples
from dandelionwinch.standins import scripted
from dandelionwinch import teams
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests.gateway_harness import chunk
from dandelionwinch.tests.gateway_harness import event
from dandelionwinch.tests.gateway_harness import LAST_CHUNK
from dandelionwinch.tests.gateway_harness import response
from dandelionwinch.tests.gateway_harness import STREAM_HEAD
from dandelionwinch import usage
from dandelionwinch.usage import _totals

DIRECTORY = teams.TeamDirectory([(teams.Team('blue'), [teams.digest(b'key')])])
STREAM = STREAM_HEAD + chunk(event(1)) + chunk(event(2)) + LAST_CHUNK


class _Counts(usage.WindowCounts):
    """Counts that also keep the time of each request."""

    __slots__ = ('begun',)

    def __init__(self):
        super().__init__(5.0)
        self.begun = []
        self.settle(0.0)

    def record(self, team, at):
        self.begun.append((team, at))
        return super().record(team, at)


def count(path, scripts, prompt=None, key='key', timeout_ms=3000):
    """Returns the requests that are counted while one is served."""

    async def scenario(harness):
        gateway = harness.gateway
        counts = _Counts()
        gateway.usage_meter = _usage_meter.UsageMeter(
            harness.gateway.loop,
            usage.TrueClock(lambda: 1000.0, gateway.loop.time),
            counts,
            gateway.distances,
            gateway.metrics,
        )
        gateway.usage_meter.enabled = True
        shared = list(scripts)
        for upstream in harness.upstreams:
            upstream._scripts = shared
        headers = [('Authorization', f'Token {key}')] if key else []
        harness.send(
            path, prompt=prompt, headers=headers, timeout_ms=timeout_ms
        )
        await harness.read_response()
        assert not gateway.usage_meter.has_open(float('inf'))
        return counts.begun

    return gateway_harness.run_scenario(
        [[], []], scenario, directory=DIRECTORY
    )


@pytest.mark.parametrize(
    ('path', 'scripts', 'counted'),
    [
        ('/once/1', [[response()]], 1),
        # It ran and failed.
        ('/once/1', [[response(status='500 Oops')]], 1),
        ('/once/1', [[response(b'abc')[:-1], scripted.CLOSE]], 1),
        # Its answer was lost after the time in which a call is taken in.
        ('/short/1', [[scripted.HANG]], 1),
        ('/once/1', [[samples.refusal()]], 0),
        ('/once/1', [[samples.refusal('421 Misdirected Request')]], 0),
        # Sent twice, once refused and once executed.
        ('/failover/1', [[samples.refusal()], [response()]], 1),
        # Executed twice.
        ('/safe/1', [[response(status='500 Oops')], [response()]], 1),
    ],
)
def test_a_call_counts_once_if_it_may_have_run(path, scripts, counted):
    begun = count(path, scripts)
    assert [team for team, _at in begun] == ['blue'] * counted


@pytest.mark.parametrize(
    ('path', 'scripts', 'counted'),
    [
        ('/stream/1', [[STREAM]], 1),
        # The first event is lost with its connection, after it was read.
        ('/stream/1', [[STREAM_HEAD, chunk(event(1)), scripted.RESET]], 1),
        # No event was made.
        ('/stream/1', [[STREAM_HEAD, scripted.CLOSE]], 0),
        ('/stream/1', [[samples.refusal()], [samples.refusal()]], 0),
        ('/stream/1', [[response(status='500 Oops')]], 0),
        # Resumed at the other engine.
        (
            '/resume/1',
            [
                [STREAM_HEAD, chunk(event(1)), scripted.CLOSE],
                [STREAM_HEAD + chunk(event(2)) + LAST_CHUNK],
            ],
            1,
        ),
    ],
)
def test_a_stream_counts_once_at_its_first_event(path, scripts, counted):
    begun = count(path, scripts, prompt=(50, 50))
    assert [team for team, _at in begun] == ['blue'] * counted


def test_a_stream_that_may_be_in_time_counts():
    """Requests that are no retries were counted as shortage alone."""
    begun = count('/stream/1', [[STREAM]], prompt=(50, 50), timeout_ms=5000)
    assert [team for team, _at in begun] == ['blue']


def test_a_request_without_a_team_does_not_count():
    assert count('/once/1', [[response()]], key='') == []


class _Upstream:
    """An upstream in the own data centre, with a round trip of 2 s.

    The round trip is long so that the delay shows.
    """

    entry = type('Entry', (), {'data_centre': 'a'})
    wait_s = 0.0

    def recent_excess_s(self, _now):
        return self.wait_s


class _Loop:
    now = 0.0

    def time(self):
        return self.now


class _Distances:
    def round_trip_s(self, _data_centre):
        return 2.0


def make_meter(start_s=1000.0):
    """Returns a loop whose time can be set, a meter and its counts."""
    loop, counts = _Loop(), _Counts()
    clock = usage.TrueClock(lambda: start_s, loop.time)
    meter = _usage_meter.UsageMeter(
        loop, clock, counts, _Distances(), _metrics.Metrics()
    )
    meter.enabled = True
    return loop, meter, counts


def test_a_first_event_counts_when_it_was_made():
    # It was made 1 s before it arrived, in the window before.
    loop, meter, counts = make_meter()
    loop.now = 5.5
    meter.stream_begins('blue', _Upstream())
    assert counts.begun == [('blue', 1004.5)]
    assert counts.counts(200) == {'blue': 1}


def serve_call(loop, meter, sent_at, worked_s, waited_s=0.0):
    """Has a call answered after it waited and was worked on."""
    loop.now = sent_at
    call = meter.open_call('blue', 's', _Upstream())
    loop.now = sent_at + 2.0 + waited_s + worked_s
    call.answer_arrives()
    call.end(None)


def test_a_call_that_waited_counts_when_the_upstream_began_it():
    loop, meter, counts = make_meter()
    for number in range(50):
        serve_call(loop, meter, 10.0 * number, 0.1)
    serve_call(loop, meter, 1000.0, 0.1, waited_s=4.0)
    _team, begun_at = counts.begun[-1]
    assert begun_at == pytest.approx(1000.0 + 1000.0 + 1.0 + 4.0, abs=0.02)


def test_a_call_that_did_not_wait_counts_at_its_arrival():
    loop, meter, counts = make_meter()
    for number in range(50):
        serve_call(loop, meter, 10.0 * number, 0.1 + 0.05 * (number % 3))
    begun = [at - 1001.0 - 10.0 * n for n, (_t, at) in enumerate(counts.begun)]
    assert max(map(abs, begun)) < 0.11


@pytest.mark.parametrize(
    ('lost_after_s', 'wait_s', 'begun_at'),
    [
        # It reached the upstream and was taken in.
        (2.1, 0.0, 1001.0),
        # The connection was lost before it could arrive.
        (1.9, 0.0, None),
        (2.001, 0.0, None),
        # Calls wait there for longer than it was there.
        (2.1, 0.5, None),
        (2.6, 0.5, 1001.5),
    ],
)
def test_a_lost_call_counts_if_there_was_time_to_begin(
    lost_after_s, wait_s, begun_at
):
    loop, meter, counts = make_meter()
    upstream = _Upstream()
    upstream.wait_s = wait_s
    call = meter.open_call('blue', 's', upstream)
    loop.now = lost_after_s
    assert call.end(attempts.AttemptOutcome.UNKNOWN) is (begun_at is not None)
    found = [at for _team, at in counts.begun]
    assert found == ([] if begun_at is None else [begun_at])


def test_a_call_that_was_presumed_to_run_counts_once():
    loop, meter, counts = make_meter()
    call = meter.open_call('blue', 's', _Upstream())
    loop.now = 9.0
    assert meter.has_open(1005.0)
    meter.presume_begun(1005.0)
    meter.presume_begun(1005.0)
    call.answer_arrives()
    call.end(None)
    assert counts.begun == [('blue', 1001.0)]
    assert not meter.has_open(1005.0)


def test_teams_beyond_a_hundred_share_one_series():
    metrics = _metrics.Metrics()
    for number in range(150):
        metrics.record_usage(f't{number}')
    lines = metrics.text().decode().splitlines()
    series = [
        line
        for line in lines
        if line.startswith('dandelionwinch_usage_requests_total{')
    ]
    assert len(series) == 101
    assert 'dandelionwinch_usage_requests_total{team="others"} 50.0' in series


class _Link:
    """A PeerLink that knows one address."""

    peers = {'i1': ('10.0.0.1', 9)}

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def name_of(self, addr):
        for name, known in self.peers.items():
            if known == tuple(addr):
                return name
        raise ValueError('unknown')

    def send_all(self, message, addresses):
        self.sent += [json.loads(json.dumps(message))] * len(addresses)


class _Receiver:
    def __init__(self):
        self.totals = []
        self.reported = -1

    def take_total(self, total, relayed):
        self.totals.append((total, relayed))

    def take_reported(self, window):
        self.reported = window

    def take_question(self, _addr):
        pass


def test_a_total_of_many_teams_is_final_when_all_pieces_arrived():
    link, receiver = _Link(), _Receiver()
    usage_link = _usage_link.UsageLink(link, receiver)
    rows = tuple((f't{number}', number + 1) for number in range(45))
    total = usage.RunningTotal('i1', 0, 7, True, sum(range(46)), rows)
    usage_link.send_total(total, 6, [('10.0.0.1', 9)])
    assert [len(message[-1]) for message in link.sent] == [20, 20, 5]
    totals = usage.Totals(5.0)
    for message in [link.sent[2], link.sent[2], link.sent[0], link.sent[1]]:
        assert totals.missing(7, ['i1'], 40.0) == {'i1'}
        link.handlers['usage'](message[1:], ('10.0.0.1', 9))
        totals.take(receiver.totals[-1][0], 40.0)
    assert totals.missing(7, ['i1'], 40.0) == set()
    assert totals.counts(7) == dict(rows)


def test_forged_totals_take_bounded_memory(monkeypatch):
    """Each process, window and team alone was bounded, all together not."""
    monkeypatch.setattr(_totals, 'MAX_COUNTS', 100)
    totals = usage.Totals(5.0)

    def forge(window):
        for number in range(50):
            rows = tuple((f't{number}-{team}', 1) for team in range(20))
            totals.take(
                usage.RunningTotal(f'i{number}', 0, window, False, 20, rows),
                5.0 * window,
            )

    forge(7)
    assert len(totals.counts(7)) == 100
    # What is known grows on, and there is room again after a report.
    known = usage.RunningTotal('i0', 0, 7, False, 9, (('t0-0', 9),))
    totals.take(known, 35.0)
    assert totals.counts(7)['t0-0'] == 9
    totals.forget(7, 40.0)
    forge(8)
    assert len(totals.counts(8)) == 100


GOOD = ['i1', 0, 7, 1, 3, 6, [['t', 3]]]


@pytest.mark.parametrize(
    ('position', 'value'),
    [
        (0, ''),
        (0, 'n' * 200),
        (1, -1),
        (1, 1.5),
        (2, '7'),
        (2, True),
        (3, 2),
        (4, 1 << 60),
        (5, -2),
        (6, {}),
        (6, [['t', -1]]),
        (6, [['t']]),
        (6, [[1, 1]]),
        (6, [['t', 1]] * 21),
    ],
)
def test_a_malformed_total_is_dropped(position, value):
    link, receiver = _Link(), _Receiver()
    _usage_link.UsageLink(link, receiver)
    message = [*GOOD]
    message[position] = value
    with pytest.raises((ValueError, TypeError)):
        link.handlers['usage'](message, ('10.0.0.1', 9))
    assert (receiver.totals, receiver.reported) == ([], -1)


def test_a_total_of_an_unknown_sender_is_dropped():
    link, receiver = _Link(), _Receiver()
    _usage_link.UsageLink(link, receiver)
    with pytest.raises(ValueError):
        link.handlers['usage'](GOOD, ('10.0.0.2', 9))
    link.handlers['usage'](GOOD, ('10.0.0.1', 9))
    assert len(receiver.totals) == 1


@pytest.mark.parametrize('teams_count', [1, 900])
def test_a_report_survives_the_store(teams_count):
    counts = {f'team-{number}': number + 1 for number in range(teams_count)}
    report = usage.Report(360_000_000, counts)
    assert usage.Report.decode(report.encode()) == report


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'{',
        b'[]',
        b'{"window": 1}',
        b'{"window": "1", "counts": {}}',
        b'{"window": 1, "counts": {"t": "3"}}',
        b'x\x9cnothing',
    ],
)
def test_a_report_that_cannot_be_read_is_refused(value):
    with pytest.raises(usage.ReportInvalid):
        usage.Report.decode(value)
