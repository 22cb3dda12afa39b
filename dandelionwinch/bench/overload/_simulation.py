"""Simulates a load under a placement policy in virtual time."""

import functools
import heapq

import attrs

from dandelionwinch.bench.overload import _engine
from dandelionwinch.bench.overload import _exchange
from dandelionwinch.bench.overload import _load
from dandelionwinch.bench.overload import _network
from dandelionwinch.bench.overload import _policies
from dandelionwinch.bench.overload import _request
from dandelionwinch import upstreams

SERVICE = 'llm'
WINDOW_S = 5.0


@attrs.define
class Tally:
    """Outcomes of the requests of one kind.

    Each request is counted in one of in_time, late, refused and unserved.

    Attributes:
        asked: Requests that arrived.
        refused: Requests whose retry was refused, too.
        unserved: Requests that missed their deadline.
        credit: Credit earned.
        owed: Credit if all answers were in time.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    unserved: int = 0
    credit: float = 0.0
    owed: float = 0.0


@attrs.frozen
class Result:
    """The figures of a policy under a load.

    Attributes:
        credit: Credit earned, as a share of the credit owed.
        in_time: Share of requests answered in time.
        served: Share of requests answered, in time or late.
        read_tokens: Prompt tokens that were prefilled, without cached ones.
        kept_tokens: Prompt tokens that were found in caches.
        vain_tokens: Uncached prompt tokens of requests that missed their
            deadline, as estimated when they were placed.
        region_bytes: Bytes of prompts and KV caches sent to other regions; 0
            if the load names no regions.
        reread_tokens: Prompt tokens prefilled in blocks that an engine had
            prefilled before.
        unserved_regions: Share of the requests of each region's callers that
            was not served; empty if the load names no regions.
        windows: Share answered in time for each window of WINDOW_S, by the
            time of arrival; windows without arrivals are left out.
        kinds: Tally as a dict, by kind of request.
    """

    policy: str
    seed: int
    credit: float
    in_time: float
    served: float
    read_tokens: int
    kept_tokens: int
    vain_tokens: int
    region_bytes: int
    reread_tokens: int
    unserved_regions: dict
    windows: tuple
    kinds: dict


def simulate(load, policy, seed):
    """Simulates a load once; the same seed gives the same Result."""
    return _Simulation(load, policy, seed).run()


class _Simulation:
    """Engines, instances and callers on one queue of events."""

    def __init__(self, load, policy, seed):
        self._load = load
        self._policy = policy
        self._seed = seed
        self._events = []
        self._sequence = 0
        self.round_trip_s = load.round_trip_s
        self.network = _network.Network(load)
        self.engines = self._make_engines()
        self.placers = [
            _policies.make_placer(
                policy,
                self.network.distances(n),
                seed * 1000 + n,
                load.instances,
            )
            for n in range(load.instances)
        ]
        self.upstreams = [
            self._make_upstreams() for _n in range(load.instances)
        ]
        self.tallies = {kind.name: Tally() for kind in load.kinds}
        self.vain_tokens = 0
        # [asked, served] by region.
        self._regions = {}
        count = int(load.duration_s / WINDOW_S) + 1
        self.windows = [[0, 0] for _n in range(count)]

    def window(self, arrival):
        """Returns [asked, in time] of the window of an arrival."""
        return self.windows[int(arrival.at / WINDOW_S)]

    def count_served(self, arrival):
        """Counts a request that is answered, in time or late."""
        self._region(arrival)[1] += 1

    def _region(self, arrival):
        """Returns [asked, served] of the region of an arrival."""
        region = self.network.region_of_instance(arrival.instance)
        return self._regions.setdefault(region, [0, 0])

    def _make_engines(self):
        engines = {}
        read_blocks = set()
        total = sum(group.count for group in self._load.engines)
        for group in self._load.engines:
            for number in range(group.count):
                name = f'{group.data_centre}-{number}'
                slowness = functools.partial(
                    self._slowness, name, len(engines) / total
                )
                engines[name] = _engine.Engine(
                    name,
                    group,
                    number,
                    self.schedule,
                    slowness,
                    region=self.network.region(group.data_centre),
                    read_blocks=read_blocks,
                )
        return engines

    def _slowness(self, name, turn, now):
        """Returns how many times as long the work of an engine takes."""
        factor = 1.0
        if self._load.spells is not None:
            factor = self._load.spells.factor_at(turn, now)
        for burst in self._load.bursts:
            if name in burst.slowed and burst.start_s <= now < burst.end_s:
                factor *= burst.slow_factor
        return factor

    def _make_upstreams(self):
        """Returns the upstreams of one instance, by engine name."""
        slots = {
            group.data_centre: group.slots for group in self._load.engines
        }
        upstreams_ = {}
        for name, engine in self.engines.items():
            role = upstreams.Role.DECODE
            if engine.prefill_only:
                role = upstreams.Role.PREFILL
            entry = upstreams.Entry(
                name,
                SERVICE,
                name,
                engine.data_centre,
                1,
                True,
                role,
                slots[engine.data_centre],
            )
            upstreams_[name] = upstreams.Upstream(entry)
        return upstreams_

    def schedule(self, at, callback, *args):
        """Calls a function at a time, with the time as its last argument."""
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, callback, args))

    def run(self):
        """Runs all events and returns the Result."""
        for arrival in _load.arrivals(self._load, self._seed):
            self.schedule(arrival.at, self._arrive, arrival)
        for burst in self._load.bursts:
            for name in burst.lost:
                engine = self.engines[name]
                self.schedule(burst.start_s, self._crash_engine, engine)
                self.schedule(burst.end_s, self._restart_engine, engine)
        if self._policy == 'winch':
            _exchange.Exchange(self, self._load.duration_s).start()
        while self._events:
            at, _sequence, callback, args = heapq.heappop(self._events)
            callback(*args, at)
        return self._result()

    def _crash_engine(self, engine, now):
        engine.crash()
        for upstreams_ in self.upstreams:
            upstreams_[engine.name].gone_at = now

    def _restart_engine(self, engine, _now):
        engine.restart()
        for upstreams_ in self.upstreams:
            upstreams_[engine.name].gone_at = None

    def _arrive(self, arrival, now):
        tally = self.tallies[arrival.kind.name]
        tally.asked += 1
        self.window(arrival)[0] += 1
        self._region(arrival)[0] += 1
        tally.owed += arrival.kind.worth * arrival.size_factor
        _request.Request(self, arrival, now, is_retry=False).start(now)

    def _result(self):
        tallies = self.tallies.values()
        asked = max(1, sum(t.asked for t in tallies))
        owed = max(1.0, sum(t.owed for t in tallies))
        regions = [item for item in self._regions.items() if item[0]]
        return Result(
            self._policy,
            self._seed,
            round(sum(t.credit for t in tallies) / owed, 3),
            round(sum(t.in_time for t in tallies) / asked, 3),
            round(sum(t.in_time + t.late for t in tallies) / asked, 3),
            sum(e.prefilled_tokens for e in self.engines.values()),
            sum(e.hit_tokens for e in self.engines.values()),
            self.vain_tokens,
            self.network.region_bytes,
            sum(e.reread_tokens for e in self.engines.values()),
            {
                region: round(1.0 - served / asked_there, 3)
                for region, (asked_there, served) in sorted(regions)
            },
            tuple(
                round(in_time / arrived, 2)
                for arrived, in_time in self.windows
                if arrived
            ),
            {name: attrs.asdict(t) for name, t in self.tallies.items()},
        )
