"""Messages that worker threads send to the core, and the replies."""

import attrs


@attrs.frozen
class Admit:
    """Requests admission of a job."""

    job_id: str
    team: str
    target: str


@attrs.frozen
class PlaceCompletion:
    """Requests the upstreams of a completion.

    Attributes:
        job: The completion request.
        exclude: Names of upstreams that already failed this job.
        is_retry: Whether the placement takes a retry from the budget of the
            model.
    """

    job_id: str
    job: object
    exclude: frozenset = frozenset()
    is_retry: bool = False


@attrs.frozen
class Placement:
    """Reply: the upstreams that run a completion.

    Attributes:
        upstream: Name of the decode upstream.
        address: Address of the decode upstream.
        prefill_upstream: Name of the prefill upstream, or empty if the
            decode upstream prefills the prompt itself.
        prefill_address: Address of the prefill upstream, or empty.
        token_gap_s: Target time between two tokens of the model.
        first_token_s: Expected time to first token, at least the
            model's target.
    """

    upstream: str
    address: str
    prefill_upstream: str
    prefill_address: str
    token_gap_s: float
    first_token_s: float


@attrs.frozen
class PlaceService:
    """Requests the upstreams that can take a call of a plain service."""

    job_id: str
    service: str


@attrs.frozen
class ServicePlacement:
    """Reply: the service's settings and its upstreams, best first."""

    service: object
    upstreams: tuple


@attrs.frozen
class BeginAttempt:
    """Requests a further attempt of a placed call at an upstream.

    The reply tells whether the upstream still accepts jobs; if so, the job
    counts as work there from now on.
    """

    job_id: str
    upstream: str


@attrs.frozen
class UpstreamFailed:
    """Reports that an upstream failed a job."""

    job_id: str
    upstream: str
    reason: str


@attrs.frozen
class Retry:
    """Requests a retry; the reply tells whether the budget allows it."""

    job_id: str
    target: str


@attrs.frozen
class Finish:
    """Reports the end of a job.

    Attributes:
        state: ``done``, ``refused``, ``unknown`` or ``abandoned``.
        code: Code of the error, or empty.
        tokens: Output tokens, or 0 unless the client got the complete
            answer.
    """

    job_id: str
    state: str
    code: str = ''
    tokens: int = 0


@attrs.frozen
class OpenClaim:
    """Requests a claim on the key of a call that may run only once."""

    opening: object


@attrs.frozen
class CloseClaim:
    """Records the outcome of a claimed call."""

    close: object


@attrs.frozen
class FindAddress:
    """Requests the address of the instance that a client should use."""

    data_centre: str
    team: str


@attrs.frozen
class RunStatement:
    """Runs a statement of the operators' language."""

    text: str


@attrs.frozen
class CheckReadiness:
    """Requests the reason why no new work is accepted; empty if ready."""
