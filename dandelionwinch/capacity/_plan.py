"""Plans the number of upstreams by data centre and kind."""

import collections
import math

from dandelionwinch.capacity import _places

# Engines that a data centre needs for both roles.
MIN_ENGINES = 2
_ORDINARY = _places.Kind.ORDINARY
_RECLAIMABLE = _places.Kind.RECLAIMABLE


def plan(scaling, view, ordered, need, refused):
    """Plans what is to be ordered now.

    One ordinary upstream stays in each data centre, and enough of them in
    all for the urgent work; the rest is reclaimable, as even as it can be,
    and enough without the data centre that has the most. What can't be had
    is planned elsewhere or as ordinary ones. None is given up before those
    that replace it serve.

    Args:
        scaling: routes.Scaling of the service.
        view: View of its upstreams.
        ordered: Number that is ordered, by Place.
        need: Need.
        refused: Set of each Place where none can be obtained now.

    Returns:
        Number to be ordered, by Place.
    """
    return _Draft(scaling, view, ordered, need, refused).finish()


class _Counts:
    """The upstreams of one kind, by the name of the data centre.

    Attributes:
        before: Numbers that are ordered now.
        planned: Numbers that are planned.
        refused: Names of the data centres where none can be obtained.
        total: Sum of those planned.
    """

    __slots__ = ('before', 'planned', 'refused', 'total')

    def __init__(self, kind, names, ordered, refused):
        self.before = dict.fromkeys(names, 0)
        self.planned = dict.fromkeys(names, 0)
        self.total = 0
        for place, count in ordered.items():
            if place.kind is kind:
                self.before[place.data_centre] = count
        self.refused = {p.data_centre for p in refused if p.kind is kind}

    def set(self, name, count):
        """Plans a number."""
        self.total += count - self.planned[name]
        self.planned[name] = count

    def standing(self, name):
        """Returns the number that may stand: a drop comes later."""
        return max(self.before[name], self.planned[name])


class _Draft:
    """A plan that is being made."""

    __slots__ = (
        '_need',
        '_ordinary',
        '_order',
        '_reclaimable',
        '_remaining',
        '_scaling',
        '_view',
    )

    def __init__(self, scaling, view, ordered, need, refused):
        self._scaling = scaling
        self._view = view
        self._need = need
        # Upstreams that serve and were not ordered down, by data centre.
        # The entries follow an order seconds later.
        self._remaining = collections.Counter()
        for place, serving in view.serving.items():
            remaining = min(serving, ordered.get(place, serving))
            self._remaining[place.data_centre] += remaining
        names = {place.data_centre for place in (*view.serving, *ordered)}
        names.update(scaling.prices)
        # Place of each data centre in the order of prices.
        ranked = sorted(names, key=lambda name: (scaling.price(name), name))
        self._order = {name: rank for rank, name in enumerate(ranked)}
        self._ordinary = _Counts(_ORDINARY, ranked, ordered, refused)
        self._reclaimable = _Counts(_RECLAIMABLE, ranked, ordered, refused)

    def finish(self):
        """Returns the counts by Place."""
        self._plan_ordinary()
        self._plan_reclaimable()
        self._trim_reclaimable()
        self._replace_missing()
        self._hold_back()
        self._fit()
        return {
            _places.Place(name, kind): count
            for kind, counts in (
                (_ORDINARY, self._ordinary),
                (_RECLAIMABLE, self._reclaimable),
            )
            for name, count in counts.planned.items()
        }

    def _planned(self, name):
        """Returns the number of both kinds that is planned."""
        return self._ordinary.planned[name] + self._reclaimable.planned[name]

    def _total(self):
        return self._ordinary.total + self._reclaimable.total

    def _least(self):
        """Returns the smallest number that is planned in a data centre."""
        least = max(1, self._scaling.least)
        if self._view.has_roles:
            least = max(MIN_ENGINES, least)
        return min(least, self._scaling.most)

    def _plan_ordinary(self):
        """Plans the ordinary upstreams that are always there."""
        counts = self._ordinary
        least = 1
        if self._scaling.reclaimable_price is None:
            least = max(1, self._scaling.least)
        for name, before in counts.before.items():
            count = min(least, self._scaling.most)
            if name in counts.refused:
                count = min(count, before)
            counts.set(name, count)
        self._add_ordinary(self._need.urgent)

    def _add_ordinary(self, needed):
        """Adds ordinary upstreams up to a sum, first those that stand."""
        counts = self._ordinary
        while counts.total < needed:
            name = min(
                filter(self._may_add_ordinary, self._order),
                key=self._ordinary_key,
                default=None,
            )
            if name is None:
                return
            counts.set(name, counts.planned[name] + 1)

    def _stands(self, name):
        """Tells whether one more ordinary upstream stands already."""
        return self._ordinary.planned[name] < self._ordinary.before[name]

    def _may_add_ordinary(self, name):
        if self._stands(name):
            return True
        has_room = self._planned(name) < self._scaling.most
        return has_room and name not in self._ordinary.refused

    def _ordinary_key(self, name):
        count = self._ordinary.planned[name]
        return not self._stands(name), count, self._order[name]

    def _plan_reclaimable(self):
        """Plans reclaimable upstreams, those that stand and more."""
        counts = self._reclaimable
        for name, before in counts.before.items():
            counts.set(name, max(0, min(before, self._room(name))))
        if self._scaling.reclaimable_price is None:
            return
        for name in self._order:
            missing = self._least() - self._planned(name)
            if missing > 0 and self._may_grow(name):
                room = self._room(name) - counts.planned[name]
                grown = counts.planned[name] + min(missing, room)
                counts.set(name, grown)
        while self._safe_total() < self._need.cheap:
            name = min(
                filter(self._may_grow, self._order),
                key=lambda n: (counts.planned[n], self._order[n]),
                default=None,
            )
            if name is None:
                return
            counts.set(name, counts.planned[name] + 1)

    def _room(self, name):
        """Returns the largest number beside the ordinary upstreams."""
        return self._scaling.most - self._ordinary.standing(name)

    def _may_grow(self, name):
        if name in self._reclaimable.refused:
            return False
        return self._reclaimable.planned[name] < self._room(name)

    def _safe_total(self):
        """Returns what remains if one data centre loses its reclaimable."""
        most = max(self._reclaimable.planned.values(), default=0)
        return self._total() - most

    def _trim_reclaimable(self):
        """Drops reclaimable upstreams that are too many, the dearest first."""
        counts = self._reclaimable
        while True:
            name = max(
                filter(self._may_trim, self._order),
                key=lambda n: (counts.planned[n], self._order[n]),
                default=None,
            )
            if name is None:
                return
            counts.set(name, counts.planned[name] - 1)
            if self._safe_total() < self._need.cheap:
                counts.set(name, counts.planned[name] + 1)
                return

    def _may_trim(self, name):
        if not self._reclaimable.planned[name]:
            return False
        return self._planned(name) > self._least()

    def _replace_missing(self):
        """Plans ordinary upstreams for what reclaimable ones can't do."""
        counts = self._ordinary
        for name in self._order:
            while self._planned(
                name
            ) < self._least() and self._may_add_ordinary(name):
                counts.set(name, counts.planned[name] + 1)
        exchanged = sum(map(self._is_exchangeable, self._order))
        self._add_ordinary(
            self._need.dear - self._reclaimable.total - exchanged
        )

    def _is_exchangeable(self, name):
        """Tells whether a reclaimable one can replace an ordinary one.

        A data centre that is full has no room for a replacement beside the
        one that it replaces. One at a time leaves there first, as a
        reclaimable one may still be refused.
        """
        if self._scaling.reclaimable_price is None:
            return False
        full = self._room(name) <= self._reclaimable.planned[name]
        return full and name not in self._reclaimable.refused

    def _hold_back(self):
        """Keeps what is to be given up until the others serve.

        One that is exchanged may leave before, if the others can do the
        present work.
        """
        spare = self._remaining.total() - math.ceil(self._need.dear)
        exchanges = self._remaining.total() - math.ceil(self._need.present)
        for counts in (self._ordinary, self._reclaimable):
            for name in reversed(self._order):
                before = counts.before[name]
                drop = before - counts.planned[name]
                if drop <= 0:
                    continue
                drop = min(drop, self._spare_in(name))
                given_up = max(0, min(drop, spare))
                if not given_up and counts is self._ordinary:
                    given_up = self._exchanged(name, drop, exchanges)
                spare -= given_up
                exchanges -= given_up
                counts.set(name, before - given_up)

    def _exchanged(self, name, drop, exchanges):
        """Returns whether one ordinary upstream is given up, as 0 or 1."""
        may_go = drop > 0 and exchanges > 0
        return int(may_go and self._is_exchangeable(name))

    def _spare_in(self, name):
        """Returns how many a data centre can give up now."""
        remaining = self._remaining[name]
        leaving = self._view.in_data_centre(name) - remaining
        return min(
            remaining - self._planned(name),
            self._view.spare_decoders(name) - leaving,
        )

    def _fit(self):
        """Lets a kind grow only into the room that the other one has left."""
        pairs = (self._ordinary, self._reclaimable)
        for counts, other in (pairs, reversed(pairs)):
            for name, planned in counts.planned.items():
                room = self._scaling.most - other.standing(name)
                most = max(counts.before[name], room)
                counts.set(name, min(planned, most))
