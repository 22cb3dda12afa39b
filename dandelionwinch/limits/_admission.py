"""Admits jobs by team limits that are split over the instances."""

import attrs

from dandelionwinch import errors

RATE_WINDOW_S = 5.0
LEAST_SHARE = 0.1
BUSY_SHARE = 0.75


@attrs.define
class _Bucket:
    """A token bucket of one team on this instance."""

    tokens: float
    filled_at: float
    used: float = 0.0
    used_at: float = 0.0
    jobs: int = 0


class Admission:
    """Decides whether an instance takes a job of a team.

    A team's rate holds for all instances together. Each instance takes
    a share in line with the use that it and its peers have seen, which
    rides on the heartbeats; no store call is made for a job. While
    instances are partly idle a team may exceed its share of places;
    once most places are taken, teams get places by weight.
    """

    __slots__ = ('_buckets', '_max_jobs', '_peers', 'jobs')

    def __init__(self, max_jobs):
        self._max_jobs = max_jobs
        self._buckets = {}
        self._peers = {}
        self.jobs = 0

    def record_peer_rates(self, peer, uses, now):
        """Takes in how much of each team's limit a peer used.

        Args:
            peer: Name of the peer.
            uses: Mapping of team to jobs per second.
            now: Time in seconds.
        """
        self._peers[peer] = (now, uses)

    def rates_by_team(self, now):
        """Returns this instance's jobs per second by team."""
        rates = {}
        for team, bucket in self._buckets.items():
            rate = self._rate(bucket, now)
            if rate > 0.01:
                rates[team] = rate
        return rates

    @staticmethod
    def _rate(bucket, now):
        age_s = now - bucket.used_at
        kept = max(0.0, 1 - age_s / RATE_WINDOW_S)
        return bucket.used * kept / RATE_WINDOW_S

    def share(self, team, instances, now):
        """Returns this instance's share of a team's limit."""
        mine = self._rate(self._bucket(team, now), now)
        others = sum(
            uses.get(team.name, 0.0)
            for at, uses in self._peers.values()
            if now - at < RATE_WINDOW_S
        )
        even = 1 / max(1, instances)
        if mine + others <= 0:
            return even
        wanted = (mine + even) / (mine + others + 1)
        return max(LEAST_SHARE * even, wanted)

    def _bucket(self, team, now):
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = _Bucket(float(team.burst_jobs), now, used_at=now)
            self._buckets[team.name] = bucket
        return bucket

    def admit(self, team, teams_weight, instances, now):
        """Takes a place for a job.

        Args:
            team: The team's limits.
            teams_weight: Sum of the weights of teams with jobs here.
            instances: Number of instances that share the limits.
            now: Time in seconds.

        Raises:
            Overloaded: If the team or the instance is at its limit.
        """
        bucket = self._bucket(team, now)
        rate = team.jobs_per_s * self.share(team, instances, now)
        self._fill(bucket, team, rate, now)
        if self.jobs >= self._max_jobs:
            raise errors.Overloaded(
                f'instance serves its limit of {self._max_jobs} jobs',
                retry_after_s=1.0,
            )
        if bucket.tokens < 1:
            raise errors.Overloaded(
                f'team "{team.name}" is over its limit of '
                f'{team.jobs_per_s:g} jobs a second',
                retry_after_s=round((1 - bucket.tokens) / rate, 2),
            )
        if self.jobs >= BUSY_SHARE * self._max_jobs:
            fair = self._max_jobs * team.weight / max(1e-9, teams_weight)
            if bucket.jobs >= fair:
                raise errors.Overloaded(
                    f'team "{team.name}" has its share of {fair:.0f} jobs',
                    retry_after_s=0.5,
                )
        self._take(bucket, now)

    @staticmethod
    def _fill(bucket, team, rate, now):
        gained = (now - bucket.filled_at) * rate
        bucket.tokens = min(float(team.burst_jobs), bucket.tokens + gained)
        bucket.filled_at = now

    def _take(self, bucket, now):
        bucket.tokens -= 1
        kept = max(0.0, 1 - (now - bucket.used_at) / RATE_WINDOW_S)
        bucket.used = bucket.used * kept + 1
        bucket.used_at = now
        bucket.jobs += 1
        self.jobs += 1

    def busy_teams(self):
        """Returns the names of the teams that have jobs here."""
        return [name for name, b in self._buckets.items() if b.jobs]

    def release(self, team_name):
        """Gives a job's place back."""
        bucket = self._buckets.get(team_name)
        if bucket is not None and bucket.jobs > 0:
            bucket.jobs -= 1
            self.jobs -= 1
