"""A platform that starts, stops and takes away upstreams on order."""

import itertools

import attrs

from dandelionwinch import capacity
from dandelionwinch import dispatch
from dandelionwinch import upstreams

BOOT_S = 4.0
# An upstream that is ordered down, or taken away, drains for this long.
DRAIN_S = 2.0
# Time after a reclaim in which no reclaimable upstream can be obtained.
RECLAIM_PAUSE_S = 10.0
RESTART_S = 5.0
# An upstream is away while its role changes.
ROLE_SWITCH_S = 3.0
SLOTS = 24


@attrs.define(eq=False)
class _Upstream:
    """An upstream of the platform.

    Attributes:
        serves_at: Time from which it serves.
        ends_at: Time at which it ends, None if it does not drain.
    """

    id: str
    place: capacity.Place
    serves_at: float
    role: upstreams.Role
    ends_at: float | None = None

    def serves(self, now):
        return self.ends_at is None and self.serves_at <= now


class PlatformFleet:
    """The upstreams of one service on a platform.

    Args:
        prices: Price of each data centre.
        start: Number of ordinary upstreams at the start, by data centre.
        most: Largest number of upstreams in a data centre.
        reclaimable_price: Price of a reclaimable upstream over an ordinary
            one.

    Attributes:
        paid: Price of all upstreams up to now.
        refused: Number of orders that were refused.
    """

    def __init__(self, prices, start, most, reclaimable_price):
        self._prices = prices
        self._most = most
        self._reclaimable_price = reclaimable_price
        self._numbers = itertools.count(1)
        self._upstreams = []
        self._unobtainable_until = -1.0
        self.paid = 0.0
        self.refused = 0
        for name, count in start.items():
            place = capacity.Place(name, capacity.Kind.ORDINARY)
            for number in range(count):
                prefills = number % 2
                self._start(place, 0.0, prefills)

    def _start(self, place, serves_at, prefills=False):
        role = upstreams.Role.DECODE
        if prefills:
            role = upstreams.Role.PREFILL
        upstream_id = f'u{next(self._numbers)}'
        self._upstreams.append(_Upstream(upstream_id, place, serves_at, role))

    def _standing(self, place):
        return [
            u
            for u in self._upstreams
            if u.place == place and u.ends_at is None
        ]

    def order(self, order, now):
        """Orders a number of upstreams; tells whether it is accepted."""
        place = order.place
        standing = self._standing(place)
        missing = order.count - len(standing)
        if missing > 0 and not self._obtainable(place, missing, now):
            self.refused += 1
            return False
        for _number in range(missing):
            self._start(place, now + BOOT_S)
        for upstream in standing[: max(0, -missing)]:
            upstream.ends_at = now + DRAIN_S
        return True

    def _obtainable(self, place, missing, now):
        in_data_centre = sum(
            u.place.data_centre == place.data_centre and u.ends_at is None
            for u in self._upstreams
        )
        if in_data_centre + missing > self._most:
            return False
        reclaimable = place.kind is capacity.Kind.RECLAIMABLE
        return not reclaimable or now >= self._unobtainable_until

    def reclaim(self, data_centre, now):
        """Takes the reclaimable upstreams of a data centre away."""
        place = capacity.Place(data_centre, capacity.Kind.RECLAIMABLE)
        for upstream in self._standing(place):
            upstream.ends_at = now + DRAIN_S
        self._unobtainable_until = now + RECLAIM_PAUSE_S

    def largest_reclaimable(self):
        """Returns the data centre with the most reclaimable upstreams."""
        return max(
            self._prices,
            key=lambda name: len(
                self._standing(capacity.Place(name, capacity.Kind.RECLAIMABLE))
            ),
        )

    def crash(self, ratio, rng, now):
        """Restarts a part of the upstreams that serve."""
        serving = [u for u in self._upstreams if u.serves(now)]
        for upstream in rng.sample(serving, round(ratio * len(serving))):
            upstream.serves_at = now + RESTART_S

    def change_role(self, now):
        """Changes a role as the holder of the order lease would."""
        serving = [u for u in self._upstreams if u.serves(now)]
        change = dispatch.plan_role(
            [upstreams.Upstream(_entry(u)) for u in serving], 0
        )
        for upstream in serving:
            if change and upstream.id == change.upstream_id:
                upstream.role = change.role
                upstream.serves_at = now + ROLE_SWITCH_S

    def without_role(self, role, now):
        """Returns the number of data centres in which no one has a role."""
        found = {
            u.place.data_centre
            for u in self._upstreams
            if u.serves(now) and u.role is role
        }
        return len(self._prices) - len(found)

    def advance(self, now, step_s):
        """Ends what is due and adds up the price of one step."""
        self._upstreams = [
            u for u in self._upstreams if u.ends_at is None or u.ends_at > now
        ]
        for upstream in self._upstreams:
            price = self._prices[upstream.place.data_centre]
            if upstream.place.kind is capacity.Kind.RECLAIMABLE:
                price *= self._reclaimable_price
            self.paid += price * step_s

    def serving(self, now):
        """Returns the number of upstreams that do work."""
        return sum(u.serves_at <= now for u in self._upstreams)

    def view(self, now):
        """Returns the View of the entries in the store."""
        entries = [_entry(u) for u in self._upstreams if u.serves_at <= now]
        return capacity.view_of(entries)


def _entry(upstream):
    """Returns the entry of an upstream in the store."""
    return upstreams.Entry(
        upstream.id,
        's',
        '',
        upstream.place.data_centre,
        0,
        upstream.ends_at is None,
        upstream.role,
        SLOTS,
        reclaimable=upstream.place.reclaimable,
    )
