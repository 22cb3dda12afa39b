"""Connects routing, upstream state, placement and retry budgets."""

import asyncio
import random
import traceback

from dandelionwinch import attempts
from dandelionwinch import dispatch
from dandelionwinch import errors
from dandelionwinch.gateway import _answer_bytes
from dandelionwinch.gateway import _authenticator
from dandelionwinch.gateway import _byte_limits
from dandelionwinch.gateway import _cache_watch
from dandelionwinch.gateway import _call_gate
from dandelionwinch.gateway import _call_handler
from dandelionwinch.gateway import _crash_guard
from dandelionwinch.gateway import _demand_link
from dandelionwinch.gateway import _demand_meter
from dandelionwinch.gateway import _end_checks
from dandelionwinch.gateway import _engine_departures
from dandelionwinch.gateway import _fair_sharing
from dandelionwinch.gateway import _fleet
from dandelionwinch.gateway import _generation_handler
from dandelionwinch.gateway import _key_sharing
from dandelionwinch.gateway import _leaving_notices
from dandelionwinch.gateway import _limit_sharing
from dandelionwinch.gateway import _metrics
from dandelionwinch.gateway import _peer_link
from dandelionwinch.gateway import _planned_stop
from dandelionwinch.gateway import _refusals
from dandelionwinch.gateway import _response_observer
from dandelionwinch.gateway import _speed_sharing
from dandelionwinch.gateway import _stream_versions
from dandelionwinch.gateway import _usage_meter
from dandelionwinch.gateway import _usage_sharing
from dandelionwinch import usage

NO_ROUTES_RETRY_AFTER_S = 0.5
# Other instances serve at once what this one can't end before it stops.
STOPPING_RETRY_AFTER_S = 0.05
SWEEP_INTERVAL_S = 1.0
SUCCESS_STATUS = 200


class Gateway:
    """Serves callers' requests.

    Args:
        loop: The event loop.
        wire_codec: The WireCodec.
        log: Event log with `event(name, **fields)`.
        cfg: Settings of the instance.
        rng: Source of randomness, None for a new one.

    Attributes:
        active: Number of requests in progress.
        authenticator: The Authenticator.
        budget: The SharedRetryBudget.
        call_gate: The CallGate.
        crash_guard: The CrashGuard.
        demand: The DemandLink.
        departures: The EngineDepartures.
        distances: Round-trip times to data centres.
        fair_sharing: The FairSharing.
        fleet: Upstreams and their connection pools.
        peers: The PeerLink to other instances.
        placer: Chooses the engines of a generation.
        streams: The StreamVersions.
        usage: The UsageSharing with other instances.
        usage_meter: The UsageMeter.
    """

    __slots__ = (
        '_cache_watch',
        '_demand_meter',
        '_key_sharing',
        '_limits',
        '_notices',
        '_speeds',
        '_refusals',
        '_stop',
        '_sweep_timer',
        '_tasks',
        'active',
        'authenticator',
        'budget',
        'call_gate',
        'crash_guard',
        'demand',
        'departures',
        'distances',
        'fair_sharing',
        'fleet',
        'log',
        'loop',
        'metrics',
        'peers',
        'placer',
        'rng',
        'streams',
        'usage',
        'usage_meter',
        'wire_codec',
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
        self.fleet.answer_bytes = _answer_bytes.AnswerBytes(cfg.max_held_bytes)
        self.peers = _peer_link.PeerLink(loop, log, cfg.instance)
        self.streams = _stream_versions.StreamVersions(loop, log, self.peers)
        self.metrics = _metrics.Metrics()
        self.departures = _engine_departures.EngineDepartures(
            self, cfg.regions, cfg.drain_s
        )
        self._notices = _leaving_notices.LeavingNotices(
            loop,
            self.peers,
            self.fleet,
            self.rng,
            log,
            self.departures.engine_leaves,
        )
        if cfg.limits_held_bytes:
            self.fleet.byte_limits = _byte_limits.ByteLimits(
                loop,
                self.fleet,
                self.peers,
                cfg.instance,
                log,
                self.metrics.registry,
                self.rng,
            )
        self._refusals = _refusals.Refusals(wire_codec, log, self.metrics)
        self._limits = _limit_sharing.LimitSharing(
            loop,
            self.fleet,
            self.peers,
            cfg.instance,
            log,
            self.metrics,
            self.rng,
        )
        self._speeds = _speed_sharing.SpeedSharing(
            loop,
            self.fleet,
            self.placer.speeds,
            self.peers,
            cfg.instance,
            log,
        )
        response_observer = _response_observer.ResponseObserver(
            loop,
            self.fleet,
            wire_codec,
            self.rng,
            log,
            self.metrics,
            self._upstream_announced,
            self._limits.observe,
        )
        self.fleet.observe_head = response_observer.observe_head
        self.crash_guard = _crash_guard.CrashGuard(
            loop, self.fleet, self.peers, log, self.metrics, self.rng
        )
        self.fleet.end_checks = _end_checks.EndChecks(
            loop, self.fleet.registry, self.crash_guard.process_gone
        )
        self.authenticator = _authenticator.Authenticator(loop, cfg)
        self._key_sharing = _key_sharing.KeySharing(
            loop, self.peers, self.fleet, self.authenticator, log, self.rng
        )
        self._demand_meter = _demand_meter.DemandMeter(
            loop, self.fleet, self.placer
        )
        self.demand = _demand_link.DemandLink(
            loop, self.peers, self._demand_meter, cfg.instance
        )
        self.fair_sharing = _fair_sharing.FairSharing(
            loop, self.peers, self.fleet, log, cfg.instance
        )
        self.call_gate = _call_gate.CallGate(
            loop, self.fleet, self.fair_sharing, self.metrics.registry
        )
        self.active = 0
        self._stop = _planned_stop.PlannedStop(loop)
        # Tasks of the requests that are being served.
        self._tasks = set()
        self._sweep_timer = None
        self._cache_watch = _cache_watch.CacheWatch(
            loop, self.fleet, self.placer, wire_codec, log
        )
        self._init_usage(cfg)

    def _init_usage(self, cfg):
        duties = cfg.duty_settings
        clock = usage.system_clock()
        counts = usage.WindowCounts(duties.report_window_s)
        self.usage_meter = _usage_meter.UsageMeter(
            self.loop, clock, counts, self.distances, self.metrics
        )
        self.usage_meter.enabled = duties.reports_usage
        self.usage = _usage_sharing.UsageSharing(
            self.loop,
            clock,
            counts,
            self.usage_meter,
            self.peers,
            cfg.instance,
            self.log,
            self.rng,
            duties.usage_late_s,
        )

    def start(self):
        """Starts the periodic work."""
        self._sweep()
        self.crash_guard.start()
        self.fleet.end_checks.start()
        self._limits.start()
        self._key_sharing.start()
        self.fair_sharing.start()
        self._speeds.start()
        if self.fleet.byte_limits is not None:
            self.fleet.byte_limits.start()
        self._cache_watch.start()
        if self.usage_meter.enabled:
            self.usage.start()

    def close(self):
        """Stops the periodic work and closes idle connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self._cache_watch.close()
        self.crash_guard.close()
        self.fleet.end_checks.close()
        self.demand.close()
        self._limits.close()
        self._key_sharing.close()
        self.usage.close()
        self.fair_sharing.close()
        self.call_gate.close()
        self.departures.close()
        self.streams.close()
        self._speeds.close()
        if self.fleet.byte_limits is not None:
            self.fleet.byte_limits.close()
        self.peers.close()
        self.fleet.close()

    def _sweep(self):
        self.fleet.sweep(self.loop.time())
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def handle(self, incoming, caller):
        """Serves one request of a caller.

        Args:
            incoming: The IncomingRequest.
            caller: The CallerConnection that receives the response.
        """
        self.active += 1
        try:
            await self._serve(incoming, caller)
        except errors.DandelionwinchError as exc:
            self._refusals.refuse_for(caller, incoming, exc)
        except Exception:
            self.log.event('gateway.fault', trace=traceback.format_exc())
            if caller.responded:
                caller.abort()
            else:
                # An upstream may have executed the request.
                caller.respond(502, (), b'an internal error', close=True)
        finally:
            self.active -= 1

    async def _serve(self, incoming, caller):
        head = incoming.head
        table = self.fleet.table
        if table is None:
            self._refusals.refuse_later(
                caller, incoming, 'no routes yet', NO_ROUTES_RETRY_AFTER_S
            )
            return
        route = table.match(head.header('host'), head.path)
        if route is None:
            self._refusals.refuse(caller, incoming, 404, 'no route matches')
            return
        req = self._read_request(incoming, table, route)
        if self.fleet.byte_limits is not None:
            self.fleet.byte_limits.serve_caller(caller, req.team)
        if not self._ends_in_time(req, route):
            self._refusals.refuse_later(
                caller,
                incoming,
                'it could not end before the instance stops',
                STOPPING_RETRY_AFTER_S,
                req.id,
            )
            return
        handler_class = _call_handler.CallHandler
        if route.streaming and req.prompt is not None:
            handler_class = _generation_handler.GenerationHandler
        handler = handler_class(self, req, route, caller, incoming.received_at)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await handler.run()
        except asyncio.CancelledError as exc:
            if self._stop.ended and not caller.closed:
                handler.respond_stopped()
                return
            self._demand_meter.record_left(handler)
            self._log_left(req.id, exc, incoming)
            raise
        except BaseException as exc:
            self._log_left(req.id, exc, incoming)
            raise
        finally:
            self._tasks.discard(task)

    def _read_request(self, incoming, table, route):
        """Returns the CallerRequest, after its key was checked.

        Raises:
            Unauthorized: If it needs a key and has no valid one.
            OutOfContact: If its key can't be checked.
            BadRequest: If it is malformed.
        """
        head, body = incoming.head, bytes(incoming.body)
        if table.teams is None:
            return self.wire_codec.parse_request(head, body)
        key = self.wire_codec.parse_key(head)
        team = self.authenticator.authenticate(table, route, key)
        req = self.wire_codec.parse_request(head, body)
        return self.wire_codec.with_team(req, team)

    def _log_left(self, request_id, exc, incoming):
        self.log.event(
            'request.left',
            request=request_id,
            reason=repr(exc),
            stopping_s=self._stop.lasted_s(incoming.received_at),
        )

    def begin_stop(self, stop_at):
        """Refuses requests from now on that can't end before a stop.

        Args:
            stop_at: Loop time at which the instance stops.
        """
        self._stop.begin(stop_at)

    def end_requests(self):
        """Gives all requests their final responses, as the stop is due.

        Streams that have begun are aborted.
        """
        self._stop.ended = True
        for task in self._tasks:
            task.cancel('the instance stops')

    def _ends_in_time(self, req, route):
        """Tells whether a request that arrives can end before a stop."""
        limit_s = route.timeout_s
        if req.timeout_s is not None:
            limit_s = min(limit_s, req.timeout_s)
        return self.ends_before_stop(route, req.answer_tokens, limit_s)

    def ends_before_stop(self, route, answer_tokens, limit_s):
        """Tells whether a request can end before the instance stops.

        Args:
            route: Route of the request.
            answer_tokens: Maximum number of tokens of its answer.
            limit_s: Seconds until its deadline.
        """
        return self._stop.allows(route.name, answer_tokens, limit_s)

    def log_early_rejection(self, status, reason):
        """Logs a request that was rejected before it was complete."""
        self.log.event('request.refused', status=status, reason=reason)

    def log_stalled_caller(self, unread_bytes):
        """Logs a connection that was aborted as its caller does not read."""
        self.log.event('caller.stalled', unread_bytes=unread_bytes)

    def set_table(self, table):
        """Puts a version of the configuration in force.

        Args:
            table: The RouteTable.
        """
        self.fleet.table = table
        self._key_sharing.apply(table)

    def set_capacity_ratio(self, capacity_ratio):
        """Sets the ratio by which this instance divides shared limits.

        Args:
            capacity_ratio: Capacity of all instances over this
                instance's capacity, at least 1.
        """
        self.fleet.capacity_ratio = capacity_ratio
        self.placer.capacity_ratio = capacity_ratio

    def upstream_drains(self, upstream):
        """Applies that the entry of an upstream says that it drains.

        One that states when it leaves was taken away at short notice. Other
        instances may read its entry a second later, so they are told.
        """
        incarnation = upstream.entry.incarnation
        self.fleet.turn_away(incarnation)
        self.departures.engine_leaves(upstream)
        if upstream.entry.leaves_in_s is not None:
            self._notices.announce(incarnation)

    def _upstream_announced(self, incarnation):
        """Applies that a response announced the end of its upstream."""
        upstream = self.fleet.registry.find(incarnation)
        if upstream is not None:
            self.departures.engine_leaves(upstream)
        self._notices.announce(incarnation)

    def begin_role_change(self, upstream_id, span_s):
        """Excludes an engine from placement while its role changes.

        Args:
            upstream_id: Id of the engine.
            span_s: Longest time to exclude it, unless
                `end_role_change` is called before.
        """
        upstream = self.fleet.registry.get(upstream_id)
        if upstream is not None:
            upstream.role_change_until = self.loop.time() + span_s

    def end_role_change(self, upstream_id):
        """Includes an engine in placement again."""
        upstream = self.fleet.registry.get(upstream_id)
        if upstream is not None:
            upstream.role_change_until = 0.0

    def allows_retry(self, service):
        """Tells whether the shared budget has a retry for a service."""
        return self.budget.allows(
            service, self.fleet.capacity_ratio, self.loop.time()
        )

    def spend_retry(self, service):
        """Spends a retry of the shared budget; tells whether there was one."""
        return self.budget.spend(
            service, self.fleet.capacity_ratio, self.loop.time()
        )

    def log_placement(self, request_id, placement):
        """Logs the engines of a generation and the terms of the choice."""
        prefill = placement.prefill
        self.log.event(
            'request.placed',
            request=request_id,
            prefill=prefill.entry.id if prefill else '',
            decode=placement.decode.entry.id,
            version=placement.decode.entry.software_version,
            lane=placement.priority_class.value,
            terms=placement.terms,
        )

    def record_response(self, handler, status, reason):
        """Records the final response to a request in metrics and log.

        Args:
            handler: The RequestHandler.
            status: Status of the response, 0 if it was aborted.
            reason: Why the last attempt failed, '' if it succeeded.
        """
        elapsed_s = handler.elapsed_s()
        self._demand_meter.record(handler, status)
        name = handler.route.name
        stages = {
            'prefill': handler.prefill_s,
            'first_event': handler.first_event_s,
            'end': elapsed_s,
        }
        self.metrics.record_response(name, status, handler.outcome, stages)
        if status == SUCCESS_STATUS:
            first_s = handler.first_event_s or elapsed_s
            self._stop.record(name, handler.answer_tokens, first_s, elapsed_s)
        self.log.event(
            'request.answered',
            request=handler.request_id,
            route=name,
            upstream=handler.upstream_id,
            status=status,
            outcome=handler.outcome,
            reason=reason,
            attempts=handler.attempts,
            prefill_ms=round(handler.prefill_s * 1e3, 1),
            first_ms=round(handler.first_event_s * 1e3, 1),
            gap_ms=round(handler.longest_gap_s * 1e3, 1),
            taken_ms=round(elapsed_s * 1e3, 1),
            stopping_s=self._stop.lasted_s(handler.started_at),
        )
