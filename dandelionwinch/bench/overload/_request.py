"""One attempt of a caller, served by an instance on simulated engines."""

import functools

from dandelionwinch.bench.overload import _engine
from dandelionwinch import dispatch

# Range of the retry delay, as parts of the time until the deadline.
RETRY_AFTER_RATIOS = (0.1, 0.3)
# A retry with a smaller part of its deadline left is placed as late.
LATE_RETRY_RATIO = 0.85
# Delays are spread over the range by the numbers of the requests, without
# a random draw, so that a seed gives the same result.
RETRY_SPREAD_STEPS = 97


class Request:
    """Places a prompt, sends it to its engines and counts the outcome."""

    def __init__(self, simulation, arrival, started_at, *, is_retry):
        self._simulation = simulation
        self._arrival = arrival
        self._started_at = started_at
        self._is_retry = is_retry
        self._placer = simulation.placers[arrival.instance]
        self._upstreams = simulation.upstreams[arrival.instance]
        self._round_trip_s = 0.0
        self._placement = None
        self._engine_req = None
        self._sent_at = started_at
        self._ended = False
        self._first_at = None

    def start(self, now):
        """Places the prompt and sends it, or refuses the caller."""
        kind = self._arrival.kind
        remaining_s = self._arrival.at + kind.deadline_s - now
        late = (
            self._is_retry and remaining_s < LATE_RETRY_RATIO * kind.deadline_s
        )
        candidates = [u for u in self._upstreams.values() if u.gone_at is None]
        placement = self._placer.place(
            self._arrival.prompt,
            candidates,
            set(),
            now,
            direct=False,
            late=late,
            objective_s=kind.objective_s,
            patience_s=kind.deadline_s,
        )
        if placement is None:
            self._refuse(now)
            return
        self._placement = placement
        self._placer.record_sent(self._arrival.prompt, placement, now)
        placement.prefill_engine.active += 1
        self._simulation.schedule(now + remaining_s, self._expire)
        stage = _engine.Stage.PREFILL
        if placement.prefill is None:
            stage = _engine.Stage.DIRECT
        self._submit(placement.prefill_engine, stage, placement.priority, now)

    def _submit(self, upstream, stage, priority, now, kv_source=None):
        engine = self._simulation.engines[upstream.entry.id]
        self._count_bytes(engine.data_centre, kv_source)
        self._round_trip_s = self._simulation.network.round_trip_s(
            self._arrival.instance, engine.data_centre
        )
        on_first_event, on_end = self._record_first_event, self._complete
        if stage is _engine.Stage.PREFILL:
            on_first_event, on_end = self._start_decode, self._ignore
        self._engine_req = _engine.EngineRequest(
            self._arrival.prompt,
            self._arrival.events,
            self._arrival.kind.event_tokens,
            priority,
            stage,
            self._delayed(on_first_event),
            self._delayed_gap,
            self._delayed(on_end),
            self._delayed(self._on_engine_refusal),
            kv_source,
        )
        self._sent_at = now
        self._simulation.schedule(
            now + self._round_trip_s / 2, engine.submit, self._engine_req
        )

    def _count_bytes(self, data_centre, kv_source):
        network = self._simulation.network
        tokens = self._arrival.prompt.tokens
        network.count_prompt(self._arrival.instance, data_centre, tokens)
        if kv_source is not None:
            network.count_kv_cache(kv_source.data_centre, data_centre, tokens)

    def _delayed(self, callback):
        """Returns a function that calls back half a round trip later."""

        def schedule_callback(now, *args):
            bound = functools.partial(callback, *args)
            self._simulation.schedule(now + self._round_trip_s / 2, bound)

        return schedule_callback

    def _delayed_gap(self, at, gap_s):
        """Reports a gap half a round trip after its end."""
        self._simulation.schedule(
            at + self._round_trip_s / 2, self._record_gap, gap_s
        )

    def _record_gap(self, gap_s, now):
        if not self._ended:
            self._placer.record_token_gap(
                self._placement, gap_s, self._arrival.kind.pause_s, now
            )

    def _ignore(self, *_args):
        """Ignores the end of a prefill, which comes with its first event."""

    def _start_decode(self, now):
        if self._ended:
            return
        placement = self._placement
        self._placer.record_prefill(placement, now - self._sent_at, now)
        self._placer.record_transfer(placement, now)
        placement.prefill_engine.active -= 1
        placement.decode.active += 1
        self._submit(
            placement.decode,
            _engine.Stage.DECODE,
            dispatch.PREFILLED_PRIORITY,
            now,
            self._simulation.engines[placement.prefill.entry.id],
        )

    def _record_first_event(self, now):
        if self._ended:
            return
        self._first_at = now
        self._placer.record_first_token(
            self._placement, now - self._sent_at, now
        )

    def _complete(self, longest_s, now):
        if self._ended:
            return
        self._release()
        kind = self._arrival.kind
        tally = self._simulation.tallies[kind.name]
        self._simulation.count_served(self._arrival)
        latency_s = self._first_at - self._arrival.at
        if latency_s <= kind.objective_s and longest_s <= kind.pause_s:
            tally.in_time += 1
            self._simulation.window(self._arrival)[1] += 1
            tally.credit += kind.worth * self._arrival.size_factor
        else:
            tally.late += 1
            tally.credit += kind.late_worth * self._arrival.size_factor

    def _on_engine_refusal(self, now):
        if self._ended:
            return
        self._release()
        self._refuse(now)

    def _expire(self, _now):
        if self._ended:
            return
        self._engine_req.cancelled = True
        self._release()
        self._simulation.vain_tokens += self._placement.uncached_tokens
        self._simulation.tallies[self._arrival.kind.name].unserved += 1

    def _release(self):
        """Ends the request at its instance and releases its engine."""
        self._ended = True
        placement = self._placement
        upstream = placement.prefill_engine
        if self._engine_req.stage is _engine.Stage.DECODE:
            upstream = placement.decode
        upstream.active -= 1
        self._placer.record_end(placement)

    def _refuse(self, now):
        """Schedules the one retry of the caller, or counts a refusal."""
        kind = self._arrival.kind
        if self._is_retry:
            self._simulation.tallies[kind.name].refused += 1
            return
        remaining_s = self._arrival.at + kind.deadline_s - now
        low, high = RETRY_AFTER_RATIOS
        share = (
            low
            + (high - low)
            * (self._arrival.number % RETRY_SPREAD_STEPS)
            / RETRY_SPREAD_STEPS
        )
        retry = Request(
            self._simulation,
            self._arrival,
            now + share * remaining_s,
            is_retry=True,
        )
        self._simulation.schedule(now + share * remaining_s, retry.start)
