"""Exceptions with stable codes, and faults of settings files."""

import enum

import attrs


# What access to a parsed document of another shape raises.
SHAPE_ERRORS = (LookupError, TypeError, ValueError, AttributeError)


class ExecutionStatus(enum.StrEnum):
    """What is known about the execution of a failed request."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


class DandelionwinchError(Exception):
    """Base class of all errors that are reported to a caller.

    Attributes:
        code: Stable, machine-readable code.
        status: HTTP status of the answer.
        execution: Whether the request ran, as an ExecutionStatus.
        message: Text for people.
        retry_after_s: Seconds after which a retry may succeed, or None.
    """

    code = 'internal'
    status = 500
    execution = ExecutionStatus.NOT_RUN

    def __init__(self, message, *, retry_after_s=None):
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s


class BadRequest(DandelionwinchError):
    """The request is malformed."""

    code = 'bad_request'
    status = 400


class TooLarge(BadRequest):
    """The request body is larger than the configured limit."""

    code = 'too_large'
    status = 413


class NotFound(DandelionwinchError):
    """The named model, service or path does not exist."""

    code = 'not_found'
    status = 404


class Unauthorized(DandelionwinchError):
    """The bearer token is missing or wrong for this interface."""

    code = 'unauthorized'
    status = 401


class Overloaded(DandelionwinchError):
    """The request cannot be finished in time and is refused early."""

    code = 'overloaded'
    status = 429


class Unready(DandelionwinchError):
    """This instance accepts no new work at present."""

    code = 'unready'
    status = 503


class NoUpstream(DandelionwinchError):
    """No upstream accepts the job at present."""

    code = 'no_upstream'
    status = 503


class StoreUnavailable(DandelionwinchError):
    """The platform's store did not answer and nothing was started."""

    code = 'store_unavailable'
    status = 503


class KeyReused(DandelionwinchError):
    """An idempotency key was reused with a different request."""

    code = 'key_reused'
    status = 422


class KeyMissing(BadRequest):
    """A call that is not idempotent has no idempotency key."""

    code = 'key_missing'


class KeyExpired(DandelionwinchError):
    """An idempotency key is older than the retention of claims."""

    code = 'key_expired'
    status = 410


class KeyUnresolved(DandelionwinchError):
    """An earlier request with this key has no known outcome yet."""

    code = 'key_unresolved'
    status = 409
    execution = ExecutionStatus.UNKNOWN


class UpstreamFailed(DandelionwinchError):
    """The upstream failed before an answer was complete."""

    code = 'upstream_failed'
    status = 502


class OutcomeUnknown(DandelionwinchError):
    """A call that is not idempotent was sent but not answered."""

    code = 'outcome_unknown'
    status = 502
    execution = ExecutionStatus.UNKNOWN


class DeadlinePassed(DandelionwinchError):
    """The answer was not complete before the deadline."""

    code = 'deadline_passed'
    status = 504


class Conflict(DandelionwinchError):
    """A command expects a revision that is no longer current."""

    code = 'conflict'
    status = 409


class StatementInvalid(DandelionwinchError):
    """A statement of the operators' language cannot be parsed.

    Attributes:
        column: Column of the fault from 1, or None.
        expected: What could stand there instead.
    """

    code = 'statement_invalid'
    status = 400

    def __init__(self, message, *, column=None, expected=()):
        super().__init__(message)
        self.column = column
        self.expected = tuple(expected)


class MalformedValue(DandelionwinchError):
    """A value of the store or of another process has another shape.

    Attributes:
        what: Description of the value.
        place: Where the fault is, such as ``$.revision``.
    """

    code = 'malformed_value'
    status = 503

    def __init__(self, what, place, reason):
        super().__init__(f'{what} is malformed: {place}: {reason}')
        self.what = what
        self.place = place


@attrs.frozen
class Finding:
    """One fault of a settings file or document, with its location.

    Attributes:
        file: Name of the file, or of the document's source.
        line: Line number from 1, or 0 if there is no line.
        path: Path of the value, such as ``upstreams[2].role``.
        message: What is wrong, naming the value.
    """

    file: str
    line: int
    path: str
    message: str

    def __str__(self):
        return f'{self.file}:{self.line}: {self.path}: {self.message}'


class SettingsInvalid(DandelionwinchError):
    """Settings have one or more faults, which are reported together.

    Attributes:
        findings: Tuple of each Finding.
    """

    code = 'settings_invalid'
    status = 400

    def __init__(self, findings):
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)
