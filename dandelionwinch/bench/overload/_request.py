"""One attempt of a caller, as an instance serves it on modelled engines."""

import functools

from dandelionwinch.bench.overload import _engine
from dandelionwinch import dispatch

# When a caller comes back, as shares of the time that is left.
RETRY_AFTER_SHARE = (0.1, 0.3)
RETRY_LEAST_SHARE = 0.85
# Returns are spread by the requests' numbers, so that a seed repeats.
RETRY_STEPS = 97


class Request:
    """Places a prompt, follows its way, and tallies what became of it."""

    def __init__(self, day, arrival, began, *, returned):
        self._day = day
        self._arrival = arrival
        self._began = began
        self._returned = returned
        self._placer = day.placers[arrival.instance]
        self._upstreams = day.upstreams[arrival.instance]
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
        known = [b for b in self._upstreams.values() if b.gone_at is None]
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
        placement.prefill_engine.active += 1
        self._day.schedule(now + left_s, self._deadline)
        stage = _engine.Stage.PREFILL
        if placement.prefill is None:
            stage = _engine.Stage.DIRECT
        self._submit(placement.prefill_engine, stage, placement.priority, now)

    def _submit(self, upstream, stage, priority, now, kv_source=None):
        engine = self._day.engines[upstream.entry.id]
        first, end = self._first, self._whole
        if stage is _engine.Stage.PREFILL:
            first, end = self._read, self._ignore
        self._work = _engine.EngineRequest(
            self._arrival.prompt,
            self._arrival.events,
            self._arrival.kind.event_tokens,
            priority,
            stage,
            self._delayed(first),
            self._delayed(end),
            self._delayed(self._engine_refused),
            kv_source,
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
        placement.prefill_engine.active -= 1
        placement.decode.active += 1
        self._submit(
            placement.decode,
            _engine.Stage.DECODE,
            dispatch.HANDOVER_PRIORITY,
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
            tally.credit += kind.worth * self._arrival.size_factor
        else:
            tally.late += 1
            tally.credit += kind.late_worth * self._arrival.size_factor

    def _engine_refused(self, now):
        if self._ended:
            return
        self._finish()
        self._refused(now)

    def _deadline(self, _now):
        if self._ended:
            return
        self._work.cancelled = True
        self._finish()
        self._day.vain_tokens += self._placement.uncached_tokens
        self._day.tallies[self._arrival.kind.name].unserved += 1

    def _finish(self):
        """Ends the request at its instance."""
        self._ended = True
        placement = self._placement
        upstream = placement.prefill_engine
        if self._work.stage is _engine.Stage.DECODE:
            upstream = placement.decode
        upstream.active -= 1
        self._placer.ended(placement)

    def _refused(self, now):
        """Lets the caller come back once."""
        kind = self._arrival.kind
        if self._returned:
            self._day.tallies[kind.name].refused += 1
            return
        left_s = self._arrival.at + kind.deadline_s - now
        low, high = RETRY_AFTER_SHARE
        share = (
            low
            + (high - low) * (self._arrival.number % RETRY_STEPS) / RETRY_STEPS
        )
        again = Request(
            self._day, self._arrival, now + share * left_s, returned=True
        )
        self._day.schedule(now + share * left_s, again.start)
