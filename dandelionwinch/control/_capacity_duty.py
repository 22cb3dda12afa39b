"""Orders capacity at the duty API while this instance is the holder."""

import attrs

from dandelionwinch import capacity
from dandelionwinch.control import _duty
from dandelionwinch import leadership

# Most calls for one service in one turn, before the next service has one.
MAX_CALLS = 32
# Time from an acquisition until the entries show the last order of the holder
# before, beside the time that an upstream needs to start: how long that holder
# may still have acted, the delivery of its call and a late entry.
SETTLE_S = leadership.RENEWAL_VALID_S + leadership.CALL_DELIVERY_S + 1.0
_DECIMALS = 3


class CapacityDuty:
    """Plans the upstreams of each scaled service, and orders them.

    A new holder knows nothing of the orders of the one before it: it plans
    from the entries in the store, and orders nothing until these show what was
    ordered before. Upstreams that still start would else exceed the limits.

    Args:
        loop: Event loop.
        gateway: Gateway with the fleet and the demand of all instances.
        sync: StoreSync, which knows the registered instances.
        api: DutyApi.
        log: EventLog.
        name: Name of the instance.
    """

    name = 'capacity'

    def __init__(self, loop, gateway, sync, api, log, name):
        self._loop = loop
        self._gateway = gateway
        self._sync = sync
        self._api = api
        self._log = log
        self._instance = name
        self._token = None
        self._planners = {}
        # Whether another instance was seen as the holder, whether the lease
        # was held before its present acquisition, and when that was seen.
        self._other_held = False
        self._follows = False
        self._began_at = 0.0
        gateway.demand.start(self._find_holder)

    def _find_holder(self):
        """Returns the name of the holder; it is called once a second."""
        holder = self._sync.holder
        if holder not in ('', self._instance):
            self._other_held = True
        return holder

    async def perform(self, authority):
        """Plans each service and sends the orders that are due.

        Args:
            authority: Authority.
        """
        if authority.token != self._token:
            self._begin(authority.token)
        for service in self._scaled_services():
            planner = self._planner(service)
            if self._is_settling(service.scaling):
                self._plan(service.name, planner)
                continue
            # The plan follows each answer, as one may take a second.
            for _call in range(MAX_CALLS):
                due = self._plan(service.name, planner)
                if not due or not self._sync.current:
                    break
                if not authority.may_act():
                    break
                await self._send(service.name, planner, due[0], authority)

    def _begin(self, token):
        """Starts anew under another acquisition of the lease."""
        self._follows = self._other_held or self._token is not None
        self._began_at = self._loop.time()
        self._token, self._planners = token, {}

    def _is_settling(self, scaling):
        """Tells whether orders of the holder before may not be visible yet."""
        settled_at = self._began_at + SETTLE_S + scaling.boot_s
        return self._follows and self._loop.time() < settled_at

    def _plan(self, service, planner):
        """Returns the orders of a service that are due."""
        demand = self._gateway.demand.total(
            service, max(1, len(self._sync.registered.entries))
        )
        view = self._view(service)
        due = planner.update(view, demand, self._loop.time())
        self._record(service, planner)
        return due

    def report(self):
        """Returns the plan as data for operators.

        It is empty at an instance that does not hold the lease.
        """
        if self._sync.holder != self._instance:
            return {'holder': self._sync.holder, 'services': []}
        return {
            'holder': self._sync.holder,
            'services': [
                _service_row(name, planner, self._loop.time())
                for name, planner in self._planners.items()
                if planner.view is not None and planner.need is not None
            ],
        }

    def _scaled_services(self):
        table = self._gateway.fleet.table
        services = table.services.values() if table is not None else ()
        return [s for s in services if s.scaling is not None]

    def _planner(self, service):
        planner = self._planners.get(service.name)
        if planner is None:
            planner = capacity.Planner(service.scaling)
            self._planners[service.name] = planner
        planner.scaling = service.scaling
        return planner

    def _view(self, service):
        """Returns the View of a service by the entries in the store.

        What this instance itself knows, such as a crash, does not count, as
        another holder would plan otherwise.
        """
        return capacity.view_of(
            [
                upstream.entry
                for upstream in self._gateway.fleet.registry
                if upstream.gone_at is None
                and upstream.entry.service == service
            ]
        )

    def _record(self, service, planner):
        """Updates the metrics of a service."""
        need = planner.need
        if need is None:
            return
        metrics = self._gateway.metrics
        metrics.capacity_demand.labels(service).set(need.demand or 0.0)
        metrics.capacity_needed.labels(service).set(need.cheap)
        for kind in capacity.Kind:
            planned = sum(
                count
                for place, count in planner.planned.items()
                if place.kind is kind
            )
            metrics.capacity_planned.labels(service, kind.value).set(planned)

    async def _send(self, service, planner, order, authority):
        """Sends one order and records what became of it."""
        outcome, retry_s = capacity.Outcome.UNANSWERED, capacity.RETRY_S
        planner.orders.begin(order)
        try:
            result = await self._api.order_capacity(
                authority.name,
                authority.token,
                _duty.CapacityOrder(
                    service,
                    order.place.data_centre,
                    order.count,
                    order.place.reclaimable,
                ),
                authority.may_act,
            )
            outcome, retry_s = _outcome(result)
        finally:
            # If it is cancelled, what was sent may be in effect.
            now = self._loop.time()
            planner.orders.end(order, outcome, now, retry_s)
            self._log_order(service, planner, order, authority, outcome)
            self._gateway.metrics.capacity_orders.labels(outcome.value).inc()

    def _log_order(self, service, planner, order, authority, outcome):
        need = planner.need
        place = order.place
        self._log.event(
            'capacity.ordered',
            service=service,
            data_centre=place.data_centre,
            kind=place.kind.value,
            count=order.count,
            before=order.before,
            serving=planner.view.serving.get(place, 0),
            result=outcome.value,
            demand=_rounded(need.demand),
            forecast=_rounded(need.forecast),
            need=_rounded(need.cheap),
            price=_rounded(planner.scaling.price_of(place)),
            token=authority.token,
        )


def _outcome(result):
    """Returns the Outcome of a CallResult, and the pause before another."""
    match result:
        case _duty.Accepted():
            return capacity.Outcome.ACCEPTED, capacity.RETRY_S
        case _duty.Refused():
            return capacity.Outcome.REFUSED, capacity.RETRY_S
        case _duty.Throttled(retry_after_s):
            pause_s = retry_after_s or capacity.RETRY_S
            return capacity.Outcome.NOT_SENT, pause_s
        case _duty.NotSent():
            return capacity.Outcome.NOT_SENT, capacity.RETRY_S
        case _:
            return capacity.Outcome.UNANSWERED, capacity.RETRY_S


def _rounded(number):
    return None if number is None else round(number, _DECIMALS)


def _service_row(name, planner, now):
    need = {
        key: _rounded(value)
        for key, value in attrs.asdict(planner.need).items()
    }
    ordered = planner.orders.ordered()
    rows = [
        {
            'data_centre': place.data_centre,
            'kind': place.kind.value,
            'price': _rounded(planner.scaling.price_of(place)),
            'serving': planner.view.serving.get(place, 0),
            'draining': len(planner.view.draining.get(place, ())),
            'ordered': ordered.get(place, 0),
            'planned': count,
            'refused_for_s': _rounded(
                planner.orders.refused_for_s(place, now)
            ),
        }
        for place, count in sorted(
            planner.planned.items(),
            key=lambda item: (item[0].data_centre, item[0].kind.value),
        )
    ]
    return {'service': name, 'need': need, 'places': rows}
