"""Simulates the orders of capacity under load, in virtual time.

Compares three fleets: that of the start, the planned one, and that of an
oracle which knows the demand and the reclaims of the next seconds.
"""

import math
import random

import attrs

from dandelionwinch.bench import _scaling_fleet
from dandelionwinch import capacity
from dandelionwinch import routes
from dandelionwinch import upstreams

STEP_S = 0.1
_PREFILL = upstreams.Role.PREFILL
_DECODE = upstreams.Role.DECODE
# Time between two role orders of the holder, with the announcement.
ROLE_INTERVAL_S = 2.7
# Time between two plans of the holder, as control performs a duty.
PLAN_INTERVAL_S = 0.9
DURATION_S = 240.0
# Callers begin this long after the machines.
CALLERS_AT_S = 16.0
# Time after the start until the first holder acts, and time in which another
# one follows a holder that is lost.
FIRST_HOLDER_S = 7.0
TAKEOVER_S = 7.0
START = {'a': 4, 'b': 4, 'c': 4, 'd': 4, 'e': 4, 'f': 3}
PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25, 'd': 0.9, 'e': 1.1, 'f': 1.0}
MOST = 8
RECLAIMABLE_PRICE = 0.15
# Part of its time that an upstream can work, and the time that work waits.
USABLE = 0.8
PATIENCE_S = 1.0
# Work that callers ask for, as a part of what the fleet of the start can do.
MEAN_LOAD = 0.6
# Kinds of requests: each has half of the work.
KIND_RATIO = 0.5
BURST_INTERVAL_S = 30.0
QUIET_RATIO = 0.4
CRASHED_RATIO = 0.2
# Times of an answer of the API and of a slow one, and after which a call
# counts as unanswered.
ANSWER_S = 0.02
SLOW_ANSWER_S = 1.0
CALL_TIMEOUT_S = 2.0


@attrs.frozen
class ScalingLoad:
    """What happens in one simulation.

    Attributes:
        crashes: Times at which a fifth of the upstreams crash.
        reclaims: Times at which the data centre with the most reclaimable
            upstreams loses them.
        api_down: Begin and end of a time in which the API is silent.
        slow: Whether the API answers 50 times more slowly.
        late_s: Time by which orders take effect late.
        holder_lost_at: Time at which the holder is lost, or None.
        mean_load: Work as a part of what the fleet of the start can do.
        kind_ratio: Part of the work that is of the first kind.
        measured_ratio: What instances measure of the work, as the learnt
            times of engines may be off by a factor.
    """

    name: str
    crashes: tuple[float, ...] = ()
    reclaims: tuple[float, ...] = ()
    api_down: tuple[float, float] = (0.0, 0.0)
    slow: bool = False
    late_s: float = 0.0
    holder_lost_at: float | None = None
    mean_load: float = MEAN_LOAD
    kind_ratio: float = KIND_RATIO
    measured_ratio: float = 1.0


LOADS = (
    ScalingLoad('usual'),
    ScalingLoad('heavy', mean_load=1.0),
    ScalingLoad('bursts', mean_load=0.8, kind_ratio=0.8),
    ScalingLoad('crashes', crashes=(50.0, 110.0, 170.0)),
    ScalingLoad('reclaims', reclaims=(45.0, 90.0, 135.0, 180.0)),
    ScalingLoad(
        'reclaims_in_bursts',
        reclaims=(17.5, 24.5, 100.0, 107.0),
        mean_load=0.9,
        kind_ratio=0.8,
        measured_ratio=2.0,
    ),
    ScalingLoad('api_down', api_down=(8.0, 13.0)),
    ScalingLoad('api_slow', slow=True),
    ScalingLoad('orders_late', late_s=6.0),
    ScalingLoad('holder_lost', holder_lost_at=12.0),
    ScalingLoad('measured_low', measured_ratio=0.25),
    ScalingLoad('measured_high', measured_ratio=3.0),
    ScalingLoad(
        'all',
        crashes=(50.0, 150.0),
        reclaims=(60.0, 120.0),
        api_down=(58.0, 63.0),
        slow=True,
        holder_lost_at=100.0,
    ),
)


class Demand:
    """Work that callers ask for over time, in engine seconds a second.

    Args:
        load: ScalingLoad.
        rng: Source of randomness.
    """

    def __init__(self, load, rng):
        self._mean = load.mean_load * USABLE * sum(START.values())
        self._kind_ratio = load.kind_ratio
        self._waves = [
            (
                rng.uniform(11.0, 15.0),
                rng.uniform(0.27, 0.55),
                rng.uniform(0.0, 2 * math.pi),
            )
            for _name in PRICES
        ]
        # Begin, end, factor and kind of each burst.
        self._bursts = []
        at = CALLERS_AT_S + rng.uniform(5.0, BURST_INTERVAL_S)
        while at < DURATION_S:
            end = at + rng.uniform(2.8, 14.0)
            factor = rng.uniform(1.5, 2.3)
            self._bursts.append((at, end, factor, rng.random() < KIND_RATIO))
            at = end + rng.uniform(5.0, BURST_INTERVAL_S)

    def at(self, now):
        """Returns the work at a time."""
        if now < CALLERS_AT_S:
            return 0.0
        wave = sum(
            1.0 + amplitude * math.sin(2 * math.pi * now / period + phase)
            for period, amplitude, phase in self._waves
        ) / len(self._waves)
        first = second = 1.0
        for begin, end, factor, is_first in self._bursts:
            if begin <= now < end:
                first, second = factor, QUIET_RATIO
                if not is_first:
                    first, second = second, first
        kinds = self._kind_ratio * first + (1 - self._kind_ratio) * second
        return self._mean * wave * kinds


def _scaling():
    return routes.Scaling(
        1, MOST, _scaling_fleet.BOOT_S, RECLAIMABLE_PRICE, PRICES
    )


class Simulation:
    """One planned fleet under one load.

    Args:
        load: ScalingLoad.
        seed: Seed of the demand and the faults.
        planned: Whether capacity is ordered; else the fleet stays.

    Attributes:
        demanded: Engine seconds that were asked for.
        served: Engine seconds that were done in time.
        fleet: PlatformFleet.
        missing_s: Seconds in which a data centre lacks a role, by Role, on
            average over the data centres.
    """

    def __init__(self, load, seed, planned=True):
        rng = random.Random(seed)
        self._load = load
        self._rng = rng
        self._demand = Demand(load, rng)
        self.fleet = _scaling_fleet.PlatformFleet(
            PRICES, START, MOST, RECLAIMABLE_PRICE
        )
        self._planner = None
        self._planned = planned
        self._plan_at = FIRST_HOLDER_S
        self._role_at = FIRST_HOLDER_S
        # Time, order, planner and Outcome of each answer that is to come.
        self._answers = []
        self._effects = []
        self._measured_at = 0.0
        self._calling = False
        self._waiting = 0.0
        self._done = self._short = 0.0
        self._measured = capacity.Demand()
        self.demanded = self.served = 0.0
        self.orders = 0
        self.missing_s = dict.fromkeys(
            (upstreams.Role.PREFILL, upstreams.Role.DECODE), 0.0
        )

    def run(self):
        """Runs the load to its end; returns self."""
        for number in range(round(DURATION_S / STEP_S)):
            self.advance(number * STEP_S)
        return self

    def advance(self, now):
        """Simulates one step, of STEP_S from a time."""
        self._cause_faults(now)
        self._take_effects(now)
        self.fleet.advance(now, STEP_S)
        self._serve(now)
        if now >= CALLERS_AT_S:
            self._observe_roles(now)
        if now >= self._role_at:
            self._role_at = now + ROLE_INTERVAL_S
            self.fleet.change_role(now)
        if self._planned and now >= self._plan_at and not self._calling:
            self._plan(self.fleet.view(now), now)

    def _observe_roles(self, now):
        for role in self.missing_s:
            missing = self.fleet.without_role(role, now)
            self.missing_s[role] += missing * STEP_S / len(PRICES)

    def _cause_faults(self, now):
        def due(times):
            return any(abs(now - at) < STEP_S / 2 for at in times)

        if due(self._load.crashes):
            self.fleet.crash(CRASHED_RATIO, self._rng, now)
        if due(self._load.reclaims):
            self.fleet.reclaim(self.fleet.largest_reclaimable(), now)
        if due([self._load.holder_lost_at or -1.0]):
            self._planner = None
            self._calling = False
            self._plan_at = now + TAKEOVER_S

    def _serve(self, now):
        """Serves the work of one step; what waits too long is refused."""
        asked = self._demand.at(now) * STEP_S
        able = self.fleet.serving(now) * USABLE * STEP_S
        self.demanded += asked
        done = min(able, asked + self._waiting)
        self._waiting += asked - done
        longest = self.fleet.serving(now) * USABLE * PATIENCE_S
        short = max(0.0, self._waiting - longest)
        self._waiting -= short
        self.served += done
        self._done += done
        self._short += short

    def _plan(self, view, now):
        if self._planner is None:
            self._planner = capacity.Planner(_scaling())
        if now - self._measured_at >= PLAN_INTERVAL_S:
            ratio = self._load.measured_ratio / (now - self._measured_at)
            self._measured_at = now
            self._measured = capacity.Demand(
                ratio * self._done, ratio * self._short
            )
            self._done = self._short = 0.0
        self._plan_at = now + PLAN_INTERVAL_S
        due = self._planner.update(view, self._measured, now)
        if due:
            # The next order follows the answer to this one.
            self._calling = True
            self._send(due[0], now)

    def _send(self, order, now):
        self.orders += 1
        self._planner.orders.begin(order)
        begin, end = self._load.api_down
        if begin <= now < end:
            outcome, answer_s = capacity.Outcome.UNANSWERED, CALL_TIMEOUT_S
            self._answers.append(
                (now + answer_s, order, self._planner, outcome)
            )
            return
        answer_s = SLOW_ANSWER_S if self._load.slow else ANSWER_S
        at = now + answer_s
        self._effects.append((at + self._load.late_s, at, order))
        self._effects.sort(key=lambda effect: effect[:2])
        self._answers.append((at, order, self._planner, None))

    def _take_effects(self, now):
        """Answers orders, and lets those that were accepted take effect.

        Whether an order can be obtained is decided when it takes effect, but
        an order that takes effect late is always answered as accepted.
        """
        refused = set()
        for effect in [e for e in self._effects if e[0] <= now]:
            self._effects.remove(effect)
            if not self.fleet.order(effect[2], now):
                refused.add(effect[2])
        for answer in [a for a in self._answers if a[0] <= now]:
            self._answers.remove(answer)
            _at, order, planner, outcome = answer
            if outcome is None:
                outcome = capacity.Outcome.ACCEPTED
                if order in refused:
                    outcome = capacity.Outcome.REFUSED
            planner.orders.end(order, outcome, now)
            self._calling = False
            if planner is self._planner:
                self._plan_at = now


def _oracle(load, seed):
    """Returns served share and price of a fleet that knows the future.

    It has what the demand needs and loses nothing to reclaims, as its
    reclaimable upstreams stand elsewhere by then.
    """
    demand = Demand(load, random.Random(seed))
    names = sorted(PRICES, key=PRICES.get)
    limit = MOST * len(names)
    asked = served = paid = 0.0
    for number in range(round(DURATION_S / STEP_S)):
        now = number * STEP_S
        peak = max(
            demand.at(now + ahead / 2)
            for ahead in range(round(2 * _scaling_fleet.BOOT_S) + 1)
        )
        count = min(limit, max(2 * len(names), math.ceil(peak / USABLE)))
        paid += sum(PRICES.values()) * STEP_S
        extra = count - len(names)
        for name in names:
            here = min(extra, MOST - 1)
            extra -= here
            paid += here * PRICES[name] * RECLAIMABLE_PRICE * STEP_S
        work = demand.at(now)
        asked += work
        served += min(work, count * USABLE)
    return served / asked, paid


def measure(seed):
    """Returns a row for each load and fleet."""
    rows = []
    for load in LOADS:
        for name in ('start', 'planned'):
            run = Simulation(load, seed, planned=name == 'planned').run()
            rows.append(
                {
                    'load': load.name,
                    'fleet': name,
                    'served': round(run.served / run.demanded, 4),
                    'paid': round(run.fleet.paid),
                    'orders': run.orders,
                    'refused': run.fleet.refused,
                    'no_prefill_s': round(run.missing_s[_PREFILL], 1),
                    'no_decode_s': round(run.missing_s[_DECODE], 1),
                    'seed': seed,
                }
            )
        share, paid = _oracle(load, seed)
        rows.append(
            {
                'load': load.name,
                'fleet': 'oracle',
                'served': round(share, 4),
                'paid': round(paid),
                'orders': '',
                'refused': '',
                'no_prefill_s': '',
                'no_decode_s': '',
                'seed': seed,
            }
        )
    return rows
