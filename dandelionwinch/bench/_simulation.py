"""Simulates a policy on a trace in virtual time."""

import heapq
import itertools
import random

import attrs

from dandelionwinch.bench import _engine
from dandelionwinch.bench import _figures
from dandelionwinch.bench import _policies
from dandelionwinch.bench import _trace
from dandelionwinch import placement
from dandelionwinch import settings

REPORT_PERIOD_S = 0.5
PLAN_PERIOD_S = 1.0
KV_TRANSFER_S = 0.005
SAMPLE_PERIOD_S = 10.0
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.2


class Simulation:
    """An event loop over engines, arrivals, reports and faults."""

    def __init__(self, trace, policy_name, seed):
        self._trace = trace
        self._policy_name = policy_name
        self._seed = seed
        self._rng = random.Random(seed + 1)
        self._engines = self._make_engines()
        policy = _policies.POLICIES[policy_name]
        self._policy = policy(trace, self._engines, seed + 2)
        self._events = []
        self._sequence = itertools.count()
        self._now = 0.0
        self._figures = _figures.Figures(trace, self._engines)
        self._reports_lost_until = 0.0
        self._invalid_reports_until = {}

    def _make_engines(self):
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
        """Runs all jobs and returns a Result.

        A job that is not complete 120 s after the end of the trace counts
        as one that missed its limits.
        """
        for job in jobs:
            self._schedule_at(job.arrived, self._arrive, job)
        for engine in self._engines:
            self._schedule_at(0.0, self._send_report, engine)
        self._schedule_at(PLAN_PERIOD_S, self._plan_roles)
        self._schedule_at(SAMPLE_PERIOD_S, self._sample)
        for fault in self._trace.faults:
            self._schedule_at(fault.at_s, self._inject, fault)
        end = self._trace.duration_s + 120.0
        while self._events:
            at, _sequence, callback, args = heapq.heappop(self._events)
            if at > end:
                break
            self._now = at
            callback(*args)
        return self._figures.result(self._policy_name, self._seed, jobs)

    def _schedule_at(self, at, callback, *args):
        event = (at, next(self._sequence), callback, args)
        heapq.heappush(self._events, event)

    def _schedule_after(self, delay_s, callback, *args):
        self._schedule_at(self._now + delay_s, callback, *args)

    def _running(self):
        return self._now < self._trace.duration_s

    def _arrive(self, job):
        state = _engine.JobState(job, to_decode=job.output_tokens - 1)
        self._figures.job_arrived(state)
        self._place(state)

    def _place(self, state):
        assignment = self._policy.place(state, self._now)
        if assignment is None:
            self._figures.refused += 1
            return
        engine = self._engines[assignment.prefill]
        if not engine.alive or engine.away:
            self._policy.failed(engine.number, self._now)
            self._retry_later(state)
            return
        self._advance(engine)
        produced = state.job.output_tokens - 1 - state.to_decode
        hit_tokens = engine.cache.hit_tokens(
            state.job.prefix, state.job.prefix_tokens
        )
        state.to_prefill = max(
            1.0, state.job.prompt_tokens + produced - hit_tokens
        )
        state.prefill_upstream = engine.number
        state.decode_upstream = assignment.decode
        state.link_rtt_s = assignment.link_rtt_s
        engine.add_prompt(state)
        self._reschedule(engine)

    def _retry_later(self, state):
        state.attempts += 1
        if state.attempts < MAX_ATTEMPTS:
            self._schedule_after(RETRY_DELAY_S, self._place, state)

    def _advance(self, engine):
        prefilled, complete = engine.advance(self._now)
        for state in prefilled:
            self._on_prefilled(engine, state)
        for state in complete:
            self._figures.job_completed(state)

    def _on_prefilled(self, engine, state):
        job = state.job
        if state.first_token_at is None:
            state.first_token_at = self._now
        evicted = engine.cache.add(job.prefix, job.prefix_tokens)
        self._send_cache_events(engine.number, job, evicted)
        if state.decode_upstream == engine.number:
            engine.add_decode(state)
            return
        self._schedule_after(KV_TRANSFER_S, self._start_decode, state)

    def _start_decode(self, state):
        engine = None
        if state.decode_upstream >= 0:
            engine = self._engines[state.decode_upstream]
        if engine is None or not engine.alive or engine.away:
            engine = self._policy.choose_decode(state, self._now)
        if engine is None or not engine.alive:
            self._retry_later(state)
            return
        self._advance(engine)
        state.decode_upstream = engine.number
        engine.add_decode(state)
        self._reschedule(engine)

    def _reschedule(self, engine):
        """Schedules the next event of an engine in place of the last one.

        An idle engine that drains begins its role change.
        """
        engine.version += 1
        delay_s = engine.next_event_s()
        if delay_s is not None:
            self._schedule_after(
                delay_s, self._run_engine_event, engine, engine.version
            )
        elif engine.draining_to is not None and not engine.away:
            self._begin_role_change(engine)

    def _run_engine_event(self, engine, version):
        if version != engine.version or not engine.alive:
            return
        self._advance(engine)
        self._reschedule(engine)

    def _send_cache_events(self, number, job, evicted):
        lag_s = self._trace.report_lag_s
        for instance in range(self._trace.instances):
            if self._rng.random() < self._trace.report_loss:
                continue
            self._schedule_after(
                lag_s,
                self._policy.cached,
                instance,
                number,
                job.prefix,
                job.prefix_tokens,
            )
            for prefix in evicted:
                self._schedule_after(
                    lag_s, self._policy.evicted, instance, number, prefix
                )

    def _send_report(self, engine):
        if not self._running():
            return
        self._schedule_after(REPORT_PERIOD_S, self._send_report, engine)
        if not engine.alive or self._now < self._reports_lost_until:
            return
        self._advance(engine)
        self._reschedule(engine)
        report = self._make_report(engine)
        for instance in range(self._trace.instances):
            if self._rng.random() >= self._trace.report_loss:
                self._schedule_after(
                    self._trace.report_lag_s,
                    self._policy.report,
                    instance,
                    engine.number,
                    report,
                )

    def _make_report(self, engine):
        running = engine.decoding() + len(engine.waiting)
        if self._now < self._invalid_reports_until.get(engine.number, 0.0):
            running = -1 if self._rng.random() < 0.5 else 10**9
        return placement.Report(
            self._now,
            running,
            engine.backlog(),
            engine.kv_used(),
            engine.role,
            engine.away,
        )

    def _plan_roles(self):
        if not self._running():
            return
        self._schedule_after(PLAN_PERIOD_S, self._plan_roles)
        for number, role in list(self._policy.plan(self._now)):
            engine = self._engines[number]
            if engine.draining_to is not None or not engine.alive:
                continue
            self._figures.role_changes += 1
            engine.draining_to = role
            self._policy.set_held(number, True)
            self._advance(engine)
            self._reschedule(engine)

    def _begin_role_change(self, engine):
        engine.away = True
        self._schedule_after(
            self._trace.role_change_s, self._end_role_change, engine
        )

    def _end_role_change(self, engine):
        if engine.draining_to is not None:
            engine.role = engine.draining_to
        engine.draining_to = None
        engine.away = False
        engine.cache.clear()
        self._policy.set_held(engine.number, False)

    def _inject(self, fault):
        engine = self._engines[fault.upstream]
        match fault.kind:
            case 'upstream_crash':
                self._crash(engine)
                self._schedule_after(fault.for_s, self._restart, engine)
            case 'upstream_withdrawn':
                self._crash(engine)
            case 'upstream_slow':
                self._set_speed(engine, fault.factor)
                self._schedule_after(fault.for_s, self._set_speed, engine, 1.0)
            case 'upstream_nonsense':
                end = self._now + fault.for_s
                self._invalid_reports_until[engine.number] = end
            case 'reports_lost':
                self._reports_lost_until = self._now + fault.for_s

    def _set_speed(self, engine, factor):
        self._advance(engine)
        engine.speed = max(0.01, factor)
        self._reschedule(engine)

    def _crash(self, engine):
        self._advance(engine)
        engine.version += 1
        engine.draining_to = None
        engine.away = False
        interrupted = engine.crash()
        self._policy.failed(engine.number, self._now)
        self._policy.set_held(engine.number, False)
        for state in interrupted:
            self._retry_later(state)

    def _restart(self, engine):
        engine.advance(self._now)
        engine.alive = True

    def _sample(self):
        if not self._running():
            return
        self._schedule_after(SAMPLE_PERIOD_S, self._sample)
        self._figures.sample(self._now)


def simulate(trace, name, policy, seed):
    """Simulates a policy on a trace.

    Args:
        trace: The Trace.
        name: Name of the trace for the result.
        policy: Name of the policy.
        seed: Seed of the arrivals and of all random choices.

    Returns:
        A Result.
    """
    jobs = _trace.arrivals(trace, seed)
    result = Simulation(trace, policy, seed).run(jobs)
    return attrs.evolve(result, trace=name)
