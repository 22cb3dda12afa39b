"""The jobs that an instance served of late, for operators."""

import collections

import attrs

JOBS_KEPT = 2048


@attrs.define
class JobRecord:
    """One job as operators see it.

    Attributes:
        state: ``running``, ``done``, ``refused`` or ``unknown``.
        terms: Why each placement was chosen, newest last.
    """

    id: str
    team: str
    target: str
    started: float
    state: str = 'running'
    code: str = ''
    upstream: str = ''
    prefill_upstream: str = ''
    attempts: int = 0
    tokens: int = 0
    ended: float = 0.0
    terms: list = attrs.field(factory=list)


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
        """Notes how a job ended and returns its record, or None."""
        record = self._running.pop(job_id, None)
        if record is None:
            return None
        record.state = state
        record.code = code
        record.ended = now
        self._ended[job_id] = record
        while len(self._ended) > JOBS_KEPT:
            self._ended.popitem(last=False)
        return record

    def get(self, job_id):
        """Returns a job's record, or None."""
        return self._running.get(job_id) or self._ended.get(job_id)

    def running(self):
        """Returns the records of running jobs."""
        return list(self._running.values())

    def all(self):
        """Returns all records, ended ones first."""
        return [*self._ended.values(), *self._running.values()]

    def count_on_upstream(self, upstream):
        """Returns the number of running jobs on an upstream."""
        return sum(
            1
            for record in self._running.values()
            if upstream in (record.upstream, record.prefill_upstream)
        )
