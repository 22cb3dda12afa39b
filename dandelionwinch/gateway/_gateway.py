"""Wires routes, upstreams, placement, limits and connections together."""

import random
import traceback

from dandelionwinch import attempts
from dandelionwinch import dispatch
from dandelionwinch import errors
from dandelionwinch.gateway import _call
from dandelionwinch.gateway import _fleet
from dandelionwinch.gateway import _generation
from dandelionwinch.gateway import _metrics

NO_ROUTES_RETRY_S = 0.5
SWEEP_S = 1.0


class Gateway:
    """Serves callers' requests from what is believed now."""

    __slots__ = (
        '_sweeper',
        'active',
        'budget',
        'wire_codec',
        'distances',
        'fleet',
        'log',
        'loop',
        'metrics',
        'placer',
        'rng',
    )

    def __init__(self, loop, wire_codec, log, cfg, rng=None):
        self.loop = loop
        self.wire_codec = wire_codec
        self.log = log
        self.rng = rng or random.Random()
        self.distances = dispatch.Distances(cfg.data_centre, cfg.regions)
        self.placer = dispatch.EnginePlacer(self.distances, self.rng)
        self.budget = attempts.SharedRetryBudget(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_s
        )
        self.fleet = _fleet.Fleet(loop)
        self.metrics = _metrics.Metrics()
        self.active = 0
        self._sweeper = None

    def start(self):
        """Starts the periodic work."""
        self._sweep()

    def close(self):
        """Stops the periodic work and closes idle connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.fleet.close()

    def _sweep(self):
        self.fleet.sweep(self.loop.time())
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    async def handle(self, incoming, caller):
        """Serves one request of a caller's connection."""
        self.active += 1
        try:
            await self._serve(incoming, caller)
        except errors.DandelionwinchError as exc:
            self._refuse(caller, incoming, exc.status, exc.message)
        except Exception:
            self.log.event('gateway.fault', trace=traceback.format_exc())
            caller.cut()
        finally:
            self.active -= 1

    async def _serve(self, incoming, caller):
        head = incoming.head
        table = self.fleet.table
        if table is None:
            headers = self.wire_codec.retry_after_headers(NO_ROUTES_RETRY_S)
            self._refuse(caller, incoming, 503, 'no routes yet', headers)
            return
        route = table.match(head.header('host'), head.path)
        if route is None:
            self._refuse(caller, incoming, 404, 'no route matches')
            return
        req = self.wire_codec.parse_request(head, bytes(incoming.body))
        kind = _call.Call
        if route.streaming and req.prompt is not None:
            kind = _generation.Generation
        exchange = kind(self, req, route, caller, incoming.at)
        try:
            await exchange.run()
        except BaseException as exc:
            self.log.event('request.left', request=req.id, reason=repr(exc))
            raise

    def _refuse(self, caller, incoming, status, reason, headers=()):
        self.log.event(
            'request.refused',
            host=incoming.head.header('host'),
            path=incoming.head.path,
            status=status,
            reason=reason,
        )
        caller.respond(status, headers, reason.encode())

    def log_early_refusal(self, status, reason):
        """Notes a request that was refused before it was whole."""
        self.log.event('request.refused', status=status, reason=reason)

    def set_instance_count(self, instance_count):
        """Sets the capacity of all instances in units of the own one."""
        self.fleet.instance_count = instance_count
        self.placer.instance_count = instance_count

    def begin_role_change(self, upstream_id, span_s):
        """Keeps requests away from an engine that changes its role."""
        upstream = self.fleet.registry.get(upstream_id)
        if upstream is not None:
            upstream.role_change_until = self.loop.time() + span_s

    def end_role_change(self, upstream_id):
        """Lets an engine that has its new role take requests."""
        upstream = self.fleet.registry.get(upstream_id)
        if upstream is not None:
            upstream.role_change_until = 0.0

    def spend_retry(self, service):
        """Takes a retry out of the shared budget."""
        return self.budget.spend(
            service, self.fleet.instance_count, self.loop.time()
        )

    def log_placement(self, request_id, placement):
        """Logs where a generation goes, and why."""
        prefill = placement.prefill
        self.log.event(
            'request.placed',
            request=request_id,
            prefill=prefill.entry.id if prefill else '',
            decode=placement.decode.entry.id,
            lane=placement.priority_class.value,
            terms=placement.terms,
        )

    def closed(self, exchange, status, reason):
        """Notes the final answer of a request."""
        taken_s = exchange.taken_s()
        name = exchange.route.name
        stages = {
            'prefill': exchange.prefill_s,
            'first_event': exchange.first_event_s,
            'end': taken_s,
        }
        self.metrics.ended(name, status, exchange.outcome, stages)
        self.log.event(
            'request.answered',
            request=exchange.request_id,
            route=name,
            upstream=exchange.upstream_id,
            status=status,
            outcome=exchange.outcome,
            reason=reason,
            attempts=exchange.attempts,
            prefill_ms=round(exchange.prefill_s * 1e3, 1),
            first_ms=round(exchange.first_event_s * 1e3, 1),
            gap_ms=round(exchange.longest_gap_s * 1e3, 1),
            taken_ms=round(taken_s * 1e3, 1),
        )
