"""What one instance is told at its start."""

import attrs

# What one request takes of an instance, as far as shares go.
REQUEST_CORE_S = 0.002
REQUEST_BITS = 240_000
BITS_PER_MEGABIT = 1_000_000


@attrs.frozen
class InstanceConfig:
    """Addresses, bounds and limits of one instance.

    Attributes:
        regions: Region of each data centre.
        callers: Address for callers' requests, or ''.
        readiness: Address for questions whether it is ready, or ''.
        directory: Address for questions where to connect, or ''.
        store: Address of the store.
        cores: Processor time per second that the machine grants.
        link_mbps: Megabits per second of the machine's link.
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
    cores: float
    link_mbps: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    min_lease_s: float
    handover_s: float
    max_ttl_s: float
    findings: tuple[str, ...] = ()

    @property
    def capacity(self):
        """Returns the requests per second that the machine can carry."""
        link_bits_per_s = self.link_mbps * BITS_PER_MEGABIT
        return min(self.cores / REQUEST_CORE_S, link_bits_per_s / REQUEST_BITS)

    @property
    def region(self):
        """Returns the region of the instance, or ''."""
        return self.regions.get(self.data_centre, '')
