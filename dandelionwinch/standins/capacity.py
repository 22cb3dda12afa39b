"""What is ordered of a service's upstreams, and what can be obtained."""

import threading

import attrs

# Violations that are kept.
MAX_VIOLATIONS = 100
_DATA_CENTRE = 'zone'
_RECLAIMABLE = 'spot'
_LEAVES_MS = 'leaves_ms'
_COUNT = 'desiredCount'


@attrs.frozen
class Place:
    """Upstreams of one kind in one data centre."""

    data_centre: str
    reclaimable: bool = False

    def __str__(self):
        kind = 'reclaimable' if self.reclaimable else 'ordinary'
        return f'{self.data_centre} {kind}'


def entry_fields(place, leaves_s=None):
    """Returns fields of an upstream's entry in the store.

    Args:
        place: Place.
        leaves_s: Time until it is taken away, None if it is not.
    """
    fields = {_DATA_CENTRE: place.data_centre}
    if place.reclaimable:
        fields[_RECLAIMABLE] = True
    if leaves_s is not None:
        fields[_LEAVES_MS] = leaves_s * 1e3
    return fields


def scaling_fields(least, most, boot_s, reclaimable_price, prices):
    """Returns the fields of a service in the configuration that is scaled.

    Args:
        least: Smallest number of upstreams in a data centre.
        most: Largest number.
        boot_s: Time in seconds until a new upstream serves.
        reclaimable_price: Price of a reclaimable upstream, as a share of
            that of an ordinary one.
        prices: Price by data centre.
    """
    return {
        'scaling': {
            'minReplicas': least,
            'maxReplicas': most,
            'bootS': boot_s,
            'spotPrice': reclaimable_price,
            'zonePrices': prices,
        }
    }


class CapacityLedger:
    """Accepts orders and checks that their counts keep the limits.

    Orders arrive in threads of their own.

    Args:
        least: Smallest number of both kinds in a data centre.
        most: Largest number.
        ordered: Number that stands at the start, by Place.

    Attributes:
        short: Whether no reclaimable upstream can be obtained anywhere.
        violations: Texts that say which limit was exceeded, and how.
    """

    __slots__ = (
        '_least',
        '_lock',
        '_most',
        '_ordered',
        'short',
        'violations',
    )

    def __init__(self, least, most, ordered):
        self._least = least
        self._most = most
        self._ordered = dict(ordered)
        self._lock = threading.Lock()
        self.short = False
        self.violations = []

    def ordered(self, place):
        """Returns the number that is ordered at a Place."""
        return self._ordered.get(place, 0)

    def places(self):
        """Returns each Place with an order."""
        return list(self._ordered)

    def take(self, body):
        """Takes an order; returns whether it is in effect.

        Args:
            body: Parsed body of the call.
        """
        place = Place(body[_DATA_CENTRE], body.get(_RECLAIMABLE, False))
        with self._lock:
            count, before = body[_COUNT], self.ordered(place)
            if place.reclaimable and self.short and count > before:
                return False
            self._ordered[place] = count
            self._check(place, before)
        return True

    def _check(self, place, before):
        count = self.ordered(place)
        total = sum(
            number
            for other, number in self._ordered.items()
            if other.data_centre == place.data_centre
        )
        found = ''
        if count < 0:
            found = 'fewer than none'
        elif total > self._most and count > before:
            found = f'{total} of both kinds, at most {self._most} may be'
        elif total < self._least and count < before:
            found = f'{total} of both kinds, at least {self._least} must be'
        if found and len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(
                f'{place}: from {before} to {count}: {found}'
            )

    def take_away(self, data_centre):
        """Takes all reclaimable upstreams of a data centre away."""
        with self._lock:
            self._ordered[Place(data_centre, reclaimable=True)] = 0
