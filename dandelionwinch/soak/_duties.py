"""The API of the duties in a soak: its faults, calls and reports of usage."""

import asyncio
import math

import attrs

from dandelionwinch.soak import _selection
from dandelionwinch.standins import duty_api
from dandelionwinch.standins import settings_text

DUTY_RUNS = 0.5
USAGE = 'usage_report'
CAPACITY = 'autoscale'
CALLS_PER_S = 50.0
WINDOW_S = 5.0
# Time after the end of a window within which its report is accepted.
LATE_S = 10.0
# How far a count may be from the truth: a share of it, and the calls that
# may begin at the edge of a window.
TOLERANCE = 0.05
EDGE_CALLS = 2
# Time after the last fault until its effects have ended: instances are back,
# and a lease whose holder was lost has a new one.
SETTLE_S = 8.0
POLL_S = 0.1
# A call usually takes 20 ms; a slow one takes 50 times as long.
SLOW_S = 1.0
# When a fault begins, as a share of the run's time, and how long it lasts.
BEGIN_SHARES = (0.1, 0.8)
MIN_SPAN_S = 1.0
MAX_SPAN_S = 4.0
MAX_FAULTS = 4


@attrs.frozen
class _Behaviour:
    """How the API behaves: see the attributes of duty_api.DutyApi."""

    mode: duty_api.Mode = duty_api.Mode.NORMAL
    delay_s: float = 0.0
    accepts_unanswered: bool = False


KINDS = {
    'slow': _Behaviour(delay_s=SLOW_S),
    'silent': _Behaviour(duty_api.Mode.SILENT),
    'reset': _Behaviour(duty_api.Mode.RESET),
    'lost': _Behaviour(duty_api.Mode.RESET, accepts_unanswered=True),
    'busy': _Behaviour(duty_api.Mode.BUSY),
    'throttled': _Behaviour(duty_api.Mode.THROTTLED),
}
HEALTHY = _Behaviour()


@attrs.frozen
class Fault:
    """A time in which the API behaves otherwise.

    Attributes:
        begin_s: Time from the start of the traffic.
        span_s: Time for which it lasts.
        kind: Key of KINDS.
    """

    begin_s: float
    span_s: float
    kind: str


def plan(seed, for_s):
    """Returns the Faults of a run, None in a run without duties.

    Args:
        seed: Seed of the run.
        for_s: Seconds for which faults are injected.
    """
    rng = _selection.draw(seed, 'duties', for_s, DUTY_RUNS)
    if rng is None:
        return None
    faults = []
    free_s = 0.0
    for share in sorted(
        rng.uniform(*BEGIN_SHARES) for _n in range(rng.randint(1, MAX_FAULTS))
    ):
        begin_s = max(free_s, share * for_s)
        span_s = rng.uniform(MIN_SPAN_S, MAX_SPAN_S)
        kind = rng.choice(sorted(KINDS))
        free_s = begin_s + span_s
        if free_s < for_s:
            faults.append(Fault(begin_s, span_s, kind))
    return tuple(faults)


class Duties:
    """The API of one soak and what is checked of its calls.

    Args:
        faults: The Faults.
        names: Names of the duties of the instances.
        clock: Function that returns the event loop time.
        unix_offset_s: Function that returns unix time less event loop time.

    Attributes:
        api: The DutyApi.
        checked: Numbers of the windows whose reports are checked.
    """

    __slots__ = (
        '_clock',
        '_faults',
        '_names',
        '_unix_offset_s',
        'api',
        'checked',
    )

    def __init__(self, faults, names, clock, unix_offset_s):
        self._faults = faults
        self._names = names
        self._clock = clock
        self._unix_offset_s = unix_offset_s
        self.api = duty_api.DutyApi(CALLS_PER_S)
        self.checked = range(0)

    def add_settings(self, text):
        """Returns the text of a settings file with the duties."""
        return settings_text.with_duties(
            text, self.api.address, self._names, CALLS_PER_S, WINDOW_S
        )

    async def run(self, record_fault):
        """Injects the faults.

        Args:
            record_fault: Function of a fault and its target.
        """
        start = self._clock()
        try:
            for fault in self._faults:
                await asyncio.sleep(start + fault.begin_s - self._clock())
                record_fault(f'api {fault.kind}', f'{fault.span_s:.2f} s')
                self._behave(KINDS[fault.kind])
                await asyncio.sleep(fault.span_s)
                self._behave(HEALTHY)
        finally:
            self._behave(HEALTHY)

    def _behave(self, behaviour):
        self.api.accepts_unanswered = behaviour.accepts_unanswered
        self.api.delay_s = behaviour.delay_s
        self.api.mode = behaviour.mode

    async def await_reports(self, ended_at):
        """Waits for the reports that are checked.

        These are of the windows that begin after the effects of the last
        fault and have ended, at least one.

        Args:
            ended_at: Event loop time of the last fault.
        """
        if USAGE not in self._names:
            return
        first = math.ceil(self._window_at(ended_at + SETTLE_S))
        after = max(first + 1, math.floor(self._window_at(self._clock())))
        self.checked = range(first, after)
        await asyncio.sleep(self._end_of(after - 1) - self._clock())
        due_at = self._end_of(after - 1) + LATE_S
        while self._clock() < due_at:
            if set(self.checked) <= self._reports().keys():
                return
            await asyncio.sleep(POLL_S)

    def _window_at(self, at):
        """Returns the number of windows from 1970 to an event loop time."""
        return (at + self._unix_offset_s()) / WINDOW_S

    def _end_of(self, window):
        """Returns the event loop time at which a window ends."""
        return (window + 1) * WINDOW_S - self._unix_offset_s()

    def _reports(self):
        """Returns the first accepted call by window."""
        found = {}
        for call in self.api.accepted(duty_api.USAGE_PATH):
            found.setdefault(call.body['window'], call)
        return found

    def violations(self, begun):
        """Returns the descriptions of all violations.

        Args:
            begun: Team and event loop time at which each request began to
                run at an upstream.
        """
        return [
            *self.api.ledger.violations,
            *self.api.findings,
            *self._wrong_reports(begun),
        ]

    def _wrong_reports(self, begun):
        reports = self._reports()
        for window in self.checked:
            call = reports.get(window)
            late_s = math.inf if call is None else call.at
            late_s -= self._end_of(window)
            if late_s > LATE_S:
                yield f'window {window}: reported {late_s:.1f} s after its end'
            if call is not None:
                yield from self._wrong_counts(window, call, begun)

    def _wrong_counts(self, window, call, begun):
        counts = call.body['counts']
        truth = dict.fromkeys(counts, 0)
        for team, at in begun:
            if math.floor(self._window_at(at)) == window:
                truth[team] = truth.get(team, 0) + 1
        for team, count in sorted(truth.items()):
            reported = counts.get(team, 0)
            if abs(reported - count) > TOLERANCE * count + EDGE_CALLS:
                yield (
                    f'window {window}: {reported} requests of {team} were '
                    f'reported by {call.holder}, {count} began to run'
                )
