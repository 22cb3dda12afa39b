"""Sums up the demand that the instances report."""

import attrs

# Age in seconds at which a report no longer counts; instances send one a
# second, so two in a row may be lost.
REPORT_VALID_S = 3.0


@attrs.frozen
class Demand:
    """Work for the upstreams of a service, in engine seconds a second.

    An engine second is the work that takes one engine one second.

    Attributes:
        done: Work that was done in time.
        short: Work that was refused or late.
    """

    done: float = 0.0
    short: float = 0.0

    @property
    def total(self):
        """All work that was asked for."""
        return self.done + self.short


class DemandReports:
    """The last report of each instance."""

    __slots__ = ('_reports',)

    def __init__(self):
        # Time and Demand by service, by the name of the instance.
        self._reports = {}

    def record(self, instance, demands, now):
        """Records the report of an instance.

        Args:
            instance: Name of the instance.
            demands: Demand by the name of the service.
            now: Time in seconds.
        """
        self._reports[instance] = (now, demands)

    def total(self, service, registered, now):
        """Returns the Demand at all instances.

        The sum over those that were heard is scaled to those registered,
        as a datagram may be lost.

        Args:
            service: Name of the service.
            registered: Number of registered instances.
            now: Time in seconds.

        Returns:
            Demand, or None if no instance was heard lately.
        """
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report[0] <= REPORT_VALID_S
        }
        if not self._reports:
            return None
        found = [
            demands.get(service, Demand())
            for _at, demands in self._reports.values()
        ]
        scale = max(1.0, registered / len(found))
        return Demand(
            scale * sum(demand.done for demand in found),
            scale * sum(demand.short for demand in found),
        )
