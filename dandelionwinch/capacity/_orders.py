"""Orders of capacity: which are due, in flight, refused or not followed."""

import collections
import enum
import math

import attrs

# Time after which an order that the entries don't follow is repeated, in
# addition to the time that an upstream needs to start.
REPEAT_MARGIN_S = 3.0
# How long a refusal is remembered, and by which factor it grows.
FIRST_REFUSAL_S = 3.0
REFUSAL_GROWTH_FACTOR = 1.25
MAX_REFUSAL_S = 10.0
# Pause after a call that was not sent or throttled.
RETRY_S = 1.0


class Outcome(enum.Enum):
    """What became of an order.

    Attributes:
        ACCEPTED: It is in effect.
        REFUSED: None can be obtained there at the moment.
        UNANSWERED: It may be in effect.
        NOT_SENT: It has no effect.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    NOT_SENT = 'not_sent'


@attrs.frozen
class Order:
    """The number of upstreams of one kind in one data centre.

    Attributes:
        before: Number that was ordered before, or stood there.
    """

    place: object
    count: int
    before: int


@attrs.define
class _Ordered:
    """What is ordered at a Place.

    Attributes:
        count: The number, or the highest that stood there without an order.
        by_order: Whether it was ordered by this instance.
        followed_at: Time of the order, or the last time since at which the
            entries showed that number.
        repeated: Whether it was ordered again as the entries didn't follow.
    """

    count: int
    by_order: bool
    followed_at: float
    repeated: bool = False


@attrs.define
class _Refusal:
    until: float
    pause_s: float


class Orders:
    """The orders for one service.

    Args:
        boot_s: Time from an order to a serving upstream.

    Attributes:
        most: Largest number that may be ordered in a data centre.
    """

    __slots__ = (
        '_boot_s',
        '_in_flight',
        '_not_before',
        '_ordered',
        '_refusals',
        '_seen_draining',
        '_serving',
        'most',
    )

    def __init__(self, boot_s):
        self._boot_s = boot_s
        self.most = math.inf
        # Numbers that serve by the entries, by Place.
        self._serving = {}
        self._ordered = {}
        self._refusals = {}
        # Data centres with an order in flight, and the time before which
        # none is sent.
        self._in_flight = set()
        self._not_before = {}
        self._seen_draining = set()

    def observe(self, view, now):
        """Compares the entries in the store with the orders.

        Args:
            view: View of the upstreams.
            now: Time in seconds.
        """
        for place in {*view.serving, *self._ordered}:
            serving = view.serving.get(place, 0)
            ordered = self._ordered.get(place)
            if ordered is None:
                self._ordered[place] = _Ordered(serving, False, now)
            else:
                self._compare(place, ordered, serving, now)
        self._serving = view.serving
        self._observe_draining(view)
        self._fit_presumed()

    def _fit_presumed(self):
        """Lowers numbers that were not ordered here and cannot be right.

        Entries of crashed upstreams stand beside those of the ones that
        followed them, and no order exceeds the limit.
        """
        totals = collections.Counter()
        for place, ordered in self._ordered.items():
            totals[place.data_centre] += ordered.count
        for place, ordered in self._ordered.items():
            excess = totals[place.data_centre] - self.most
            if excess > 0 and not ordered.by_order:
                lowered = max(0, ordered.count - excess)
                totals[place.data_centre] -= ordered.count - lowered
                ordered.count = lowered

    def _compare(self, place, ordered, serving, now):
        """Compares what serves at a place with what is ordered there."""
        if not ordered.by_order:
            # A crashed upstream returns, so the number has not changed.
            ordered.count = max(ordered.count, serving)
        if serving == ordered.count:
            ordered.followed_at = now
            ordered.repeated = False
        elif serving < ordered.count and self._is_late(ordered, now):
            if ordered.by_order and not ordered.repeated:
                return
            # Neither restarts nor a second order brought them.
            if ordered.by_order:
                self._refuse(place, now)
            ordered.count = serving
            ordered.followed_at = now

    def _observe_draining(self, view):
        """Notes upstreams that were taken away without an order."""
        draining = {id_ for ids in view.draining.values() for id_ in ids}
        for place, ids in view.draining.items():
            ordered = self._ordered.get(place)
            serving = view.serving.get(place, 0)
            new = ids - self._seen_draining
            if new and ordered is not None and serving < ordered.count:
                lost = min(len(new), ordered.count - serving)
                ordered.count -= lost
        self._seen_draining = draining

    def ordered(self):
        """Returns the number that is ordered or stands, by Place."""
        return {p: ordered.count for p, ordered in self._ordered.items()}

    def refused(self, now):
        """Returns the set of each Place where none can be obtained now."""
        return {p for p, r in self._refusals.items() if r.until > now}

    def refused_for_s(self, place, now):
        """Returns for how long a refusal still counts, or 0."""
        refusal = self._refusals.get(place)
        return max(0.0, refusal.until - now) if refusal else 0.0

    def due(self, planned, now):
        """Returns the orders that are to be sent now, in their order.

        There is at most one for a data centre. One for more upstreams goes
        before one for fewer.

        Args:
            planned: Planned number by Place.
            now: Time in seconds.
        """
        found = {}
        for place, count in planned.items():
            if self._waits(place, now):
                continue
            ordered = self._ordered.get(place)
            before = ordered.count if ordered else 0
            if count == before and not self._is_repeated(ordered, now):
                continue
            if count >= before and place in self.refused(now):
                continue
            if self._may_start(ordered, place, count):
                continue
            order = Order(place, count, before)
            other = found.get(place.data_centre)
            if other is None or _growth(order) > _growth(other):
                found[place.data_centre] = order
        return sorted(found.values(), key=_urgency)

    def _may_start(self, ordered, place, count):
        """Tells whether an order that is to lower a number may raise it.

        What stood at a place is not known to be ordered, as some of it may
        have been replaced.
        """
        if ordered is None or ordered.by_order or count >= ordered.count:
            return False
        return count > self._serving.get(place, 0)

    def _waits(self, place, now):
        name = place.data_centre
        return name in self._in_flight or self._not_before.get(name, now) > now

    def _is_repeated(self, ordered, now):
        """Tells whether an order is to be sent again."""
        if ordered is None or not ordered.by_order:
            return False
        return self._is_late(ordered, now)

    def _is_late(self, ordered, now):
        """Tells whether the entries have not shown a number for too long."""
        waited_s = now - ordered.followed_at
        return waited_s > self._boot_s + REPEAT_MARGIN_S

    def begin(self, order):
        """Records that an order is sent."""
        self._in_flight.add(order.place.data_centre)

    def end(self, order, outcome, now, retry_s=RETRY_S):
        """Records what became of an order.

        Args:
            order: The Order.
            outcome: Outcome.
            now: Time in seconds.
            retry_s: Pause after one that was not sent.
        """
        place = order.place
        self._in_flight.discard(place.data_centre)
        match outcome:
            case Outcome.ACCEPTED | Outcome.UNANSWERED:
                repeated = order.count == order.before
                self._ordered[place] = _Ordered(
                    order.count, True, now, repeated
                )
                if outcome is Outcome.ACCEPTED and _growth(order) > 0:
                    self._refusals.pop(place, None)
            case Outcome.REFUSED:
                self._refuse(place, now)
            case Outcome.NOT_SENT:
                self._not_before[place.data_centre] = now + retry_s

    def _refuse(self, place, now):
        refusal = self._refusals.get(place)
        pause_s = FIRST_REFUSAL_S
        if refusal is not None:
            pause_s = min(
                MAX_REFUSAL_S, REFUSAL_GROWTH_FACTOR * refusal.pause_s
            )
        self._refusals[place] = _Refusal(now + pause_s, pause_s)


def _growth(order):
    return order.count - order.before


def _urgency(order):
    """Returns a sort key: what adds most first, then what drops most."""
    growth = _growth(order)
    return growth <= 0, -abs(growth), order.place.data_centre
