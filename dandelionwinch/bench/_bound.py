"""An upper bound of the goodput, even of a planner with foresight."""

SEGMENT_S = 30.0


def goodput_bound(trace, jobs):
    """Returns output tokens per second that no planner can exceed.

    Each upstream may prefill and decode at its full rates without loss,
    all shared prefixes are cached, and no role has to be changed. A job
    whose prefill alone takes an upstream longer than the limit for the
    first token is left out. The bound is the lower one of two relaxations,
    each a fractional knapsack: over the whole run, all jobs must fit into
    the time of the upstreams; and the prompts that arrive in a segment
    must be prefilled before its end plus the limit for the first token.

    Args:
        trace: The Trace.
        jobs: Its Jobs.
    """
    spec = trace.upstream
    limits = trace.slo
    feasible = [
        job for job in jobs if _prefill_s(job, spec) <= limits.first_token_s
    ]
    run_tokens = _whole_run_tokens(trace, feasible)
    segment_tokens = _segment_tokens(trace, feasible)
    return min(run_tokens, segment_tokens) / trace.duration_s


def _prefill_s(job, spec):
    tokens = job.prompt_tokens - job.prefix_tokens
    return tokens / spec.prefill_tokens_per_s


def _whole_run_tokens(trace, jobs):
    spec = trace.upstream
    costs_s = [
        _prefill_s(job, spec) + job.output_tokens / spec.decode_tokens_per_s
        for job in jobs
    ]
    longest = max((job.output_tokens for job in jobs), default=0)
    tail_s = trace.slo.first_token_s + longest * trace.slo.token_gap_s
    capacity_s = trace.upstreams() * (trace.duration_s + tail_s)
    return _knapsack(jobs, costs_s, capacity_s)


def _segment_tokens(trace, jobs):
    segments = {}
    for job in jobs:
        segments.setdefault(int(job.arrived // SEGMENT_S), []).append(job)
    capacity_s = trace.upstreams() * (SEGMENT_S + trace.slo.first_token_s)
    return sum(
        _knapsack(
            group,
            [_prefill_s(job, trace.upstream) for job in group],
            capacity_s,
        )
        for group in segments.values()
    )


def _knapsack(jobs, costs_s, capacity_s):
    """Returns the most output tokens that fit into a time."""
    if sum(costs_s) <= capacity_s:
        return sum(job.output_tokens for job in jobs)
    by_value = sorted(
        zip(jobs, costs_s, strict=True),
        key=lambda pair: -pair[0].output_tokens / max(pair[1], 1e-9),
    )
    total = 0.0
    for job, cost_s in by_value:
        if cost_s > capacity_s:
            return total + job.output_tokens * capacity_s / cost_s
        capacity_s -= cost_s
        total += job.output_tokens
    return total
