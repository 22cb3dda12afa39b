"""Chooses the upstreams of a job from beliefs about their load."""

import attrs

from dandelionwinch.placement import _filling
from dandelionwinch.placement import _prefixes
from dandelionwinch.placement import _trend
from dandelionwinch import settings

MAX_CANDIDATES = 16
HANDOVER_S = 0.005
LEAST_SPEED_SHARE = 0.05
RATE_SPAN_S = 5.0
MEAN_SHARE = 0.05
LEAST_SHARE = 0.02
UNKNOWN_RATE = 1.0e7
CHUNK_WEIGHT = 0.05


@attrs.frozen
class Demand:
    """What a job asks for.

    Attributes:
        data_centre: Data centre of the client.
        prefix: Hash of the prompt's beginning.
        prefix_tokens: Tokens that a cache could spare at most.
        patience_s: Longest useful wait for the first token.
        gap_s: Longest allowed time between tokens.
    """

    data_centre: str
    prompt_tokens: int
    output_tokens: int
    prefix: int
    prefix_tokens: int
    max_wait_s: float
    gap_s: float
    exclude: frozenset = frozenset()


@attrs.frozen
class CandidatePool:
    """The upstreams of one pool, and how far away they are.

    Attributes:
        upstreams: Names of the pool's upstreams.
        extra_s: Seconds that its distance adds, with the link's price.
    """

    name: str
    upstreams: tuple[str, ...]
    link_cost_s: float


@attrs.frozen
class Choice:
    """Where a job runs.

    Attributes:
        prefill: Upstream that takes the prompt.
        decode: Upstream that makes the answer; may be the same.
        first_token_s: Expected wait for the first token.
        hit_tokens: Prompt tokens expected in the upstream's cache.
        terms: The terms that were weighed, for operators.
    """

    prefill: str
    decode: str
    first_token_s: float
    hit_tokens: float
    terms: str


@attrs.frozen
class Refusal:
    """No upstream can start the job in time.

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
    link_cost_s: float

    @property
    def total_s(self):
        return self.wait_s + self.own_s + self.link_cost_s


class Placer:
    """Decides for one instance; many decide at once on old reports."""

    __slots__ = (
        '_beliefs',
        '_mean_output',
        '_mean_tokens',
        '_own',
        '_peers',
        '_rng',
        'prefixes',
    )

    def __init__(self, beliefs, rng):
        self._beliefs = beliefs
        self._rng = rng
        self._own = {}
        self._peers = None
        self._mean_tokens = 1000.0
        self._mean_output = 200.0
        self.prefixes = _prefixes.PrefixIndex()

    def set_peer_rates(self, rates):
        """Notes what all other instances send together.

        Args:
            rates: Prompt tokens per second by name of the site.
        """
        self._peers = rates

    def own_rates(self, now):
        """Returns prompt tokens per second sent from here by site."""
        return {name: rate.read(now) for name, rate in self._own.items()}

    def place(self, demand, sites, now):
        """Chooses the upstreams of a job.

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
            if best.total_s <= demand.max_wait_s / 2:
                break
        if best is None:
            return Refusal('no upstream takes this work at present', 1.0)
        if best.total_s > demand.max_wait_s:
            return Refusal(
                f'the first token would take {best.total_s:.2f} s',
                round(max(0.1, best.total_s - demand.max_wait_s), 2),
            )
        return self._commit(best, demand, now, sites)

    def _best_of(self, site, demand, hits, now):
        usable = self._usable(site, demand, now)
        share = self._share(site, now)
        decoders = [b for b in usable if self._has_room(b, demand, share, now)]
        if not decoders:
            return None
        takers = [
            (belief, belief.prefill_speed(demand.gap_s))
            for belief in usable
            if belief.role is settings.Role.PREFILL or belief in decoders
        ]
        takers = [
            (belief, speed)
            for belief, speed in takers
            if speed >= LEAST_SPEED_SHARE * belief.prefill_rate
        ]
        if not takers:
            return None
        arriving = self._arriving(site)
        inflow = 0.0
        if self._peers is not None:
            inflow = arriving / sum(speed for _belief, speed in takers)
        options = [
            self._option(belief, speed, inflow, demand, hits, site, now)
            for belief, speed in takers
        ]
        return self._draw(options, arriving, now)

    def _usable(self, site, demand, now):
        names = site.upstreams
        if len(names) > MAX_CANDIDATES:
            names = self._rng.sample(names, MAX_CANDIDATES)
        found = [self._beliefs.get(name) for name in names]
        allowed = [
            belief
            for belief in found
            if belief is not None
            and belief.name not in demand.exclude
            and belief.allowed()
        ]
        # Upstreams that failed of late are a last resort.
        usable = [b for b in allowed if now >= b.quarantined_until]
        return usable or allowed

    def _arriving(self, site):
        """Returns prompt tokens per second that peers send to a site.

        As long as nothing is known of the peers they are taken to send
        a lot, so that instances that start together spread their jobs.
        """
        if self._peers is None:
            return UNKNOWN_RATE
        return self._peers.get(site.name, 0.0)

    def _share(self, site, now):
        """Returns this instance's share of what all send to a site."""
        rate = self._own.get(site.name)
        own = rate.read(now) if rate is not None else 0.0
        if not self._peers or not self._peers.get(site.name):
            return 1.0
        peers = self._peers[site.name]
        return max(LEAST_SHARE, own / (own + peers))

    def _has_room(self, belief, demand, share, now):
        """Tells whether this instance may add a job to a batch.

        All instances see the same free data centres. Each takes its share of
        them, and of those that answers leave until the next report.
        """
        if belief.role is settings.Role.PREFILL:
            return False
        tokens = demand.prompt_tokens + demand.output_tokens
        if belief.kv_used() + tokens > belief.kv_capacity:
            return False
        running, age_s = 0, 0.0
        if belief.report is not None:
            running = belief.report.running
            age_s = max(0.0, now - belief.report.made_at)
        free = belief.slots(demand.gap_s) - running
        free += age_s * belief.decode_rate / self._mean_output
        return belief.sent_decodes + self._rng.random() < share * free

    @staticmethod
    def _option(belief, speed, inflow, demand, hits, site, now):
        hit = min(hits.get(belief.name, 0.0), demand.prefix_tokens)
        backlog = belief.backlog(now, speed, inflow * speed)
        wait_s = backlog / speed
        own_s = (demand.prompt_tokens - hit) / speed
        return _Option(belief, wait_s, own_s, speed, hit, site.link_cost_s)

    def _draw(self, options, arriving, now):
        index = _filling.choose_filling(
            [option.wait_s + option.own_s for option in options],
            [option.speed for option in options],
            arriving * self._picture_age([o.belief for o in options], now),
            self._rng,
        )
        return options[index]

    @staticmethod
    def _picture_age(beliefs, now):
        ages = [
            now - belief.report.made_at
            for belief in beliefs
            if belief.report is not None
        ]
        return sum(ages) / len(ages) if ages else 1.0

    def _commit(self, option, demand, now, sites):
        belief = option.belief
        stays = belief.role is not settings.Role.PREFILL
        tokens = demand.prompt_tokens - option.hit
        kv_tokens = demand.prompt_tokens + demand.output_tokens
        self._beliefs.sent(
            belief.name, now, tokens, kv_tokens if stays else 0.0, stays
        )
        self._note_own(option, demand, sites, tokens, now)
        self.prefixes.record(
            demand.prefix, belief.name, demand.prefix_tokens, now
        )
        decode = belief.name
        first_s = option.total_s
        if not stays:
            site = next(s for s in sites if belief.name in s.upstreams)
            decode = self.choose_decode(demand, site, now, first_s) or ''
            first_s += HANDOVER_S
        terms = (
            f'wait {option.wait_s:.3f} s, prefill {option.own_s:.3f} s, '
            f'distance {option.link_cost_s:.3f} s, cached {option.hit:.0f} of '
            f'{demand.prompt_tokens} tokens, role {belief.role}, '
            f'{belief.decoding()} decoding'
        )
        return Choice(belief.name, decode, first_s, option.hit, terms)

    def _note_own(self, option, demand, sites, tokens, now):
        name = option.belief.name
        site = next(site for site in sites if name in site.upstreams)
        rate = self._own.get(site.name)
        if rate is None:
            rate = self._own[site.name] = _trend.Average(RATE_SPAN_S)
        rate.add(tokens, now)
        output = demand.output_tokens
        self._mean_output += MEAN_SHARE * (output - self._mean_output)
        self._mean_tokens += MEAN_SHARE * (tokens - self._mean_tokens)
        self._mean_tokens = max(1.0, self._mean_tokens)

    def choose_decode(self, demand, site, now, delay_s=0.0):
        """Chooses the upstream that imports a prefilled prompt.

        Args:
            demand: What the job asks for.
            site: Where it is prefilled.
            now: Time in seconds.
            delay_s: Seconds until the prompt is ready.

        Returns:
            Name of the upstream, or None if none has room.
        """
        share = self._share(site, now)
        room = [
            belief
            for belief in self._usable(site, demand, now)
            if self._has_room(belief, demand, share, now)
        ]
        if not room:
            return None
        jobs_per_s = self._arriving(site) / self._mean_tokens
        index = _filling.choose_filling(
            [self._decode_level(belief, now) for belief in room],
            [belief.decode_rate for belief in room],
            jobs_per_s * self._picture_age(room, now),
            self._rng,
        )
        chosen = room[index]
        tokens = demand.prompt_tokens + demand.output_tokens
        self._beliefs.sent(chosen.name, now + delay_s, 0.0, tokens, True)
        return chosen.name

    @staticmethod
    def _decode_level(belief, now):
        """Returns the time between tokens, and what its prompts add."""
        busy_s = belief.backlog(now, belief.prefill_rate)
        busy_s /= belief.prefill_rate
        return (belief.decoding() + 1) / belief.decode_rate + (
            CHUNK_WEIGHT * busy_s
        )
