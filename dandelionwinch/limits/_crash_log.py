"""The crashes of a service's upstreams, as all instances report them.

All instances that know the same crashes find the same bound, whatever the
order in which the reports came, and how often.
"""

import itertools

import attrs

from dandelionwinch.limits import _body_bounds

# Crashes that are kept, which fit into one datagram, and for how long: after
# so many doublings no crash has an effect.
MAX_CRASHES = 20
KEPT_S = 1200.0
# Time within which instances see one crash, and reports of it arrive.
SAME_CRASH_S = 10.0


@attrs.frozen
class CrashReport:
    """What one instance knows of a crash.

    Attributes:
        crash_id: Id of the crash, the same at all instances.
        upstream_id: Id of the upstream.
        at: Time in seconds.
        held: Bytes of bodies that the upstream held of the reporting
            instance.
        total: Bytes that it believes the upstream held of all instances.
    """

    crash_id: str
    upstream_id: str
    at: float
    held: int
    total: int


@attrs.define
class _Crash:
    """What is known of a crash from all reports.

    Attributes:
        upstream_id: Id of the upstream.
        at: Earliest time that was told, as each way adds its latency.
        told: Largest total that was told.
        held: For each instance that reported, the bytes of its bodies.
    """

    upstream_id: str
    at: float
    told: int = 0
    held: dict = attrs.Factory(dict)

    @property
    def total(self):
        """Bytes that the upstream held of all instances."""
        return max(self.told, sum(self.held.values()))

    @property
    def rank(self):
        """Order in which crashes are kept: those that count, the newest."""
        return self.total > _body_bounds.CRASH_BYTES, self.at


class CrashLog:
    """The crashes of one service's upstreams that one instance knows."""

    __slots__ = ('_crashes',)

    def __init__(self):
        self._crashes = {}

    def __len__(self):
        return len(self._crashes)

    def id_at(self, crash_id, now):
        """Returns the id of a crash that is seen now.

        An upstream that does not state its start has the same id for each of
        its crashes, which are told apart by their number.

        Args:
            crash_id: Id of the first crash.
            now: Time in seconds.
        """
        for number in itertools.count(1):
            known = crash_id if number == 1 else f'{crash_id}.{number}'
            crash = self._crashes.get(known)
            if crash is None or now - crash.at <= SAME_CRASH_S:
                return known

    def record(self, report, sender, now):
        """Records a report, which may come twice and late.

        Args:
            report: CrashReport.
            sender: Name of the instance if what it held is to be added to
                what others held, else None.
            now: Time in seconds.

        Returns:
            Whether the crash is new, or more bytes are known.
        """
        self._forget(now)
        if now - report.at > KEPT_S:
            return False
        crash = self._crashes.get(report.crash_id)
        if crash is None:
            crash = _Crash(report.upstream_id, report.at)
            self._crashes[report.crash_id] = crash
            before = -1
        else:
            before = crash.total
        crash.at = min(crash.at, report.at)
        crash.told = max(crash.told, report.total)
        if sender is not None:
            held = max(crash.held.get(sender, 0), report.held)
            crash.held[sender] = held
        self._drop_excess()
        return crash.total > before and report.crash_id in self._crashes

    def _forget(self, now):
        for crash_id, crash in list(self._crashes.items()):
            if now - crash.at > KEPT_S:
                del self._crashes[crash_id]

    def _drop_excess(self):
        if len(self._crashes) > MAX_CRASHES:
            least = min(self._crashes, key=lambda i: self._crashes[i].rank)
            del self._crashes[least]

    def total(self, crash_id):
        """Returns the bytes held at a crash, 0 if it is not known."""
        crash = self._crashes.get(crash_id)
        return 0 if crash is None else crash.total

    def newest_at(self):
        """Returns the time of the newest crash, -inf without one."""
        times = [crash.at for crash in self._crashes.values()]
        return max(times, default=float('-inf'))

    def reports(self, name):
        """Returns the CrashReports by which an instance tells all it knows.

        Args:
            name: Name of the instance.
        """
        return [
            CrashReport(
                crash_id,
                crash.upstream_id,
                crash.at,
                crash.held.get(name, 0),
                crash.total,
            )
            for crash_id, crash in self._crashes.items()
        ]

    def bound(self, most, now):
        """Returns the BytesBound after all crashes.

        Args:
            most: The bound of one instance without crashes, in bytes.
            now: Time in seconds.
        """
        self._forget(now)
        bound = _body_bounds.BytesBound()
        crashes = sorted(
            self._crashes.items(), key=lambda item: (item[1].at, item[0])
        )
        for _crash_id, crash in crashes:
            bound.recover(most, crash.at)
            bound.record_crash(crash.total, most, crash.at)
        bound.recover(most, now)
        return bound
