"""Runs one policy over one trace in virtual time."""

import heapq
import itertools
import random

import attrs

from dandelionwinch.bench import _bound
from dandelionwinch.bench import _engine
from dandelionwinch.bench import _policies
from dandelionwinch.bench import _trace
from dandelionwinch import placement
from dandelionwinch import settings
from dandelionwinch import utils

REPORT_PERIOD_S = 0.5
PLAN_PERIOD_S = 1.0
HANDOVER_S = 0.005
SAMPLE_PERIOD_S = 10.0
MAX_ATTEMPTS = 4
RETRY_S = 0.2


@attrs.frozen
class Sample:
    """State of the fleet at one time, for plots."""

    at_s: float
    prefill_upstreams: int
    goodput_tokens: float
    prompt_tokens: float
    output_tokens: float


@attrs.frozen
class Result:
    """One line of the bench."""

    trace: str
    policy: str
    seed: int
    jobs: int
    jobs_in_slo: int
    goodput_tokens_per_s: float
    goodput_bound_tokens_per_s: float
    role_changes: int
    refused: int
    first_token_p95_s: float
    token_gap_p95_s: float
    busiest_queue: int
    samples: tuple = ()


class Simulation:
    """An event loop over engines, arrivals, reports and faults."""

    def __init__(self, trace, policy_name, seed):
        self._trace = trace
        self._policy_name = policy_name
        self._seed = seed
        self._rng = random.Random(seed + 1)
        self._engines = self._build()
        policy = _policies.POLICIES[policy_name]
        self._policy = policy(trace, self._engines, seed + 2)
        self._events = []
        self._order = itertools.count()
        self._now = 0.0
        self._states = []
        self._refused = 0
        self._role_changes = 0
        self._reports_lost_until = 0.0
        self._nonsense_until = {}
        self._samples = []
        self._sampled_tokens = 0.0
        self._window = [0.0, 0.0, 0.0]

    def _build(self):
        engines = []
        for pool in self._trace.pools:
            roles = [settings.Role.PREFILL] * pool.prefill
            roles += [settings.Role.DECODE] * pool.decode
            roles += [settings.Role.MIXED] * pool.mixed
            for role in roles:
                engines.append(
                    _engine.Engine(
                        len(engines),
                        pool.data_centre,
                        role,
                        self._trace.upstream,
                        self._trace.slo.token_gap_s,
                    )
                )
        return engines

    def run(self, jobs):
        """Runs all arrivals to their end and returns a Result."""
        for job in jobs:
            self._at(job.arrived, self._arrive, job)
        for engine in self._engines:
            self._at(0.0, self._report, engine)
        self._at(PLAN_PERIOD_S, self._plan)
        self._at(SAMPLE_PERIOD_S, self._sample)
        for fault in self._trace.faults:
            self._at(fault.at_s, self._fault, fault)
        end = self._trace.duration_s + 120.0
        while self._events:
            moment, _order, action, args = heapq.heappop(self._events)
            if moment > end:
                break
            self._now = moment
            action(*args)
        return self._result(jobs)

    def _at(self, moment, action, *args):
        event = (moment, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def _after(self, delay_s, action, *args):
        self._at(self._now + delay_s, action, *args)

    def _running(self):
        return self._now < self._trace.duration_s

    def _arrive(self, job):
        state = _engine.JobState(job, to_decode=job.output_tokens - 1)
        self._states.append(state)
        self._window[1] += job.prompt_tokens
        self._window[2] += job.output_tokens
        self._data_centre(state)

    def _data_centre(self, state):
        placed = self._policy.place(state, self._now)
        if placed is None:
            self._refused += 1
            return
        engine = self._engines[placed.prefill]
        if not engine.alive or engine.away:
            self._policy.failed(engine.number, self._now)
            self._again(state)
            return
        self._advance(engine)
        made = state.job.output_tokens - 1 - state.to_decode
        hit = engine.cache.hit(state.job.prefix, state.job.prefix_tokens)
        state.to_prefill = max(1.0, state.job.prompt_tokens + made - hit)
        state.prefill_upstream = engine.number
        state.decode_upstream = placed.decode
        state.link_rtt_s = placed.link_rtt_s
        engine.add_prompt(state)
        self._schedule(engine)

    def _again(self, state):
        state.attempts += 1
        if state.attempts < MAX_ATTEMPTS:
            self._after(RETRY_S, self._data_centre, state)

    def _advance(self, engine):
        ready, complete = engine.advance(self._now)
        for state in ready:
            self._ready(engine, state)
        for state in complete:
            self._complete(state)

    def _ready(self, engine, state):
        job = state.job
        if state.first_token_at is None:
            state.first_token_at = self._now
        dropped = engine.cache.add(job.prefix, job.prefix_tokens)
        self._tell_cache(engine.number, job, dropped)
        if state.decode_upstream == engine.number:
            engine.add_decode(state)
            return
        self._after(HANDOVER_S, self._hand_over, state)

    def _hand_over(self, state):
        engine = None
        if state.decode_upstream >= 0:
            engine = self._engines[state.decode_upstream]
        if engine is None or not engine.alive or engine.away:
            engine = self._policy.choose_decode(state, self._now)
        if engine is None or not engine.alive:
            self._again(state)
            return
        self._advance(engine)
        state.decode_upstream = engine.number
        engine.add_decode(state)
        self._schedule(engine)

    def _complete(self, state):
        if self._in_slo(state):
            self._window[0] += state.job.output_tokens

    def _schedule(self, engine):
        engine.version += 1
        delay_s = engine.next_event_s()
        if delay_s is not None:
            self._after(delay_s, self._step, engine, engine.version)
        elif engine.draining_to is not None and not engine.away:
            self._go_away(engine)

    def _step(self, engine, version):
        if version != engine.version or not engine.alive:
            return
        self._advance(engine)
        self._schedule(engine)

    def _tell_cache(self, number, job, dropped):
        lag_s = self._trace.report_lag_s
        for instance in range(self._trace.instances):
            if self._rng.random() < self._trace.report_loss:
                continue
            self._after(
                lag_s,
                self._policy.cached,
                instance,
                number,
                job.prefix,
                job.prefix_tokens,
            )
            for prefix in dropped:
                self._after(
                    lag_s, self._policy.evicted, instance, number, prefix
                )

    def _report(self, engine):
        if not self._running():
            return
        self._after(REPORT_PERIOD_S, self._report, engine)
        if not engine.alive or self._now < self._reports_lost_until:
            return
        self._advance(engine)
        self._schedule(engine)
        report = self._report_of(engine)
        for instance in range(self._trace.instances):
            if self._rng.random() >= self._trace.report_loss:
                self._after(
                    self._trace.report_lag_s,
                    self._policy.report,
                    instance,
                    engine.number,
                    report,
                )

    def _report_of(self, engine):
        running = engine.decoding() + len(engine.waiting)
        if self._now < self._nonsense_until.get(engine.number, 0.0):
            running = -1 if self._rng.random() < 0.5 else 10**9
        return placement.Report(
            self._now,
            running,
            engine.backlog(),
            engine.kv_used(),
            engine.role,
            engine.away,
        )

    def _plan(self):
        if not self._running():
            return
        self._after(PLAN_PERIOD_S, self._plan)
        for number, role in list(self._policy.plan(self._now)):
            engine = self._engines[number]
            if engine.draining_to is not None or not engine.alive:
                continue
            self._role_changes += 1
            engine.draining_to = role
            self._policy.set_held(number, True)
            self._advance(engine)
            self._schedule(engine)

    def _go_away(self, engine):
        engine.away = True
        self._after(self._trace.role_change_s, self._come_back, engine)

    def _come_back(self, engine):
        if engine.draining_to is not None:
            engine.role = engine.draining_to
        engine.draining_to = None
        engine.away = False
        engine.cache.clear()
        self._policy.set_held(engine.number, False)

    def _fault(self, fault):
        engine = self._engines[fault.upstream]
        match fault.kind:
            case 'upstream_crash':
                self._crash(engine)
                self._after(fault.for_s, self._restart, engine)
            case 'upstream_withdrawn':
                self._crash(engine)
            case 'upstream_slow':
                self._set_speed(engine, fault.factor)
                self._after(fault.for_s, self._set_speed, engine, 1.0)
            case 'upstream_nonsense':
                end = self._now + fault.for_s
                self._nonsense_until[engine.number] = end
            case 'reports_lost':
                self._reports_lost_until = self._now + fault.for_s

    def _set_speed(self, engine, factor):
        self._advance(engine)
        engine.speed = max(0.01, factor)
        self._schedule(engine)

    def _crash(self, engine):
        self._advance(engine)
        engine.version += 1
        engine.draining_to = None
        engine.away = False
        lost = engine.crash()
        self._policy.failed(engine.number, self._now)
        self._policy.set_held(engine.number, False)
        for state in lost:
            self._again(state)

    def _restart(self, engine):
        engine.advance(self._now)
        engine.alive = True

    def _in_slo(self, state):
        if state.first_token_at is None or state.ended_at is None:
            return False
        limits = self._trace.slo
        return (
            self._first_s(state) <= limits.first_token_s
            and _gap_s(state) <= limits.token_gap_s
        )

    @staticmethod
    def _first_s(state):
        return state.first_token_at - state.job.arrived + state.link_rtt_s

    def _sample(self):
        if not self._running():
            return
        self._after(SAMPLE_PERIOD_S, self._sample)
        prefill = sum(
            1
            for engine in self._engines
            if engine.alive and engine.role is settings.Role.PREFILL
        )
        sample = Sample(self._now, prefill, *self._window)
        self._samples.append(sample)
        self._window = [0.0, 0.0, 0.0]

    def _result(self, jobs):
        good = [state for state in self._states if self._in_slo(state)]
        ended = [w for w in self._states if w.ended_at is not None]
        tokens = sum(state.job.output_tokens for state in good)
        duration_s = self._trace.duration_s
        firsts = [self._first_s(state) for state in ended]
        gaps = [_gap_s(state) for state in ended]
        return Result(
            trace='',
            policy=self._policy_name,
            seed=self._seed,
            jobs=len(jobs),
            jobs_in_slo=len(good),
            goodput_tokens_per_s=round(tokens / duration_s, 2),
            goodput_bound_tokens_per_s=round(
                _bound.bound(self._trace, jobs), 2
            ),
            role_changes=self._role_changes,
            refused=self._refused,
            first_token_p95_s=round(utils.percentile(firsts, 0.95), 4),
            token_gap_p95_s=round(utils.percentile(gaps, 0.95), 5),
            busiest_queue=max(e.longest_queue for e in self._engines),
            samples=tuple(self._samples),
        )


def _gap_s(state):
    tokens = max(1, state.job.output_tokens - 1)
    return (state.ended_at - state.first_token_at) / tokens


def simulate(trace, name, policy, seed):
    """Runs a policy over a trace.

    Args:
        trace: The Trace.
        name: Name of the trace for the result.
        policy: Name of the policy.
        seed: Seed of arrivals and of all chance.

    Returns:
        A Result.
    """
    jobs = _trace.arrivals(trace, seed)
    result = Simulation(trace, policy, seed).run(jobs)
    return attrs.evolve(result, trace=name)
