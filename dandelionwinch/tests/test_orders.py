"""Steps of the scenarios about orders."""

import attrs
import pytest
import pytest_bdd
from pytest_bdd import parsers

from dandelionwinch import effects
from dandelionwinch import membership
from dandelionwinch import orders
from dandelionwinch import settings
from dandelionwinch.standins import engine
from dandelionwinch.standins import store

pytest_bdd.scenarios('features/orders.feature')

TIMING = settings.TimingSettings()
SHARD = 'Nanyuki/lm'


@attrs.define
class _Instance:
    """One instance that may hold the shard."""

    authority: orders.ShardLease
    conductor: orders.OrderExecutor
    departures: membership.Departures


class _Stage:
    """An upstream, a store and two instances in virtual time."""

    def __init__(self):
        self.now = 100.0
        self.store = store.MemoryStore()
        self.listed = {'a', 'b'}
        self.engine = None
        self.reason = ''
        self.jobs = 0
        self.held_ago_s = 0.0
        self.confirms = True
        self.status = 'own word'
        self.in_flight = None
        self.taken = 0
        self.instances = {name: _instance(name) for name in 'ab'}

    def run(self, program, paused=False):
        """Runs a program; a paused one stops before it sends."""
        reply = None
        while True:
            try:
                request = program.send(reply)
            except StopIteration as stop:
                return stop.value
            if paused and isinstance(request, orders.SendOrder):
                self.in_flight = request.order
                return None
            reply = self._reply(request)

    def _reply(self, request):
        match request:
            case effects.Clock():
                return effects.Time(self.now, self.now)
            case orders.PollUpstream():
                return self._status()
            case orders.HoldUpstream():
                return self._hold()
            case orders.ReleaseHold():
                return None
            case orders.SendOrder(order=order):
                return self.send(order)
        return self.store.execute(request)

    def _status(self):
        if self.status is None:
            return None
        order_id = self.engine.order[0] if self.engine.order else ''
        away = self.now < self.engine.away_until
        jobs = self.status if isinstance(self.status, int) else 0
        return orders.UpstreamStatus(order_id, away, jobs, self.engine.epoch)

    def _hold(self):
        report = orders.DrainReport(
            'c', self.jobs, self.now - self.held_ago_s, 10.0
        )
        return orders.HoldState(('c',), {'c': report} if self.confirms else {})

    def send(self, order):
        """Delivers an order to the upstream."""
        before = self.engine.order
        taken = self.engine.take_order(
            order.id, order.epoch, order.role, self.now
        )
        if taken and self.engine.order != before:
            self.taken += 1
        return taken

    def acquire(self, name):
        """Lets an instance try to take the shard."""
        instance = self.instances[name]
        instance.departures.list_read(self.listed)
        fenced = self.engine.cfg.checks_fencing
        return self.run(
            instance.authority.acquire(fenced, instance.departures.is_gone)
        )

    def carry_out(self, name, wish=None):
        """Lets the holder go on until nothing is left to do."""
        for _step in range(6):
            self.now += 3
            self.acquire(name)
            self.step(name, wish)

    def step(self, name, wish=None, paused=False):
        """Lets the holder go on by one step."""
        conductor = self.instances[name].conductor
        progress = self.run(conductor.step(self.engine.cfg, wish), paused)
        if progress is not None:
            self.reason = progress.reason
        return progress


def _instance(name):
    authority = orders.ShardLease(SHARD, name, 1, TIMING)
    conductor = orders.OrderExecutor(authority, TIMING.gone_margin_s)
    departures = membership.Departures(TIMING.gone_margin_s)
    return _Instance(authority, conductor, departures)


@pytest.fixture
def stage():
    return _Stage()


@pytest_bdd.given(parsers.parse('an upstream that {kind} fencing'))
def _upstream(stage, kind):
    cfg = settings.Upstream(
        name='lm-1',
        pool='lm',
        address='127.0.0.1:1',
        checks_fencing=kind == 'checks',
    )
    stage.engine = engine.Engine(cfg, 'lm', role_change_s=1.0)


@pytest_bdd.given(
    parsers.parse('instance "{name}" has written an order to "{role}"')
)
def _written(stage, name, role):
    assert isinstance(stage.acquire(name), orders.Owned)
    progress = stage.step(name, orders.DesiredRole(role, 1, f'order-{role}'))
    assert progress.event == 'order.written'


@pytest_bdd.when(
    parsers.parse('instance "{name}" is paused right before it sends')
)
def _paused(stage, name):
    stage.step(name, paused=True)
    assert stage.in_flight is not None


@pytest_bdd.when(parsers.parse('{seconds:d} seconds pass'))
def _pass(stage, seconds):
    for _second in range(seconds):
        stage.acquire('b')
        stage.now += 1


@pytest_bdd.when(parsers.parse('the platform ends instance "{name}"'))
def _ended(stage, name):
    stage.listed.discard(name)


@pytest_bdd.when(
    parsers.parse(
        'instance "{name}" takes the shard and carries the order out'
    )
)
def _takes(stage, name):
    assert isinstance(stage.acquire(name), orders.Owned)
    stage.carry_out(name)


@pytest_bdd.when(
    parsers.parse('instance "{name}" orders "{role}" and carries it out')
)
def _orders(stage, name, role):
    stage.carry_out(name, orders.DesiredRole(role, 2, f'order-{role}'))


@pytest_bdd.when('instance "a" wakes up and sends')
def _wakes(stage):
    stage.send(stage.in_flight)


@pytest_bdd.when(
    parsers.parse('an instance has {jobs:d} jobs on the upstream')
)
def _has_jobs(stage, jobs):
    stage.jobs = jobs


@pytest_bdd.when(parsers.parse('the upstream itself reports {jobs:d} jobs'))
def _reports_jobs(stage, jobs):
    stage.status = jobs


@pytest_bdd.when('an instance does not confirm the hold')
def _unconfirmed(stage):
    stage.confirms = False


@pytest_bdd.when(
    parsers.parse('the hold was confirmed {seconds:d} seconds ago')
)
def _old_hold(stage, seconds):
    stage.held_ago_s = seconds


@pytest_bdd.when('the upstream does not report its load')
def _no_load(stage):
    stage.status = None


@pytest_bdd.then(parsers.parse('instance "{name}" may not take the shard'))
def _may_not(stage, name):
    result = stage.acquire(name)
    assert isinstance(result, orders.Waiting)
    stage.reason = result.reason


@pytest_bdd.then(parsers.parse('the reason names "{part}"'))
def _names(stage, part):
    assert part in stage.reason


@pytest_bdd.then(parsers.parse('the order waits because {part}'))
def _waits(stage, part):
    stage.step('a')
    assert part in stage.reason


@pytest_bdd.then(parsers.parse('the upstream has role "{role}"'))
def _has_role(stage, role):
    assert stage.engine.role == role


@pytest_bdd.then(parsers.parse('the upstream took {count:d} orders'))
def _took(stage, count):
    assert stage.taken == count
