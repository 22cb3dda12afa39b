"""Plans the number of upstreams by data centre and kind."""

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


class _Draft:
    """A plan that is being made."""

    __slots__ = (
        '_counts',
        '_data_centres',
        '_need',
        '_ordered',
        '_refused',
        '_scaling',
        '_view',
    )

    def __init__(self, scaling, view, ordered, need, refused):
        self._scaling = scaling
        self._view = view
        self._ordered = ordered
        self._need = need
        self._refused = refused
        places = {*view.serving, *ordered}
        names = {place.data_centre for place in places} | set(scaling.prices)
        self._data_centres = sorted(names, key=self._price_key)
        self._counts = {}

    def finish(self):
        """Returns the counts by Place."""
        self._set_ordinary_floor()
        self._set_reclaimable()
        self._trim_reclaimable()
        self._replace_missing()
        self._hold_back()
        self._fit()
        return dict(self._counts)

    def _price_key(self, data_centre):
        return self._scaling.price(data_centre), data_centre

    def _before(self, data_centre, kind):
        """Returns the number that is ordered now."""
        return self._ordered.get(_places.Place(data_centre, kind), 0)

    def _count(self, data_centre, kind):
        return self._counts.get(_places.Place(data_centre, kind), 0)

    def _set(self, data_centre, kind, count):
        self._counts[_places.Place(data_centre, kind)] = count

    def _add(self, data_centre, kind):
        self._set(data_centre, kind, self._count(data_centre, kind) + 1)

    def _in_all(self, kind):
        return sum(self._count(name, kind) for name in self._data_centres)

    def _in_data_centre(self, name):
        """Returns the upstreams that may stand in a data centre."""
        ordinary = max(
            self._count(name, _ORDINARY), self._before(name, _ORDINARY)
        )
        return ordinary + self._count(name, _RECLAIMABLE)

    def _has_room(self, name):
        return self._in_data_centre(name) < self._scaling.most

    def _has_ordinary_room(self, name):
        """Tells whether there is room beside what is planned."""
        total = self._count(name, _ORDINARY) + self._count(name, _RECLAIMABLE)
        return total < self._scaling.most

    def _obtainable(self, name, kind):
        return _places.Place(name, kind) not in self._refused

    def _set_ordinary_floor(self):
        """Plans the ordinary upstreams that are always there."""
        least = 1
        if self._scaling.reclaimable_price is None:
            least = max(1, self._scaling.least)
        for name in self._data_centres:
            count = min(least, self._scaling.most)
            if not self._obtainable(name, _ORDINARY):
                count = min(count, self._before(name, _ORDINARY))
            self._set(name, _ORDINARY, count)
        self._add_ordinary(lambda: self._need.urgent)

    def _add_ordinary(self, missing):
        """Adds ordinary upstreams, first those that stand already.

        Args:
            missing: Function that returns the number of ordinary upstreams
                that are needed in all.
        """
        while self._in_all(_ORDINARY) < missing():
            name = min(
                (n for n in self._data_centres if self._may_add_ordinary(n)),
                key=self._ordinary_key,
                default=None,
            )
            if name is None:
                return
            self._add(name, _ORDINARY)

    def _may_add_ordinary(self, name):
        stands = self._count(name, _ORDINARY) < self._before(name, _ORDINARY)
        if stands:
            return True
        has_room = self._has_ordinary_room(name)
        return has_room and self._obtainable(name, _ORDINARY)

    def _ordinary_key(self, name):
        stands = self._count(name, _ORDINARY) < self._before(name, _ORDINARY)
        return (
            not stands,
            self._count(name, _ORDINARY),
            self._price_key(name),
        )

    def _set_reclaimable(self):
        """Plans reclaimable upstreams, those that stand and more."""
        for name in self._data_centres:
            self._set(name, _RECLAIMABLE, 0)
            before = self._before(name, _RECLAIMABLE)
            while self._count(name, _RECLAIMABLE) < before:
                if not self._has_room(name):
                    break
                self._add(name, _RECLAIMABLE)
        if self._scaling.reclaimable_price is None:
            return
        for name in self._data_centres:
            while self._lacks_minimum(name) and self._may_grow(name):
                self._add(name, _RECLAIMABLE)
        while self._safe_total() < self._need.cheap:
            name = min(
                (n for n in self._data_centres if self._may_grow(n)),
                key=lambda n: (
                    self._count(n, _RECLAIMABLE),
                    self._price_key(n),
                ),
                default=None,
            )
            if name is None:
                return
            self._add(name, _RECLAIMABLE)

    def _may_grow(self, name):
        return self._has_room(name) and self._obtainable(name, _RECLAIMABLE)

    def _lacks_minimum(self, name):
        least = max(MIN_ENGINES, self._scaling.least)
        total = self._count(name, _ORDINARY) + self._count(name, _RECLAIMABLE)
        return total < min(least, self._scaling.most)

    def _safe_total(self):
        """Returns what remains if one data centre loses its reclaimable."""
        most = max(
            (self._count(name, _RECLAIMABLE) for name in self._data_centres),
            default=0,
        )
        return self._total() - most

    def _total(self):
        return self._in_all(_ORDINARY) + self._in_all(_RECLAIMABLE)

    def _trim_reclaimable(self):
        """Drops reclaimable upstreams that are too many, the dearest first."""
        while True:
            name = max(
                (n for n in self._data_centres if self._may_trim(n)),
                key=lambda n: (
                    self._count(n, _RECLAIMABLE),
                    self._price_key(n),
                ),
                default=None,
            )
            if name is None:
                return
            self._add_reclaimable(name, -1)
            if self._safe_total() < self._need.cheap:
                self._add_reclaimable(name, 1)
                return

    def _add_reclaimable(self, name, delta):
        count = self._count(name, _RECLAIMABLE)
        self._set(name, _RECLAIMABLE, count + delta)

    def _may_trim(self, name):
        if not self._count(name, _RECLAIMABLE):
            return False
        least = max(MIN_ENGINES, self._scaling.least)
        total = self._count(name, _ORDINARY) + self._count(name, _RECLAIMABLE)
        return total > least

    def _replace_missing(self):
        """Plans ordinary upstreams for what reclaimable ones can't do."""
        for name in self._data_centres:
            while self._lacks_minimum(name) and self._may_add_ordinary(name):
                self._add(name, _ORDINARY)
        missing = self._need.dear - self._in_all(_RECLAIMABLE)
        self._add_ordinary(lambda: missing)

    def _hold_back(self):
        """Keeps what is to be given up until the others serve."""
        spare = self._view.total - math.ceil(self._need.dear)
        for kind in (_ORDINARY, _RECLAIMABLE):
            for name in reversed(self._data_centres):
                before = self._before(name, kind)
                drop = before - self._count(name, kind)
                if drop <= 0:
                    continue
                drop = max(0, min(drop, spare, self._spare_in(name)))
                spare -= drop
                self._set(name, kind, before - drop)

    def _fit(self):
        """Lets a kind grow only into the room that the other one has left."""
        for name in self._data_centres:
            for kind, other in (
                (_ORDINARY, _RECLAIMABLE),
                (_RECLAIMABLE, _ORDINARY),
            ):
                taken = max(
                    self._count(name, other), self._before(name, other)
                )
                before = self._before(name, kind)
                most = max(before, self._scaling.most - taken)
                self._set(name, kind, min(self._count(name, kind), most))

    def _spare_in(self, name):
        """Returns how many a data centre can give up now."""
        planned = sum(self._count(name, kind) for kind in _places.Kind)
        in_place = self._view.in_data_centre(name) - planned
        return min(in_place, self._view.spare_decoders(name))
