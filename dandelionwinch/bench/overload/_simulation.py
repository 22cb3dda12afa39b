"""Plays a load against a policy in virtual time."""

import functools
import heapq

import attrs

from dandelionwinch.bench.overload import _engine
from dandelionwinch.bench.overload import _load
from dandelionwinch.bench.overload import _policies
from dandelionwinch import dispatch
from dandelionwinch import upstreams

RETRY_AFTER_SHARE = (0.1, 0.3)
RETRY_LEAST_SHARE = 0.85
SERVICE = 'llm'
WINDOW_S = 5.0


@attrs.define
class Tally:
    """What became of the requests of one kind."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    unserved: int = 0
    credit: float = 0.0
    owed: float = 0.0


@attrs.frozen
class Result:
    """What a policy made of a load.

    Attributes:
        credit: Credit earned of the credit owed.
        read_tokens: Prompt tokens that were read.
        kept_tokens: Prompt tokens that were found in caches.
        vain_tokens: Prompt tokens read for requests that were not served.
        windows: Share in time by 5 s, by the time of the first attempt.
        kinds: Tally by kind of request.
    """

    policy: str
    seed: int
    credit: float
    in_time: float
    served: float
    read_tokens: int
    kept_tokens: int
    vain_tokens: int
    windows: tuple
    kinds: dict


def simulate(load, policy, seed):
    """Plays a load once; the same seed gives the same Result."""
    return _Day(load, policy, seed).run()


class _Day:
    def __init__(self, load, policy, seed):
        self._load = load
        self._policy = policy
        self._seed = seed
        self._events = []
        self._number = 0
        self.round_trip_s = load.round_trip_s
        self.engines = self._make_engines()
        regions = {row.data_centre: row.data_centre for row in load.engines}
        distances = dispatch.Distances('', regions)
        self.placers = [
            _policies.make_placer(
                policy, distances, seed * 1000 + n, load.instances
            )
            for n in range(load.instances)
        ]
        self.beliefs = [self._believe() for _n in range(load.instances)]
        self.tallies = {kind.name: Tally() for kind in load.kinds}
        self.vain_tokens = 0
        count = int(load.duration_s / WINDOW_S) + 1
        self.windows = [[0, 0] for _n in range(count)]

    def window(self, arrival):
        """Returns the counts, asked and in time, of an arrival's window."""
        return self.windows[int(arrival.at / WINDOW_S)]

    def _make_engines(self):
        found = {}
        for row in self._load.engines:
            for number in range(row.prefill + row.decode):
                name = f'{row.data_centre}-{number}'
                found[name] = _engine.Engine(
                    name, row, number < row.prefill, self.schedule
                )
        return found

    def _believe(self):
        """Returns one instance's beliefs, by name of the engine."""
        slots = {row.data_centre: row.slots for row in self._load.engines}
        found = {}
        for name, engine in self.engines.items():
            role = upstreams.Role.DECODE
            if engine.reads_only:
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
            found[name] = upstreams.Belief(entry)
        return found

    def schedule(self, at, function, *args):
        """Calls a function later, with the time as its last argument."""
        self._number += 1
        heapq.heappush(self._events, (at, self._number, function, args))

    def run(self):
        """Plays all arrivals and returns the Result."""
        for arrival in _load.arrivals(self._load, self._seed):
            self.schedule(arrival.at, self._arrive, arrival)
        for burst in self._load.bursts:
            for name in burst.lost:
                engine = self.engines[name]
                self.schedule(burst.start_s, self._lose, engine)
                self.schedule(burst.end_s, self._restore, engine)
        while self._events:
            at, _number, function, args = heapq.heappop(self._events)
            function(*args, at)
        return self._result()

    def _lose(self, engine, now):
        engine.crash()
        for beliefs in self.beliefs:
            beliefs[engine.name].gone_at = now

    def _restore(self, engine, _now):
        engine.restart()
        for beliefs in self.beliefs:
            beliefs[engine.name].gone_at = None

    def _arrive(self, arrival, now):
        tally = self.tallies[arrival.kind.name]
        tally.asked += 1
        self.window(arrival)[0] += 1
        tally.owed += arrival.kind.worth * arrival.size_worth
        _Request(self, arrival, now, returned=False).start(now)

    def _result(self):
        tallies = self.tallies.values()
        asked = max(1, sum(t.asked for t in tallies))
        owed = max(1.0, sum(t.owed for t in tallies))
        return Result(
            self._policy,
            self._seed,
            round(sum(t.credit for t in tallies) / owed, 3),
            round(sum(t.in_time for t in tallies) / asked, 3),
            round(sum(t.in_time + t.late for t in tallies) / asked, 3),
            sum(e.tokens_read for e in self.engines.values()),
            sum(e.tokens_kept for e in self.engines.values()),
            self.vain_tokens,
            tuple(
                round(good / all_, 2) for all_, good in self.windows if all_
            ),
            {name: attrs.asdict(t) for name, t in self.tallies.items()},
        )


class _Request:
    """One attempt of a caller, as an instance serves it."""

    def __init__(self, day, arrival, began, *, returned):
        self._day = day
        self._arrival = arrival
        self._began = began
        self._returned = returned
        self._placer = day.placers[arrival.instance]
        self._beliefs = day.beliefs[arrival.instance]
        self._round_trip_s = day.round_trip_s
        self._placement = None
        self._work = None
        self._sent_at = began
        self._ended = False
        self._first_at = None

    def start(self, now):
        """Places the prompt and sends it."""
        kind = self._arrival.kind
        left_s = self._arrival.at + kind.deadline_s - now
        late = self._returned and left_s < RETRY_LEAST_SHARE * kind.deadline_s
        known = [b for b in self._beliefs.values() if b.gone_at is None]
        placement = self._placer.place(
            self._arrival.prompt,
            known,
            set(),
            now,
            direct=False,
            late=late,
            objective_s=kind.objective_s,
        )
        if placement is None:
            self._refused(now)
            return
        self._placement = placement
        self._placer.sent(self._arrival.prompt, placement, now)
        placement.reader.active += 1
        self._day.schedule(now + left_s, self._deadline)
        stage = 'direct' if placement.prefill is None else 'prefill'
        self._submit(placement.reader, stage, placement.urgency, now)

    def _submit(self, belief, stage, urgency, now, source=None):
        engine = self._day.engines[belief.entry.id]
        first = self._read if stage == 'prefill' else self._first
        end = self._ignore if stage == 'prefill' else self._whole
        self._work = _engine.Work(
            self._arrival.prompt,
            self._arrival.events,
            self._arrival.kind.event_tokens,
            urgency,
            stage,
            self._delayed(first),
            self._delayed(end),
            self._delayed(self._engine_refused),
            source,
        )
        self._sent_at = now
        self._day.schedule(
            now + self._round_trip_s / 2, engine.submit, self._work
        )

    def _delayed(self, function):
        """Returns what calls a function half a round trip later."""

        def call(now, *args):
            later = functools.partial(function, *args)
            self._day.schedule(now + self._round_trip_s / 2, later)

        return call

    def _ignore(self, *_args):
        """The end of a prefill comes with its first sign."""

    def _read(self, now):
        if self._ended:
            return
        placement = self._placement
        self._placer.prefilled(placement, now - self._sent_at, now)
        self._placer.handed_over(placement, now)
        placement.reader.active -= 1
        placement.decode.active += 1
        self._submit(
            placement.decode,
            'answer',
            dispatch.HANDED_OVER_URGENCY,
            now,
            self._day.engines[placement.prefill.entry.id],
        )

    def _first(self, now):
        if self._ended:
            return
        self._first_at = now
        self._placer.started(self._placement, now - self._sent_at, now)

    def _whole(self, longest_s, now):
        if self._ended:
            return
        self._finish()
        kind = self._arrival.kind
        tally = self._day.tallies[kind.name]
        taken_s = self._first_at - self._arrival.at
        if taken_s <= kind.objective_s and longest_s <= kind.pause_s:
            tally.in_time += 1
            self._day.window(self._arrival)[1] += 1
            tally.credit += kind.worth * self._arrival.size_worth
        else:
            tally.late += 1
            tally.credit += kind.late_worth * self._arrival.size_worth

    def _engine_refused(self, now):
        if self._ended:
            return
        self._finish()
        self._refused(now)

    def _deadline(self, _now):
        if self._ended:
            return
        self._work.left = True
        self._finish()
        self._day.vain_tokens += self._placement.fresh_tokens
        self._day.tallies[self._arrival.kind.name].unserved += 1

    def _finish(self):
        """Ends the request at its instance."""
        self._ended = True
        placement = self._placement
        belief = placement.reader
        if self._work.stage == 'answer':
            belief = placement.decode
        belief.active -= 1
        self._placer.ended(placement)

    def _refused(self, now):
        """Lets the caller come back once."""
        kind = self._arrival.kind
        if self._returned:
            self._day.tallies[kind.name].refused += 1
            return
        left_s = self._arrival.at + kind.deadline_s - now
        low, high = RETRY_AFTER_SHARE
        share = low + (high - low) * (self._arrival.number % 97) / 97
        again = _Request(
            self._day, self._arrival, now + share * left_s, returned=True
        )
        self._day.schedule(now + share * left_s, again.start)
