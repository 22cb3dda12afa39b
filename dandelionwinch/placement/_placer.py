"""Chooses the runners of a job from beliefs about their load."""

import attrs

from dandelionwinch.placement import _filling
from dandelionwinch.placement import _prefixes
from dandelionwinch import settings

MAX_CANDIDATES = 16
HANDOVER_S = 0.005
LEAST_SPEED_SHARE = 0.05
RATE_SPAN_S = 10.0


@attrs.frozen
class Demand:
    """What a job asks for.

    Attributes:
        place: Place of the clerk.
        prefix: Hash of the prompt's beginning.
        prefix_tokens: Tokens that a cache could spare at most.
        patience_s: Longest useful wait for the first token.
        gap_s: Longest allowed time between tokens.
    """

    place: str
    prompt_tokens: int
    output_tokens: int
    prefix: int
    prefix_tokens: int
    patience_s: float
    gap_s: float
    exclude: frozenset = frozenset()


@attrs.frozen
class Site:
    """The runners of one pool, and how far away they are.

    Attributes:
        runners: Names of the pool's runners.
        extra_s: Seconds that its distance adds, with the link's price.
    """

    name: str
    runners: tuple[str, ...]
    extra_s: float


@attrs.frozen
class Choice:
    """Where a job runs.

    Attributes:
        prefill: Runner that takes the prompt.
        decode: Runner that makes the answer; may be the same.
        first_token_s: Expected wait for the first token.
        hit_tokens: Prompt tokens expected in the runner's cache.
        terms: The terms that were weighed, for operators.
    """

    prefill: str
    decode: str
    first_token_s: float
    hit_tokens: float
    terms: str


@attrs.frozen
class Refusal:
    """No runner can start the job in time.

    Attributes:
        retry_after_s: When to come back.
    """

    reason: str
    retry_after_s: float


@attrs.frozen
class _Option:
    belief: object
    wait_s: float
    own_s: float
    speed: float
    hit: float
    extra_s: float

    @property
    def total_s(self):
        return self.wait_s + self.own_s + self.extra_s


class Placer:
    """Decides for one instance; many decide at once on old reports."""

    __slots__ = (
        '_beliefs',
        '_instances',
        '_rate_at',
        '_rate_tokens',
        '_rng',
        'prefixes',
    )

    def __init__(self, beliefs, rng):
        self._beliefs = beliefs
        self._rng = rng
        self._instances = 1
        self._rate_tokens = 0.0
        self._rate_at = None
        self.prefixes = _prefixes.Prefixes()

    def set_instances(self, count):
        """Notes how many instances place on the same runners."""
        self._instances = max(1, count)

    def place(self, demand, sites, now):
        """Chooses the runners of a job.

        The nearest site is asked first; another one only if the nearest
        cannot start the job within its patience, or is far more loaded.

        Args:
            demand: What the job asks for.
            sites: Candidate Site, nearest first.
            now: Time in seconds.

        Returns:
            Choice or Refusal.
        """
        hits = self.prefixes.lookup(demand.prefix, now)
        best = None
        for site in sites:
            option = self._best_of(site, demand, hits, now)
            if option is None:
                continue
            if best is None or option.total_s < best.total_s:
                best = option
            if best.total_s <= demand.patience_s / 2:
                break
        if best is None:
            return Refusal('no runner takes this work at present', 1.0)
        if best.total_s > demand.patience_s:
            return Refusal(
                f'the first token would take {best.total_s:.2f} s',
                round(max(0.1, best.total_s - demand.patience_s), 2),
            )
        return self._commit(best, demand, now, sites)

    def _best_of(self, site, demand, hits, now):
        usable = self._usable(site, demand, now)
        decoders = [b for b in usable if self._has_room(b, demand)]
        if not decoders:
            return None
        options = [
            self._option(belief, demand, hits, site, now)
            for belief in usable
            if belief.role is settings.Role.PREFILL or belief in decoders
        ]
        options = [option for option in options if option is not None]
        if not options:
            return None
        return self._draw(options, now)

    def _usable(self, site, demand, now):
        names = site.runners
        if len(names) > MAX_CANDIDATES:
            names = self._rng.sample(names, MAX_CANDIDATES)
        beliefs = (self._beliefs.get(name) for name in names)
        return [
            belief
            for belief in beliefs
            if belief is not None
            and belief.name not in demand.exclude
            and belief.usable(now)
        ]

    @staticmethod
    def _has_room(belief, demand):
        if belief.role is settings.Role.PREFILL:
            return False
        tokens = demand.prompt_tokens + demand.output_tokens
        return (
            belief.decoding() < belief.slots(demand.gap_s)
            and belief.kv_used() + tokens <= belief.kv_capacity
        )

    @staticmethod
    def _option(belief, demand, hits, site, now):
        speed = belief.prefill_speed(demand.gap_s)
        if speed < LEAST_SPEED_SHARE * belief.prefill_rate:
            return None
        hit = min(hits.get(belief.name, 0.0), demand.prefix_tokens)
        wait_s = belief.backlog(now, speed) / speed
        own_s = (demand.prompt_tokens - hit) / speed
        return _Option(belief, wait_s, own_s, speed, hit, site.extra_s)

    def _draw(self, options, now):
        picture_age_s = self._picture_age(options, now)
        others = (self._instances - 1) / self._instances
        arrivals = self._rate(now) * self._instances * others
        index = _filling.choose_filling(
            [option.wait_s + option.own_s for option in options],
            [option.speed for option in options],
            arrivals * picture_age_s,
            self._rng,
        )
        drawn = options[index]
        cached = [option for option in options if option.hit > 0]
        if cached:
            nearest = min(cached, key=lambda option: option.total_s)
            if nearest.total_s <= drawn.total_s:
                return nearest
        return drawn

    @staticmethod
    def _picture_age(options, now):
        ages = [
            now - option.belief.report.made_at
            for option in options
            if option.belief.report is not None
        ]
        return sum(ages) / len(ages) if ages else 1.0

    def _rate(self, now):
        if self._rate_at is None:
            return 0.0
        kept = max(0.0, 1 - (now - self._rate_at) / RATE_SPAN_S)
        return self._rate_tokens * kept / RATE_SPAN_S

    def _count(self, tokens, now):
        if self._rate_at is None:
            self._rate_at = now
        kept = max(0.0, 1 - (now - self._rate_at) / RATE_SPAN_S)
        self._rate_tokens = self._rate_tokens * kept + tokens
        self._rate_at = now

    def _commit(self, option, demand, now, sites):
        belief = option.belief
        stays = belief.role is not settings.Role.PREFILL
        tokens = demand.prompt_tokens - option.hit
        kv_tokens = demand.prompt_tokens + demand.output_tokens
        self._beliefs.sent(
            belief.name, now, tokens, kv_tokens if stays else 0.0, stays
        )
        self._count(tokens, now)
        self.prefixes.learn(
            demand.prefix, belief.name, demand.prefix_tokens, now
        )
        decode = belief.name
        first_s = option.total_s
        if not stays:
            site = next(s for s in sites if belief.name in s.runners)
            decode = self.choose_decode(demand, site, now) or ''
            first_s += HANDOVER_S
        terms = (
            f'wait {option.wait_s:.3f} s, prefill {option.own_s:.3f} s, '
            f'distance {option.extra_s:.3f} s, cached {option.hit:.0f} of '
            f'{demand.prompt_tokens} tokens, role {belief.role}, '
            f'{belief.decoding()} decoding'
        )
        return Choice(belief.name, decode, first_s, option.hit, terms)

    def choose_decode(self, demand, site, now):
        """Chooses the runner that imports a prefilled prompt.

        Returns:
            Name of the runner, or None if none has room.
        """
        room = [
            belief
            for belief in self._usable(site, demand, now)
            if self._has_room(belief, demand)
        ]
        if not room:
            return None
        gaps = [(b.decoding() + 1) / b.decode_rate for b in room]
        busy = [b.backlog(now, b.prefill_rate) for b in room]
        levels = [
            gap + tokens / belief.prefill_rate
            for gap, tokens, belief in zip(gaps, busy, room, strict=True)
        ]
        index = _filling.choose_filling(
            levels, [b.decode_rate for b in room], 0.0, self._rng
        )
        chosen = room[index]
        tokens = demand.prompt_tokens + demand.output_tokens
        self._beliefs.sent(chosen.name, now, 0.0, tokens, True)
        return chosen.name
