"""What one instance is told at its start."""

import attrs


@attrs.frozen
class InstanceConfig:
    """Addresses, bounds and limits of one instance.

    Attributes:
        regions: Region of each data centre.
        callers: Address for callers' requests, or ''.
        readiness: Address for questions whether it is ready, or ''.
        directory: Address for questions where to connect, or ''.
        store: Address of the store.
        grace_s: Seconds between SIGTERM and SIGKILL.
        retry_ratio: Repeats allowed for each request, for all instances.
        retry_slack: Repeats allowed besides, for all instances.
        least_lease_s: Shortest lease that the store grants.
        turn_s: Least time between orders of two instances.
        max_ttl_s: Longest time that an address answer may hold.
        findings: Fields that were replaced by defaults, and why.
    """

    instance: str
    ip: str
    data_centre: str
    regions: dict
    callers: str
    readiness: str
    directory: str
    store: str
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    least_lease_s: float
    turn_s: float
    max_ttl_s: float
    findings: tuple[str, ...] = ()

    @property
    def region(self):
        """Returns the region of the instance, or ''."""
        return self.regions.get(self.data_centre, '')
