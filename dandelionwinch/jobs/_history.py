"""The running and recently ended jobs of an instance, for operators."""

import collections

import attrs

MAX_ENDED_JOBS = 2048


@attrs.define
class JobRecord:
    """One job as shown to operators.

    Attributes:
        id: Identifier of the job.
        team: Name of the client's team.
        target: Name of the model or service.
        started: Start time in seconds.
        state: ``running``, ``done``, ``refused``, ``unknown`` or
            ``abandoned``.
        code: Code of the error that ended the job, or empty.
        upstream: Upstream of the newest attempt, or empty.
        prefill_upstream: Upstream that prefills for it, or empty.
        earlier_upstreams: Upstreams of earlier attempts of a call, which
            may still work on them.
        attempts: Number of attempts.
        tokens: Tokens delivered.
        ended: End time in seconds.
        terms: Texts on each placement and failure, newest last.
    """

    id: str
    team: str
    target: str
    started: float
    state: str = 'running'
    code: str = ''
    upstream: str = ''
    prefill_upstream: str = ''
    earlier_upstreams: set = attrs.field(factory=set)
    attempts: int = 0
    tokens: int = 0
    ended: float = 0.0
    terms: list = attrs.field(factory=list)

    def begin_attempt(self, upstream):
        """Records an attempt of a call at a further upstream."""
        if self.upstream:
            self.earlier_upstreams.add(self.upstream)
        self.upstream = upstream
        self.attempts += 1

    def is_on(self, upstream):
        """Tells whether an upstream may work on this job."""
        return (
            upstream in (self.upstream, self.prefill_upstream)
            or upstream in self.earlier_upstreams
        )


class JobHistory:
    """All running jobs and a bounded number of ended ones."""

    __slots__ = ('_ended', '_running')

    def __init__(self):
        self._running = {}
        self._ended = collections.OrderedDict()

    def add(self, record):
        """Adds a running job."""
        self._running[record.id] = record

    def end(self, job_id, state, code, now):
        """Records the end of a running job.

        Returns:
            The job's record, or None if no such job was running.
        """
        record = self._running.pop(job_id, None)
        if record is None:
            return None
        record.state = state
        record.code = code
        record.ended = now
        self._ended[job_id] = record
        while len(self._ended) > MAX_ENDED_JOBS:
            self._ended.popitem(last=False)
        return record

    def get(self, job_id):
        """Returns a job's record, or None."""
        return self._running.get(job_id) or self._ended.get(job_id)

    def running(self):
        """Returns the records of running jobs."""
        return list(self._running.values())

    def all(self):
        """Returns all records, those of ended jobs first."""
        return [*self._ended.values(), *self._running.values()]

    def count_on_upstream(self, upstream):
        """Returns the number of running jobs on an upstream."""
        return sum(
            1 for record in self._running.values() if record.is_on(upstream)
        )
