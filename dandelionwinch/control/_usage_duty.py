"""The duty of reporting what teams used, at the duty API."""

from dandelionwinch.control import _duty
from dandelionwinch.control import _store
from dandelionwinch import usage

REPORT_KEY = 'dandelionwinch/usage/report'
_RESULTS = {
    _duty.Accepted: 'accepted',
    _duty.Refused: 'refused',
    _duty.Throttled: 'throttled',
    _duty.Unanswered: 'unanswered',
    _duty.NotSent: 'not sent',
}
# Steps of one call, so that reports that were delayed follow each other.
MAX_STEPS = 12
# Time after the end of a window at which instances whose final total is
# missing are asked for it, beside the time in which all send theirs.
ASK_MISSING_S = 1.0


class UsageDuty:
    """Writes and sends the reports while this instance is the holder.

    Args:
        store: Store.
        sharing: UsageSharing of the gateway.
        api: DutyApi.
        names: Function that returns the names of the registered instances.
        log: EventLog.
        due_s: Time after the end of a window at which its report is due.
    """

    name = 'usage'

    __slots__ = (
        '_announced',
        '_api',
        '_epoch',
        '_log',
        '_names',
        '_reporter',
        '_sharing',
        '_store',
        '_token',
    )

    def __init__(self, store, sharing, api, names, log, due_s):
        self._store = store
        self._sharing = sharing
        self._api = api
        self._names = names
        self._log = log
        self._reporter = usage.Reporter(sharing.totals.window_s, due_s)
        self._token = 0
        self._epoch = None
        # Window whose report other instances were told of.
        self._announced = None

    def saw(self, item):
        """Takes in the report in the store, from the watch.

        Args:
            item: Item of REPORT_KEY.
        """
        report = self._decode(item.value)
        if report is not None:
            self._reporter.saw(report)
            self._sharing.saw_report(report)

    def _decode(self, value):
        if value is None:
            return None
        try:
            return usage.Report.decode(value)
        except usage.ReportInvalid as exc:
            self._log.event('usage.invalid', reason=exc.message)
            return None

    async def perform(self, authority):
        """Performs the steps that are due.

        Args:
            authority: Authority of the holder.
        """
        if not self._sharing.settled:
            return
        self._begin(authority)
        for _ in range(MAX_STEPS):
            now = self._sharing.now()
            self._reporter.set_reported(self._sharing.reported)
            step = self._reporter.next_step(
                self._sharing.totals,
                self._names(),
                self._sharing.answer_time_s(),
                now,
            )
            if step is None or not await self._take(step, authority):
                break
        self._ask_missing()

    def _ask_missing(self):
        """Asks for final totals that may have been lost, at each call."""
        awaited = self._reporter.awaited
        end_at = (self._reporter.last + 2) * self._sharing.totals.window_s
        due_at = end_at + ASK_MISSING_S + self._sharing.answer_time_s()
        if awaited and self._sharing.now() >= due_at:
            self._sharing.ask(awaited)

    def _begin(self, authority):
        """Starts anew as a new holder, and after a restore of the store."""
        epoch = self._store.epochs.current
        if (authority.token, epoch) == (self._token, self._epoch):
            return
        self._token, self._epoch = authority.token, epoch
        self._reporter.begin(self._sharing.now())
        self._sharing.ask()

    async def _take(self, step, authority):
        """Takes a step; tells whether another one may follow at once."""
        match step:
            case usage.Read():
                return await self._read()
            case usage.Write(report, revision) if self._may_act(authority):
                return await self._write(report, revision)
            case usage.Send(report) if self._may_act(authority):
                return await self._send(report, authority)
        return False

    def _may_act(self, authority):
        """Tells whether what was read from the store is still in force."""
        current = self._store.epochs.current == self._epoch
        return current and authority.may_act()

    async def _read(self):
        try:
            listing = await self._store.list(REPORT_KEY)
        except _store.StoreFailed as exc:
            self._log.event('usage.store_failed', reason=str(exc))
            return False
        report, revision = None, 0
        for item in listing.items:
            if item.key == REPORT_KEY:
                report, revision = self._decode(item.value), item.revision
        if self._reporter.found(report, revision):
            self._log.event('usage.differs', window=report.window)
        if report is not None:
            self._sharing.saw_report(report)
        return True

    async def _write(self, report, revision):
        try:
            written = await self._store.put(
                REPORT_KEY, report.encode(), revision=revision
            )
        except _store.StoreFailed as exc:
            # Also after a conflict, the next step reads the key.
            self._reporter.write_failed(self._sharing.now())
            self._log.event(
                'usage.store_failed', window=report.window, reason=str(exc)
            )
            return False
        self._reporter.written(report, written.number)
        self._sharing.saw_report(report)
        return True

    async def _send(self, report, authority):
        if self._announced != report.window:
            await self._sharing.announce(report.window)
            self._announced = report.window
        result = await self._api.report_usage(
            authority.name,
            authority.token,
            _duty.UsageReport(report.window, report.counts),
            lambda: self._may_act(authority),
        )
        return self._record_result(report, result)

    def _record_result(self, report, result):
        now = self._sharing.now()
        kind = _RESULTS[type(result)]
        self._log.event(
            'usage.reported',
            window=report.window,
            requests=sum(report.counts.values()),
            teams=len(report.counts),
            result=kind,
            late_s=round(now - self._end_of(report), 3),
        )
        match result:
            case _duty.Accepted():
                self._reporter.accepted(report)
                return True
            case _duty.Refused():
                if self._reporter.refused(now):
                    self._log.event('usage.given_up', window=report.window)
            case _duty.Throttled(retry_after_s):
                self._reporter.send_failed(now, retry_after_s or 0.0)
            case _:
                self._reporter.send_failed(now)
        return False

    def _end_of(self, report):
        return (report.window + 1) * self._sharing.totals.window_s
