"""Chooses the upstreams of a job by their estimated load."""

import attrs

from dandelionwinch.placement import _prefixes
from dandelionwinch.placement import _trend
from dandelionwinch.placement import _water_filling
from dandelionwinch import settings

# Upstreams of a pool considered for a job; in a larger pool they are drawn at
# random.
MAX_CANDIDATES = 16
# Expected duration of a KV cache transfer to the upstream that decodes.
KV_TRANSFER_S = 0.005
# Part of its prefill rate below which an upstream gets no prompts.
MIN_SPEED_RATIO = 0.05
# Time constant of the average rates that this instance sends.
RATE_SPAN_S = 5.0
# Gain of the moving averages of the sizes of jobs.
MEAN_GAIN = 0.05
# Least share of a pool's free slots that this instance uses.
MIN_OWN_RATIO = 0.02
# Assumed rate of the peers until it is known: far more than they send.
UNKNOWN_PEER_TOKENS_PER_S = 1.0e7
# Part of the time for queued prompts that is added to the token gap in the
# choice of a decode upstream, as they are prefilled between its tokens.
CHUNK_WEIGHT = 0.05


@attrs.frozen
class Demand:
    """The requirements of a job.

    Attributes:
        data_centre: Data centre of the client.
        prefix: Hash of the beginning of the prompt.
        prefix_tokens: Prompt tokens of that beginning, the most that may be
            cached.
        max_wait_s: Longest useful wait for the first token.
        gap_s: Longest allowed time between tokens.
        exclude: Names of upstreams that must not be chosen.
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
    """A pool that may run a job, and the cost of the link to it.

    Attributes:
        upstreams: Names of the pool's upstreams.
        link_cost_s: Latency that the link to it adds, with its price.
    """

    name: str
    upstreams: tuple[str, ...]
    link_cost_s: float


@attrs.frozen
class Choice:
    """The upstreams that run a job.

    Attributes:
        prefill: Name of the upstream that prefills the prompt.
        decode: Name of the upstream that decodes the answer: the same or
            another, or '' if no other has capacity at present.
        first_token_s: Expected time to the first token.
        hit_tokens: Prompt tokens expected in the cache of `prefill`.
        terms: Description of the decision, for operators.
    """

    prefill: str
    decode: str
    first_token_s: float
    hit_tokens: float
    terms: str


@attrs.frozen
class Refusal:
    """The refusal of a job that no upstream can start in time.

    Attributes:
        retry_after_s: Delay after which the client should retry.
    """

    reason: str
    retry_after_s: float


@attrs.frozen
class _Option:
    """An upstream that can prefill a job, with the times expected there.

    Attributes:
        estimate: LoadEstimate of the upstream.
        speed: Prompt tokens per second that it can prefill now.
    """

    estimate: object
    wait_s: float
    prefill_s: float
    speed: float
    hit_tokens: float
    link_cost_s: float

    @property
    def total_s(self):
        return self.wait_s + self.prefill_s + self.link_cost_s


class Placer:
    """Places the jobs of one instance.

    Many instances place jobs at the same time, on reports of some age. So
    an instance uses only its share of the free slots, and distributes its
    jobs by water-filling.

    Attributes:
        prefixes: The PrefixIndex.
    """

    __slots__ = (
        '_estimates',
        '_mean_output',
        '_mean_tokens',
        '_own_rates',
        '_peer_rates',
        '_rng',
        'prefixes',
    )

    def __init__(self, estimates, rng):
        self._estimates = estimates
        self._rng = rng
        self._own_rates = {}
        self._peer_rates = None
        # Mean uncached prompt tokens and output tokens of a job, assumed
        # until the first jobs.
        self._mean_tokens = 1000.0
        self._mean_output = 200.0
        self.prefixes = _prefixes.PrefixIndex()

    def set_peer_rates(self, rates):
        """Sets the total rates that all other instances send.

        Args:
            rates: Prompt tokens per second by name of the pool.
        """
        self._peer_rates = rates

    def own_rates(self, now):
        """Returns the prompt tokens per second that it sends, by pool name."""
        return {name: rate.read(now) for name, rate in self._own_rates.items()}

    def place(self, demand, pools, now):
        """Chooses the upstreams of a job.

        A farther pool is considered only if no nearer one can start the
        job within half of the longest useful wait.

        Args:
            demand: The Demand of the job.
            pools: CandidatePools, nearest first.
            now: Time in seconds.

        Returns:
            A Choice or a Refusal.
        """
        hits = self.prefixes.lookup(demand.prefix, now)
        best = None
        for pool in pools:
            option = self._best_in(pool, demand, hits, now)
            if option is None:
                continue
            if best is None or option.total_s < best.total_s:
                best = option
            if best.total_s <= demand.max_wait_s / 2:
                break
        if best is None:
            # No expected wait is known, so the client retries after 1 s.
            return Refusal('no upstream takes this work at present', 1.0)
        if best.total_s > demand.max_wait_s:
            return Refusal(
                f'the first token would take {best.total_s:.2f} s',
                round(max(0.1, best.total_s - demand.max_wait_s), 2),
            )
        return self._commit(best, demand, now, pools)

    def _best_in(self, pool, demand, hits, now):
        """Returns the _Option chosen in a pool, None if it has no capacity."""
        usable = self._candidates(pool, demand, now)
        share = self._own_share(pool, now)
        decoders = [
            e for e in usable if self._has_capacity(e, demand, share, now)
        ]
        if not decoders:
            return None
        prefillers = [
            (estimate, estimate.prefill_speed(demand.gap_s))
            for estimate in usable
            if estimate.role is settings.Role.PREFILL or estimate in decoders
        ]
        prefillers = [
            (estimate, speed)
            for estimate, speed in prefillers
            if speed >= MIN_SPEED_RATIO * estimate.prefill_rate
        ]
        if not prefillers:
            return None
        peer_rate = self._peer_rate(pool)
        # Peers are assumed to load all upstreams in proportion to their speed.
        # While their rates are unknown no inflow is counted: the rate assumed
        # then serves only to spread jobs.
        inflow_ratio = 0.0
        if self._peer_rates is not None:
            inflow_ratio = peer_rate / sum(
                speed for _estimate, speed in prefillers
            )
        options = [
            self._option(
                estimate, speed, inflow_ratio, demand, hits, pool, now
            )
            for estimate, speed in prefillers
        ]
        return self._choose(options, peer_rate, now)

    def _candidates(self, pool, demand, now):
        """Returns the upstreams of a pool that a job may use.

        Ejected upstreams are returned only if there is no other.
        """
        names = pool.upstreams
        if len(names) > MAX_CANDIDATES:
            names = self._rng.sample(names, MAX_CANDIDATES)
        found = [self._estimates.get(name) for name in names]
        accepting = [
            estimate
            for estimate in found
            if estimate is not None
            and estimate.name not in demand.exclude
            and estimate.accepts_work()
        ]
        usable = [e for e in accepting if now >= e.ejected_until]
        return usable or accepting

    def _peer_rate(self, pool):
        """Returns the prompt tokens per second that peers send to a pool.

        Until their rates are known a very high rate is assumed, so that
        instances that start together spread their jobs.
        """
        if self._peer_rates is None:
            return UNKNOWN_PEER_TOKENS_PER_S
        return self._peer_rates.get(pool.name, 0.0)

    def _own_share(self, pool, now):
        """Returns the part of a pool's arrivals that this instance sends."""
        rate = self._own_rates.get(pool.name)
        own = rate.read(now) if rate is not None else 0.0
        if not self._peer_rates or not self._peer_rates.get(pool.name):
            return 1.0
        peers = self._peer_rates[pool.name]
        return max(MIN_OWN_RATIO, own / (own + peers))

    def _has_capacity(self, estimate, demand, share, now):
        """Tells whether this instance may add a job to the decode batch.

        All instances see the same free slots. Each uses only its share of
        them, and of those that jobs have freed since the last report.
        """
        if estimate.role is settings.Role.PREFILL:
            return False
        tokens = demand.prompt_tokens + demand.output_tokens
        if estimate.kv_used() + tokens > estimate.kv_capacity:
            return False
        running, age_s = 0, 0.0
        if estimate.report is not None:
            running = estimate.report.running
            age_s = max(0.0, now - estimate.report.made_at)
        free = estimate.slots(demand.gap_s) - running
        free += age_s * estimate.decode_rate / self._mean_output
        # A fraction of a slot is rounded up or down at random.
        return estimate.sent_decodes + self._rng.random() < share * free

    @staticmethod
    def _option(estimate, speed, inflow_ratio, demand, hits, pool, now):
        hit_tokens = min(hits.get(estimate.name, 0.0), demand.prefix_tokens)
        backlog = estimate.backlog(now, speed, inflow_ratio * speed)
        wait_s = backlog / speed
        prefill_s = (demand.prompt_tokens - hit_tokens) / speed
        return _Option(
            estimate, wait_s, prefill_s, speed, hit_tokens, pool.link_cost_s
        )

    def _choose(self, options, peer_rate, now):
        index = _water_filling.choose_by_filling(
            [option.wait_s + option.prefill_s for option in options],
            [option.speed for option in options],
            peer_rate
            * self._mean_report_age_s([o.estimate for o in options], now),
            self._rng,
        )
        return options[index]

    @staticmethod
    def _mean_report_age_s(estimates, now):
        """Returns the mean age of the last reports, 1.0 without any."""
        ages = [
            now - estimate.report.made_at
            for estimate in estimates
            if estimate.report is not None
        ]
        return sum(ages) / len(ages) if ages else 1.0

    def _commit(self, option, demand, now, pools):
        """Records the chosen option as sent work; returns the Choice."""
        estimate = option.estimate
        decodes_here = estimate.role is not settings.Role.PREFILL
        tokens = demand.prompt_tokens - option.hit_tokens
        kv_tokens = demand.prompt_tokens + demand.output_tokens
        self._estimates.record_sent(
            estimate.name,
            now,
            tokens,
            kv_tokens if decodes_here else 0.0,
            decodes_here,
        )
        self._record_own(option, demand, pools, tokens, now)
        self.prefixes.record(
            demand.prefix, estimate.name, demand.prefix_tokens, now
        )
        decode = estimate.name
        first_s = option.total_s
        if not decodes_here:
            pool = next(p for p in pools if estimate.name in p.upstreams)
            decode = self.choose_decode(demand, pool, now, first_s) or ''
            first_s += KV_TRANSFER_S
        terms = (
            f'wait {option.wait_s:.3f} s, prefill {option.prefill_s:.3f} s, '
            f'distance {option.link_cost_s:.3f} s, '
            f'cached {option.hit_tokens:.0f} of '
            f'{demand.prompt_tokens} tokens, role {estimate.role}, '
            f'{estimate.decoding()} decoding'
        )
        return Choice(estimate.name, decode, first_s, option.hit_tokens, terms)

    def _record_own(self, option, demand, pools, tokens, now):
        """Updates the own rate of the pool and the mean sizes of jobs."""
        name = option.estimate.name
        pool = next(pool for pool in pools if name in pool.upstreams)
        rate = self._own_rates.get(pool.name)
        if rate is None:
            rate = self._own_rates[pool.name] = _trend.Average(RATE_SPAN_S)
        rate.add(tokens, now)
        output = demand.output_tokens
        self._mean_output += MEAN_GAIN * (output - self._mean_output)
        self._mean_tokens += MEAN_GAIN * (tokens - self._mean_tokens)
        self._mean_tokens = max(1.0, self._mean_tokens)

    def choose_decode(self, demand, pool, now, delay_s=0.0):
        """Chooses the upstream that decodes a prefilled prompt.

        The job is recorded as sent to it.

        Args:
            demand: The Demand of the job.
            pool: The pool in which it is prefilled.
            now: Time in seconds.
            delay_s: Seconds until the prompt is prefilled.

        Returns:
            Name of the upstream, or None if none has capacity.
        """
        share = self._own_share(pool, now)
        free = [
            estimate
            for estimate in self._candidates(pool, demand, now)
            if self._has_capacity(estimate, demand, share, now)
        ]
        if not free:
            return None
        # A level is a number of jobs by the decode rate, so the work of the
        # peers is counted in jobs, too.
        jobs_per_s = self._peer_rate(pool) / self._mean_tokens
        index = _water_filling.choose_by_filling(
            [self._token_gap_s(estimate, now) for estimate in free],
            [estimate.decode_rate for estimate in free],
            jobs_per_s * self._mean_report_age_s(free, now),
            self._rng,
        )
        chosen = free[index]
        tokens = demand.prompt_tokens + demand.output_tokens
        # Dated to the end of the prefill: reports made before do not include
        # this work.
        self._estimates.record_sent(
            chosen.name, now + delay_s, 0.0, tokens, True
        )
        return chosen.name

    @staticmethod
    def _token_gap_s(estimate, now):
        """Returns the expected token gap with one more job, for the choice.

        A part of the time that the queued prompts need is added.
        """
        busy_s = estimate.backlog(now, estimate.prefill_rate)
        busy_s /= estimate.prefill_rate
        return (estimate.decoding() + 1) / estimate.decode_rate + (
            CHUNK_WEIGHT * busy_s
        )
