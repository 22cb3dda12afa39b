"""Totals of delivered work by team, written to the store in batches.

Each process keeps running totals under a store key of its own, named
by instance and incarnation. A write replaces the totals, so repeating
it counts nothing twice, and no other process writes to that key.
"""

import json

import attrs

from dandelionwinch import effects

# Number of newest job ids that are kept to recognize duplicates.
MAX_RECORDED_JOBS = 4096
# Upper limit for the writes of all instances together.
TOTAL_WRITES_PER_S = 20.0


@attrs.frozen
class Total:
    """Work that one process delivered for one team.

    Attributes:
        jobs: Number of jobs whose whole answer reached its client.
        tokens: Output tokens of those jobs; a call of a service counts
            as one.
    """

    jobs: int = 0
    tokens: int = 0


def ledger_key(instance, incarnation):
    """Returns the store key of one process's totals."""
    return f'earnings/{instance}/{incarnation}'


def write_interval_s(min_interval_s, instances):
    """Returns the seconds between two writes of an instance's totals.

    The interval grows with the number of instances, so that all of them
    together do not exceed a constant rate.

    Args:
        min_interval_s: Shortest interval in seconds.
        instances: Number of instances that write.
    """
    return max(min_interval_s, instances / TOTAL_WRITES_PER_S)


class Ledger:
    """Running totals of one process, and the totals last written.

    A crash loses at most the jobs recorded since the last write; it
    never counts a job twice.

    Args:
        instance: Name of the instance.
        incarnation: Incarnation of its process.
    """

    __slots__ = ('_key', '_recorded', '_totals', '_written')

    def __init__(self, instance, incarnation):
        self._key = ledger_key(instance, incarnation)
        self._totals = {}
        self._written = {}
        self._recorded = {}

    def record_job(self, job_id, team, tokens):
        """Adds a delivered job to the totals unless it was added before.

        Args:
            job_id: Identifier of the job.
            team: Name of the team.
            tokens: Tokens that were delivered.

        Returns:
            Whether the job was new.
        """
        if job_id in self._recorded:
            return False
        self._recorded[job_id] = None
        if len(self._recorded) > MAX_RECORDED_JOBS:
            self._recorded.pop(next(iter(self._recorded)))
        total = self._totals.get(team, Total())
        self._totals[team] = Total(total.jobs + 1, total.tokens + tokens)
        return True

    def totals(self):
        """Returns a dict of Total by team."""
        return dict(self._totals)

    def unwritten_jobs(self):
        """Returns the number of jobs that a crash would lose now."""
        recorded = sum(total.jobs for total in self._totals.values())
        return recorded - sum(t.jobs for t in self._written.values())

    def write(self):
        """Writes the totals if they changed (sans-I/O program).

        Returns:
            Whether the store has the current totals.
        """
        if self._totals == self._written:
            return True
        reply = yield effects.Read(self._key)
        if not isinstance(reply, effects.Found):
            return False
        totals = dict(self._totals)
        raw = {team: attrs.asdict(total) for team, total in totals.items()}
        written = yield effects.Commit(
            (effects.Guard(self._key, reply.record.revision),),
            (effects.Put(self._key, json.dumps(raw).encode()),),
        )
        if not isinstance(written, effects.Committed):
            return False
        self._written = totals
        return True
