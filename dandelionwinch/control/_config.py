"""Start-up configuration of one instance."""

import enum

import attrs

# Cost of one request, by which instances are compared to share limits.
CORE_S_PER_REQUEST = 0.002
BITS_PER_REQUEST = 240_000
BITS_PER_MEGABIT = 1_000_000
# Calls that the store grants to all instances together, unless the settings
# state other rates.
WRITES_PER_S = 400.0
READS_PER_S = 2000.0
BYTES_PER_MEGABYTE = 1 << 20
MEMORY_BYTES = 160.0 * BYTES_PER_MEGABYTE
# Part of the memory for bytes that are held for callers. Each of them is held
# up to three times: as received, as parsed and as sent.
HELD_BYTES_RATIO = 0.125


class Duty(enum.Enum):
    """A duty of one instance at a time, performed at the duty API."""

    USAGE = 'usage'
    CAPACITY = 'capacity'


@attrs.frozen
class DutySettings:
    """Where duties are performed, and their bounds.

    Attributes:
        address: Address of the duty API, or ''.
        duties: The Duty items that are to be performed.
        calls_per_s: Calls that the duty API accepts from all instances.
        report_window_s: Length of a window of usage.
        usage_late_s: Time after the end of a window at which its report is
            due.
    """

    address: str = ''
    duties: frozenset[Duty] = frozenset()
    calls_per_s: float = 50.0
    report_window_s: float = 5.0
    usage_late_s: float = 10.0

    @property
    def enabled(self):
        """Whether there is any duty to perform."""
        return bool(self.address and self.duties)

    @property
    def reports_usage(self):
        """Whether the usage of teams is to be reported."""
        return self.enabled and Duty.USAGE in self.duties


@attrs.frozen
class InstanceConfig:
    """Addresses, bounds and limits of one instance.

    Attributes:
        regions: Region of each data centre.
        callers: Listen address of the server for callers, or ''.
        readiness: Listen address of the readiness probe, or ''.
        directory: Listen address of the directory, which resolves the
            service name to addresses of instances, or ''.
        store: Address of the store.
        peer_port: UDP port on which instances speak to each other, the same
            at all of them; 0 for none.
        cores: CPU seconds per second that the machine grants.
        link_mbps: Bandwidth of the machine's link in megabits per second.
        grace_s: Seconds between SIGTERM and SIGKILL.
        retry_ratio: Retries allowed per request, over all instances.
        retry_slack: Retries allowed in addition, over all instances.
        retry_window_s: Window of the retry budget in seconds.
        min_lease_s: Shortest lease that the store grants.
        handover_s: Minimum time between orders of two instances.
        max_ttl_s: Longest time for which resolved addresses may be valid.
        writes_per_s: Write calls that the store grants to all instances.
        reads_per_s: Read calls that it grants to them.
        memory_bytes: Memory that the process may use.
        strict_revoke: Whether an instance that is out of contact with the
            store refuses requests that need a key.
        revoke_s: Time out of contact after which it does so.
        duty_settings: DutySettings.
        limits_held_bytes: Whether what upstreams and single teams hold is
            bounded, and upstreams that stop to read get nothing.
        drain_s: Time that an upstream which drains has, unless its entry
            states another one.
        contact_s: Time after an outage of the store within which the instance
            is up to date.
        findings: Fields that were replaced by defaults, with the reason.
    """

    instance: str
    ip: str
    data_centre: str
    regions: dict
    callers: str
    readiness: str
    directory: str
    store: str
    peer_port: int
    cores: float
    link_mbps: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    min_lease_s: float
    handover_s: float
    max_ttl_s: float
    writes_per_s: float = WRITES_PER_S
    reads_per_s: float = READS_PER_S
    memory_bytes: float = MEMORY_BYTES
    strict_revoke: bool = False
    revoke_s: float = 5.0
    duty_settings: DutySettings = DutySettings()
    limits_held_bytes: bool = False
    drain_s: float = 4.0
    contact_s: float = 4.0
    findings: tuple[str, ...] = ()

    @property
    def capacity(self):
        """Requests per second that the machine can serve."""
        link_bits_per_s = self.link_mbps * BITS_PER_MEGABIT
        return min(
            self.cores / CORE_S_PER_REQUEST, link_bits_per_s / BITS_PER_REQUEST
        )

    @property
    def max_held_bytes(self):
        """Bytes that may be held for callers at a time."""
        return int(HELD_BYTES_RATIO * self.memory_bytes)

    @property
    def region(self):
        """Region of the instance, or ''."""
        return self.regions.get(self.data_centre, '')
