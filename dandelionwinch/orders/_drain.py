"""Decides whether a drained upstream can change its role."""

import attrs


@attrs.frozen
class DrainReport:
    """One instance's confirmation of a hold on an upstream.

    Attributes:
        jobs: Number of jobs that the instance still has on the upstream.
        held_since: Time before the hold was requested.
        ttl_s: Seconds for which the instance keeps the hold.
    """

    instance: str
    jobs: int
    held_since: float
    ttl_s: float


def drain_wait_reason(instances, reports, upstream_jobs, now, margin_s):
    """Returns why a role change has to wait, or an empty string.

    Every instance that may still be alive must keep its hold on the
    upstream for long enough, and neither the instances nor the upstream
    may report a job on it.

    Args:
        instances: Names of the instances that may still be alive.
        reports: DrainReport by instance name.
        upstream_jobs: Number of jobs that the upstream reports, or None if
            unknown.
        now: Time in seconds.
        margin_s: Seconds that each hold must still last.

    Returns:
        An empty string if the order may be sent, else the reason to wait.
    """
    for name in instances:
        report = reports.get(name)
        if report is None:
            return f'instance "{name}" has not confirmed the hold'
        if now + margin_s > report.held_since + report.ttl_s:
            return f'the hold of instance "{name}" is running out'
        if report.jobs:
            return f'instance "{name}" has {report.jobs} jobs on it'
    if upstream_jobs is None:
        return 'the upstream has not reported its load'
    if upstream_jobs:
        return f'the upstream reports {upstream_jobs} jobs'
    return ''
