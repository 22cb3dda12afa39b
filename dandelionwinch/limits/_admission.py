"""Admission control by team limits that instances share."""

import attrs

from dandelionwinch import errors

RATE_WINDOW_S = 5.0
# Minimum share of a rate limit, as a multiple of an even share.
MIN_EVEN_SHARE_RATIO = 0.1
# Part of an instance's slots from which on teams get slots by weight.
BUSY_RATIO = 0.75


@attrs.define
class _Bucket:
    """Token bucket of one team at this instance.

    Attributes:
        tokens: Jobs that may be admitted at once.
        filled_at: Time of the last refill.
        recent_jobs: Jobs admitted recently. At each admission the sum so
            far decays linearly with the time since the one before, to 0
            after RATE_WINDOW_S.
        admitted_at: Time of the last admission.
        jobs: Jobs in progress.
    """

    tokens: float
    filled_at: float
    recent_jobs: float = 0.0
    admitted_at: float = 0.0
    jobs: int = 0


class Admission:
    """Admits jobs by the rate limits and the weights of teams.

    A team's rate limit applies to all instances together. Each instance
    applies a share of it, in proportion to the rates of admitted jobs,
    its own and those that peers report in heartbeats; no store call is
    made for a job. Each job also takes one of the instance's slots. While
    most slots are free, a team may hold any number of them; from BUSY_RATIO
    on, a team that holds its share by weight gets no more.

    Args:
        max_jobs: Number of slots, the maximum of concurrent jobs.

    Attributes:
        jobs: Jobs in progress.
    """

    __slots__ = ('_buckets', '_max_jobs', '_peers', 'jobs')

    def __init__(self, max_jobs):
        self._max_jobs = max_jobs
        self._buckets = {}
        self._peers = {}
        self.jobs = 0

    def record_peer_rates(self, peer, rates, now):
        """Records the rates of admitted jobs that a peer reports.

        Args:
            peer: Name of the peer.
            rates: Mapping of team to jobs per second.
            now: Time in seconds.
        """
        self._peers[peer] = (now, rates)

    def rates_by_team(self, now):
        """Returns the admitted jobs per second of this instance by team."""
        rates = {}
        for team, bucket in self._buckets.items():
            rate = self._rate(bucket, now)
            # A rate that has decayed to almost nothing is not reported.
            if rate > 0.01:
                rates[team] = rate
        return rates

    @staticmethod
    def _rate(bucket, now):
        age_s = now - bucket.admitted_at
        decay = max(0.0, 1 - age_s / RATE_WINDOW_S)
        return bucket.recent_jobs * decay / RATE_WINDOW_S

    def share(self, team, instances, now):
        """Returns this instance's share of a team's rate limit, 0 to 1.

        Args:
            team: The team's limits.
            instances: Number of instances that share the limit.
            now: Time in seconds.
        """
        own = self._rate(self._bucket(team, now), now)
        others = sum(
            rates.get(team.name, 0.0)
            for at, rates in self._peers.values()
            if now - at < RATE_WINDOW_S
        )
        even = 1 / max(1, instances)
        if own + others <= 0:
            return even
        # One more job per second, split evenly, is added to the rates: the
        # lower they are, the closer a share is to an even one.
        wanted = (own + even) / (own + others + 1)
        return max(MIN_EVEN_SHARE_RATIO * even, wanted)

    def _bucket(self, team, now):
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = _Bucket(float(team.burst_jobs), now, admitted_at=now)
            self._buckets[team.name] = bucket
        return bucket

    def admit(self, team, teams_weight, instances, now):
        """Admits a job: spends a token of its team and takes a slot.

        Args:
            team: The team's limits.
            teams_weight: Sum of the weights of teams with jobs at this
                instance.
            instances: Number of instances that share the limits.
            now: Time in seconds.

        Raises:
            Overloaded: If the team or the instance is at its limit.
        """
        bucket = self._bucket(team, now)
        rate = team.jobs_per_s * self.share(team, instances, now)
        self._refill(bucket, team, rate, now)
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
        if self.jobs >= BUSY_RATIO * self._max_jobs:
            fair = self._max_jobs * team.weight / max(1e-9, teams_weight)
            if bucket.jobs >= fair:
                raise errors.Overloaded(
                    f'team "{team.name}" has its share of {fair:.0f} jobs',
                    retry_after_s=0.5,
                )
        self._reserve(bucket, now)

    @staticmethod
    def _refill(bucket, team, rate, now):
        gained = (now - bucket.filled_at) * rate
        bucket.tokens = min(float(team.burst_jobs), bucket.tokens + gained)
        bucket.filled_at = now

    def _reserve(self, bucket, now):
        bucket.tokens -= 1
        decay = max(0.0, 1 - (now - bucket.admitted_at) / RATE_WINDOW_S)
        bucket.recent_jobs = bucket.recent_jobs * decay + 1
        bucket.admitted_at = now
        bucket.jobs += 1
        self.jobs += 1

    def busy_teams(self):
        """Returns the names of teams with jobs in progress."""
        return [name for name, b in self._buckets.items() if b.jobs]

    def release(self, team_name):
        """Releases the slot of a finished job."""
        bucket = self._buckets.get(team_name)
        if bucket is not None and bucket.jobs > 0:
            bucket.jobs -= 1
            self.jobs -= 1
