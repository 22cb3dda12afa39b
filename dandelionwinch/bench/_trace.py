"""Traces of the mix bench: their format, checks and arrivals."""

import math
import random

import attrs
from attrs import validators

from dandelionwinch import errors
from dandelionwinch import readers
from dandelionwinch import utils

# Shape of the log-normal distribution of prompt and output tokens.
LENGTH_SIGMA = 0.6
MIN_PROMPT_TOKENS = 8
MIN_OUTPUT_TOKENS = 2

_positive = validators.gt(0)
_non_negative = validators.ge(0)
_ratio = validators.and_(validators.ge(0), validators.le(1))
FAULT_KINDS = (
    'upstream_crash',
    'upstream_withdrawn',
    'upstream_slow',
    'upstream_nonsense',
    'reports_lost',
)


@attrs.frozen(kw_only=True)
class LatencyLimits:
    """Limits of a job that counts towards goodput.

    Attributes:
        first_token_s: Time to first token.
        token_gap_s: Mean gap between tokens.
    """

    first_token_s: float = attrs.field(default=1.1, validator=_positive)
    token_gap_s: float = attrs.field(default=0.041, validator=_positive)


@attrs.frozen(kw_only=True)
class UpstreamSpec:
    """The rates and sizes of an upstream.

    Attributes:
        prefill_tokens_per_s: Prompt tokens per second without decodes.
        decode_tokens_per_s: Output tokens per second of a whole batch.
        kv_tokens: Tokens that fit in the KV cache.
        max_batch: Largest number of jobs that decode at once.
    """

    prefill_tokens_per_s: float = attrs.field(
        default=20000.0, validator=_positive
    )
    decode_tokens_per_s: float = attrs.field(
        default=2500.0, validator=_positive
    )
    kv_tokens: int = attrs.field(default=400_000, validator=_positive)
    max_batch: int = attrs.field(default=64, validator=_positive)


@attrs.frozen(kw_only=True)
class PoolSize:
    """Number of upstreams of a data centre at the start, by role."""

    data_centre: str
    prefill: int = attrs.field(default=0, validator=_non_negative)
    decode: int = attrs.field(default=0, validator=_non_negative)
    mixed: int = attrs.field(default=0, validator=_non_negative)


@attrs.frozen(kw_only=True)
class Link:
    """The link between data centres.

    Attributes:
        latency_s: One-way latency.
        bytes_per_s: Its bandwidth, which the simulation does not use:
            prompts and answers are small in comparison, and no KV cache is
            transferred between data centres.
    """

    latency_s: float = attrs.field(default=0.010, validator=_non_negative)
    bytes_per_s: float = attrs.field(default=1.0e8, validator=_positive)


@attrs.frozen(kw_only=True)
class Phase:
    """The arrivals from one time until the next phase.

    Attributes:
        requests_per_s: Mean rate of arrivals.
        prompt_tokens: Mean size of a prompt.
        output_tokens: Mean size of an answer.
        shared_prefix: Part of a prompt that its team's prompts share.
        teams: Number of teams to draw from.
    """

    start_s: float = attrs.field(validator=_non_negative)
    requests_per_s: float = attrs.field(validator=_non_negative)
    prompt_tokens: float = attrs.field(validator=_positive)
    output_tokens: float = attrs.field(validator=_positive)
    shared_prefix: float = attrs.field(default=0.0, validator=_ratio)
    teams: int = attrs.field(default=40, validator=_positive)


@attrs.frozen(kw_only=True)
class Fault:
    """A fault that is injected into a run.

    Attributes:
        upstream: Number of the upstream, in the order of the pools.
        for_s: Duration of the fault; a withdrawn upstream does not return.
        factor: Factor of the rates of a slow upstream.
    """

    at_s: float = attrs.field(validator=_non_negative)
    kind: str = attrs.field(validator=validators.in_(FAULT_KINDS))
    upstream: int = attrs.field(default=0, validator=_non_negative)
    for_s: float = attrs.field(default=60.0, validator=_positive)
    factor: float = attrs.field(default=0.3, validator=_ratio)


@attrs.frozen(kw_only=True)
class Trace:
    """One trace.

    Attributes:
        instances: Number of instances that place jobs.
        report_lag_s: Time until a report arrives at an instance.
        report_loss: Probability that an instance misses a report.
        role_change_s: Time that an upstream needs to change its role.
        slo: Limits of a job that counts towards goodput.
        upstream: Rates and sizes of each upstream.
        link: Link between data centres.
    """

    duration_s: float = attrs.field(validator=_positive)
    pools: list[PoolSize] = attrs.field(validator=validators.min_len(1))
    phases: list[Phase] = attrs.field(validator=validators.min_len(1))
    instances: int = attrs.field(default=6, validator=_positive)
    report_lag_s: float = attrs.field(default=1.0, validator=_non_negative)
    report_loss: float = attrs.field(default=0.05, validator=_ratio)
    role_change_s: float = attrs.field(default=8.0, validator=_positive)
    slo: LatencyLimits = attrs.field(factory=LatencyLimits)
    upstream: UpstreamSpec = attrs.field(factory=UpstreamSpec)
    link: Link = attrs.field(factory=Link)
    faults: list[Fault] = attrs.field(factory=list)

    def upstreams(self):
        """Returns the number of upstreams."""
        return sum(p.prefill + p.decode + p.mixed for p in self.pools)


@attrs.define
class Job:
    """One job of a trace.

    Attributes:
        arrived: Time of its arrival.
        data_centre: Data centre of the client.
        prefix: Hash of the prefix that the prompts of the team share.
        prefix_tokens: Tokens of that prefix.
        instance: Number of the instance that receives it.
    """

    id: int
    arrived: float
    data_centre: str
    team: int
    prompt_tokens: int
    output_tokens: int
    prefix: int
    prefix_tokens: int
    instance: int


def read_trace(path):
    """Reads and checks a trace file.

    Raises:
        SettingsInvalid: With all findings and their places in the file.
    """
    document = readers.read_yaml(path)
    trace = readers.structure(
        document.value, Trace, document.file, document.lines
    )
    findings = [
        errors.Finding(
            document.file, document.lines.get(where, 0), where, message
        )
        for where, message in _inconsistencies(trace)
    ]
    if findings:
        raise errors.SettingsInvalid(findings)
    return trace


def _inconsistencies(trace):
    if trace.phases[0].start_s != 0:
        yield '$.phases[0].start_s', 'the first phase does not start at 0'
    for index in range(1, len(trace.phases)):
        if trace.phases[index].start_s <= trace.phases[index - 1].start_s:
            where = f'$.phases[{index}].start_s'
            yield where, 'the phase does not start after the one before it'
    names = [pool.data_centre for pool in trace.pools]
    for index, name in enumerate(names):
        if name in names[:index]:
            where = f'$.pools[{index}].data_centre'
            yield where, f'data_centre "{name}" stands twice'
    if not any(pool.decode + pool.mixed for pool in trace.pools):
        yield '$.pools', 'no upstream can decode'
    for index, fault in enumerate(trace.faults):
        where = f'$.faults[{index}]'
        if fault.upstream >= trace.upstreams():
            text = f'upstream {fault.upstream} does not exist'
            yield f'{where}.upstream', text
        if fault.at_s >= trace.duration_s:
            yield f'{where}.at_s', 'the fault is after the end'


def arrivals(trace, seed):
    """Draws all jobs of a trace, which are the same for each policy."""
    rng = random.Random(seed)
    data_centres = [pool.data_centre for pool in trace.pools]
    jobs = []
    ends = [phase.start_s for phase in trace.phases[1:]]
    ends.append(trace.duration_s)
    for number, (phase, end) in enumerate(
        zip(trace.phases, ends, strict=True)
    ):
        at = phase.start_s
        while phase.requests_per_s > 0:
            at += rng.expovariate(phase.requests_per_s)
            if at >= min(end, trace.duration_s):
                break
            jobs.append(
                _draw_job(
                    len(jobs), at, number, phase, trace, data_centres, rng
                )
            )
    return jobs


def _draw_job(number, at, phase_number, phase, trace, data_centres, rng):
    prompt = _draw_tokens(phase.prompt_tokens, MIN_PROMPT_TOKENS, rng)
    output = _draw_tokens(phase.output_tokens, MIN_OUTPUT_TOKENS, rng)
    team = rng.randrange(phase.teams)
    return Job(
        id=number,
        arrived=at,
        data_centre=rng.choice(data_centres),
        team=team,
        prompt_tokens=prompt,
        output_tokens=output,
        prefix=utils.stable_hash('prefix', phase_number, team),
        prefix_tokens=int(prompt * phase.shared_prefix),
        instance=rng.randrange(trace.instances),
    )


def _draw_tokens(mean, min_tokens, rng):
    mu = math.log(mean) - LENGTH_SIGMA**2 / 2
    return max(min_tokens, round(rng.lognormvariate(mu, LENGTH_SIGMA)))
