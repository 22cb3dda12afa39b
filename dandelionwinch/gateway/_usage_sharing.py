"""Sends what this instance counted to the holder of the usage duty.

The totals go to the holder and to the instances that would follow it, so
that they survive the holder. What others send is kept here for a report.
"""

import asyncio

import attrs

from dandelionwinch.gateway import _clock_check
from dandelionwinch.gateway import _usage_link
from dandelionwinch import usage

TICK_S = 0.25
# Time between two looks at who gets the totals and what is still needed.
UPKEEP_INTERVAL_S = 1.0
# Time between two running totals of an open window.
RUNNING_INTERVAL_S = 1.0
# Time after the end of a window in which first events that were made before
# still arrive.
FINAL_DELAY_S = 0.25
# Finals of many instances at once would overflow the receiver's socket, so
# they are spread over this time for each instance.
SPREAD_PER_INSTANCE_S = 0.003
MAX_SPREAD_S = 1.5
# Time after the end of a window up to which calls without an answer delay
# its final total: this part of the time at which its report is due, but not
# more than that. It is reported at 0.45 of that time, or after 4.5 s.
FINAL_LATEST_RATIO = 0.3
FINAL_LATEST_S = 3.0
# Times after which a final total is sent again while no report is known.
MIN_REPEAT_S = 2.0
MAX_REPEAT_S = 60.0
# Instances beside the receivers of totals that are told of a report before it
# is sent, the answers that are enough, and the intervals and number of tries.
ANNOUNCED_INSTANCES = 2
ENOUGH_ANSWERS = 2
ANNOUNCE_INTERVAL_S = 0.04
ANNOUNCE_TRIES = 4
# Reports that are kept for operators.
SHOWN_REPORTS = 12
MS = 1000.0


@attrs.define
class _Sending:
    """What was sent of one window.

    Attributes:
        counts: Counts as they were sent last.
        next_at: Time of the next running total.
        final_total: Sum of the final total that was sent, None before.
        repeat_at: Time at which it is sent again.
        repeat_s: Interval after that.
    """

    counts: dict = attrs.Factory(dict)
    next_at: float = float('-inf')
    final_total: int | None = None
    repeat_at: float = float('inf')
    repeat_s: float = MIN_REPEAT_S


@attrs.frozen
class UsageView:
    """What this instance knows of the usage in one window.

    Attributes:
        window: Number of the window.
        ended_s: Seconds since its end, negative before.
        counted: Requests by team that this instance counted.
        reported: Requests by team in its report, None if none was seen.
    """

    window: int
    ended_s: float
    counted: dict[str, int]
    reported: dict[str, int] | None


class UsageSharing:
    """Exchanges running totals with other instances.

    Args:
        loop: The event loop.
        clock: TrueClock.
        counts: WindowCounts of this instance.
        meter: UsageMeter of this instance.
        link: PeerLink.
        name: Name of this instance.
        log: EventLog.
        rng: Source of randomness.
        due_s: Time after the end of a window at which its report is due.

    Attributes:
        in_use: Whether there are teams, without which nothing is sent.
        receivers: Function that returns the names of the instances that get
            the totals: the holder, and those that would follow it.
        totals: Totals of all instances, as far as they were received.
    """

    __slots__ = (
        '_answers',
        '_announced',
        '_clock',
        '_clock_check',
        '_counts',
        '_final_latest_s',
        '_incarnation',
        '_link',
        '_log',
        '_loop',
        '_meter',
        '_name',
        '_phase',
        '_receivers',
        '_reports',
        '_rng',
        '_sendings',
        '_settled',
        '_timer',
        '_upkeep_at',
        'in_use',
        'receivers',
        'totals',
    )

    def __init__(
        self, loop, clock, counts, meter, link, name, log, rng, due_s
    ):
        self._loop = loop
        self._clock = clock
        self._counts = counts
        self._meter = meter
        self._clock_check = _clock_check.ClockCheck(loop, clock, link, rng)
        self._link = _usage_link.UsageLink(link, self)
        self._name = name
        self._log = log
        self._rng = rng
        self._final_latest_s = min(FINAL_LATEST_S, FINAL_LATEST_RATIO * due_s)
        self._phase = 0.0
        self._incarnation = 0
        self._sendings = {}
        self._receivers = ()
        # Window that is announced, and the addresses that have answered.
        self._announced = -1
        self._answers = set()
        self._upkeep_at = float('-inf')
        # The last Reports that were seen, by window.
        self._reports = {}
        self._settled = False
        self._timer = None
        self.in_use = False
        self.receivers = tuple
        self.totals = usage.Totals(counts.window_s)

    @property
    def settled(self):
        """Whether the clock was compared with those of other instances."""
        return self._settled

    @property
    def reported(self):
        """Returns the last window of which a report is known."""
        return self._counts.reported

    def start(self):
        """Starts the periodic work."""
        self._phase = self._rng.random()
        self._incarnation = round(self._clock.now() * MS)
        self._tick()

    def close(self):
        """Sends what is left, and stops the periodic work."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        if self._settled and self.in_use:
            now = self._clock.now()
            self._meter.presume_begun(now)
            for window in self._pending(now):
                self._send_final(window, now)

    def now(self):
        """Returns the seconds since the start of 1970."""
        return self._clock.now()

    def answer_time_s(self):
        """Returns the time in which all instances answer a question."""
        return 2 * TICK_S + self._spread_s()

    def _spread_s(self):
        instances = 1 + len(self._link.peers)
        return min(MAX_SPREAD_S, SPREAD_PER_INSTANCE_S * instances)

    def _tick(self):
        self._timer = self._loop.call_later(TICK_S, self._tick)
        if not self.in_use:
            return
        if not self._settled:
            self._settle()
            return
        if self._loop.time() >= self._upkeep_at:
            self._upkeep_at = self._loop.time() + UPKEEP_INTERVAL_S
            self._follow_receivers()
            self._forget()
        now = self._clock.now()
        for window in self._pending(now):
            self._send_due(window, now)

    def _follow_receivers(self):
        """Has all totals sent in full to receivers that are new."""
        receivers = tuple(self.receivers())
        if receivers != self._receivers:
            self._receivers = receivers
            self._sendings.clear()

    def _forget(self):
        """Drops what no report needs any more."""
        now = self._clock.now()
        self._counts.forget(now)
        self.totals.forget(self._counts.reported, now)

    def _pending(self, now):
        """Returns the windows whose report is not known, up to now."""
        current = self._counts.window_of(now)
        first = max(
            self._counts.window_of(self._incarnation / MS),
            self._counts.reported + 1,
            current - usage.KEPT_WINDOWS,
        )
        for window in [w for w in self._sendings if w < first]:
            del self._sendings[window]
        return range(first, current + 1)

    def _send_due(self, window, now):
        sending = self._sendings.setdefault(window, _Sending())
        end_at = self._counts.end_of(window)
        if not self._is_final(end_at, now):
            self._send_running(window, sending, now)
            return
        self._meter.presume_begun(end_at)
        total = sum(self._counts.counts(window).values())
        if sending.final_total != total or now >= sending.repeat_at:
            self._send_final(window, now)

    def _is_final(self, end_at, now):
        due_at = end_at + FINAL_DELAY_S + self._phase * self._spread_s()
        if now < due_at:
            return False
        return (
            now >= end_at + self._final_latest_s
            or not self._meter.has_open(end_at)
        )

    def _send_running(self, window, sending, now):
        counts = self._counts.counts(window)
        if now < sending.next_at or counts == sending.counts:
            return
        rows = [
            (team, count)
            for team, count in counts.items()
            if sending.counts.get(team) != count
        ]
        sending.next_at = now + RUNNING_INTERVAL_S
        sending.counts = dict(counts)
        self._send(self._total(window, rows, final=False))

    def _send_final(self, window, now):
        sending = self._sendings.setdefault(window, _Sending())
        counts = self._counts.counts(window)
        sending.final_total = sum(counts.values())
        sending.repeat_at = now + sending.repeat_s
        sending.repeat_s = min(MAX_REPEAT_S, 2 * sending.repeat_s)
        self._send(self._total(window, counts.items(), final=True))

    def _total(self, window, rows, *, final):
        total = sum(self._counts.counts(window).values())
        return usage.RunningTotal(
            self._name, self._incarnation, window, final, total, tuple(rows)
        )

    def _send(self, total):
        self.totals.take(total, self._clock.now())
        peers = self._link.peers
        addresses = [peers[name] for name in self._receivers if name in peers]
        self._link.send_total(total, self._counts.reported, addresses)

    def saw_report(self, report):
        """Records a report that was seen in the store."""
        self._counts.set_reported(report.window)
        self._reports[report.window] = report
        while len(self._reports) > SHOWN_REPORTS:
            del self._reports[min(self._reports)]

    def view(self):
        """Returns a UsageView of each of the last windows, in their order."""
        now = self._clock.now()
        windows = {*self._counts.windows(), *self._reports}
        return [
            UsageView(
                window,
                now - self._counts.end_of(window),
                self._counts.counts(window),
                self._reported_counts(window),
            )
            for window in sorted(windows)
        ]

    def _reported_counts(self, window):
        report = self._reports.get(window)
        return None if report is None else report.counts

    def ask(self, names=None):
        """Asks instances for what they hold of windows without a report.

        Args:
            names: Names of the instances, None for all.
        """
        peers = self._link.peers
        addresses = [
            addr
            for name, addr in peers.items()
            if names is None or name in names
        ]
        self._link.ask_totals(self._counts.reported, addresses)

    def take_total(self, total, relayed):
        """Takes in a total of another process."""
        if (total.name, total.incarnation) == (self._name, self._incarnation):
            return
        self.totals.take(total, self._clock.now(), relayed=relayed)

    def take_reported(self, window):
        """Takes in up to which window another instance knows of reports."""
        if window <= self._counts.window_of(self._clock.now()):
            self._counts.set_reported(window)

    async def announce(self, window):
        """Tells some instances that the report of a window is to be sent.

        The store may be restored from a copy without the report and the
        holder may end, before another instance has read it. Without answers
        this takes ANNOUNCE_TRIES intervals and no longer.
        """
        peers = self._link.peers
        names = {name for name in self._receivers if name in peers}
        others = sorted(peers.keys() - names)
        count = min(ANNOUNCED_INSTANCES, len(others))
        names.update(self._rng.sample(others, count))
        self._announced, self._answers = window, set()
        for _ in range(ANNOUNCE_TRIES):
            addresses = [
                peers[name]
                for name in sorted(names)
                if tuple(peers[name]) not in self._answers
            ]
            if len(self._answers) >= ENOUGH_ANSWERS or not addresses:
                return
            self._link.announce(window, False, addresses)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def take_announcement(self, window, is_answer, addr):
        """Takes in that a report is about to be sent, or an answer to that."""
        if not is_answer:
            self.take_reported(window)
            self._link.announce(window, True, [addr])
        elif window == self._announced:
            self._answers.add(tuple(addr[:2]))

    def take_question(self, addr):
        """Answers an instance that has become the holder, after a pause."""
        if self._settled and self.in_use:
            pause_s = self._rng.random() * self._spread_s()
            self._loop.call_later(pause_s, self._tell, addr)

    def _tell(self, addr):
        if self._timer is None:
            return
        now = self._clock.now()
        reported = self._counts.reported
        for window in self._pending(now):
            counts = self._counts.counts(window)
            sending = self._sendings.get(window)
            final = sending is not None and sending.final_total is not None
            total = self._total(window, counts.items(), final=final)
            self._link.send_total(total, reported, [addr])
        for total in self.totals.of_silent(now, self._name):
            self._link.send_total(total, reported, [addr])

    def _settle(self):
        """Corrects the clock before any total is sent."""
        offset_s = self._clock_check.find_offset_s()
        if offset_s is None:
            return
        if offset_s:
            self._clock.correct(offset_s)
            self._meter.shift(offset_s)
            self._incarnation += round(offset_s * MS)
            self._log.event(
                'usage.clock',
                offset_s=round(offset_s, 3),
                answers=self._clock_check.answers,
            )
        self._settled = True
        self._counts.settle(offset_s)
