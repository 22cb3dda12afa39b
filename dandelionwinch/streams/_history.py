"""Which software versions of a service were registered, and since when."""

import attrs


@attrs.frozen
class Sole:
    """The only software version of a service, as an instance saw it.

    Attributes:
        version: The version.
        for_s: Seconds since which it has been the only one.
        age_s: Seconds for which another one may have come unseen.
    """

    version: str
    for_s: float
    age_s: float = 0.0

    def reaches(self, other):
        """Tells whether it was seen up to when another one was first seen.

        Both together then tell of one span without a gap.
        """
        return self.version == other.version and self.age_s <= other.for_s


@attrs.define
class _Seen:
    """What was seen of one service.

    Attributes:
        versions: Versions that are registered.
        since: Time since which they are these.
    """

    versions: frozenset
    since: float


class VersionHistory:
    """The software versions of each service, as one instance sees them."""

    __slots__ = ('_seen',)

    def __init__(self):
        self._seen = {}

    def observe(self, versions, now):
        """Takes in the versions that are registered.

        Args:
            versions: Mapping of service name to its set of versions.
            now: Time in seconds.
        """
        for service, found in versions.items():
            found = frozenset(found)
            seen = self._seen.get(service)
            if seen is None or seen.versions != found:
                self._seen[service] = _Seen(found, now)

    def interrupt(self, now):
        """Records that what came before is not known any more.

        Args:
            now: Time in seconds.
        """
        for seen in self._seen.values():
            seen.since = now

    @property
    def services(self):
        """Returns the names of the services that were seen."""
        return list(self._seen)

    def sole(self, service, now, age_s=0.0):
        """Returns the Sole version of a service, or None.

        Args:
            service: Name of the service.
            now: Time in seconds.
            age_s: Age of the view in seconds.
        """
        seen = self._seen.get(service)
        if seen is None or len(seen.versions) != 1:
            return None
        (version,) = seen.versions
        return Sole(version, now - seen.since, age_s)

    def adopt(self, service, other, now):
        """Takes over what another instance saw before this one did.

        Args:
            service: Name of the service.
            other: Sole version of the service there.
            now: Time in seconds.
        """
        own = self.sole(service, now)
        if own is not None and other.reaches(own):
            seen = self._seen[service]
            seen.since = min(seen.since, now - other.for_s)
