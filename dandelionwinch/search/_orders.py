"""Searches for conflicting or stale orders to upstreams."""

import attrs

from dandelionwinch import membership
from dandelionwinch import orders
from dandelionwinch.search import _world
from dandelionwinch import settings

INSTANCES = 3
RUN_S = 400.0
FAULTS_UNTIL_S = 250.0
CONNECTION_WORST_S = 12.0
EXECUTION_S = 6.0
STEP_S = 0.5
LIST_LAG_S = 5.0
SHARD = 'Nanyuki/counter-lm'
_TIMING = settings.TimingSettings(gone_margin_s=CONNECTION_WORST_S + 1)


@attrs.define
class _Upstream:
    """An upstream that carries orders out, and what it saw."""

    cfg: settings.Upstream
    order_id: str = ''
    epoch: int = 0
    role: str = 'mixed'
    busy_until: float = 0.0
    applied: list = attrs.field(factory=list)

    def take(self, order, now):
        """Takes an order and returns whether it did so."""
        if self.cfg.checks_fencing and order.epoch < self.epoch:
            return False
        if order.id == self.order_id:
            return True
        if now < self.busy_until:
            raise _world.Broken(
                f'{now:.2f} s: upstream "{self.cfg.name}" got order '
                f'"{order.id}" while it carries out "{self.order_id}"'
            )
        if self.applied and order.epoch < max(e for e, _id in self.applied):
            raise _world.Broken(
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
        """Returns the upstream's own word."""
        away = now < self.busy_until
        return orders.UpstreamStatus(self.order_id, away, 0, self.epoch)


class _Instance:
    """One instance that leads the shard when it can."""

    def __init__(self, search, process):
        self.search = search
        self.process = process
        self.departures = membership.Departures(_TIMING.gone_margin_s)
        self.authority = orders.ShardLease(
            SHARD, process.name, process.incarnation, _TIMING
        )
        self.conductor = orders.OrderExecutor(
            self.authority, _TIMING.gone_margin_s
        )
        self.leaving = False
        self._steps = {}

    def start(self):
        """Starts the periodic steps."""
        self.process.soon(0, self._lead)
        self.process.soon(0.1, self._conduct)

    def _lead(self):
        process = self.process
        process.soon(_TIMING.lease_s / 4, self._lead)
        self.departures.list_read(self.search.platform.read())
        if self.leaving:
            process.run(self.authority.release())
        else:
            fenced = all(r.cfg.checks_fencing for r in self.search.upstreams)
            process.run(
                self.authority.acquire(fenced, self.departures.is_gone)
            )

    def _conduct(self):
        self.process.soon(STEP_S, self._conduct)
        if not self.authority.holds(self.process.now()):
            return
        for upstream in self.search.upstreams:
            if self._steps.get(upstream.cfg.name):
                continue
            self._steps[upstream.cfg.name] = True
            wish = self._wish(upstream)
            program = self.conductor.step(upstream.cfg, wish)
            self.process.run(program, self._stepped(upstream.cfg.name))

    def _stepped(self, name):
        def done(_progress):
            self._steps[name] = False

        return done

    def _wish(self, upstream):
        shard = self.authority.shard
        wanted, source = self.search.wanted[upstream.cfg.name]
        last = shard.orders.get(upstream.cfg.name)
        if last is not None and last.source >= source:
            return None
        order_id = f'{upstream.cfg.name}-{shard.epoch + 1}'
        return orders.DesiredRole(wanted, source, order_id)

    def handle(self, process, request, reply):
        """Serves the requests of the conductor's programs."""
        match request:
            case orders.PollUpstream(upstream=name):
                self.search.poll(name, reply)
            case orders.HoldUpstream():
                held = orders.DrainReport('all', 0, process.now(), 10.0)
                reply(orders.HoldState(('all',), {'all': held}))
            case orders.ReleaseHold():
                reply(None)
            case orders.SendOrder(order=order):
                self._send(order, reply)

    def _send(self, order, reply):
        world = self.search.world
        if not self.authority.holds(self.process.now()):
            reply(None)
            return
        if not self.authority.begin_send():
            reply(None)
            return
        if world.fault(0.05):
            # Paused after the check and right before the send.
            self.process.pause(_world.LONGEST_PAUSE_S * world.rng.random())

        def ended(answer):
            self.authority.end_send()
            reply(answer)

        self.process.soon(0, self.search.send, order, self.process, ended)


class _Search(_world.Scene):
    """One seeded run over a shard and its upstreams."""

    def __init__(self, seed):
        super().__init__(seed, FAULTS_UNTIL_S, LIST_LAG_S)
        fenced = self.world.chance(0.5)
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
        self.wanted = {r.cfg.name: ('mixed', 0) for r in self.upstreams}
        self._revision = 0

    def run(self):
        """Runs to the end, then checks that all orders came through."""
        for _number in range(INSTANCES):
            self.start_instance(_Instance)
        self.world.after(1, self._disturb)
        self.world.after(1, self._want)
        self.world.run(RUN_S)
        self._check_progress()
        return self.world.faults

    def _disturb(self):
        world = self.world
        if world.now > FAULTS_UNTIL_S:
            self.store.down_until = 0.0
            return
        world.after(12 * world.rng.random(), self._disturb)
        instance = world.rng.choice(self.instances)
        match world.rng.randrange(5):
            case 0:
                seconds = _world.LONGEST_PAUSE_S * world.rng.random()
                instance.process.pause(seconds)
            case 1 if world.chance(0.4):
                self.replace(instance, _Instance)
            case 2:
                self.store.outage(20 * world.rng.random())
            case 3 if world.chance(0.5):
                instance.leaving = True
                world.after(30, self.replace, instance, _Instance)

    def _want(self):
        world = self.world
        if world.now > FAULTS_UNTIL_S:
            return
        world.after(15 * world.rng.random(), self._want)
        upstream = world.rng.choice(self.upstreams)
        self._revision += 1
        role = world.rng.choice(['prefill', 'decode', 'mixed'])
        self.wanted[upstream.cfg.name] = (role, self._revision)

    def _upstream(self, name):
        return next(r for r in self.upstreams if r.cfg.name == name)

    def poll(self, name, reply):
        """Carries a load request to an upstream and back."""
        world = self.world
        if world.chance(0.05):
            world.after(0.5, reply, None)
            return
        status = self._upstream(name).status(world.now)
        world.after(_world.LATENCY_S, reply, status)

    def send(self, order, process, ended):
        """Carries an order to an upstream; it may arrive late."""
        world = self.world
        upstream = self._upstream(order.upstream)
        if world.chance(0.85):
            world.after(_world.LATENCY_S, self._arrive, upstream, order, ended)
            return
        # No answer in time; the order may still arrive.
        if world.chance(0.7):
            world.faults.late_messages += 1
            delay_s = CONNECTION_WORST_S * world.rng.random()
            world.after(delay_s, upstream.take, order, world.now + delay_s)
        world.after(2.0, ended, None)

    def _arrive(self, upstream, order, ended):
        taken = upstream.take(order, self.world.now)
        self.world.after(_world.LATENCY_S, ended, taken)

    def _check_progress(self):
        shard = orders.Shard.load(self.store.look(orders.shard_key(SHARD)))
        for upstream in self.upstreams:
            wanted, source = self.wanted[upstream.cfg.name]
            order = shard.orders.get(upstream.cfg.name)
            if source == 0 or (
                order is not None
                and order.source >= source
                and upstream.role == wanted
            ):
                continue
            raise _world.Broken(
                f'{self.world.now:.2f} s: upstream "{upstream.cfg.name}" has '
                f'role "{upstream.role}" although "{wanted}" was ordered and '
                'all faults ended long ago'
            )


def search_orders(seed):
    """Runs one seed.

    Returns:
        The Faults that were injected.

    Raises:
        Broken: If a promise was broken.
    """
    return _Search(seed).run()
