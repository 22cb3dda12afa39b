"""Upstreams by their entries in the store, and their observed health."""

import enum

import attrs

from dandelionwinch import ratelimits
from dandelionwinch.upstreams import _hold_off

# Gain of the moving average of failed attempts, and the average at which an
# upstream is ejected.
FAILURE_GAIN = 0.2
EJECT_FAILURE_RATIO = 0.5
# Duration of the first ejection; each later one is longer by the factor.
INITIAL_EJECT_S = 1.0
EJECT_GROWTH_FACTOR = 1.5
MAX_EJECT_S = 8.0
# Part of a service's upstreams that may be ejected at once.
MAX_EJECTED_RATIO = 0.5
# Gain of the moving average of excess latency.
LATENCY_GAIN = 0.2
# Age at which the average of excess latency no longer counts; until then its
# weight declines linearly.
EXCESS_FADE_S = 2.0


class Role(enum.Enum):
    """What an upstream does with a request.

    PLAIN upstreams are no model engines. PREFILL engines only prefill.
    DECODE engines decode, and can prefill, too (Role.MIXED in settings).
    """

    PLAIN = 'plain'
    PREFILL = 'prefill'
    DECODE = 'decode'


@attrs.frozen
class Entry:
    """The entry of an upstream in the store, written by the upstream.

    Attributes:
        started_at_ms: Unix time of its start in milliseconds, 0 if not
            stated. It tells one incarnation from the next.
        ready: Whether it accepts new requests.
        slots: Requests that it can serve at once.
        software_version: Version of its software, not of its weights. A
            stream can't be resumed at another one.
        sequence: Number that rises with the entries of one incarnation.
        reclaimable: Whether it may be taken away at short notice.
        leaves_in_s: Time from the write of this entry until a draining
            upstream ends, None if it is not stated.
    """

    id: str
    service: str
    address: str
    data_centre: str
    started_at_ms: int
    ready: bool
    role: Role
    slots: int
    software_version: str = ''
    sequence: int = 0
    reclaimable: bool = False
    leaves_in_s: float | None = None

    @property
    def incarnation(self):
        """Returns what tells this start of the upstream from any other."""
        return (
            self.id,
            self.started_at_ms,
            self.address,
            self.software_version,
        )


@attrs.define
class Upstream:
    """One incarnation of an upstream, with its health.

    The health is what this instance observed in its own attempts.

    Attributes:
        gone_at: Time at which its entry was removed, None if it exists.
        leaving: Whether it announced in a response that it shuts down. No
            entry takes that back.
        told_leaving_until: Time up to which it is avoided, as another
            instance told that it shuts down.
        held_off_until: Time up to which it gets no requests, as it asked
            for a pause.
        ramp_s: Time after that pause in which its requests rise to their
            usual number.
        rate_limit: What this instance may send while it states a limit.
        failure_rate: Moving average of failed attempts, 0 to 1.
        excess_s: Moving average of the latency in excess of the expected.
        active: Requests of this instance that are in flight.
        role_change_until: Time up to which its role may be changing.
        ejected_until: Time up to which it gets no requests.
        ejections: Number of ejections since it was last healthy.
        observed_at: Time of the last attempt that ended.
        sent_malformed_header: Whether a header about its own state could
            not be read.
    """

    entry: Entry
    gone_at: float | None = None
    leaving: bool = False
    told_leaving_until: float = 0.0
    held_off_until: float = 0.0
    ramp_s: float = 0.0
    rate_limit: ratelimits.Allowance = attrs.Factory(ratelimits.Allowance)
    failure_rate: float = 0.0
    excess_s: float = 0.0
    active: int = 0
    role_change_until: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    observed_at: float = 0.0
    sent_malformed_header: bool = False

    @property
    def in_service(self):
        """Tells whether it is registered, ready and not leaving."""
        return self.gone_at is None and self.entry.ready and not self.leaving

    @property
    def excluded_until(self):
        """Returns the time up to which others are preferred to it."""
        return max(self.ejected_until, self.told_leaving_until)

    def accepts_requests(self, now):
        """Tells whether it is in service and not held off."""
        return self.in_service and self.held_off_until <= now

    def hold_off(self, wait_s, now, share):
        """Sends it nothing for a time, as it asked for a pause.

        Args:
            wait_s: Pause that it asked for.
            now: Time of its response in seconds.
            share: Random number from 0 to 1; see `hold_off_end`.

        Returns:
            Whether that is later than what was known.
        """
        if _hold_off.hold_off_end(wait_s, now, 0.0) <= self.held_off_until:
            return False
        self.held_off_until = _hold_off.hold_off_end(wait_s, now, share)
        self.ramp_s = _hold_off.ramp_s(wait_s)
        return self.held_off_until > now

    def record_success(self, excess_s, now):
        """Records a successful attempt.

        Args:
            excess_s: Latency in excess of the expected.
            now: Time in seconds.
        """
        self.failure_rate -= FAILURE_GAIN * self.failure_rate
        self.excess_s += LATENCY_GAIN * (excess_s - self.excess_s)
        self.observed_at = now
        if self.failure_rate < FAILURE_GAIN / 2:
            self.ejections = 0

    def is_outdated(self, entry):
        """Tells whether an entry from a copy of the store is an older one.

        An incarnation that is leaving does not return, and one whose entry
        was removed only with a newer entry.
        """
        started_at_ms = self.entry.started_at_ms
        if entry.started_at_ms != started_at_ms:
            return entry.started_at_ms < started_at_ms
        if entry.ready and not self.entry.ready:
            return True
        if entry.sequence == self.entry.sequence:
            return self.gone_at is not None
        return entry.sequence < self.entry.sequence

    def recent_excess_s(self, now):
        """Returns the average excess latency, reduced by its age."""
        fresh = max(0.0, 1.0 - (now - self.observed_at) / EXCESS_FADE_S)
        return max(0.0, self.excess_s) * fresh

    def record_failure(self, now):
        """Records a failed attempt; ejects the upstream if too many failed."""
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate)
        self.observed_at = now
        if self.failure_rate >= EJECT_FAILURE_RATIO:
            self.eject(now)

    def eject(self, now):
        """Excludes the upstream for a time that grows with each ejection."""
        if self.ejected_until > now:
            return
        span_s = min(
            MAX_EJECT_S, INITIAL_EJECT_S * EJECT_GROWTH_FACTOR**self.ejections
        )
        self.ejected_until = now + span_s
        self.ejections += 1
        # After the ejection one more failure ejects it again, while one
        # success takes it further below the limit.
        self.failure_rate = EJECT_FAILURE_RATIO - FAILURE_GAIN / 2


class Registry:
    """All upstreams, by id and by service."""

    __slots__ = ('_applied', '_by_id', '_by_service', '_replaced')

    def __init__(self):
        self._by_id = {}
        # For each service, its upstreams by id.
        self._by_service = {}
        # Upstreams that another incarnation replaced, by incarnation.
        self._replaced = {}
        # Versions by service of the entries since `take_versions`.
        self._applied = {}

    def apply(self, entry):
        """Adds or updates an upstream by its entry in the store.

        A new incarnation starts with new health. One that comes back, as
        when the store is restored from a backup, keeps its state.

        Returns:
            Whether this is a new upstream or another incarnation.
        """
        current = self._by_id.get(entry.id)
        if current is not None and current.entry.service != entry.service:
            del self._by_service[current.entry.service][entry.id]
        upstream = self._incarnation_of(entry, current)
        upstream.entry = entry
        upstream.gone_at = None
        applied = self._applied.setdefault(entry.service, set())
        applied.add(entry.software_version)
        self._by_id[entry.id] = upstream
        self._by_service.setdefault(entry.service, {})[entry.id] = upstream
        return upstream is not current

    def _incarnation_of(self, entry, current):
        """Returns the Upstream of an entry, a new one if need be."""
        if current is not None:
            if current.entry.incarnation == entry.incarnation:
                return current
            self._replaced[current.entry.incarnation] = current
        return self._replaced.pop(entry.incarnation, None) or Upstream(entry)

    def remove(self, upstream_id, now):
        """Marks an upstream as gone and returns it, or None."""
        upstream = self._by_id.get(upstream_id)
        if upstream is not None and upstream.gone_at is None:
            upstream.gone_at = now
        return upstream

    def replace(self, entries, now):
        """Applies a full listing; marks the upstreams not listed as gone."""
        listed = {entry.id for entry in entries}
        for entry in entries:
            self.apply(entry)
        for upstream_id in self._by_id:
            if upstream_id not in listed:
                self.remove(upstream_id, now)

    def forget(self, now, keep_s):
        """Drops upstreams that have been gone for longer than `keep_s`."""
        for upstream in self._replaced.values():
            if upstream.gone_at is None:
                upstream.gone_at = now
        self._replaced = {
            incarnation: upstream
            for incarnation, upstream in self._replaced.items()
            if now - upstream.gone_at <= keep_s
        }
        old = [
            upstream_id
            for upstream_id, upstream in self._by_id.items()
            if upstream.gone_at is not None and now - upstream.gone_at > keep_s
        ]
        for upstream_id in old:
            upstream = self._by_id.pop(upstream_id)
            del self._by_service[upstream.entry.service][upstream_id]

    def get(self, upstream_id):
        """Returns an Upstream or None."""
        return self._by_id.get(upstream_id)

    def find(self, incarnation):
        """Returns the Upstream of an incarnation, or None if unknown."""
        upstream = self._by_id.get(incarnation[0])
        if upstream is not None and upstream.entry.incarnation == incarnation:
            return upstream
        return self._replaced.get(incarnation)

    def is_registered(self, incarnation):
        """Tells whether an incarnation is current, listed and not leaving."""
        current = self._by_id.get(incarnation[0])
        return (
            current is not None
            and current.entry.incarnation == incarnation
            and current.gone_at is None
            and not current.leaving
        )

    def is_followed(self, upstream):
        """Tells whether another process has taken the place of an upstream.

        It has its id or, once its entry was removed, its address.
        """
        current = self._by_id.get(upstream.entry.id)
        if current is upstream and upstream.gone_at is None:
            return False
        if current is not None and current is not upstream:
            return True
        return any(
            other is not upstream
            and other.gone_at is None
            and other.entry.address == upstream.entry.address
            for other in self._by_id.values()
        )

    def serves(self, upstream, now):
        """Tells whether this incarnation is current and accepts requests."""
        current = self._by_id.get(upstream.entry.id)
        return current is upstream and upstream.accepts_requests(now)

    def in_service(self, service):
        """Returns the upstreams of a service, those held off included."""
        return [
            upstream
            for upstream in self._by_service.get(service, {}).values()
            if upstream.in_service
        ]

    def back_in_s(self, service, now):
        """Returns in how many seconds a service takes a request again.

        Returns:
            Seconds until the first hold-off ends or the first rate limit
            admits a request, or None if an upstream takes one now or none
            is in service.
        """
        waits = [
            max(u.held_off_until - now, u.rate_limit.wait_s(now))
            for u in self.in_service(service)
        ]
        if not waits or min(waits) <= 0.0:
            return None
        return min(waits)

    def limited_rate_per_s(self, service, now):
        """Returns the requests a second that the limits of a service admit.

        Those of upstreams without a limit are not counted.
        """
        return sum(
            upstream.rate_limit.rate_per_s(now)
            for upstream in self.serving(service, now)
            if upstream.rate_limit.in_force
        )

    def record_refused(self, service, now):
        """Records a request that may have missed upstreams at their limit."""
        serving = self.serving(service, now)
        for upstream in serving:
            if not upstream.rate_limit.admits(now):
                upstream.rate_limit.record_refused(1.0 / len(serving), now)

    def serving(self, service, now):
        """Returns the upstreams of a service that accept requests."""
        return [
            upstream
            for upstream in self._by_service.get(service, {}).values()
            if upstream.accepts_requests(now)
        ]

    def take_versions(self):
        """Returns the versions of each service since it was called last.

        An upstream may come and go in between; a stream may have begun
        there.

        Returns:
            Mapping of service name to its set of versions.
        """
        found, self._applied = self._applied, {}
        for upstream in self._by_id.values():
            if upstream.gone_at is None:
                entry = upstream.entry
                versions = found.setdefault(entry.service, set())
                versions.add(entry.software_version)
        return found

    def __iter__(self):
        return iter(list(self._by_id.values()))

    def __len__(self):
        return len(self._by_id)


def of_version(upstreams, software_version):
    """Returns the upstreams of a software version.

    Args:
        upstreams: Upstreams of one service.
        software_version: The version, None for all upstreams.
    """
    if software_version is None:
        return upstreams
    return [
        upstream
        for upstream in upstreams
        if upstream.entry.software_version == software_version
    ]


def available(upstreams, now):
    """Returns the upstreams that are not excluded.

    These were ejected, or another instance told that they shut down. If
    more than MAX_EJECTED_RATIO of them are excluded, those whose exclusion
    ends first are returned as well, so that at least half remain.

    Args:
        upstreams: Upstreams of one service.
        now: Time in seconds.
    """
    admitted = [u for u in upstreams if u.excluded_until <= now]
    if len(admitted) >= len(upstreams) * (1 - MAX_EJECTED_RATIO):
        return admitted
    ranked = sorted(upstreams, key=lambda u: u.excluded_until)
    # Half of them, rounded up: MAX_EJECTED_RATIO of 0.5 in whole upstreams.
    least = -(-len(upstreams) // 2)
    return ranked[:least]
