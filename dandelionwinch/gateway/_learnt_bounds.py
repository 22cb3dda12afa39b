"""Learns the bounds of what upstreams hold, with all instances.

An instance that sees a crash reports what the upstream held of it to one
instance, which all choose alike; this one tells all the sum. If it does not,
one of those that saw the crash does. All keep the crashes, so that each finds
the same bound, also one that hears of them late or twice.
"""

import functools

from dandelionwinch.gateway import _crash_bytes_link
from dandelionwinch.gateway import _granting_instances
from dandelionwinch import limits
from dandelionwinch import upstreams
from dandelionwinch import utils

TICK_S = 1.0
# Interval of the looks for other instances after a start.
START_TICK_S = 0.1
# Bytes of an instance's bodies at a crash from which it reports them.
MIN_TOLD_BYTES = 1 << 14
# Time for which reports of one crash are added up before all are told, and
# for which late ones are added until all are told again.
SETTLE_S = 0.2
LATE_S = 0.8
# Crashes of these ages are told to some instances each TICK_S, in case they
# have missed them; later on they are told at this probability.
MIN_TOLD_AGE_S = 1.0
MAX_TOLD_AGE_S = 6.0
LATER_TOLD_RATIO = 0.2
TOLD_INSTANCES = 2
# Instances that are asked for what they know after a start or a pause, and the
# pause of the process after which they are asked.
# They are asked twice, as datagrams may be lost.
ASKED_INSTANCES = 3
ASKED_ROUNDS = 2
PAUSED_S = 3.0
# Time for which another instance counts as heard of, and the interval in which
# it is sought otherwise.
HEARD_S = 2.0
SEEK_INTERVAL_S = 0.3


class LearntBounds:
    """The bound of each service whose upstreams crashed.

    Args:
        loop: The event loop.
        fleet: Fleet.
        link: PeerLink.
        name: Name of the local instance.
        log: EventLog.
        reports: ByteReports.
        rng: Source of randomness.
    """

    __slots__ = (
        '_asked',
        '_bounds',
        '_fleet',
        '_heard_at',
        '_instances',
        '_link',
        '_log',
        '_logs',
        '_loop',
        '_name',
        '_pending',
        '_reports',
        '_rng',
        '_since',
        '_sought_at',
        '_tick_at',
        '_timer',
        '_told',
    )

    def __init__(self, loop, fleet, link, name, log, reports, rng):
        self._loop = loop
        self._fleet = fleet
        self._link = _crash_bytes_link.CrashBytesLink(loop, link, self)
        self._name = name
        self._log = log
        self._reports = reports
        self._rng = rng
        self._instances = _granting_instances.GrantingInstances(
            self._link, name, fleet
        )
        # The CrashLog, the learnt bound and the time since which there is
        # one, by service.
        self._logs = {}
        self._bounds = {}
        self._since = {}
        # Largest sum that all were told, and the timers of what is to be
        # told, by crash id.
        self._told = {}
        self._pending = {}
        # How often other instances were asked for what they know.
        self._asked = 0
        # Time at which another one was heard of, and was sought.
        self._heard_at = self._sought_at = float('-inf')
        self._tick_at = None
        self._timer = None

    def start(self):
        """Starts the periodic exchange with other instances."""
        self._tick()

    def close(self):
        """Stops it."""
        for timer in (self._timer, *self._pending.values()):
            if timer is not None:
                timer.cancel()

    def bytes(self, service):
        """Returns the learnt bound of a service, None without one."""
        return self._bounds.get(service)

    def since(self, service):
        """Returns the time since which a service has a learnt bound."""
        return self._since[service]

    def heard(self):
        """Records that another instance was heard of."""
        self._heard_at = self._loop.time()

    def hears_others(self):
        """Tells whether another instance was heard of; asks some if not.

        One that is cut off does not know which others there are.
        """
        now = self._loop.time()
        if now - self._heard_at <= HEARD_S:
            return True
        if now - self._sought_at >= SEEK_INTERVAL_S:
            self._sought_at = now
            self.ask(self._sample(ASKED_INSTANCES))
        return False

    def services(self):
        """Returns the names of the services with a learnt bound."""
        return list(self._bounds)

    def most(self):
        """Returns the bound of one instance without crashes in bytes."""
        table = self._fleet.table
        return limits.most_bytes(table.limits.max_body_bytes if table else 0)

    def record_crash(self, upstream, held, total):
        """Records a crash that this instance saw.

        Args:
            upstream: The Upstream.
            held: Bytes of this instance's bodies that it held.
            total: Bytes that it held of all instances, as far as known.
        """
        entry = upstream.entry
        now = self._loop.time()
        log = self._logs.setdefault(entry.service, limits.CrashLog())
        crash_id = log.id_at(
            f'{utils.stable_hash(*entry.incarnation):016x}', now
        )
        report = limits.CrashReport(
            crash_id, entry.id, now, held, max(held, total)
        )
        self._record(entry.service, report, self._name, held=True)
        if held < MIN_TOLD_BYTES or not self._link.peers:
            return
        key = _granting_instances.key_of(upstream)
        owner = self._instances.of(key)
        if owner != self._name:
            addr = self._link.peers[owner]
            self._link.send_held(entry.service, report, addr)
        self._tell_soon(entry.service, crash_id, own=owner == self._name)

    def _tell_soon(self, service, crash_id, own):
        """Tells all instances a sum, unless another one does.

        Args:
            service: Name of the service.
            crash_id: Id of the crash.
            own: Whether this instance adds up what all held.
        """
        if crash_id in self._pending:
            return
        delay_s = SETTLE_S
        if not own:
            count = self._instances.count()
            draw = self._rng.random()
            delay_s += SETTLE_S + upstreams.tell_delay_s(draw, count)
        self._pending[crash_id] = self._loop.call_later(
            delay_s, functools.partial(self._tell, service, crash_id, own)
        )

    def _tell(self, service, crash_id, own):
        del self._pending[crash_id]
        log = self._logs.get(service)
        total = 0 if log is None else log.total(crash_id)
        if own and crash_id not in self._told:
            self._pending[crash_id] = self._loop.call_later(
                LATE_S, functools.partial(self._tell, service, crash_id, False)
            )
        if total <= max(limits.CRASH_BYTES, self._told.get(crash_id, 0)):
            return
        self._told[crash_id] = total
        known = [r for r in log.reports(self._name) if r.crash_id == crash_id]
        addresses = list(self._link.peers.values())
        self._link.send_sums(service, known, addresses)

    def take_held(self, service, reports, sender):
        """Adds up what other instances had at a crash."""
        now = self._loop.time()
        reports = [
            report
            for report in reports
            if report.crash_id not in self._told
            or now - report.at <= SETTLE_S + LATE_S
        ]
        for report in self._take(service, reports, sender, held=True):
            self._tell_soon(service, report.crash_id, own=True)

    def take_sums(self, service, reports, sender):
        """Takes in what another instance knows of crashes."""
        for report in self._take(service, reports, sender):
            told = self._told.get(report.crash_id, 0)
            self._told[report.crash_id] = max(told, report.total)

    def _take(self, service, reports, sender, held=False):
        self.heard()
        if not self._knows(service):
            self._reports.count_unknown(service, sender)
            return []
        self._reports.count('taken')
        for report in reports:
            self._record(service, report, sender, held)
        return reports

    def _knows(self, service):
        table = self._fleet.table
        if table is not None and service in table.services:
            return True
        return bool(self._fleet.registry.in_service(service))

    def _record(self, service, report, sender, held):
        log = self._logs.setdefault(service, limits.CrashLog())
        now = self._loop.time()
        if log.record(report, sender if held else None, now):
            self._update(service, now, 'crashed', report, sender)

    def _update(self, service, now, why, report=None, sender=None):
        """Finds the bound of a service; logs another one."""
        bound = self._logs[service].bound(self.most(), now).learnt
        before = self._bounds.get(service)
        if bound == before:
            return
        if bound is None:
            del self._bounds[service], self._since[service]
        else:
            self._bounds[service] = bound
            self._since.setdefault(service, now)
        crash_id = None if report is None else report.crash_id
        held = total = None
        if report is not None:
            total = self._logs[service].total(crash_id)
            held = report.held
        self._log.event(
            'upstream.bytes_bound',
            service=service,
            bytes=bound or self.most(),
            why=why,
            upstream=report and report.upstream_id,
            held=held,
            total=total,
            crash=crash_id,
            source='own' if sender == self._name else sender,
        )

    def take_question(self, addr):
        """Tells an instance the crashes that are known here."""
        self._tell_known([addr], float('inf'), min_age_s=0.0)

    def ask(self, addresses):
        """Asks instances for the crashes that they know."""
        self._link.ask(addresses)

    def count_invalid(self):
        """Counts a malformed datagram."""
        self._reports.count('invalid')

    def _tell_known(self, addresses, max_age_s, min_age_s=MIN_TOLD_AGE_S):
        now = self._loop.time()
        for service, log in self._logs.items():
            age_s = now - log.newest_at()
            if self._bounds.get(service) is None or age_s > max_age_s:
                continue
            known = [
                report
                for report in log.reports(self._name)
                if now - report.at >= min_age_s
            ]
            self._link.send_sums(service, known, addresses)

    def _tick(self):
        now = self._loop.time()
        if self._tick_at is not None and now - self._tick_at > PAUSED_S:
            self._asked = 0
        self._tick_at = now
        for service in list(self._logs):
            self._update(service, now, 'quiet')
            if not len(self._logs[service]):
                del self._logs[service]
        known = {
            report.crash_id
            for log in self._logs.values()
            for report in log.reports(self._name)
        }
        for crash_id in self._told.keys() - known:
            del self._told[crash_id]
        self._exchange()
        interval_s = TICK_S if self._asked else START_TICK_S
        self._timer = self._loop.call_later(interval_s, self._tick)

    def _exchange(self):
        if self._asked < ASKED_ROUNDS and self._link.peers:
            self._asked += 1
            self.ask(self._sample(ASKED_INSTANCES))
        if not self._bounds:
            return
        later = self._rng.random() < LATER_TOLD_RATIO
        max_age_s = float('inf') if later else MAX_TOLD_AGE_S
        count = 1 if later else TOLD_INSTANCES
        self._tell_known(self._sample(count), max_age_s)

    def _sample(self, count):
        addresses = list(self._link.peers.values())
        return self._rng.sample(addresses, min(count, len(addresses)))
