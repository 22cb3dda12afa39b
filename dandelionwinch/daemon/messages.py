"""Messages from the listeners' threads to the core."""

import attrs


@attrs.frozen
class Admit:
    """Asks to take a job."""

    job_id: str
    team: str
    target: str


@attrs.frozen
class PlaceCompletion:
    """Asks where a completion runs.

    Attributes:
        exclude: Upstreams that failed this job before.
    """

    job_id: str
    job: object
    exclude: frozenset = frozenset()


@attrs.frozen
class Placement:
    """Reply: where a completion runs.

    Attributes:
        prefill_address: Upstream that prefills, or empty if the decoding
            upstream does so itself.
    """

    upstream: str
    address: str
    prefill_upstream: str
    prefill_address: str
    token_gap_s: float
    first_token_s: float


@attrs.frozen
class PlaceService:
    """Asks which upstreams can take a call of a plain service."""

    job_id: str
    service: str


@attrs.frozen
class ServicePlacement:
    """Reply: the service's rules and its upstreams, best first."""

    service: object
    upstreams: tuple


@attrs.frozen
class UpstreamFailed:
    """Tells that an upstream failed a job."""

    job_id: str
    upstream: str
    reason: str


@attrs.frozen
class Retry:
    """Asks whether a retry is within the budget."""

    job_id: str
    target: str


@attrs.frozen
class Finish:
    """Tells how a job ended.

    Attributes:
        state: ``done``, ``refused``, ``unknown`` or ``abandoned``.
        tokens: Output of the job, if its whole answer was delivered.
    """

    job_id: str
    state: str
    code: str = ''
    tokens: int = 0


@attrs.frozen
class OpenClaim:
    """Asks for the right to send a call that may run only once."""

    opening: object


@attrs.frozen
class CloseClaim:
    """Tells what became of a claimed call."""

    close: object


@attrs.frozen
class FindAddress:
    """Asks which instance a client should use."""

    data_centre: str
    team: str


@attrs.frozen
class RunStatement:
    """A statement of the operators' language."""

    text: str


@attrs.frozen
class CheckReadiness:
    """Asks whether the instance takes new work."""
