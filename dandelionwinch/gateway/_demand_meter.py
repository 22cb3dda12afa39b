"""Measures the work that callers ask for, in engine seconds.

An engine second is the work that takes one engine one second. A prompt takes
the time in which an engine reads it by the learnt model; an answer takes its
duration divided by the slots of its engine, which serve as many at once.
"""

from dandelionwinch import capacity

SUCCESS_STATUS = 200
# The caller is at fault for these statuses, so they ask for no capacity.
FIRST_ERROR_STATUS = 400
TOO_MANY_STATUS = 429
FIRST_SERVER_ERROR_STATUS = 500
# Gain of the moving average of the work of a request, by which those are
# counted that no upstream was chosen for.
MEAN_GAIN = 0.05


class DemandMeter:
    """Work of this instance's requests, for services that are scaled.

    Args:
        loop: The event loop.
        fleet: Fleet with the routes.
        placer: EnginePlacer, for the learnt model of the engines.
    """

    __slots__ = ('_done', '_fleet', '_loop', '_mean', '_placer', '_short')
    __slots__ += ('_taken_at',)

    def __init__(self, loop, fleet, placer):
        self._loop = loop
        self._fleet = fleet
        self._placer = placer
        # Engine seconds since the last take(), and the mean of a request,
        # by service.
        self._done = {}
        self._short = {}
        self._mean = {}
        self._taken_at = loop.time()

    def record(self, handler, status):
        """Records a request that has got its final response.

        Args:
            handler: The RequestHandler.
            status: Status of the response, 0 if it was aborted.
        """
        if _is_callers_fault(status) or handler.held:
            return
        served = status == SUCCESS_STATUS
        in_time = served and self._is_in_time(handler)
        self._add(handler, served, in_time)

    def record_left(self, handler):
        """Records a request whose caller left before its end.

        One that left an answer that had begun in time, or before it was due,
        was not short of anything.
        """
        begun = bool(handler.first_event_s)
        if begun or not self._is_in_time(handler):
            self._add(handler, begun, self._is_in_time(handler))

    @staticmethod
    def _is_in_time(handler):
        first_s = handler.first_event_s or handler.elapsed_s()
        return first_s <= handler.route.objective_s

    def _add(self, handler, served, in_time):
        service = self._fleet.table.services.get(handler.service)
        if service is None or service.scaling is None:
            return
        work_s = self._work_s(handler, served)
        counts = self._done if in_time else self._short
        counts[service.name] = counts.get(service.name, 0.0) + work_s

    def _work_s(self, handler, served):
        """Returns the engine seconds of a request."""
        name = handler.service
        if not served:
            # Its answer did not come to its end, so the mean tells more.
            return self._mean.get(name, 0.0) or self._read_s(handler)
        work_s = self._read_s(handler) + self._answer_s(handler)
        mean = self._mean.get(name, work_s)
        self._mean[name] = mean + MEAN_GAIN * (work_s - mean)
        return work_s

    def _read_s(self, handler):
        placement = handler.placement
        if placement is None:
            return 0.0
        return self._placer.work_s(
            placement.prefill_engine, placement.uncached_tokens
        )

    def _answer_s(self, handler):
        if handler.placement is not None:
            slots = handler.placement.decode.entry.slots
            taken_s = handler.elapsed_s() - handler.first_event_s
        else:
            upstream = self._fleet.registry.get(handler.upstream_id)
            slots = upstream.entry.slots if upstream else 1
            taken_s = handler.elapsed_s()
        return taken_s / max(1, slots)

    def take(self):
        """Returns the Demand by service since the last call."""
        now = self._loop.time()
        span_s = max(1e-3, now - self._taken_at)
        self._taken_at = now
        done, self._done = self._done, {}
        short, self._short = self._short, {}
        return {
            name: capacity.Demand(
                done.get(name, 0.0) / span_s, short.get(name, 0.0) / span_s
            )
            for name, service in self._services()
            if service.scaling is not None
        }

    def _services(self):
        table = self._fleet.table
        return table.services.items() if table is not None else ()


def _is_callers_fault(status):
    return (
        FIRST_ERROR_STATUS <= status < FIRST_SERVER_ERROR_STATUS
        and status != TOO_MANY_STATUS
    )
