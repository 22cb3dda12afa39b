"""Counts the requests of teams when they begin to run at an upstream.

A stream counts at its first event, less the delay of a message. A call of a
plain service counts

- with an answer: at the time of the answer less the usual working time of its
  service, but not before its arrival at the upstream;
- with a statement that it was not executed: not at all;
- with neither: at its arrival and the time that calls waited there recently,
  if the connection lasted that long.
"""

from dandelionwinch import attempts
from dandelionwinch import usage


class OpenCall:
    """A call of a plain service that was sent and is not decided yet.

    Args:
        meter: UsageMeter.
        team: Name of its team.
        service: Name of the service.
        arrived_at: Time at which it arrived at the upstream, in seconds
            since 1970.
        one_way_s: Assumed delay of a message of the upstream in seconds.
        wait_s: Time for which calls waited there recently, in seconds.
    """

    __slots__ = (
        '_answer_at',
        '_counted',
        '_meter',
        '_one_way_s',
        '_service',
        '_team',
        '_wait_s',
        'arrived_at',
    )

    def __init__(self, meter, team, service, arrived_at, one_way_s, wait_s):
        self._meter = meter
        self._team = team
        self._service = service
        self._one_way_s = one_way_s
        self._wait_s = wait_s
        self._answer_at = None
        # Its window may end so long before its answer that it is counted.
        self._counted = False
        self.arrived_at = arrived_at

    def answer_arrives(self):
        """Records that the head of the answer has arrived just now."""
        self._answer_at = self._meter.now() - self._one_way_s

    def shift(self, offset_s):
        """Adds an offset to its times, as the clock was corrected."""
        self.arrived_at += offset_s
        if self._answer_at is not None:
            self._answer_at += offset_s

    def presume_begun(self):
        """Counts it, although no answer is known."""
        if not self._counted:
            self._counted = True
            self._meter.record(self._team, self.arrived_at)

    def end(self, outcome):
        """Counts it, if it began to run.

        Args:
            outcome: AttemptOutcome, None after a complete response.

        Returns:
            Whether it counts.
        """
        self._meter.close_call(self)
        if outcome is attempts.AttemptOutcome.NOT_EXECUTED:
            return self._counted
        begin_at = self._begin_at(outcome)
        if begin_at is not None and not self._counted:
            self._counted = True
            self._meter.record(self._team, begin_at)
        return self._counted

    def _begin_at(self, outcome):
        if self._answer_at is None:
            return usage.begin_of_lost(
                self.arrived_at,
                self._meter.now() - self._one_way_s,
                self._wait_s,
            )
        usual_s = self._meter.usual_work_s(
            self._service, self._answer_at - self.arrived_at, outcome is None
        )
        return usage.begin_of_answered(
            self.arrived_at, self._answer_at, usual_s
        )


class _Uncounted:
    """Stands for a call that counts for no team."""

    def answer_arrives(self):
        """Does nothing."""

    def end(self, _outcome):
        """Returns that the call does not count."""
        return False


_UNCOUNTED = _Uncounted()


class UsageMeter:
    """Counts requests of teams by the time at which they began to run.

    Args:
        loop: The event loop.
        clock: TrueClock.
        counts: WindowCounts.
        distances: Round-trip times to data centres.
        metrics: Metrics.

    Attributes:
        enabled: Whether anything is counted.
    """

    __slots__ = (
        '_calls',
        '_clock',
        '_counts',
        '_distances',
        '_loop',
        '_metrics',
        '_work_times',
        'enabled',
    )

    def __init__(self, loop, clock, counts, distances, metrics):
        self._loop = loop
        self._clock = clock
        self._counts = counts
        self._distances = distances
        self._metrics = metrics
        self._work_times = usage.WorkTimes()
        self._calls = set()
        self.enabled = False

    def now(self):
        """Returns the seconds since the start of 1970."""
        return self._clock.now()

    def _one_way_s(self, upstream):
        data_centre = upstream.entry.data_centre
        return self._distances.round_trip_s(data_centre) / 2

    def record(self, team, at):
        """Counts a request that began to run at a time since 1970."""
        if self._counts.record(team, at):
            self._metrics.record_usage(team)
        else:
            self._metrics.late_usage.inc()

    def stream_begins(self, team, upstream):
        """Counts a stream whose first event has arrived just now.

        Args:
            team: Name of its team, or ''.
            upstream: The Upstream that made the event.
        """
        if self.enabled and team:
            self.record(team, self.now() - self._one_way_s(upstream))

    def open_call(self, team, service, upstream):
        """Returns an OpenCall for a call that is sent just now.

        Args:
            team: Name of its team, '' for a call that does not count.
            service: Name of the service.
            upstream: The Upstream that it is sent to.
        """
        if not (self.enabled and team):
            return _UNCOUNTED
        one_way_s = self._one_way_s(upstream)
        wait_s = upstream.recent_excess_s(self._loop.time())
        call = OpenCall(
            self, team, service, self.now() + one_way_s, one_way_s, wait_s
        )
        self._calls.add(call)
        return call

    def close_call(self, call):
        """Forgets an OpenCall."""
        self._calls.discard(call)

    def usual_work_s(self, service, taken_s, answered):
        """Returns the usual working time of a service in seconds.

        Args:
            service: Name of the service.
            taken_s: Time that a call has taken there.
            answered: Whether it was answered in full.
        """
        taken_s = max(0.0, taken_s)
        if answered:
            return self._work_times.observe(service, taken_s)
        return self._work_times.get(service, taken_s)

    def shift(self, offset_s):
        """Adds an offset to the times of the open calls."""
        for call in self._calls:
            call.shift(offset_s)

    def has_open(self, until):
        """Tells whether an open call may have begun before a time."""
        return any(call.arrived_at < until for call in self._calls)

    def presume_begun(self, until):
        """Counts the open calls that arrived at an upstream before a time."""
        for call in self._calls:
            if call.arrived_at < until:
                call.presume_begun()
