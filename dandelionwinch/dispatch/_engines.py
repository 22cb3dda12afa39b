"""Placement of prompts on model engines by cached parts and load.

Answers a mix that swings between long prompts and long answers: requests
that share the beginning of their prompts meet at one engine, and leave it
for the one that can start them first when it falls behind.
"""

import attrs

from dandelionwinch import upstreams
from dandelionwinch.upstreams import _beliefs
from dandelionwinch import utils

SHORT_PROMPT_TOKENS = 512
DECODE_SPEED = 200_000.0
PREFILL_SPEED = 400_000.0
SPEED_GAIN = 0.05
SPEED_LOSS = 0.005
LEAST_SAMPLE_TOKENS = 1000
LEAST_SPEED = 1000.0
HANDOVER_S = 0.004
SPILL_S = 0.03
CACHED_S = 8.0
MAX_CACHED = 20_000
RUNNING_S = 0.0005
FAILURE_S = 0.2
LOAD_FACTOR = 2.0


@attrs.frozen
class Prompt:
    """What a generation asks of an engine.

    Attributes:
        parts: Ids and sizes of the prompt's parts, in order.
    """

    tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def shared(self):
        """Returns the parts that other requests may have too."""
        return self.parts[:-1]


@attrs.frozen
class Placement:
    """Where a prompt is prefilled and where its answer is made.

    Attributes:
        prefill: Belief of the engine for the prompt, None for `decode`.
        fresh_tokens: Prompt tokens not believed to be cached.
        work_s: Time that the prompt alone should take, with distance.
        terms: The terms that decided, for the log.
    """

    prefill: object
    decode: object
    fresh_tokens: int
    work_s: float
    terms: str


class EnginePlacer:
    """Chooses engines for prompts; owns what is believed to be cached."""

    __slots__ = ('_cached', '_distances', '_rng', '_speeds')

    def __init__(self, distances, rng):
        self._distances = distances
        self._rng = rng
        self._cached = {}
        self._speeds = {}

    def place(self, prompt, beliefs, exclude, now, *, direct=False):
        """Chooses engines.

        Args:
            prompt: The Prompt.
            beliefs: Engines that take requests, of all roles.
            exclude: Ids of engines already tried.
            now: Time in seconds.
            direct: Whether the prompt must not be prefilled elsewhere.

        Returns:
            A Placement, or None if no engine can make the answer.
        """
        fresh = [b for b in beliefs if b.entry.id not in exclude]
        usable = _beliefs.available(fresh, now)
        decoders = [
            b for b in usable if b.entry.role is not upstreams.Role.PREFILL
        ]
        if not decoders:
            return None
        takers = usable
        if direct or prompt.tokens < SHORT_PROMPT_TOKENS:
            takers = decoders
        costs = {b.entry.id: self._cost_s(prompt, b, now) for b in takers}
        best = min(takers, key=lambda b: costs[b.entry.id])
        home = self._home(prompt, takers)
        chosen = best
        if home is not None:
            limit_s = costs[best.entry.id] + SPILL_S
            if costs[home.entry.id] <= limit_s:
                chosen = home
        return self._placement(prompt, chosen, best, decoders, costs, now)

    def _placement(self, prompt, chosen, best, decoders, costs, now):
        tokens = prompt.tokens - self._hit(prompt, chosen, now)
        work_s = self._round_trip_s(chosen) + tokens / self._speed(chosen)
        terms = (
            f'cost {costs[chosen.entry.id] * 1e3:.1f} ms, '
            f'best {costs[best.entry.id] * 1e3:.1f} ms, '
            f'{tokens} of {prompt.tokens} tokens not cached, '
            f'excess {chosen.excess_s * 1e3:.1f} ms'
        )
        if chosen.entry.role is not upstreams.Role.PREFILL:
            return Placement(None, chosen, tokens, work_s, terms)
        decode = min(decoders, key=lambda b: self._decode_cost_s(b, chosen))
        work_s += HANDOVER_S + self._round_trip_s(decode)
        return Placement(chosen, decode, tokens, work_s, terms)

    def _decode_cost_s(self, belief, prefill):
        near = belief.entry.data_centre == prefill.entry.data_centre
        return (
            self._round_trip_s(belief)
            + (0.0 if near else HANDOVER_S)
            + RUNNING_S * belief.active
            + FAILURE_S * belief.failures
            + self._rng.random() * RUNNING_S
        )

    def _home(self, prompt, takers):
        if prompt.tokens < SHORT_PROMPT_TOKENS or not prompt.shared:
            return None
        key = prompt.shared[-1][0]

        def score(belief):
            prefill = belief.entry.role is upstreams.Role.PREFILL
            weight = 2.0 if prefill else 1.0
            return utils.rendezvous_score(weight, key, belief.entry.id)

        return max(takers, key=score)

    def _cost_s(self, prompt, belief, now):
        speed = self._speed(belief)
        tokens = prompt.tokens - self._hit(prompt, belief, now)
        waiting_s = max(
            belief.prompt_tokens / speed * LOAD_FACTOR,
            self._excess_s(belief, now),
        )
        cost_s = self._round_trip_s(belief) + waiting_s + tokens / speed
        if belief.entry.role is upstreams.Role.PREFILL:
            cost_s += HANDOVER_S
        return (
            cost_s
            + RUNNING_S * belief.active
            + FAILURE_S * belief.failures
            + self._rng.random() * RUNNING_S
        )

    @staticmethod
    def _excess_s(belief, now):
        age_s = now - belief.observed_at
        keep = max(0.0, 1.0 - age_s / _beliefs.RETURN_S)
        return max(0.0, belief.excess_s) * keep

    def _round_trip_s(self, belief):
        return self._distances.round_trip_s(belief.entry.data_centre)

    def _speed(self, belief):
        entry = belief.entry
        found = self._speeds.get((entry.service, entry.role))
        if found is not None:
            return found
        if entry.role is upstreams.Role.PREFILL:
            return PREFILL_SPEED
        return DECODE_SPEED

    def _hit(self, prompt, belief, now):
        """Returns tokens of the prompt that an engine is believed to hold."""
        hit = 0
        for part_id, tokens in prompt.shared:
            held = self._cached.get(part_id)
            if held is None:
                break
            used_at = held.get(belief.entry.id)
            if used_at is None or now - used_at > CACHED_S:
                break
            hit += tokens
        return min(hit, prompt.tokens)

    def sent(self, prompt, belief, now):
        """Notes that an engine begins to read a prompt."""
        for part_id, _tokens in prompt.shared:
            held = self._cached.pop(part_id, None) or {}
            held[belief.entry.id] = now
            self._cached[part_id] = held
        while len(self._cached) > MAX_CACHED:
            del self._cached[next(iter(self._cached))]

    def started(self, belief, tokens, taken_s):
        """Learns the speed of a role from one prompt.

        Args:
            belief: The engine.
            tokens: Prompt tokens that it had to read.
            taken_s: Seconds until its first token, with distance.
        """
        taken_s -= self._round_trip_s(belief)
        if tokens < LEAST_SAMPLE_TOKENS or taken_s <= 0:
            return
        sample = tokens / taken_s
        speed = self._speed(belief)
        gain = SPEED_GAIN if sample > speed else SPEED_LOSS
        entry = belief.entry
        speed += gain * (min(sample, 4 * speed) - speed)
        self._speeds[(entry.service, entry.role)] = max(LEAST_SPEED, speed)

    def forget(self, upstream_id):
        """Drops what an engine held, as after its restart."""
        for held in self._cached.values():
            held.pop(upstream_id, None)
