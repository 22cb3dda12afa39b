"""Connects forecast, plan and orders of one service."""

from dandelionwinch.capacity import _forecast
from dandelionwinch.capacity import _orders
from dandelionwinch.capacity import _places
from dandelionwinch.capacity import _plan

# Shortest time between two samples of the demand. A plan is made after each
# answer to an order, too, while the instances report once a second.
SAMPLE_INTERVAL_S = 0.8
_ORDINARY = _places.Kind.ORDINARY
_RECLAIMABLE = _places.Kind.RECLAIMABLE


class Planner:
    """Plans the capacity of one service while this instance is the holder.

    Args:
        scaling: routes.Scaling of the service.
    """

    __slots__ = (
        '_forecast',
        '_observed_at',
        '_orders',
        '_planned',
        '_view',
        'scaling',
    )

    def __init__(self, scaling):
        self.scaling = scaling
        self._orders = _orders.Orders(scaling.boot_s)
        self._forecast = None
        self._observed_at = float('-inf')
        self._planned = {}
        self._view = None

    @property
    def orders(self):
        """The Orders."""
        return self._orders

    @property
    def planned(self):
        """Number that is planned, by Place."""
        return self._planned

    @property
    def view(self):
        """The last View, None before the first one."""
        return self._view

    @property
    def need(self):
        """The Need, None before any upstream is known."""
        return self._forecast.need() if self._forecast else None

    def update(self, view, demand, now):
        """Plans anew.

        Args:
            view: View of the upstreams.
            demand: Demand, or None if it is unknown.
            now: Time in seconds.

        Returns:
            List of the Orders that are to be sent now, the most urgent one
            first.
        """
        self._view = view
        self._orders.most = self.scaling.most
        if self._forecast is None:
            if not view.total:
                return []
            self._forecast = self._start_forecast(view)
        # Not the reclaimable ones, which this plan itself orders.
        self._forecast.raise_start(_sum(view, _ORDINARY))
        self._orders.observe(view, now)
        if now - self._observed_at >= SAMPLE_INTERVAL_S:
            self._forecast.observe(demand, view.total, now)
            self._observed_at = now
        self._planned = _plan.plan(
            self.scaling,
            view,
            self._orders.ordered(),
            self._forecast.need(),
            self._orders.refused(now),
        )
        return self._orders.due(self._planned, now)

    def _start_forecast(self, view):
        price = self.scaling.reclaimable_price
        data_centres = {place.data_centre for place in view.serving}
        data_centres.update(self.scaling.prices)
        return _forecast.Forecast(
            _start_need(view),
            1.0 if price is None else price,
            self.scaling.most * len(data_centres),
        )


def _start_need(view):
    """Returns the number to keep before any demand is known.

    It is the same for a fleet of the start, for one in which reclaimable
    upstreams stand beside those that they replace, and for one in which
    they have replaced them. A new holder therefore plans what the one
    before it did.
    """
    ordinary = _sum(view, _ORDINARY)
    by_place = [
        count
        for place, count in view.serving.items()
        if place.kind is _RECLAIMABLE
    ]
    data_centres = {place.data_centre for place in view.serving}
    safe = len(data_centres) + sum(by_place) - max(by_place, default=0)
    return max(ordinary, safe if by_place else 0)


def _sum(view, kind):
    return sum(c for place, c in view.serving.items() if place.kind is kind)
