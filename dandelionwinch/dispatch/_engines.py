"""Placement of prompts on model engines by cached parts and load.

Answers a mix that swings between long prompts and long answers: requests
that share the beginning of their prompts meet at one engine, and leave it
only for one that has been idle. Long prompts between the tokens of long
answers make pauses, so engines that make answers read a smaller share of
the prompts than those that only read.
"""

import heapq
import itertools

from dandelionwinch.dispatch import _cached
from dandelionwinch.dispatch import _layout
from dandelionwinch.dispatch import _overdue
from dandelionwinch.dispatch import _pace
from dandelionwinch.dispatch import _prompts
from dandelionwinch.dispatch import _running
from dandelionwinch.dispatch import _speeds
from dandelionwinch.dispatch import _transfers
from dandelionwinch import upstreams
from dandelionwinch import utils

# Costs of an engine for an answer, in seconds.
HANDOVER_S = 0.004
FAR_HANDOVER_S = 0.03
RUNNING_S = 0.002
FAILURE_S = 0.2
DISTANCE_SHARE = 0.1
# Relative shares of the sessions, by what an engine can read.
PREFILL_WEIGHT = 2.0
DECODE_WEIGHT = 0.65
ORPHAN_WEIGHT = 0.5
# Engines that are looked at for the sessions of a full one.
SPARE_ENGINES = 4
# Prompts that may wait at an engine, by its slots, for all instances.
BACKGROUND_PER_SLOT = 2.2
RETURNED_ROOM = 1.3
# Part of the allowed pause above which prompts are slowed down.
PAUSE_SHARE = 0.7
# Delay of an engine from which on it gets nothing more in the background.
BACKGROUND_DELAY_S = 0.25
ANSWER_SLOT_SHARE = 0.6
# Delay of the nearest engine for answers at which others are asked, too.
PARTNER_DELAY_S = 0.1


class EnginePlacer:
    """Chooses engines for prompts; owns what is believed to be cached."""

    __slots__ = (
        '_cached',
        '_distances',
        '_overdue',
        '_paces',
        '_rng',
        '_running',
        '_speeds',
        '_transfers',
        'instance_count',
    )

    def __init__(self, distances, rng):
        self._distances = distances
        self._rng = rng
        self._cached = _cached.CachedParts()
        self._overdue = _overdue.Overdue()
        self._transfers = _transfers.Transfers()
        self._speeds = _speeds.Speeds()
        self._running = _running.Running()
        self._paces = {}
        self.instance_count = 1.0

    def place(
        self, prompt, beliefs, exclude, now, *, direct, late, objective_s
    ):
        """Chooses engines and a lane.

        Args:
            prompt: The Prompt.
            beliefs: Engines that take requests, of all roles.
            exclude: Ids of engines already tried.
            now: Time in seconds.
            direct: Whether the prompt must not be prefilled elsewhere.
            late: Whether its latency objective cannot be met any more.
            objective_s: Latency objective of the first token.

        Returns:
            A Placement, or None if no engine has room for it.
        """
        fresh = [b for b in beliefs if b.entry.id not in exclude]
        settled = [b for b in fresh if b.role_change_until <= now]
        usable = upstreams.available(settled or fresh, now)
        layout = _layout.lay_out(usable)
        if layout is None:
            return None

        def placed(chosen, priority_class):
            return self._placement(
                prompt, chosen, layout, priority_class, late, objective_s, now
            )

        if prompt.short:
            chosen = self._answer_host(layout, now)
            return placed(chosen, _prompts.PriorityClass.ANSWER)
        takers = layout.decoders if direct else layout.readers
        homes = self._homes(prompt, takers, layout, now)
        if not late:
            spare = self._spare(prompt, takers, layout, objective_s, now)
            others = (b for b in spare if b not in homes)
            for belief in itertools.chain(homes, others):
                tokens = prompt.tokens - self._cached.hit(
                    prompt, belief.entry.id, now
                )
                if self._admits(belief, tokens, layout, objective_s, now):
                    return placed(belief, _prompts.PriorityClass.URGENT)
        for belief in homes:
            if self._has_background_room(belief, layout, late, now):
                return placed(belief, _prompts.PriorityClass.BACKGROUND)
        return None

    def _homes(self, prompt, takers, layout, now):
        """Returns the engines that may read a prompt, the first one first.

        A session has one engine: at another one its parts would be read
        again and push out others. Where KV caches do not get through,
        engines that only make answers read, too, as they need none.
        """
        rank = self._rank(prompt, layout)
        homes = [max(takers, key=rank)]
        if self._is_stuck(homes[0], layout, now):
            others = [b for b in layout.reserved if b not in homes]
            homes += sorted(others, key=rank, reverse=True)
        return homes

    def _spare(self, prompt, takers, layout, objective_s, now):
        """Yields engines that have been idle, for sessions of full ones."""
        low_s = _pace.LOW_SHARE * objective_s
        rank = self._rank(prompt, layout)
        for belief in heapq.nlargest(SPARE_ENGINES, takers, key=rank):
            untouched = self._pace(belief, now).is_untouched()
            if untouched and self._delay_s(belief, now) < low_s:
                yield belief

    def _is_stuck(self, reader, layout, now):
        near = layout.has_partner(reader)
        return self._transfers.is_stuck(reader, near, now)

    def _admits(self, belief, tokens, layout, objective_s, now):
        pace = self._pace(belief, now)
        overdue_s = self._overdue.overdue_s(belief.entry.id, now)
        high_s = _pace.HIGH_SHARE * objective_s
        if overdue_s > high_s or self._is_stuck(belief, layout, now):
            pace.slow_down(now)
        return pace.admit(tokens, now)

    def _answer_host(self, layout, now):
        """Returns the engine for an answer to a short prompt."""

        def cost_s(belief):
            return self._answer_cost_s(belief, now)

        for group in (layout.reserved, layout.mixed):
            room = [b for b in group if self._has_slot(b)]
            if room:
                return min(room, key=cost_s)
        return min(layout.decoders, key=cost_s)

    def peak_decodes(self, now):
        """Returns the recent peak of answers that all instances make."""
        return self._running.peak_of_answers(now) * self.instance_count

    def _has_slot(self, belief):
        slots = ANSWER_SLOT_SHARE * belief.entry.slots / self.instance_count
        return self._running.answers(belief.entry.id) < max(1.0, slots)

    def _answer_cost_s(self, belief, now):
        return (
            RUNNING_S * belief.active
            + self._delay_s(belief, now)
            + self._round_trip_s(belief) * DISTANCE_SHARE
            + FAILURE_S * belief.failures
            + self._rng.random() * RUNNING_S
        )

    def _has_background_room(self, belief, layout, late, now):
        # A link carries KV caches one by one, whatever their urgency.
        if self._is_stuck(belief, layout, now):
            return False
        if self._delay_s(belief, now) > BACKGROUND_DELAY_S:
            return False
        room = BACKGROUND_PER_SLOT * belief.entry.slots / self.instance_count
        if late:
            room *= RETURNED_ROOM
        return self._running.background(belief.entry.id) < max(1.0, room)

    @staticmethod
    def _weight(belief, layout):
        if belief.entry.role is not upstreams.Role.PREFILL:
            return DECODE_WEIGHT
        near = layout.has_partner(belief)
        return PREFILL_WEIGHT if near else ORPHAN_WEIGHT

    def _rank(self, prompt, layout):
        """Returns the function that ranks engines for a prompt's session."""
        key = (
            prompt.shared_blocks[-1][0]
            if prompt.shared_blocks
            else self._rng.random()
        )

        def score(belief):
            weight = self._weight(belief, layout)
            return utils.rendezvous_score(weight, key, belief.entry.id)

        return score

    def _pace(self, belief, now):
        pace = self._paces.get(belief.entry.id)
        if pace is None:
            pace = _pace.RateLimiter(
                self._speed(belief), self.instance_count, now
            )
            self._paces[belief.entry.id] = pace
        return pace

    def _placement(
        self, prompt, chosen, layout, priority_class, late, objective_s, now
    ):
        tokens = prompt.tokens - self._cached.hit(prompt, chosen.entry.id, now)
        work_s = self._round_trip_s(chosen) + tokens / self._speed(chosen)
        terms = (
            f'{tokens} of {prompt.tokens} tokens not cached, '
            f'excess {chosen.excess_s * 1e3:.1f} ms, '
            f'rate {self._pace(chosen, now).rate:.0f} tokens/s'
        )
        prefill, decode = None, chosen
        if chosen.entry.role is upstreams.Role.PREFILL:
            prefill = chosen
            decode = self._partner(chosen, layout, now)
            work_s += HANDOVER_S + self._round_trip_s(decode)
        return _prompts.Placement(
            prefill,
            decode,
            priority_class,
            late,
            objective_s,
            tokens,
            work_s,
            terms,
        )

    def _partner(self, reader, layout, now):
        """Returns the engine for the answer to a prompt read elsewhere."""

        def cost_s(belief):
            return self._decode_cost_s(belief, reader, now)

        first = min(layout.partners(reader), key=cost_s)
        if self._delay_s(first, now) < PARTNER_DELAY_S:
            return first
        # Never in another region: a link that carries KV caches ten times
        # as slowly would be full and stay so.
        return min(layout.neighbours(reader) or [first], key=cost_s)

    def _delay_s(self, belief, now):
        """Returns how far an engine is behind, as far as it is seen."""
        overdue_s = self._overdue.overdue_s(belief.entry.id, now)
        return max(overdue_s, belief.late_by_s(now))

    def replace_decoder(self, placement, beliefs, now):
        """Returns another engine for the answer of a prefilled prompt.

        Args:
            placement: The Placement whose engine does not serve any more.
            beliefs: Engines that take requests, of all roles.
            now: Time in seconds.

        Returns:
            A Belief, or None if no engine makes answers.
        """
        layout = _layout.lay_out(beliefs)
        if layout is None:
            return None
        return self._partner(placement.prefill, layout, now)

    def _decode_cost_s(self, belief, prefill, now):
        near = belief.entry.data_centre == prefill.entry.data_centre
        return (
            self._round_trip_s(belief)
            + (0.0 if near else FAR_HANDOVER_S)
            + self._delay_s(belief, now)
            + RUNNING_S * belief.active
            + FAILURE_S * belief.failures
            + self._rng.random() * RUNNING_S
        )

    def _round_trip_s(self, belief):
        return self._distances.round_trip_s(belief.entry.data_centre)

    def _speed(self, belief):
        return self._speeds.of(belief.entry)

    def sent(self, prompt, placement, now):
        """Notes that an engine gets a prompt."""
        upstream_id = placement.prefill_engine.entry.id
        self._cached.sent(prompt, upstream_id, now)
        if placement.priority_class is _prompts.PriorityClass.URGENT:
            due_at = now + placement.work_s
            self._overdue.sent(upstream_id, placement, due_at)
        self._running.sent(placement, now)

    def handed_over(self, placement, now):
        """Notes that an engine gets a prompt that another one has read."""
        decode = placement.decode
        due_at = now + HANDOVER_S + self._round_trip_s(decode)
        self._overdue.sent(decode.entry.id, placement, due_at)
        self._transfers.sent(placement, due_at)

    def handle_refused(self, placement, now):
        """Notes that an engine could not go on with a prefilled prompt."""
        placement.prefill.failed(now)
        self._answered(placement)

    def _answered(self, placement):
        """Notes the first sign of an answer, or that none will come."""
        self._overdue.done(placement.decode.entry.id, placement)
        self._transfers.done(placement)

    def ended(self, placement):
        """Notes that an engine no longer has a prompt."""
        self._overdue.done(placement.prefill_engine.entry.id, placement)
        self._answered(placement)
        self._running.ended(placement)

    def prefilled(self, placement, taken_s, now):
        """Learns from a prompt that an engine has read for another.

        Args:
            placement: Where it was placed.
            taken_s: Seconds until its handle came, with distance.
            now: Time in seconds.
        """
        reader = placement.prefill
        self._overdue.done(reader.entry.id, placement)
        tokens = placement.uncached_tokens
        work_s = self._round_trip_s(reader) + tokens / self._speed(reader)
        self._learn(reader, placement, taken_s, work_s, now)

    def started(self, placement, taken_s, now):
        """Learns from the first token of an answer.

        Args:
            placement: Where it was placed.
            taken_s: Seconds until it came from the engine that makes it.
            now: Time in seconds.
        """
        decode = placement.decode
        self._answered(placement)
        if placement.prefill is not None:
            work_s = HANDOVER_S + self._round_trip_s(decode)
            excess_s = taken_s - work_s
            decode.succeeded(excess_s, now)
            self._learn_transfer(placement, excess_s, now)
            return
        self._learn(decode, placement, taken_s, placement.work_s, now)

    def _learn_transfer(self, placement, excess_s, now):
        """Slows an engine down whose KV caches go too far to follow."""
        reader = placement.prefill
        far = reader.entry.data_centre != placement.decode.entry.data_centre
        if far and excess_s > _transfers.FAR_DELAY_S:
            self._pace(reader, now).slow_down(now)

    def _learn(self, reader, placement, taken_s, work_s, now):
        if placement.priority_class is _prompts.PriorityClass.BACKGROUND:
            reader.succeeded(reader.excess_s, now)
            return
        excess_s = taken_s - work_s
        reader.succeeded(excess_s, now)
        if placement.priority_class is _prompts.PriorityClass.ANSWER:
            return
        self._speeds.learn(
            reader.entry,
            placement.uncached_tokens,
            taken_s - self._round_trip_s(reader),
        )
        stuck_s = self._transfers.overdue_s(reader, now)
        self._pace(reader, now).observe(
            max(excess_s, stuck_s),
            placement.objective_s,
            self._speed(reader),
            self.instance_count,
            now,
        )

    def token_gap(self, placement, gap_s, allowed_s, now):
        """Learns from the pause between two events of an answer."""
        if allowed_s and gap_s > PAUSE_SHARE * allowed_s:
            belief = placement.decode
            self._pace(belief, now).slow_down(now)

    def forget(self, upstream_id):
        """Drops what an engine held, as after its restart."""
        self._paces.pop(upstream_id, None)
        self._transfers.forget(upstream_id)
        self._cached.forget(upstream_id)
