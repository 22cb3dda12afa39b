"""Batched, idempotent bookings of earnings.

Each process keeps running totals under a store key of its own, named
by instance and incarnation. A write replaces the totals, so writing
twice counts once, and no other process writes there.
"""

import json

import attrs

from dandelionwinch import effects

BOOKED_KEPT = 4096
WRITES_PER_S = 20.0


@attrs.frozen
class Total:
    """What one process earned for one team.

    Attributes:
        jobs: Jobs whose whole answer reached its client.
        tokens: Output tokens or, for services, calls of those jobs.
    """

    jobs: int = 0
    tokens: int = 0


def ledger_key(instance, incarnation):
    """Returns the store key of one process's totals."""
    return f'earnings/{instance}/{incarnation}'


def write_interval_s(least_s, instances):
    """Returns how often an instance writes its totals.

    The period grows with the number of instances, so that all of them
    together write at a rate that stays the same.
    """
    return max(least_s, instances / WRITES_PER_S)


class Ledger:
    """Running totals of one process, and what is not yet written.

    A crash loses at most what was earned since the last write; it
    never counts a job twice.
    """

    __slots__ = ('_booked', '_key', '_totals', '_written')

    def __init__(self, instance, incarnation):
        self._key = ledger_key(instance, incarnation)
        self._totals = {}
        self._written = {}
        self._booked = {}

    def record_job(self, job_id, team, tokens):
        """Books a delivered job once.

        Returns:
            Whether the job was new.
        """
        if job_id in self._booked:
            return False
        self._booked[job_id] = None
        if len(self._booked) > BOOKED_KEPT:
            self._booked.pop(next(iter(self._booked)))
        total = self._totals.get(team, Total())
        self._totals[team] = Total(total.jobs + 1, total.tokens + tokens)
        return True

    def totals(self):
        """Returns Total by team."""
        return dict(self._totals)

    def unwritten_jobs(self):
        """Returns how many booked jobs a crash would lose now."""
        booked = sum(total.jobs for total in self._totals.values())
        return booked - sum(t.jobs for t in self._written.values())

    def write(self):
        """Writes the totals if they changed.

        Returns:
            Whether the store holds the totals.
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
