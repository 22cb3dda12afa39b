"""What one instance knows of the engines, and how it learns it.

The choice of engines for a prompt rests on it (EnginePlacer). All of it is
observed in the instance's own requests and in the engines' cache events.
"""

from dandelionwinch.dispatch import _engine_model
from dandelionwinch.dispatch import _engine_speeds
from dandelionwinch.dispatch import _in_flight
from dandelionwinch.dispatch import _overdue
from dandelionwinch.dispatch import _prefill_rates
from dandelionwinch.dispatch import _prefix_cache
from dandelionwinch.dispatch import _prompts
from dandelionwinch.dispatch import _rate_limiter
from dandelionwinch.dispatch import _token_gaps
from dandelionwinch.dispatch import _transfers
from dandelionwinch.dispatch import _watch_plan

# Expected duration of a KV cache transfer, besides the round trip.
KV_TRANSFER_S = 0.004
# Part of the allowed token gap above which the rate limit is decreased.
TOKEN_GAP_RATIO = 0.7


class EngineKnowledge:
    """Estimates of the engines; the record_... methods update them.

    They are called as a placed prompt proceeds.

    Args:
        distances: Distances to the data centres.
        rng: Random number generator.

    Attributes:
        capacity_ratio: Capacity of all instances that share the engines
            over this instance's capacity.
        speeds: EngineSpeeds.
    """

    __slots__ = (
        '_distances',
        '_in_flight',
        '_limiters',
        '_model',
        '_overdue',
        '_prefill_rates',
        '_prefix_cache',
        '_rng',
        '_token_gaps',
        '_transfers',
        '_watch_plan',
        'capacity_ratio',
        'speeds',
    )

    def __init__(self, distances, rng):
        self._distances = distances
        self._rng = rng
        self._prefix_cache = _prefix_cache.PrefixCache()
        self._overdue = _overdue.OverdueTracker()
        self._transfers = _transfers.Transfers()
        self._prefill_rates = _prefill_rates.PrefillRates()
        self._model = _engine_model.EngineModel()
        self._token_gaps = _token_gaps.TokenGaps()
        self._in_flight = _in_flight.InFlight()
        self._watch_plan = _watch_plan.WatchPlan()
        self._limiters = {}
        self.capacity_ratio = 1.0
        self.speeds = _engine_speeds.EngineSpeeds()

    def _uncached_tokens(self, prompt, engine, now):
        cached = self._prefix_cache.hit_tokens(prompt, engine.entry.id, now)
        return prompt.tokens - cached

    def _delay_s(self, engine, now):
        """Returns the delay of an engine, by late or overdue responses."""
        overdue_s = self._overdue.overdue_s(engine.entry.id, now)
        return max(overdue_s, engine.recent_excess_s(now))

    def delay_s(self, engine, now):
        """Returns the delay of an engine in seconds."""
        return self._delay_s(engine, now)

    def _round_trip_s(self, engine):
        return self._distances.round_trip_s(engine.entry.data_centre)

    def _unhindered_s(self, engine, tokens, now):
        """Returns the time to read tokens at the rate of the limits.

        It is the base of the delays to which the rate limits adapt.
        """
        read_s = tokens / self._prefill_rate(engine, now)
        return self._round_trip_s(engine) + read_s

    def _read_s(self, engine, tokens, now):
        """Returns the learnt time to read tokens, with the round trip."""
        read_s = self._model.read_s(engine.entry, tokens)
        read_s /= self.speeds.read_speed(engine.entry, now)
        return self._round_trip_s(engine) + read_s

    def work_s(self, engine, tokens):
        """Returns the learnt time in which an engine reads tokens."""
        return self._model.read_s(engine.entry, tokens)

    def _prefill_rate(self, engine, now):
        speed = self.speeds.read_speed(engine.entry, now)
        return speed * self._prefill_rates.get(engine.entry)

    def _gap_ratio(self, engine, now):
        """Returns the predicted long gap as a part of the allowed one."""
        ratio = self._token_gaps.calm_ratio(engine.entry.service)
        return ratio / self.speeds.decode_speed(engine.entry, now)

    def _limiter(self, engine, now):
        limiter = self._limiters.get(engine.entry.id)
        if limiter is None:
            limiter = _rate_limiter.RateLimiter(
                self._prefill_rate(engine, now), self.capacity_ratio, now
            )
            self._limiters[engine.entry.id] = limiter
        return limiter

    def _is_stalled(self, engine, groups, now):
        near = groups.has_local_decoder(engine)
        return self._transfers.is_stalled(engine, near, now)

    def peak_decodes(self, now):
        """Returns the recent peak of decodes, that is of short prompts.

        The peak of this instance is scaled up to all instances.
        """
        return self._in_flight.peak_decodes(now) * self.capacity_ratio

    def watch_interval_s(self, engine_count, now):
        """Returns how often to ask an engine for cache events, or None."""
        return self._watch_plan.interval_s(engine_count, now)

    def record_sent(self, prompt, placement, now):
        """Records that a prompt is sent to the engine that prefills it."""
        upstream_id = placement.prefill_engine.entry.id
        self._prefix_cache.record(prompt, upstream_id, now)
        if placement.priority_class is _prompts.PriorityClass.URGENT:
            due_at = now + placement.expected_s
            self._overdue.add(upstream_id, placement, due_at)
        self._in_flight.add(placement, now)
        self._watch_plan.record_prompt(now)

    def record_cache_events(self, upstream_id, events, now):
        """Records the CacheEvents of an engine."""
        self._prefix_cache.record_events(upstream_id, events, now)

    def record_transfer(self, placement, now):
        """Records that a KV cache transfer to the decode engine begins."""
        decode = placement.decode
        due_at = now + KV_TRANSFER_S + self._round_trip_s(decode)
        self._overdue.add(decode.entry.id, placement, due_at)
        self._transfers.add(placement, due_at)

    def record_kv_handle_refused(self, placement, now):
        """Records that a decode engine refused a KV cache handle.

        It counts as a failure of the engine that prefilled.
        """
        placement.prefill.record_failure(now)
        self._decode_responded(placement)

    def _decode_responded(self, placement):
        """Removes the due times of the response of the decode engine."""
        self._overdue.remove(placement.decode.entry.id, placement)
        self._transfers.remove(placement)

    def record_end(self, placement):
        """Records that a request has ended, with or without a response."""
        self._overdue.remove(placement.prefill_engine.entry.id, placement)
        self._decode_responded(placement)
        self._in_flight.remove(placement)

    def record_prefill(self, placement, taken_s, now):
        """Records the end of a prefill whose answer another engine decodes.

        Args:
            placement: The Placement of the prompt.
            taken_s: Seconds until the KV cache handle arrived, with the
                round trip.
            now: Time in seconds.
        """
        engine = placement.prefill
        self._overdue.remove(engine.entry.id, placement)
        tokens = placement.uncached_tokens
        expected_s = self._unhindered_s(engine, tokens, now)
        self._observe(engine, placement, taken_s, expected_s, now)

    def record_first_token(self, placement, taken_s, now):
        """Records the first token of an answer and its delay.

        Args:
            placement: The Placement of the prompt.
            taken_s: Seconds until it arrived, since the request to the
                decode engine.
            now: Time in seconds.
        """
        decode = placement.decode
        self._decode_responded(placement)
        self._in_flight.end_reading(placement)
        if placement.prefill is not None:
            expected_s = KV_TRANSFER_S + self._round_trip_s(decode)
            excess_s = taken_s - expected_s
            decode.record_success(excess_s, now)
            self._model.observe_handover(
                decode.entry.service, taken_s - self._round_trip_s(decode)
            )
            self._observe_transfer(placement, excess_s, now)
            return
        self._observe(decode, placement, taken_s, placement.expected_s, now)

    def _observe_transfer(self, placement, excess_s, now):
        """Decreases the rate of a prefill engine if a far transfer is late."""
        prefill = placement.prefill
        far = prefill.entry.data_centre != placement.decode.entry.data_centre
        if far and excess_s > _transfers.FAR_DELAY_S:
            self._limiter(prefill, now).decrease(now)

    def _observe(self, engine, placement, taken_s, expected_s, now):
        """Updates health, prefill rate and rate limit of an engine.

        Only prompts of the class URGENT update the two rates.
        """
        tokens = placement.uncached_tokens
        read_s = taken_s - self._round_trip_s(engine)
        self.speeds.observe_read(engine.entry, tokens, read_s, now)
        if placement.priority_class is _prompts.PriorityClass.BACKGROUND:
            # It waits behind all others, so its latency is no sample. The
            # average itself as the sample leaves the average unchanged.
            engine.record_success(engine.excess_s, now)
            return
        excess_s = taken_s - expected_s
        engine.record_success(excess_s, now)
        # The service's times are those of an engine of the speed 1.
        usual_s = read_s * self.speeds.read_speed(engine.entry, now)
        self._model.observe(engine.entry, tokens, usual_s)
        if placement.priority_class is _prompts.PriorityClass.ANSWER:
            return
        self._prefill_rates.observe(engine.entry, tokens, usual_s)
        overdue_s = self._transfers.overdue_s(engine, now)
        self._limiter(engine, now).observe(
            max(excess_s, overdue_s),
            placement.objective_s,
            self._prefill_rate(engine, now),
            self.capacity_ratio,
            now,
        )

    def record_token_gap(self, placement, gap_s, allowed_s, now):
        """Decreases the rate limit of an engine after a long token gap.

        Args:
            placement: The Placement of the prompt.
            gap_s: Time between two events of an answer.
            allowed_s: Longest allowed gap, 0 for no limit.
            now: Time in seconds.
        """
        engine = placement.decode
        reading = self._in_flight.is_reading(engine.entry.id)
        if not reading:
            self.speeds.observe_gap(engine.entry, gap_s)
        if not allowed_s:
            return
        speed = self.speeds.decode_speed(engine.entry, now)
        self._token_gaps.observe(
            engine.entry.service,
            gap_s * speed / allowed_s,
            now,
            reading=reading,
        )
        if gap_s > TOKEN_GAP_RATIO * allowed_s:
            self._limiter(engine, now).decrease(now)

    def forget(self, upstream_id):
        """Drops the state of an engine, as after its restart."""
        self._limiters.pop(upstream_id, None)
        self.speeds.forget(upstream_id)
        self._transfers.forget(upstream_id)
        self._prefix_cache.forget(upstream_id)
