"""Callers of teams at a plain service in virtual time.

The decisions are those of the product (`limits`); instances, upstreams,
callers and datagrams are simulated. As in the product, instances tell their
counts once a second while some calls are not served in time, and the holder
announces shares each 0.9 s.
"""

import heapq
import itertools
import random

import attrs

from dandelionwinch.bench import _call_orders
from dandelionwinch import limits

UPSTREAMS, SLOTS, UPSTREAM_QUEUE = 6, 6, 12
MIN_WORK_S, MAX_WORK_S = 0.022, 0.09
CAPACITY_PER_S = UPSTREAMS * SLOTS / ((MIN_WORK_S + MAX_WORK_S) / 2)
OBJECTIVE_S = 0.3
TIMEOUT_S = 1.0
MAX_ATTEMPTS = 2
# Round trip of a caller that retries at once.
RETRY_S = 0.02
TELL_S, ANNOUNCE_S = 1.0, 0.9
# Time for which an instance uses the limit that it found.
LIMIT_S = 0.1
QUIET_DEMAND = 0.5
LARGE = ('l0', 'l1', 'l2')
SMALL = tuple(f's{number}' for number in range(68))
LARGE_PART = 0.6


@attrs.define(eq=False)
class Call:
    """A call of a caller, and its queued part while it is limited."""

    team: str
    homes: list
    home: int
    begin: float
    id: str
    queued: limits.QueuedCall | None = None
    sent: bool = False
    ended: bool = False


class Upstream:
    """An upstream with slots and a queue of bounded length."""

    def __init__(self, rng):
        self.rng = rng
        self.busy = 0
        self.queue = []


class Site:
    """Instances, upstreams and callers.

    Args:
        instances: Number of instances.
        order: Class of the discipline, None for no shares at all.
        seed: Seed of all random draws.
        demand: Demand over the capacity.
        duration_s: How long callers call.
        retrying: Team whose refused calls are repeated at once, or ''.
        leaving: Team whose callers leave after a tenth of a second, or ''.
        weights: Weights of teams by their priority.
        upstream_queue: Calls that each upstream queues beyond its slots.
        loss: Part of the datagrams that is lost.
        roaming: Whether a repeat goes to any instance of its team.
        quiet_s: Time at the start with half of the capacity in demand.
            Calls of that time are not counted.
        found_s: Time after that whose calls are not counted either, as the
            holder has still to find the shortage.
    """

    def __init__(
        self,
        instances,
        order,
        seed=1,
        demand=1.9,
        duration_s=10.0,
        retrying='l0',
        leaving='',
        weights=None,
        upstream_queue=UPSTREAM_QUEUE,
        loss=0.0,
        roaming=False,
        quiet_s=0.0,
        found_s=0.0,
    ):
        self.rng = random.Random(f'calls {seed}')
        self.instances = instances
        self.sharing = order is not None
        self.upstream_queue = upstream_queue
        self.loss, self.roaming = loss, roaming
        self.retrying, self.leaving = retrying, leaving
        self.weights = weights or {}
        self.duration_s = duration_s + quiet_s
        self.quiet_s = quiet_s
        self.count_from = quiet_s + found_s
        self.quiet_part = QUIET_DEMAND / demand
        self.now = 0.0
        self._events, self._ids = [], itertools.count()
        self.upstreams = [Upstream(self.rng) for _ in range(UPSTREAMS)]
        self.counts = [limits.CallCounts(0.0) for _ in range(instances)]
        self.queues = [
            limits.CallQueue(order() if order else None)
            for _ in range(instances)
        ]
        self._waiting = {}
        self.limited_at = [-1.0] * instances
        self.late = 0
        self.polls = [None] * instances
        self.active = [[0] * UPSTREAMS for _ in range(instances)]
        self.shares = limits.Shares()
        # What each instance has received.
        self.ratios = [{}] * instances
        self.capacity = [0.0] * instances
        self.short_until = [-1.0] * instances
        self.totals = limits.CallTotals()
        self.asked = dict.fromkeys((*LARGE, *SMALL), 0)
        self.in_time = dict.fromkeys(self.asked, 0)
        self.retry_after_s = []
        self.waited = 0
        rates = dict.fromkeys(LARGE, LARGE_PART / len(LARGE))
        rates |= dict.fromkeys(SMALL, (1 - LARGE_PART) / len(SMALL))
        for team, part in rates.items():
            count = min(instances, 3 if team in LARGE else 1)
            homes = self.rng.sample(range(instances), count)
            rate = part * demand * CAPACITY_PER_S
            self._schedule_arrival(team, homes, rate)
        self.at(TELL_S, self._tell)
        self.at(ANNOUNCE_S, self._announce)

    def at(self, when, function, *args):
        heapq.heappush(self._events, (when, next(self._ids), function, args))

    def run(self):
        while self._events:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        return self

    def served(self):
        """Returns the part of each team's calls that was in time."""
        return {t: self.in_time[t] / max(1, n) for t, n in self.asked.items()}

    def served_of_all(self):
        """Returns the part of all calls that was in time."""
        return sum(self.in_time.values()) / sum(self.asked.values())

    def _schedule_arrival(self, team, homes, rate):
        when = self.now + self.rng.expovariate(rate)
        if when < self.duration_s:
            self.at(when, self._arrive, team, homes, rate)

    def _arrive(self, team, homes, rate):
        self._schedule_arrival(team, homes, rate)
        if self.now < self.quiet_s and self.rng.random() > self.quiet_part:
            return
        call_id = str(next(self._ids))
        call = Call(team, homes, self.rng.choice(homes), self.now, call_id)
        self.asked[team] += self.now >= self.count_from
        if team == self.leaving:
            self.at(self.now + 0.1, self._leave, call)
        self._handle(call)

    def _handle(self, call):
        """Handles a call, or its repeat, at its instance."""
        self.counts[call.home].ask(call.team, call.id, self.now)
        excess = self.ratios[call.home].get(call.team)
        if not self.sharing or excess is None:
            self._send(call)
            return
        queue = self._limited_queue(call.home)
        weight = self.weights.get(call.team, 1.0)
        call.queued = limits.QueuedCall(
            call.team, weight, call.begin + OBJECTIVE_S, call.id
        )
        match queue.offer(call.queued, self.now):
            case limits.Send():
                self._send(call)
            case limits.Wait():
                self.waited += 1
                self._waiting[call.queued] = call
                self._poll(call.home)
            case limits.Refuse(retry_after_s):
                self.retry_after_s.append((self.now, retry_after_s))
                call.queued = None
                self._refuse(call)

    def _limited_queue(self, home):
        counts, queue = self.counts[home], self.queues[home]
        if self.now - self.limited_at[home] < LIMIT_S:
            return queue
        self.limited_at[home] = self.now
        wanted = [
            (asked, excess)
            for team, excess in self.ratios[home].items()
            if (asked := counts.asked_per_s(team, self.now))
        ]
        capacity = self.capacity[home]
        slots = UPSTREAMS * SLOTS
        limit = limits.in_flight_limit(slots, self.instances, capacity, wanted)
        queue.set_limit(limit, slots / capacity, self.now)
        return queue

    def _poll(self, home):
        due = self.queues[home].poll(self.now)
        for queued in due.sent:
            self._send(self._waiting.pop(queued))
        for queued, refuse in due.refused:
            self.retry_after_s.append((self.now, refuse.retry_after_s))
            call = self._waiting.pop(queued)
            call.queued = None
            self._refuse(call)
        if due.next_at is not None:
            known = self.polls[home]
            if known is None or due.next_at < known or known < self.now:
                self.polls[home] = due.next_at
                self.at(due.next_at, self._poll, home)

    def _leave(self, call):
        if call.ended:
            return
        call.ended = True
        if call.sent:
            counts = self.counts[call.home]
            late = self._is_late(call)
            counts.record_served(call.team, call.id, late, self.now)
        if call.queued is not None:
            queue = self.queues[call.home]
            self._waiting.pop(call.queued, None)
            hold_s = queue.leave(call.queued, self.now)
            if hold_s:
                self.at(self.now + hold_s, self._drop, call)
            self._poll(call.home)

    def _drop(self, call):
        self.queues[call.home].drop(call.queued)
        self._poll(call.home)

    def _send(self, call):
        call.sent = True
        active = self.active[call.home]
        order = sorted(
            range(UPSTREAMS), key=lambda n: active[n] + self.rng.random()
        )
        for number in order[:MAX_ATTEMPTS]:
            upstream = self.upstreams[number]
            if len(upstream.queue) < self.upstream_queue:
                active[number] += 1
                upstream.queue.append(call)
                self._begin(number)
                return
        self._release(call)
        self._refuse(call)

    def _begin(self, number):
        upstream = self.upstreams[number]
        while upstream.queue and upstream.busy < SLOTS:
            call = upstream.queue.pop(0)
            upstream.busy += 1
            work_s = self.rng.uniform(MIN_WORK_S, MAX_WORK_S)
            self.at(self.now + work_s, self._end, number, call)

    def _end(self, number, call):
        self.upstreams[number].busy -= 1
        self.active[call.home][number] -= 1
        self._begin(number)
        if call.ended:
            return
        call.ended = True
        self._release(call)
        late = self._is_late(call)
        self.in_time[call.team] += not late and call.begin >= self.count_from
        self.late += late
        counts = self.counts[call.home]
        counts.record_served(call.team, call.id, late, self.now)

    def _is_late(self, call):
        late = self.now - call.begin > OBJECTIVE_S
        if late:
            self.short_until[call.home] = self.now + limits.SPAN_S
        return late

    def _release(self, call):
        if call.queued is not None:
            self.queues[call.home].release(call.queued, self.now)
            call.queued = None
            self._poll(call.home)

    def _refuse(self, call):
        counts = self.counts[call.home]
        counts.record_refused(call.team, call.id, self.now)
        self.short_until[call.home] = self.now + limits.SPAN_S
        again = self.now + RETRY_S
        if call.team == self.retrying and again < call.begin + TIMEOUT_S:
            self.at(again, self._repeat, call)

    def _repeat(self, call):
        if self.roaming:
            call.home = self.rng.choice(call.homes)
        if not call.ended:
            self._handle(call)

    def _tell(self):
        """Tells the holder what the instances counted."""
        for home, counts in enumerate(self.counts):
            short = self.now < self.short_until[home] or self.ratios[home]
            rows, span_s = counts.end_period(self.now, short)
            if rows and self.rng.random() >= self.loss:
                self.totals.add(home, rows, span_s, self.now)
        if self.now < self.duration_s:
            self.at(self.now + TELL_S, self._tell)

    def _announce(self):
        """Finds the shares and tells all instances, as the holder does."""
        self.shares = limits.find_shares(
            [
                limits.TeamLoad(team, *rates)
                for team, rates in self.totals.rates(self.now).items()
            ]
        )
        ratios = {e.team: e for e in self.shares.excesses}
        for home in range(self.instances):
            if self.rng.random() >= self.loss:
                self.ratios[home] = ratios
                self.capacity[home] = self.shares.capacity
        if self.now < self.duration_s:
            self.at(self.now + ANNOUNCE_S, self._announce)


def measure(policy, instances, seed, **more):
    """Returns a row with what was served of the calls of each team in time.

    Args:
        policy: Key in _call_orders.POLICIES.
        instances: Number of instances.
        seed: Seed of all random draws.
        more: Further arguments of Site.
    """
    site = Site(instances, _call_orders.POLICIES[policy], seed, **more).run()
    served, of_all = site.served(), site.served_of_all()
    small = [served[team] for team in SMALL]
    return {
        'policy': policy,
        'instances': instances,
        'seed': seed,
        'all': round(of_all, 3),
        'least_over_all': round(min(served.values()) / of_all, 2),
        'small_mean': round(sum(small) / len(small), 3),
        'small_least': round(min(small), 3),
        **{team: round(served[team], 3) for team in LARGE},
    }
