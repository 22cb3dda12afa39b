"""Upstreams by their entries in the store and by their own answers."""

import enum

import attrs

FAILURE_SHARE = 0.2
EJECT_FAILURES = 0.5
EJECT_S = 1.0
EJECT_GROWTH = 1.5
MAX_EJECT_S = 8.0
MAX_EJECTED_SHARE = 0.5
LATENCY_SHARE = 0.2
EXCESS_KEEP_S = 2.0


class Role(enum.Enum):
    """What an upstream does with a request."""

    PLAIN = 'plain'
    PREFILL = 'prefill'
    DECODE = 'decode'


@attrs.frozen
class Entry:
    """What an upstream says of itself in the store.

    Attributes:
        born: Unix millisecond of its start, 0 if not stated.
        ready: Whether it takes new requests.
    """

    id: str
    service: str
    address: str
    data_centre: str
    born: int
    ready: bool
    role: Role
    slots: int
    cold_s: float = 0.0


@attrs.define
class Upstream:
    """One upstream as this instance sees it.

    Attributes:
        gone_at: When its entry vanished, None while it is there.
        failures: Recent share of failed attempts, 0 to 1.
        excess_s: Recent latency above what its work should take.
        active: Requests of this instance that it has now.
        changing_until: Time up to which it may be changing its role.
        ejected_until: Time up to which it gets no requests.
    """

    entry: Entry
    gone_at: float | None = None
    failures: float = 0.0
    excess_s: float = 0.0
    active: int = 0
    role_change_until: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    observed_at: float = 0.0

    def succeeded(self, excess_s, now):
        """Notes a good answer.

        Args:
            excess_s: Latency above what the work alone should take.
            now: Time in seconds.
        """
        self.failures -= FAILURE_SHARE * self.failures
        self.excess_s += LATENCY_SHARE * (excess_s - self.excess_s)
        self.observed_at = now
        if self.failures < FAILURE_SHARE / 2:
            self.ejections = 0

    def late_by_s(self, now):
        """Returns the recent excess latency, which fades with its age."""
        fresh = max(0.0, 1.0 - (now - self.observed_at) / EXCESS_KEEP_S)
        return max(0.0, self.excess_s) * fresh

    def failed(self, now):
        """Notes a failed attempt, and ejects after too many of them."""
        self.failures += FAILURE_SHARE * (1.0 - self.failures)
        self.observed_at = now
        if self.failures >= EJECT_FAILURES:
            self.eject(now)

    def eject(self, now):
        """Keeps requests away for a time that grows from one to the next."""
        if self.ejected_until > now:
            return
        span_s = min(MAX_EJECT_S, EJECT_S * EJECT_GROWTH**self.ejections)
        self.ejected_until = now + span_s
        self.ejections += 1
        self.failures = EJECT_FAILURES - FAILURE_SHARE / 2


class Registry:
    """All upstreams, by id."""

    __slots__ = ('_by_id', '_by_service', '_lost_at')

    def __init__(self):
        self._by_id = {}
        self._by_service = {}
        self._lost_at = None

    def apply(self, entry):
        """Takes an entry as it stands in the store now.

        Returns:
            Whether this is a new incarnation or a new upstream.
        """
        belief = self._by_id.get(entry.id)
        same = (
            belief is not None
            and belief.entry.born == entry.born
            and belief.entry.address == entry.address
        )
        if same:
            belief.entry = entry
            belief.gone_at = None
        else:
            self._by_id[entry.id] = Upstream(entry)
        self._index()
        return not same

    def remove(self, upstream_id, now):
        """Notes that an entry has vanished; returns the belief."""
        belief = self._by_id.get(upstream_id)
        if belief is not None and belief.gone_at is None:
            belief.gone_at = now
        return belief

    def replace(self, entries, now):
        """Takes a whole listing; what is not in it has vanished."""
        listed = {entry.id for entry in entries}
        for entry in entries:
            self.apply(entry)
        for upstream_id in self._by_id:
            if upstream_id not in listed:
                self.remove(upstream_id, now)

    def forget(self, now, keep_s):
        """Drops beliefs whose entries vanished longer ago than `keep_s`."""
        old = [
            upstream_id
            for upstream_id, belief in self._by_id.items()
            if belief.gone_at is not None and now - belief.gone_at > keep_s
        ]
        for upstream_id in old:
            del self._by_id[upstream_id]
        if old:
            self._index()

    def get(self, upstream_id):
        """Returns a belief or None."""
        return self._by_id.get(upstream_id)

    def serves(self, belief):
        """Tells whether this very incarnation takes requests now."""
        known = self._by_id.get(belief.entry.id)
        return (
            known is belief and belief.gone_at is None and belief.entry.ready
        )

    def serving(self, service):
        """Returns beliefs whose entries say that they take requests."""
        return [
            belief
            for belief in self._by_service.get(service, ())
            if belief.gone_at is None and belief.entry.ready
        ]

    def __iter__(self):
        return iter(list(self._by_id.values()))

    def __len__(self):
        return len(self._by_id)

    def _index(self):
        self._by_service = {}
        for belief in self._by_id.values():
            name = belief.entry.service
            self._by_service.setdefault(name, []).append(belief)


def available(beliefs, now):
    """Returns those not ejected; ejects at most a share of them.

    Args:
        beliefs: Beliefs of one service.
        now: Time in seconds.
    """
    open_to = [b for b in beliefs if b.ejected_until <= now]
    if len(open_to) >= len(beliefs) * (1 - MAX_EJECTED_SHARE):
        return open_to
    ranked = sorted(beliefs, key=lambda b: b.ejected_until)
    least = -(-len(beliefs) // 2)
    return ranked[:least]
