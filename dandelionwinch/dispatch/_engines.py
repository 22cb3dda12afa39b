"""Places prompts on model engines by cached prefixes and by load.

Requests that share the beginning of their prompts are sent to one engine
(session affinity), and to another one only if that has been idle. Prompts
prefilled between the tokens of long answers delay these tokens, so engines
that decode prefill a smaller share of the prompts than prefill engines.
"""

import heapq
import itertools

from dandelionwinch.dispatch import _groups
from dandelionwinch.dispatch import _in_flight
from dandelionwinch.dispatch import _overdue
from dandelionwinch.dispatch import _prefill_rates
from dandelionwinch.dispatch import _prefix_cache
from dandelionwinch.dispatch import _prompts
from dandelionwinch.dispatch import _rate_limiter
from dandelionwinch.dispatch import _transfers
from dandelionwinch import upstreams
from dandelionwinch import utils

# Costs of decoding at an engine, in seconds. That of an active request is
# the range of the random tie-breaker, too.
KV_TRANSFER_S = 0.004
FAR_KV_TRANSFER_COST_S = 0.03
ACTIVE_REQUEST_S = 0.002
FAILURE_S = 0.2
# Part of the round trip that counts for short prompts.
ROUND_TRIP_RATIO = 0.1
# Relative shares of the sessions, by how much an engine can prefill. An
# unpaired prefill engine has no decode engine in its data centre.
PREFILL_WEIGHT = 2.0
DECODE_WEIGHT = 0.65
UNPAIRED_WEIGHT = 0.5
# Engines considered for the sessions of a full one.
MAX_FALLBACK_ENGINES = 4
# Background prompts of all instances at an engine, by slot of the engine.
BACKGROUND_PER_SLOT = 2.2
LATE_BACKGROUND_RATIO = 1.3
# Part of the allowed token gap above which prompts are slowed down.
TOKEN_GAP_RATIO = 0.7
# Delay of an engine above which it gets no more background prompts.
MAX_BACKGROUND_DELAY_S = 0.25
DECODE_SLOT_RATIO = 0.6
# Delay of the preferred decode engine from which the others in the data
# centre are considered as well.
MAX_PREFERRED_DELAY_S = 0.1


class EnginePlacer:
    """Chooses engines for prompts and adapts to their responses.

    Attributes:
        capacity_ratio: Capacity of all instances that share the engines
            over this instance's capacity.
    """

    __slots__ = (
        '_distances',
        '_in_flight',
        '_limiters',
        '_overdue',
        '_prefill_rates',
        '_prefix_cache',
        '_rng',
        '_transfers',
        'capacity_ratio',
    )

    def __init__(self, distances, rng):
        self._distances = distances
        self._rng = rng
        self._prefix_cache = _prefix_cache.PrefixCache()
        self._overdue = _overdue.OverdueTracker()
        self._transfers = _transfers.Transfers()
        self._prefill_rates = _prefill_rates.PrefillRates()
        self._in_flight = _in_flight.InFlight()
        self._limiters = {}
        self.capacity_ratio = 1.0

    def place(
        self, prompt, candidates, exclude, now, *, direct, late, objective_s
    ):
        """Chooses the engines and the priority class of a prompt.

        Args:
            prompt: The Prompt.
            candidates: Upstreams of all roles that accept requests.
            exclude: Ids of engines already tried.
            now: Time in seconds.
            direct: Whether one engine must prefill and decode.
            late: Whether its latency objective can no longer be met.
            objective_s: Latency objective of the first token.

        Returns:
            A Placement, or None if no engine has capacity for it.
        """
        untried = [e for e in candidates if e.entry.id not in exclude]
        unchanging = [e for e in untried if e.role_change_until <= now]
        usable = upstreams.available(unchanging or untried, now)
        groups = _groups.group_engines(usable)
        if groups is None:
            return None

        def placed(chosen, priority_class):
            return self._placement(
                prompt, chosen, groups, priority_class, late, objective_s, now
            )

        if prompt.short:
            chosen = self._choose_for_short(groups, now)
            return placed(chosen, _prompts.PriorityClass.ANSWER)
        allowed = groups.decode if direct else groups.prefill
        affine = self._affine(prompt, allowed, groups, now)
        if not late:
            idle = self._idle(prompt, allowed, groups, objective_s, now)
            others = (e for e in idle if e not in affine)
            for engine in itertools.chain(affine, others):
                tokens = prompt.tokens - self._prefix_cache.hit_tokens(
                    prompt, engine.entry.id, now
                )
                if self._admits(engine, tokens, groups, objective_s, now):
                    return placed(engine, _prompts.PriorityClass.URGENT)
        for engine in affine:
            if self._has_background_capacity(engine, groups, late, now):
                return placed(engine, _prompts.PriorityClass.BACKGROUND)
        return None

    def _affine(self, prompt, allowed, groups, now):
        """Returns the engines that may prefill a prompt, in this order.

        A session has one engine: another one would prefill its blocks
        again and evict others for them. If the KV cache transfers of that
        engine are stalled, the decode-only engines follow, as they can
        prefill and decode without a transfer.
        """
        rank = self._rank(prompt, groups)
        engines = [max(allowed, key=rank)]
        if self._is_stalled(engines[0], groups, now):
            others = [e for e in groups.decode_only if e not in engines]
            engines += sorted(others, key=rank, reverse=True)
        return engines

    def _idle(self, prompt, allowed, groups, objective_s, now):
        """Yields engines that have been idle, for sessions of full ones."""
        low_s = _rate_limiter.INCREASE_DELAY_RATIO * objective_s
        rank = self._rank(prompt, groups)
        for engine in heapq.nlargest(MAX_FALLBACK_ENGINES, allowed, key=rank):
            unreduced = self._limiter(engine, now).is_unreduced()
            if unreduced and self._delay_s(engine, now) < low_s:
                yield engine

    def _is_stalled(self, engine, groups, now):
        near = groups.has_local_decoder(engine)
        return self._transfers.is_stalled(engine, near, now)

    def _admits(self, engine, tokens, groups, objective_s, now):
        limiter = self._limiter(engine, now)
        overdue_s = self._overdue.overdue_s(engine.entry.id, now)
        high_s = _rate_limiter.DECREASE_DELAY_RATIO * objective_s
        if overdue_s > high_s or self._is_stalled(engine, groups, now):
            limiter.decrease(now)
        return limiter.admit(tokens, now)

    def _choose_for_short(self, groups, now):
        """Returns the engine for a short prompt and its answer."""

        def cost_s(engine):
            return self._short_cost_s(engine, now)

        for group in (groups.decode_only, groups.mixed):
            unfilled = [e for e in group if self._has_slot(e)]
            if unfilled:
                return min(unfilled, key=cost_s)
        return min(groups.decode, key=cost_s)

    def peak_decodes(self, now):
        """Returns the recent peak of decodes, estimated for all instances."""
        return self._in_flight.peak_decodes(now) * self.capacity_ratio

    def _has_slot(self, engine):
        slots = DECODE_SLOT_RATIO * engine.entry.slots / self.capacity_ratio
        return self._in_flight.decodes(engine.entry.id) < max(1.0, slots)

    def _short_cost_s(self, engine, now):
        return (
            ACTIVE_REQUEST_S * engine.active
            + self._delay_s(engine, now)
            + self._round_trip_s(engine) * ROUND_TRIP_RATIO
            + FAILURE_S * engine.failure_rate
            + self._rng.random() * ACTIVE_REQUEST_S
        )

    def _has_background_capacity(self, engine, groups, late, now):
        # A link carries KV caches one at a time, whatever their priority.
        if self._is_stalled(engine, groups, now):
            return False
        if self._delay_s(engine, now) > MAX_BACKGROUND_DELAY_S:
            return False
        limit = BACKGROUND_PER_SLOT * engine.entry.slots / self.capacity_ratio
        if late:
            limit *= LATE_BACKGROUND_RATIO
        return self._in_flight.background(engine.entry.id) < max(1.0, limit)

    @staticmethod
    def _weight(engine, groups):
        if engine.entry.role is not upstreams.Role.PREFILL:
            return DECODE_WEIGHT
        near = groups.has_local_decoder(engine)
        return PREFILL_WEIGHT if near else UNPAIRED_WEIGHT

    def _rank(self, prompt, groups):
        """Returns the function that ranks engines for a prompt's session.

        It is rendezvous hashing by the last shared block, so all instances
        rank alike.
        """
        key = (
            prompt.shared_blocks[-1][0]
            if prompt.shared_blocks
            else self._rng.random()
        )

        def score(engine):
            weight = self._weight(engine, groups)
            return utils.rendezvous_score(weight, key, engine.entry.id)

        return score

    def _limiter(self, engine, now):
        limiter = self._limiters.get(engine.entry.id)
        if limiter is None:
            limiter = _rate_limiter.RateLimiter(
                self._prefill_rate(engine), self.capacity_ratio, now
            )
            self._limiters[engine.entry.id] = limiter
        return limiter

    def _placement(
        self, prompt, chosen, groups, priority_class, late, objective_s, now
    ):
        tokens = prompt.tokens - self._prefix_cache.hit_tokens(
            prompt, chosen.entry.id, now
        )
        expected_s = self._round_trip_s(chosen) + tokens / self._prefill_rate(
            chosen
        )
        terms = (
            f'{tokens} of {prompt.tokens} tokens not cached, '
            f'excess {chosen.excess_s * 1e3:.1f} ms, '
            f'rate {self._limiter(chosen, now).rate:.0f} tokens/s'
        )
        prefill, decode = None, chosen
        if chosen.entry.role is upstreams.Role.PREFILL:
            prefill = chosen
            decode = self._choose_decoder(chosen, groups, now)
            expected_s += KV_TRANSFER_S + self._round_trip_s(decode)
        return _prompts.Placement(
            prefill,
            decode,
            priority_class,
            late,
            objective_s,
            tokens,
            expected_s,
            terms,
        )

    def _choose_decoder(self, prefill, groups, now):
        """Returns the engine to decode what another one prefills."""

        def cost_s(engine):
            return self._handover_cost_s(engine, prefill, now)

        first = min(groups.preferred_decoders(prefill), key=cost_s)
        if self._delay_s(first, now) < MAX_PREFERRED_DELAY_S:
            return first
        # Not in another region: a link that carries KV caches ten times
        # as slowly would fill up and stay full.
        return min(groups.local_decoders(prefill) or [first], key=cost_s)

    def _delay_s(self, engine, now):
        """Returns the delay of an engine, by late and overdue responses."""
        overdue_s = self._overdue.overdue_s(engine.entry.id, now)
        return max(overdue_s, engine.recent_excess_s(now))

    def replace_decoder(self, placement, candidates, now):
        """Returns another engine to decode a prefilled prompt.

        Args:
            placement: The Placement whose decode engine is gone.
            candidates: Upstreams of all roles that accept requests.
            now: Time in seconds.

        Returns:
            An Upstream, or None if no engine decodes.
        """
        groups = _groups.group_engines(candidates)
        if groups is None:
            return None
        return self._choose_decoder(placement.prefill, groups, now)

    def _handover_cost_s(self, engine, prefill, now):
        near = engine.entry.data_centre == prefill.entry.data_centre
        return (
            self._round_trip_s(engine)
            + (0.0 if near else FAR_KV_TRANSFER_COST_S)
            + self._delay_s(engine, now)
            + ACTIVE_REQUEST_S * engine.active
            + FAILURE_S * engine.failure_rate
            + self._rng.random() * ACTIVE_REQUEST_S
        )

    def _round_trip_s(self, engine):
        return self._distances.round_trip_s(engine.entry.data_centre)

    def _prefill_rate(self, engine):
        return self._prefill_rates.get(engine.entry)

    def record_sent(self, prompt, placement, now):
        """Records that a prompt is sent to its first engine."""
        upstream_id = placement.prefill_engine.entry.id
        self._prefix_cache.sent(prompt, upstream_id, now)
        if placement.priority_class is _prompts.PriorityClass.URGENT:
            due_at = now + placement.expected_s
            self._overdue.sent(upstream_id, placement, due_at)
        self._in_flight.sent(placement, now)

    def record_transfer(self, placement, now):
        """Records that a prefilled prompt is sent to its decode engine."""
        decode = placement.decode
        due_at = now + KV_TRANSFER_S + self._round_trip_s(decode)
        self._overdue.sent(decode.entry.id, placement, due_at)
        self._transfers.sent(placement, due_at)

    def record_kv_handle_refused(self, placement, now):
        """Records that a decode engine refused the handle of a prefill."""
        placement.prefill.record_failure(now)
        self._decode_responded(placement)

    def _decode_responded(self, placement):
        """Records the first token of an answer, or that none will come."""
        self._overdue.done(placement.decode.entry.id, placement)
        self._transfers.done(placement)

    def record_end(self, placement):
        """Records that a request has ended at its engines."""
        self._overdue.done(placement.prefill_engine.entry.id, placement)
        self._decode_responded(placement)
        self._in_flight.ended(placement)

    def record_prefill(self, placement, taken_s, now):
        """Records a prefill whose answer another engine decodes.

        Args:
            placement: Where the prompt was placed.
            taken_s: Seconds until the handle arrived, with the round trip.
            now: Time in seconds.
        """
        engine = placement.prefill
        self._overdue.done(engine.entry.id, placement)
        tokens = placement.uncached_tokens
        expected_s = self._round_trip_s(engine) + tokens / self._prefill_rate(
            engine
        )
        self._observe(engine, placement, taken_s, expected_s, now)

    def record_first_token(self, placement, taken_s, now):
        """Records the first token of an answer and its delay.

        Args:
            placement: Where the prompt was placed.
            taken_s: Seconds until it arrived from the decode engine.
            now: Time in seconds.
        """
        decode = placement.decode
        self._decode_responded(placement)
        if placement.prefill is not None:
            expected_s = KV_TRANSFER_S + self._round_trip_s(decode)
            excess_s = taken_s - expected_s
            decode.record_success(excess_s, now)
            self._observe_transfer(placement, excess_s, now)
            return
        self._observe(decode, placement, taken_s, placement.expected_s, now)

    def _observe_transfer(self, placement, excess_s, now):
        """Slows down a prefill engine whose far KV transfers are late."""
        prefill = placement.prefill
        far = prefill.entry.data_centre != placement.decode.entry.data_centre
        if far and excess_s > _transfers.FAR_DELAY_S:
            self._limiter(prefill, now).decrease(now)

    def _observe(self, engine, placement, taken_s, expected_s, now):
        """Updates health, prefill rate and rate limit of an engine.

        Only prompts of the class URGENT update the rates.
        """
        if placement.priority_class is _prompts.PriorityClass.BACKGROUND:
            engine.record_success(engine.excess_s, now)
            return
        excess_s = taken_s - expected_s
        engine.record_success(excess_s, now)
        if placement.priority_class is _prompts.PriorityClass.ANSWER:
            return
        self._prefill_rates.observe(
            engine.entry,
            placement.uncached_tokens,
            taken_s - self._round_trip_s(engine),
        )
        overdue_s = self._transfers.overdue_s(engine, now)
        self._limiter(engine, now).observe(
            max(excess_s, overdue_s),
            placement.objective_s,
            self._prefill_rate(engine),
            self.capacity_ratio,
            now,
        )

    def record_token_gap(self, placement, gap_s, allowed_s, now):
        """Slows down the prompts of an engine after a long token gap.

        Args:
            placement: Where the prompt was placed.
            gap_s: Time between two events of an answer.
            allowed_s: Longest allowed time, 0 for no limit.
            now: Time in seconds.
        """
        if allowed_s and gap_s > TOKEN_GAP_RATIO * allowed_s:
            engine = placement.decode
            self._limiter(engine, now).decrease(now)

    def forget(self, upstream_id):
        """Drops the state of an engine, as after its restart."""
        self._limiters.pop(upstream_id, None)
        self._transfers.forget(upstream_id)
        self._prefix_cache.forget(upstream_id)
