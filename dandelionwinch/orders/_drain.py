"""When an order may be sent without cutting a job."""

import attrs


@attrs.frozen
class DrainReport:
    """One instance's answer to a hold on an upstream.

    Attributes:
        jobs: Jobs that the instance still has on the upstream.
        held_from: Time before the hold was asked for.
        ttl_s: How long the instance keeps the hold.
    """

    instance: str
    jobs: int
    held_from: float
    ttl_s: float


def may_send(instances, reports, running, now, margin_s):
    """Decides whether a role change cuts nothing.

    Each instance that may live must keep a hold on the upstream for long
    enough, and neither they nor the upstream may have a job on it.

    Args:
        instances: Names of the instances that may live.
        reports: DrainReport by instance.
        running: Jobs that the upstream reports, or None if unknown.
        now: Time in seconds.
        margin_s: Least time that each hold must still last.

    Returns:
        An empty string, or the reason to wait.
    """
    for name in instances:
        report = reports.get(name)
        if report is None:
            return f'instance "{name}" has not confirmed the hold'
        if now + margin_s > report.held_from + report.ttl_s:
            return f'the hold of instance "{name}" is running out'
        if report.jobs:
            return f'instance "{name}" has {report.jobs} jobs on it'
    if running is None:
        return 'the upstream has not reported its load'
    if running:
        return f'the upstream reports {running} jobs'
    return ''
