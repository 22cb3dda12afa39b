"""Places prompts on model engines by cached prefixes and by load.

Requests that share the beginning of their prompts are sent to one engine
(session affinity). If the rate limit of this affinity engine refuses a
prompt, another engine gets it that is not late and whose rate limit is not
reduced. Without such an engine the prompt goes to the affinity engine, in
the background.

Prompts prefilled between the tokens of an answer delay these tokens, so
engines that decode prefill a smaller share of the prompts than prefill
engines.
"""

import heapq
import itertools

import attrs

from dandelionwinch.dispatch import _engine_knowledge
from dandelionwinch.dispatch import _groups
from dandelionwinch.dispatch import _prompts
from dandelionwinch.dispatch import _rate_limiter
from dandelionwinch.dispatch import _token_gaps
from dandelionwinch import upstreams
from dandelionwinch import utils

# Costs in the choice of an engine that decodes: of a KV cache transfer from
# another data centre, of each active request, and of a failure rate of 1. The
# cost of an active request is also the range of the random tie-breaker.
FAR_KV_TRANSFER_COST_S = 0.03
ACTIVE_REQUEST_COST_S = 0.002
FAILURE_COST_S = 0.2
# Part of the round trip that counts in the choice for short prompts.
ROUND_TRIP_RATIO = 0.1
# Relative shares of the sessions: of a prefill engine, of an engine that
# decodes, and of a prefill engine without a decode engine in its data centre.
PREFILL_WEIGHT = 2.0
DECODE_WEIGHT = 0.65
FAR_PREFILL_WEIGHT = 0.5
# Engines considered for a prompt that its affinity engine refuses.
MAX_FALLBACK_ENGINES = 4
# Limit of the background prompts of all instances at an engine, as a multiple
# of its slots, and the factor by which it is higher for late prompts.
BACKGROUND_PER_SLOT = 2.2
LATE_BACKGROUND_RATIO = 1.3
# Part of its caller's patience for which a background prompt may wait; the
# urgent prompts take the rest of the engine's time.
BACKGROUND_PATIENCE_RATIO = 0.4
# Usual prompts in an instance's share of what may wait at an engine, below
# which the share is no limit for a single prompt.
MIN_SHARE_PROMPTS = 3.0
# Part of the objective in which an engine that decodes must be able to read a
# prompt; the rest is for waiting there and for the way.
DIRECT_READ_RATIO = 0.5
# Delay of an engine above which it gets no more background prompts.
MAX_BACKGROUND_DELAY_S = 0.25
# Part of an engine's slots that short prompts fill before they are sent to the
# next group of engines.
SHORT_PROMPT_SLOT_RATIO = 0.6
# Delay of the preferred decode engine from which the others in the data
# centre are considered as well.
MAX_PREFERRED_DELAY_S = 0.1


class EnginePlacer(_engine_knowledge.EngineKnowledge):
    """Chooses engines for prompts, by what is known of the engines."""

    __slots__ = ()

    def place(
        self,
        prompt,
        candidates,
        exclude,
        now,
        *,
        direct,
        late,
        objective_s,
        patience_s,
        standing=_prompts.NO_TEAM,
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
            patience_s: Time after which its caller leaves without a token.
            standing: Standing of its team.

        Returns:
            A Placement, or None if no engine has capacity for it.
        """
        untried = [e for e in candidates if e.entry.id not in exclude]
        # Engines that may be changing their role are the last resort.
        stable = [e for e in untried if e.role_change_until <= now]
        usable = upstreams.available(stable or untried, now)
        usable = upstreams.ramped(usable, now, self._rng)
        groups = self._admitted_groups(usable, now)
        if groups is None:
            return None

        def make_placement(chosen, priority_class):
            placement = self._make_placement(
                prompt, chosen, groups, priority_class, late, objective_s, now
            )
            return attrs.evolve(placement, urgency=standing.urgency)

        if prompt.short:
            chosen = self._choose_for_short(groups, now)
            return make_placement(chosen, _prompts.PriorityClass.ANSWER)
        allowed = groups.decode if direct else groups.prefill
        affinity_engines = self._affinity_engines(prompt, allowed, groups, now)
        if not late:
            fallback = self._fallback_engines(
                prompt, allowed, groups, objective_s, now
            )
            first = affinity_engines
            if not direct:
                first = self._with_direct_readers(
                    prompt, affinity_engines, groups, objective_s, now
                )
            others = (e for e in fallback if e not in first)
            for engine in itertools.chain(first, others):
                tokens = self._uncached_tokens(prompt, engine, now)
                if self._try_admit(
                    engine,
                    tokens,
                    groups,
                    objective_s,
                    now,
                    standing.overdraft_s,
                ):
                    return make_placement(
                        engine, _prompts.PriorityClass.URGENT
                    )
        for engine in affinity_engines:
            tokens = self._uncached_tokens(prompt, engine, now)
            wait_limit_s = BACKGROUND_PATIENCE_RATIO * patience_s
            wait_limit_s *= standing.background_ratio
            if self._has_background_capacity(
                engine, groups, tokens, wait_limit_s, late, now
            ):
                return make_placement(
                    engine, _prompts.PriorityClass.BACKGROUND
                )
        return None

    @staticmethod
    def _admitted_groups(usable, now):
        """Returns the EngineGroups of those that take a request, or None."""
        groups = _groups.group_engines(usable)
        return groups and _groups.admitted(groups, now)

    def _affinity_engines(self, prompt, allowed, groups, now):
        """Returns the engines for a prompt of a session, best first.

        A session has one engine: another one would prefill its blocks
        again and evict others for them. If the KV cache transfers of that
        engine are stalled, the decode-only engines follow, as they can
        prefill and decode without a transfer.
        """
        score = self._session_score(prompt, groups, now)
        engines = [max(allowed, key=score)]
        if self._is_stalled(engines[0], groups, now):
            others = [e for e in groups.decode_only if e not in engines]
            engines += sorted(others, key=score, reverse=True)
        return engines

    def _with_direct_readers(self, prompt, engines, groups, objective_s, now):
        """Returns engines with those that could read and decode a prompt.

        Decode-only engines hold the blocks that were handed over to them, so
        they may need to read little of a prompt. They come before or behind
        the others by the predicted time of the first token, if that leaves
        time to wait and the answers there can bear it.
        """
        limit_s = DIRECT_READ_RATIO * objective_s
        best, best_s = None, limit_s
        for engine in groups.decode_only:
            if engine in engines or not self._may_read(engine, now):
                continue
            predicted_s = self._predicted_s(prompt, engine, groups, now)
            if predicted_s < best_s:
                best, best_s = engine, predicted_s
        if best is None:
            return engines
        if best_s < self._predicted_s(prompt, engines[0], groups, now):
            return [best, *engines]
        return [*engines, best]

    def _may_read(self, engine, now):
        """Tells whether an engine may read beside its answers.

        An instance that does not know what the engine keeps places too few
        prompts to see what reading does to answers there.
        """
        if not self._prefix_cache.follows(engine.entry.id, now):
            return False
        return self._token_gaps.leave_room(engine.entry.service, now)

    def _predicted_s(self, prompt, engine, groups, now):
        """Returns the predicted time to the first token of a prompt."""
        tokens = self._uncached_tokens(prompt, engine, now)
        predicted_s = self._read_s(engine, tokens, now)
        predicted_s += self._delay_s(engine, now)
        if engine.entry.role is upstreams.Role.PREFILL:
            decoders = groups.preferred_decoders(engine)
            delay_s = min(self._delay_s(other, now) for other in decoders)
            # The decoder is near the engine in most cases.
            predicted_s += self._round_trip_s(engine) + delay_s
            predicted_s += self._model.handover_s(engine.entry.service)
        return predicted_s

    def _fallback_engines(self, prompt, allowed, groups, objective_s, now):
        """Yields engines for a prompt that its affinity engine refuses.

        These are engines that are not late and whose rate limit is not
        reduced, best first.
        """
        low_s = _rate_limiter.INCREASE_DELAY_RATIO * objective_s
        score = self._session_score(prompt, groups, now)
        for engine in heapq.nlargest(MAX_FALLBACK_ENGINES, allowed, key=score):
            is_unreduced = self._limiter(engine, now).is_unreduced()
            if is_unreduced and self._delay_s(engine, now) < low_s:
                yield engine

    def _try_admit(
        self, engine, tokens, groups, objective_s, now, overdraft_s
    ):
        """Spends a prompt's tokens at the rate limiter of an engine.

        The rate is decreased first if a prompt or a KV cache transfer of
        the engine is overdue.

        Returns:
            Whether the prompt is admitted.
        """
        limiter = self._limiter(engine, now)
        overdue_s = self._overdue.overdue_s(engine.entry.id, now)
        high_s = _rate_limiter.DECREASE_DELAY_RATIO * objective_s
        if overdue_s > high_s or self._is_stalled(engine, groups, now):
            limiter.decrease(now)
        return limiter.admit(tokens, now, overdraft_s)

    def _choose_for_short(self, groups, now):
        """Returns the engine for a short prompt and its answer.

        Engines that only decode are filled first, then the mixed ones.
        """

        def cost_s(engine):
            return self._short_cost_s(engine, now)

        for group in (groups.decode_only, groups.mixed):
            unfilled = [e for e in group if self._has_slot(e)]
            if unfilled:
                return min(unfilled, key=cost_s)
        return min(groups.decode, key=cost_s)

    def _has_slot(self, engine):
        slots = (
            SHORT_PROMPT_SLOT_RATIO * engine.entry.slots / self.capacity_ratio
        )
        return self._in_flight.decodes(engine.entry.id) < max(1.0, slots)

    def _late_gap_cost_s(self, engine, now):
        """Returns the cost of gaps that are predicted to be late.

        They count from where they leave no room for reading beside them; a
        gap of twice that length counts as a failure.
        """
        excess = self._gap_ratio(engine, now) / _token_gaps.MAX_GAP_RATIO - 1.0
        return FAILURE_COST_S * min(1.0, max(0.0, excess))

    def _short_cost_s(self, engine, now):
        return (
            ACTIVE_REQUEST_COST_S * engine.active
            + self._delay_s(engine, now)
            + self._round_trip_s(engine) * ROUND_TRIP_RATIO
            + self._late_gap_cost_s(engine, now)
            + FAILURE_COST_S * engine.failure_rate
            + self._rng.random() * ACTIVE_REQUEST_COST_S
        )

    def _has_background_capacity(
        self, engine, groups, tokens, wait_limit_s, late, now
    ):
        # A link carries KV caches one at a time, whatever their priority.
        if self._is_stalled(engine, groups, now):
            return False
        if self._delay_s(engine, now) > MAX_BACKGROUND_DELAY_S:
            return False
        engine_id = engine.entry.id
        waiting = self._in_flight.background(engine_id)
        # What all instances may let wait there, divided among them. Where a
        # share is only few usual prompts, each instance has one waiting.
        rate = self._prefill_rate(engine, now)
        share = wait_limit_s * rate / self.capacity_ratio
        if (
            not waiting
            and share < MIN_SHARE_PROMPTS * self._in_flight.mean_tokens
        ):
            return True
        if self._in_flight.background_tokens(engine_id) + tokens > share:
            return False
        limit = BACKGROUND_PER_SLOT * engine.entry.slots / self.capacity_ratio
        if late:
            limit *= LATE_BACKGROUND_RATIO
        return waiting < max(1.0, limit)

    @staticmethod
    def _weight(engine, groups):
        if engine.entry.role is not upstreams.Role.PREFILL:
            return DECODE_WEIGHT
        near = groups.has_local_decoder(engine)
        return PREFILL_WEIGHT if near else FAR_PREFILL_WEIGHT

    def _session_score(self, prompt, groups, now):
        """Returns a function that scores engines for a prompt's session.

        It is weighted rendezvous hashing by the last shared block, so the
        scores are equal at all instances. A prompt that shares no block
        gets a random engine.
        """
        key = (
            prompt.shared_blocks[-1][0]
            if prompt.shared_blocks
            else self._rng.random()
        )

        def score(engine):
            weight = self._weight(engine, groups)
            weight *= self.speeds.read_speed(engine.entry, now)
            return utils.rendezvous_score(weight, key, engine.entry.id)

        return score

    def _make_placement(
        self, prompt, chosen, groups, priority_class, late, objective_s, now
    ):
        tokens = self._uncached_tokens(prompt, chosen, now)
        expected_s = self._unhindered_s(chosen, tokens, now)
        terms = (
            f'{tokens} of {prompt.tokens} tokens not cached, '
            f'excess {chosen.excess_s * 1e3:.1f} ms, '
            f'rate {self._limiter(chosen, now).rate:.0f} tokens/s'
        )
        prefill, decode = None, chosen
        if chosen.entry.role is upstreams.Role.PREFILL:
            prefill = chosen
            decode = self._choose_decoder(chosen, groups, now)
            expected_s += _engine_knowledge.KV_TRANSFER_S + self._round_trip_s(
                decode
            )
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
        """Returns the engine to decode what another one has prefilled."""

        def cost_s(engine):
            return self._decoder_cost_s(engine, prefill, now)

        preferred = min(groups.preferred_decoders(prefill), key=cost_s)
        if self._delay_s(preferred, now) < MAX_PREFERRED_DELAY_S:
            return preferred
        # Not in another region: a link that carries KV caches ten times
        # as slowly would fill up and stay full.
        return min(groups.local_decoders(prefill) or [preferred], key=cost_s)

    def replace_decoder(self, placement, candidates, exclude, now):
        """Returns another engine to decode a prefilled prompt.

        Args:
            placement: The Placement whose decode engine is gone.
            candidates: Upstreams of all roles that accept requests.
            exclude: Ids of engines already tried.
            now: Time in seconds.

        Returns:
            An Upstream, or None if no other engine decodes.
        """
        untried = [e for e in candidates if e.entry.id not in exclude]
        groups = self._admitted_groups(upstreams.available(untried, now), now)
        if groups is None:
            return None
        return self._choose_decoder(placement.prefill, groups, now)

    def _decoder_cost_s(self, engine, prefill, now):
        near = engine.entry.data_centre == prefill.entry.data_centre
        return (
            self._round_trip_s(engine)
            + (0.0 if near else FAR_KV_TRANSFER_COST_S)
            + self._late_gap_cost_s(engine, now)
            + self._delay_s(engine, now)
            + ACTIVE_REQUEST_COST_S * engine.active
            + FAILURE_COST_S * engine.failure_rate
            + self._rng.random() * ACTIVE_REQUEST_COST_S
        )
