"""The figures of a simulated run: its jobs against their limits."""

import attrs

from dandelionwinch.bench import _bound
from dandelionwinch import settings
from dandelionwinch import utils


@attrs.frozen
class Sample:
    """The figures of one sample period, for plots.

    Attributes:
        at_s: End of the period.
        prefill_upstreams: Number of running engines with role prefill then.
        goodput_tokens: Output tokens of the jobs that completed within
            their limits.
        prompt_tokens: Prompt tokens of the jobs that arrived.
        output_tokens: Output tokens of the jobs that arrived.
    """

    at_s: float
    prefill_upstreams: int
    goodput_tokens: float
    prompt_tokens: float
    output_tokens: float


@attrs.frozen
class Result:
    """The figures of one run, printed as a row.

    Attributes:
        jobs_in_slo: Jobs that completed within their limits.
        goodput_tokens_per_s: Output tokens of these jobs per second.
        goodput_bound_tokens_per_s: Upper bound of the goodput.
        refused: Jobs refused at arrival or at a retry.
        busiest_queue: Longest queue of prompts at one engine.
    """

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


class Figures:
    """Collects the figures of a run.

    Args:
        trace: The Trace.
        engines: The Engines.

    Attributes:
        refused: Jobs refused so far.
        role_changes: Role changes so far.
    """

    def __init__(self, trace, engines):
        self._trace = trace
        self._engines = engines
        self._states = []
        self._samples = []
        # Goodput, prompt and output tokens since the last sample.
        self._window_tokens = [0.0, 0.0, 0.0]
        self.refused = 0
        self.role_changes = 0

    def job_arrived(self, state):
        """Counts the JobState of a job that arrived."""
        self._states.append(state)
        self._window_tokens[1] += state.job.prompt_tokens
        self._window_tokens[2] += state.job.output_tokens

    def job_completed(self, state):
        """Counts the JobState of a job that is complete."""
        if self._in_slo(state):
            self._window_tokens[0] += state.job.output_tokens

    def sample(self, now):
        """Ends a sample period."""
        prefill = sum(
            1
            for engine in self._engines
            if engine.alive and engine.role is settings.Role.PREFILL
        )
        self._samples.append(Sample(now, prefill, *self._window_tokens))
        self._window_tokens = [0.0, 0.0, 0.0]

    def _in_slo(self, state):
        if state.first_token_at is None or state.ended_at is None:
            return False
        limits = self._trace.slo
        return (
            _first_token_s(state) <= limits.first_token_s
            and _gap_s(state) <= limits.token_gap_s
        )

    def result(self, policy_name, seed, jobs):
        """Returns the Result of a run.

        Args:
            policy_name: Name of its policy.
            seed: Its seed.
            jobs: All jobs of the trace.
        """
        in_slo = [state for state in self._states if self._in_slo(state)]
        ended = [state for state in self._states if state.ended_at is not None]
        tokens = sum(state.job.output_tokens for state in in_slo)
        duration_s = self._trace.duration_s
        first_token_times = [_first_token_s(state) for state in ended]
        gaps = [_gap_s(state) for state in ended]
        return Result(
            trace='',
            policy=policy_name,
            seed=seed,
            jobs=len(jobs),
            jobs_in_slo=len(in_slo),
            goodput_tokens_per_s=round(tokens / duration_s, 2),
            goodput_bound_tokens_per_s=round(
                _bound.goodput_bound(self._trace, jobs), 2
            ),
            role_changes=self.role_changes,
            refused=self.refused,
            first_token_p95_s=round(
                utils.percentile(first_token_times, 0.95), 4
            ),
            token_gap_p95_s=round(utils.percentile(gaps, 0.95), 5),
            busiest_queue=max(e.longest_queue for e in self._engines),
            samples=tuple(self._samples),
        )


def _first_token_s(state):
    return state.first_token_at - state.job.arrived + state.link_rtt_s


def _gap_s(state):
    tokens = max(1, state.job.output_tokens - 1)
    return (state.ended_at - state.first_token_at) / tokens
