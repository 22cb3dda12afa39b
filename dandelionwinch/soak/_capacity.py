"""Upstreams that are ordered, drained and taken away during a soak."""

import asyncio
import collections

import attrs

from dandelionwinch.soak import _selection
from dandelionwinch.soak import _stream_moves
from dandelionwinch.standins import capacity

CAPACITY_RUNS = 0.5
LEAST = 2
MOST = 6
BOOT_S = 2.0
RECLAIMABLE_PRICE = 0.15
PRICES = {'a': 1.0, 'b': 0.9}
# When reclaimable upstreams are taken away, as a share of the run's time,
# how often, and how long none can be obtained after that.
TAKEN_SHARES = (0.35, 0.95)
MAX_TAKEN = 2
MIN_SHORTAGE_S = 4.0
MAX_SHORTAGE_S = 10.0


@attrs.frozen
class Taking:
    """The loss of all reclaimable upstreams of a data centre.

    Attributes:
        at_s: Time from the start of the traffic.
        shortage_s: Time after that in which none can be obtained.
    """

    at_s: float
    shortage_s: float


def plan(seed, for_s):
    """Returns the Takings of a run, None in a run without scaling.

    Args:
        seed: Seed of the run.
        for_s: Seconds for which faults are injected.
    """
    rng = _selection.draw(seed, 'capacity', for_s, CAPACITY_RUNS)
    if rng is None:
        return None
    times = sorted(
        rng.uniform(*TAKEN_SHARES) * for_s
        for _number in range(rng.randint(1, MAX_TAKEN))
    )
    return tuple(
        Taking(at_s, rng.uniform(MIN_SHORTAGE_S, MAX_SHORTAGE_S))
        for at_s in times
    )


def service_fields():
    """Returns the fields of the scaled service in the configuration."""
    scaling = capacity.scaling_fields(
        LEAST, MOST, BOOT_S, RECLAIMABLE_PRICE, PRICES
    )
    return {**scaling, 'engine': _stream_moves.ENGINE}


class Capacity:
    """Starts and drains upstreams as ordered, and takes them away.

    Args:
        rng: Random generator of the upstreams and the data centres.
        fleet: Fleet.
        start: Number of upstreams at the start, by capacity.Place.
        spawn: Function that runs a coroutine until the soak ends.
        record: Function of a fault and its target, for the time line.

    Attributes:
        ledger: CapacityLedger.
        drained: Event loop time at which an upstream began to drain as
            ordered, by its id.
    """

    __slots__ = (
        '_booting',
        '_fleet',
        '_loop',
        '_record',
        '_rng',
        '_spawn',
        'drained',
        'ledger',
    )

    def __init__(self, rng, fleet, start, spawn, record):
        self._rng = rng
        self._fleet = fleet
        self._spawn = spawn
        self._record = record
        self._loop = None
        self._booting = collections.Counter()
        self.ledger = capacity.CapacityLedger(LEAST, MOST, start)
        self.drained = {}

    def start(self):
        """Begins to follow orders, in the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._fleet.is_wanted = self._is_wanted

    def take_order(self, body):
        """Takes an order from any thread; returns whether it has effect."""
        accepted = self.ledger.take(body)
        if accepted:
            self._loop.call_soon_threadsafe(self._follow)
        return accepted

    def _standing(self, place):
        serving = sum(u.place == place for u in self._fleet.upstreams)
        return serving + self._booting[place]

    def _is_wanted(self, place):
        """Tells whether one more upstream is ordered than stands."""
        return self._standing(place) < self.ledger.ordered(place)

    def _follow(self):
        """Starts and drains upstreams until they are as many as ordered."""
        for place in self.ledger.places():
            ordered = self.ledger.ordered(place)
            expected = self._standing(place) + self._fleet.returning[place]
            for _number in range(expected, ordered):
                self._booting[place] += 1
                self._spawn(self._boot(place))
            for _number in range(ordered, expected):
                self._drain_one(place)

    async def _boot(self, place):
        self._record('boot', place)
        await asyncio.sleep(BOOT_S)
        self._booting[place] -= 1
        if self._is_wanted(place):
            await self._fleet.add(place, self._rng)

    def _drain_one(self, place):
        """Drains the upstream of a place that was started last, if any."""
        found = [u for u in self._fleet.upstreams if u.place == place]
        if not found:
            return
        upstream = found[-1]
        self._record(f'drain {place}', upstream.id)
        self.drained[upstream.id] = self._loop.time()
        self._fleet.drain(upstream)

    async def run(self, takings, count_fault):
        """Takes reclaimable upstreams away.

        Args:
            takings: The Takings.
            count_fault: Function of a fault and its target.
        """
        start = self._loop.time()
        for taking in takings:
            await asyncio.sleep(start + taking.at_s - self._loop.time())
            data_centre = self._rng.choice(sorted(PRICES))
            count_fault('reclaim', data_centre)
            self.ledger.short = True
            self.ledger.take_away(data_centre)
            place = capacity.Place(data_centre, reclaimable=True)
            for upstream in list(self._fleet.upstreams):
                if upstream.place == place:
                    self._spawn(self._fleet.take_away(upstream))
            await asyncio.sleep(taking.shortage_s)
            self.ledger.short = False

    def violations(self, arrivals, cut, is_excused):
        """Returns the descriptions of all violations.

        Args:
            arrivals: Upstream id, request id and time of each arrival.
            cut: Event loop time at which a request ended without a complete
                response, by its id.
            is_excused: Function of a request id and two event loop times
                that tells whether another fault may have cut it then.
        """
        last = {
            request_id: (upstream_id, at)
            for upstream_id, request_id, at in arrivals
        }
        return self.ledger.violations + [
            f'{request_id}: cut by the ordered drain of {upstream_id}'
            for request_id, cut_at in cut.items()
            for upstream_id, at in [last.get(request_id, ('', 0.0))]
            if upstream_id in self.drained
            and cut_at > self.drained[upstream_id]
            and not is_excused(request_id, at, cut_at)
        ]
