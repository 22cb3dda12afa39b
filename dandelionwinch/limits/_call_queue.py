"""Which plain calls of teams above their share are sent, wait or are refused.

Each instance limits the calls in flight of these teams together. Calls beyond
the limit wait in the order of start-time fair queueing between teams, and of
their deadlines within a team. A call that would miss its deadline is refused
at once with the time at which there will be room.
"""

import attrs

from dandelionwinch.limits import _return_times

# Limits of all instances add up to this multiple of the slots that are left
# to the teams above their share, as upstreams would run idle between two
# calls. In the load test the calls in time fell by 0.05 of all calls with 1.5,
# by 0.01 with 2.5; with 3 small teams were served less often.
SLOT_FACTOR = 2.5
# Smallest part of the slots that an instance uses for these teams.
MIN_PART = 1e-4
# Calls that wait at one instance for one service at most; this bounds the
# memory, as a call holds its body.
MAX_WAITING = 64
# Gain of the moving average of the durations of calls.
DURATION_GAIN = 0.1
MIN_DURATION_S = 0.001
# Mean deviations above the mean within which a call is expected to end. Calls
# that wait up to their deadline less the mean were late in one of two cases.
MARGIN_DEVIATIONS = 2.0
# Presumed duration of a call over the time after which its caller left. With
# 1 a team whose callers leave early got more than its share, and the small
# teams were served a tenth less often.
LEFT_DURATION_FACTOR = 2.0
# The duration that is assumed at first follows from the rate of calls in time.
# If few are in time it is far too long, and the moving average would follow
# only after some fifty calls, which are hardly sent meanwhile.
FAR_OFF_FACTOR = 4.0


@attrs.frozen(eq=False)
class QueuedCall:
    """A call of a team above its share.

    Attributes:
        team: Name of the team.
        weight: Weight of the team: 2 if it is more urgent, 1/2 if less.
        deadline: Time at which the call is due, in seconds.
        id: Id of the request, the same in its repeats.
    """

    team: str
    weight: float
    deadline: float
    id: str


@attrs.frozen
class Send:
    """The call is sent now."""


@attrs.frozen
class Wait:
    """The call waits until `CallQueue.poll` returns it."""


@attrs.frozen
class Refuse:
    """The call is refused.

    Attributes:
        retry_after_s: Seconds after which there will be room.
    """

    retry_after_s: float


@attrs.frozen
class Due:
    """What becomes of waiting calls.

    Attributes:
        sent: Calls that are sent now.
        refused: Pairs of a call and its Refuse.
        next_at: Time of the next poll, None if no call waits.
    """

    sent: list
    refused: list
    next_at: float | None


def in_flight_limit(slots, instances, capacity_per_s, wanted):
    """Returns how many calls of teams above their share may be in flight.

    The slots are divided between teams by their shares of the capacity, and
    the part of a team between instances by the calls that it asks for there.
    Where it has just begun to call it gets the part of an instance among all.

    Args:
        slots: Slots of the upstreams of the service that serve.
        instances: Number of registered instances.
        capacity_per_s: Capacity of the service in calls a second, above 0.
        wanted: For each team above its share that calls here, a pair of the
            calls a second that it asks this instance for, and its Excess.

    Returns:
        A number above 0, below 1 if calls are to be sent with pauses.
    """
    part = 0.0
    for asked_per_s, excess in wanted:
        own = (1 - excess.ratio) * asked_per_s / capacity_per_s
        part += max(own, excess.part / max(1, instances))
    return SLOT_FACTOR * max(1, slots) * min(1.0, max(MIN_PART, part))


class FairOrder:
    """Start-time fair queueing between teams, by deadline within a team."""

    __slots__ = ('_finished', '_teams', '_time')

    def __init__(self):
        # Waiting calls by team, and the finish tag of each team.
        self._teams = {}
        self._finished = {}
        # Start tag of the call that was sent last.
        self._time = 0.0

    def __len__(self):
        return sum(len(calls) for calls in self._teams.values())

    def __iter__(self):
        for calls in self._teams.values():
            yield from calls

    def add(self, call):
        """Adds a call that waits."""
        self._teams.setdefault(call.team, []).append(call)

    def remove(self, call):
        """Removes a call that waits."""
        calls = self._teams[call.team]
        calls.remove(call)
        if not calls:
            del self._teams[call.team]

    def pop(self):
        """Removes and returns the call that is sent next."""
        team = min(self._teams, key=lambda name: (self._start(name), name))
        call = min(self._teams[team], key=lambda c: c.deadline)
        self.remove(call)
        self.record_sent(call)
        return call

    def record_sent(self, call):
        """Charges a call to its team, also one that did not wait."""
        start = self._start(call.team)
        self._finished[call.team] = start + 1 / call.weight
        self._time = max(self._time, start)
        if not self._teams:
            self._finished = {
                team: tag
                for team, tag in self._finished.items()
                if tag > self._time
            }

    def _start(self, team):
        return max(self._time, self._finished.get(team, 0.0))

    def calls_before(self, call):
        """Returns how many calls are sent before one that is added now."""
        ahead = 1 + sum(
            other.deadline <= call.deadline
            for other in self._teams.get(call.team, ())
        )
        total = float(ahead - 1)
        for team, calls in self._teams.items():
            if team != call.team:
                total += min(len(calls), ahead * calls[0].weight / call.weight)
        return total


class CallQueue:
    """The calls of teams above their share at one service and instance.

    Args:
        order: FairOrder, or another discipline for comparison.
    """

    __slots__ = (
        '_assumed',
        '_credit',
        '_credit_at',
        '_deviation_s',
        '_duration_s',
        '_in_flight',
        '_limit',
        '_order',
        '_returns',
    )

    def __init__(self, order=None):
        self._order = FairOrder() if order is None else order
        self._returns = _return_times.ReturnTimes()
        # Time of the send by call.
        self._in_flight = {}
        self._limit = 1.0
        self._duration_s = None
        self._deviation_s = 0.0
        # Whether no call has ended yet.
        self._assumed = True
        # Calls that may be sent at once, which rises with time. It keeps
        # the average in flight at a limit below 1.
        self._credit = 1.0
        self._credit_at = 0.0

    @property
    def waiting(self):
        """Returns the number of calls that wait."""
        return len(self._order)

    @property
    def in_flight(self):
        """Returns the number of calls in flight that count to the limit."""
        return len(self._in_flight)

    @property
    def limit(self):
        """Returns the limit of calls in flight."""
        return self._limit

    def set_limit(self, limit, usual_s, now):
        """Sets the limit of calls in flight.

        Args:
            limit: As `in_flight_limit` returns it.
            usual_s: Duration of a call, assumed until some have ended.
            now: Time in seconds.
        """
        if self._duration_s is None:
            self._assume(usual_s)
            self._credit = max(1.0, limit)
            self._credit_at = now
        self._refill(now)
        self._limit = limit
        self._credit = min(self._credit, max(1.0, limit))

    def _assume(self, duration_s):
        self._duration_s = max(MIN_DURATION_S, duration_s)
        self._deviation_s = self._duration_s / 4

    def offer(self, call, now):
        """Decides on a call that arrives.

        Args:
            call: QueuedCall.
            now: Time in seconds.

        Returns:
            Send, Wait or Refuse.
        """
        if not self.waiting and self._has_room(now):
            self._send(call, now)
            self._order.record_sent(call)
            return Send()
        wait_s = (self._order.calls_before(call) + 1) / self._rate_per_s()
        in_time = now + wait_s + self._longest_s() <= call.deadline
        if not in_time or self.waiting >= MAX_WAITING:
            return self._refuse(call, wait_s, now)
        self._order.add(call)
        return Wait()

    def poll(self, now):
        """Returns the Due calls.

        It is called at `Due.next_at`, and after each `offer` that returned
        Wait, `release` and `leave`.
        """
        refused = []
        for call in list(self._order):
            if call.deadline < now + self._longest_s():
                self._order.remove(call)
                wait_s = (self.waiting + 1) / self._rate_per_s()
                refused.append((call, self._refuse(call, wait_s, now)))
        sent = []
        while self.waiting and self._has_room(now):
            call = self._order.pop()
            self._send(call, now)
            sent.append(call)
        return Due(sent, refused, self._next_at(now))

    def take_unlimited(self, is_limited):
        """Removes and returns the calls of teams that have their share again.

        They no longer count to the limit.

        Args:
            is_limited: Function that tells whether a team is above its share.
        """
        found = [call for call in self._order if not is_limited(call.team)]
        for call in found:
            self._order.remove(call)
        return found

    def release(self, call, now):
        """Records that a call that was sent has ended."""
        sent_at = self._in_flight.pop(call, None)
        if sent_at is None:
            return
        taken_s = now - sent_at
        if self._assumed and self._duration_s > FAR_OFF_FACTOR * taken_s:
            self._assume(taken_s)
        else:
            self._learn(taken_s)
        self._assumed = False

    def _learn(self, taken_s):
        beyond_s = taken_s - self._duration_s
        self._duration_s += DURATION_GAIN * beyond_s
        self._duration_s = max(MIN_DURATION_S, self._duration_s)
        self._deviation_s += DURATION_GAIN * (
            abs(beyond_s) - self._deviation_s
        )

    def leave(self, call, now):
        """Records that the caller of a call has given up.

        An upstream goes on with what it has begun, so a call that was sent
        counts to the limit until it should have ended.

        Returns:
            Seconds after which `drop` is to be called, 0 if it no longer
            counts.
        """
        sent_at = self._in_flight.get(call)
        if sent_at is None:
            if any(call is other for other in self._order):
                self._order.remove(call)
            return 0.0
        presumed_s = LEFT_DURATION_FACTOR * (now - sent_at)
        if presumed_s > self._duration_s:
            self._learn(presumed_s)
        hold_s = sent_at + self._longest_s() - now
        if hold_s <= 0.0:
            self.drop(call)
        return max(0.0, hold_s)

    def drop(self, call):
        """Ends a call without learning from its duration."""
        self._in_flight.pop(call, None)

    def _longest_s(self):
        """Returns the time within which a call that is sent now ends."""
        return self._duration_s + MARGIN_DEVIATIONS * self._deviation_s

    def _send(self, call, now):
        self._credit -= 1.0
        self._in_flight[call] = now

    def _rate_per_s(self):
        return self._limit / self._duration_s

    def _refill(self, now):
        if self._credit_at < now:
            span_s = now - self._credit_at
            gained = span_s * self._rate_per_s()
            top = max(1.0, self._limit)
            self._credit = min(top, self._credit + gained)
            self._credit_at = now

    def _has_room(self, now):
        self._refill(now)
        free = len(self._in_flight) < self._limit
        return free and self._credit > 1.0 - 1e-6

    def _next_at(self, now):
        if not self.waiting:
            return None
        expiry = min(call.deadline for call in self._order)
        next_at = expiry - self._longest_s() + 1e-4
        if len(self._in_flight) < self._limit:
            wait_s = (1.0 - self._credit) / self._rate_per_s()
            next_at = min(next_at, now + wait_s)
        return max(now, next_at)

    def _refuse(self, call, wait_s, now):
        rate_per_s = self._rate_per_s() * self._part(call)
        return Refuse(self._returns.wait_s(call, wait_s, rate_per_s, now))

    def _part(self, call):
        """Returns the part of the sent calls that are of a call's team."""
        weights = {other.team: other.weight for other in self._in_flight}
        weights |= {other.team: other.weight for other in self._order}
        weights[call.team] = call.weight
        return call.weight / sum(weights.values())
