"""Searches for overlapping or stale role orders to upstreams."""

import attrs

from dandelionwinch import membership
from dandelionwinch import orders
from dandelionwinch.search import _simulation
from dandelionwinch import settings

INSTANCES = 3
RUN_S = 400.0
FAULTS_UNTIL_S = 250.0
# Longest time until an order that was sent arrives.
MAX_DELIVERY_DELAY_S = 12.0
EXECUTION_S = 6.0
STEP_INTERVAL_S = 0.5
LIST_LAG_S = 5.0
SHARD = 'Nanyuki/counter-lm'
# No order of an instance is in flight any more when it counts as gone.
_TIMING = settings.TimingSettings(gone_margin_s=MAX_DELIVERY_DELAY_S + 1)


@attrs.define
class _Upstream:
    """An upstream that executes orders and checks their sequence.

    Attributes:
        order_id: The last order that it accepted.
        epoch: Fencing token of that order.
        busy_until: Virtual time at which that order is executed.
        applied: Epoch and id of each order that changed the role.
    """

    cfg: settings.Upstream
    order_id: str = ''
    epoch: int = 0
    role: str = 'mixed'
    busy_until: float = 0.0
    applied: list = attrs.field(factory=list)

    def apply_order(self, order, now):
        """Applies an order, and returns False if its token is fenced off.

        Raises:
            InvariantViolated: If the order overlaps with another one, or
                is older than one that was already applied.
        """
        if self.cfg.checks_fencing and order.epoch < self.epoch:
            return False
        if order.id == self.order_id:
            return True
        if now < self.busy_until:
            raise _simulation.InvariantViolated(
                f'{now:.2f} s: upstream "{self.cfg.name}" received order '
                f'"{order.id}" while it executes "{self.order_id}"'
            )
        if self.applied and order.epoch < max(e for e, _id in self.applied):
            raise _simulation.InvariantViolated(
                f'{now:.2f} s: stale order "{order.id}" of epoch '
                f'{order.epoch} changed upstream "{self.cfg.name}"'
            )
        self.order_id = order.id
        self.epoch = order.epoch
        self.role = order.role
        self.busy_until = now + EXECUTION_S
        self.applied.append((order.epoch, order.id))
        return True

    def status(self, now):
        """Returns the state that the upstream reports."""
        applying = now < self.busy_until
        return orders.UpstreamStatus(self.order_id, applying, 0, self.epoch)


class _Instance:
    """An instance that executes orders while it holds the shard lease."""

    def __init__(self, scenario, process):
        self.scenario = scenario
        self.process = process
        self.departures = membership.Departures(_TIMING.gone_margin_s)
        self.lease = orders.ShardLease(
            SHARD, process.name, process.incarnation, _TIMING
        )
        self.executor = orders.OrderExecutor(self.lease, _TIMING.gone_margin_s)
        self.stopping = False
        self._running = {}

    def start(self):
        """Starts the periodic steps."""
        self.process.call_later(0, self._renew_lease)
        self.process.call_later(0.1, self._execute_orders)

    def _renew_lease(self):
        process = self.process
        process.call_later(_TIMING.lease_s / 4, self._renew_lease)
        self.departures.list_read(self.scenario.live_list.read())
        if self.stopping:
            process.run(self.lease.release())
        else:
            fenced = all(u.cfg.checks_fencing for u in self.scenario.upstreams)
            process.run(
                self.lease.acquire_or_renew(fenced, self.departures.is_gone)
            )

    def _execute_orders(self):
        self.process.call_later(STEP_INTERVAL_S, self._execute_orders)
        if not self.lease.is_held(self.process.now()):
            return
        for upstream in self.scenario.upstreams:
            if self._running.get(upstream.cfg.name):
                continue
            self._running[upstream.cfg.name] = True
            desired = self._desired_role(upstream)
            program = self.executor.step(upstream.cfg, desired)
            self.process.run(program, self._on_step_done(upstream.cfg.name))

    def _on_step_done(self, name):
        def done(_progress):
            self._running[name] = False

        return done

    def _desired_role(self, upstream):
        shard = self.lease.shard
        role, source = self.scenario.desired_roles[upstream.cfg.name]
        last = shard.orders.get(upstream.cfg.name)
        if last is not None and last.source >= source:
            return None
        order_id = f'{upstream.cfg.name}-{shard.epoch + 1}'
        return orders.DesiredRole(role, source, order_id)

    def handle(self, process, request, reply):
        """Serves the effects that the executor's programs request."""
        match request:
            case orders.PollUpstream(upstream=name):
                self.scenario.poll(name, reply)
            case orders.HoldUpstream():
                held = orders.DrainReport('all', 0, process.now(), 10.0)
                reply(orders.HoldState(('all',), {'all': held}))
            case orders.ReleaseHold():
                reply(None)
            case orders.SendOrder(order=order):
                self._send(order, reply)

    def _send(self, order, reply):
        sim = self.scenario.sim
        if not self.lease.is_held(self.process.now()):
            reply(None)
            return
        if not self.lease.begin_send():
            reply(None)
            return
        if sim.should_fail(0.05):
            # Pauses between the check of the lease and the send.
            self.process.pause(_simulation.MAX_PAUSE_S * sim.rng.random())

        def on_reply(answer):
            self.lease.end_send()
            reply(answer)

        self.process.call_later(
            0, self.scenario.send, order, self.process, on_reply
        )


class _OrderScenario(_simulation.Scenario):
    """A run with one shard of two upstreams."""

    def __init__(self, seed):
        super().__init__(seed, FAULTS_UNTIL_S, LIST_LAG_S)
        fenced = self.sim.chance(0.5)
        self.upstreams = [
            _Upstream(
                settings.Upstream(
                    name=f'lm-{number}',
                    pool='lm',
                    address='127.0.0.1:1',
                    checks_fencing=fenced,
                )
            )
            for number in range(2)
        ]
        self.desired_roles = {u.cfg.name: ('mixed', 0) for u in self.upstreams}
        self._revision = 0

    def run(self):
        """Runs to the end and checks that all upstreams have their role."""
        for _number in range(INSTANCES):
            self.start_instance(_Instance)
        self.sim.call_later(1, self._inject_faults)
        self.sim.call_later(1, self._change_desired_role)
        self.sim.run(RUN_S)
        self._check_progress()
        return self.sim.faults

    def _inject_faults(self):
        sim = self.sim
        if sim.now > FAULTS_UNTIL_S:
            self.store.down_until = 0.0
            return
        sim.call_later(12 * sim.rng.random(), self._inject_faults)
        instance = sim.rng.choice(self.instances)
        match sim.rng.randrange(5):
            case 0:
                seconds = _simulation.MAX_PAUSE_S * sim.rng.random()
                instance.process.pause(seconds)
            case 1 if sim.chance(0.4):
                self.replace(instance, _Instance)
            case 2:
                self.store.outage(20 * sim.rng.random())
            case 3 if sim.chance(0.5):
                instance.stopping = True
                sim.call_later(30, self.replace, instance, _Instance)

    def _change_desired_role(self):
        sim = self.sim
        if sim.now > FAULTS_UNTIL_S:
            return
        sim.call_later(15 * sim.rng.random(), self._change_desired_role)
        upstream = sim.rng.choice(self.upstreams)
        self._revision += 1
        role = sim.rng.choice(['prefill', 'decode', 'mixed'])
        self.desired_roles[upstream.cfg.name] = (role, self._revision)

    def _upstream(self, name):
        return next(u for u in self.upstreams if u.cfg.name == name)

    def poll(self, name, reply):
        """Delivers a status poll to an upstream, and its response."""
        sim = self.sim
        if sim.chance(0.05):
            sim.call_later(0.5, reply, None)
            return
        status = self._upstream(name).status(sim.now)
        sim.call_later(_simulation.LATENCY_S, reply, status)

    def send(self, order, process, on_reply):
        """Delivers an order to an upstream, possibly late."""
        sim = self.sim
        upstream = self._upstream(order.upstream)
        if sim.chance(0.85):
            sim.call_later(
                _simulation.LATENCY_S, self._deliver, upstream, order, on_reply
            )
            return
        # The sender times out, and the order may still arrive.
        if sim.chance(0.7):
            sim.faults.late_messages += 1
            delay_s = MAX_DELIVERY_DELAY_S * sim.rng.random()
            sim.call_later(
                delay_s, upstream.apply_order, order, sim.now + delay_s
            )
        sim.call_later(2.0, on_reply, None)

    def _deliver(self, upstream, order, on_reply):
        applied = upstream.apply_order(order, self.sim.now)
        self.sim.call_later(_simulation.LATENCY_S, on_reply, applied)

    def _check_progress(self):
        shard = orders.Shard.load(self.store.peek(orders.shard_key(SHARD)))
        for upstream in self.upstreams:
            role, source = self.desired_roles[upstream.cfg.name]
            order = shard.orders.get(upstream.cfg.name)
            if source == 0 or (
                order is not None
                and order.source >= source
                and upstream.role == role
            ):
                continue
            raise _simulation.InvariantViolated(
                f'{self.sim.now:.2f} s: upstream "{upstream.cfg.name}" still '
                f'has role "{upstream.role}" instead of "{role}" after all '
                'faults ended'
            )


def search_orders(seed):
    """Runs one seed and checks that orders neither overlap nor go stale.

    Returns:
        The Faults that were injected.

    Raises:
        InvariantViolated: If an upstream received an overlapping or a
            stale order, or did not get its role in the end.
    """
    return _OrderScenario(seed).run()
