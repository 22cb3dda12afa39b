"""Steps of the scenarios in features/orders.feature."""

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
    """One instance that can hold the lease of the shard."""

    shard_lease: orders.ShardLease
    executor: orders.OrderExecutor
    departures: membership.Departures


class _Harness:
    """An upstream, a store and two instances in virtual time.

    Attributes:
        instance_jobs: Number of jobs on the upstream at "c", the only
            instance that replies to a hold.
        status: 'from engine' for the state of the stand-in, a number of jobs
            that the upstream reports, or None for no report.
        hold_age_s: Seconds since the hold was requested.
        in_flight: Order of a sender that is paused right before sending.
    """

    def __init__(self):
        self.now = 100.0
        self.store = store.MemoryStore()
        self.listed_names = {'a', 'b'}
        self.engine = None
        self.reason = ''
        self.instance_jobs = 0
        self.hold_age_s = 0.0
        self.confirms_hold = True
        self.status = 'from engine'
        self.in_flight = None
        self.accepted_count = 0
        self.instances = {name: _instance(name) for name in 'ab'}

    def run(self, program, paused=False):
        """Runs a program; a paused one stops before it sends an order."""
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
        applying_order = self.now < self.engine.role_change_until
        jobs = self.status if isinstance(self.status, int) else 0
        return orders.UpstreamStatus(
            order_id, applying_order, jobs, self.engine.epoch
        )

    def _hold(self):
        report = orders.DrainReport(
            'c', self.instance_jobs, self.now - self.hold_age_s, 10.0
        )
        return orders.HoldState(
            ('c',), {'c': report} if self.confirms_hold else {}
        )

    def send(self, order):
        """Delivers an order to the upstream; returns whether it accepted."""
        before = self.engine.order
        accepted = self.engine.apply_order(
            order.id, order.epoch, order.role, self.now
        )
        if accepted and self.engine.order != before:
            self.accepted_count += 1
        return accepted

    def acquire_or_renew(self, name):
        """Lets an instance try to acquire the shard."""
        instance = self.instances[name]
        instance.departures.list_read(self.listed_names)
        checks_fencing = self.engine.cfg.checks_fencing
        return self.run(
            instance.shard_lease.acquire_or_renew(
                checks_fencing, instance.departures.is_gone
            )
        )

    def complete_order(self, name, desired=None):
        """Runs enough steps of the holder to complete an order."""
        for _step in range(6):
            self.now += 3
            self.acquire_or_renew(name)
            self.step(name, desired)

    def step(self, name, desired=None, paused=False):
        """Runs one step of the holder."""
        executor = self.instances[name].executor
        progress = self.run(executor.step(self.engine.cfg, desired), paused)
        if progress is not None:
            self.reason = progress.reason
        return progress


def _instance(name):
    shard_lease = orders.ShardLease(SHARD, name, 1, TIMING)
    executor = orders.OrderExecutor(shard_lease, TIMING.gone_margin_s)
    departures = membership.Departures(TIMING.gone_margin_s)
    return _Instance(shard_lease, executor, departures)


@pytest.fixture
def harness():
    return _Harness()


@pytest_bdd.given(parsers.parse('an upstream that {kind} fencing tokens'))
def _upstream(harness, kind):
    cfg = settings.Upstream(
        name='lm-1',
        pool='lm',
        address='127.0.0.1:1',
        checks_fencing=kind == 'checks',
    )
    harness.engine = engine.Engine(cfg, 'lm', role_change_s=1.0)


@pytest_bdd.given(
    parsers.parse('instance "{name}" has written an order to "{role}"')
)
def _written(harness, name, role):
    assert isinstance(harness.acquire_or_renew(name), orders.Owned)
    progress = harness.step(name, orders.DesiredRole(role, 1, f'order-{role}'))
    assert progress.event == 'order.written'


@pytest_bdd.when(
    parsers.parse(
        'instance "{name}" is paused right before it sends the order'
    )
)
def _paused(harness, name):
    harness.step(name, paused=True)
    assert harness.in_flight is not None


@pytest_bdd.when(parsers.parse('{seconds:d} seconds pass'))
def _pass(harness, seconds):
    for _second in range(seconds):
        harness.acquire_or_renew('b')
        harness.now += 1


@pytest_bdd.when(parsers.parse('the platform terminates instance "{name}"'))
def _terminated(harness, name):
    harness.listed_names.discard(name)


@pytest_bdd.when(
    parsers.parse(
        'instance "{name}" acquires the shard and completes the order'
    )
)
def _acquires(harness, name):
    assert isinstance(harness.acquire_or_renew(name), orders.Owned)
    harness.complete_order(name)


@pytest_bdd.when(
    parsers.parse('instance "{name}" orders "{role}" and completes the order')
)
def _orders(harness, name, role):
    harness.complete_order(name, orders.DesiredRole(role, 2, f'order-{role}'))


@pytest_bdd.when('instance "a" resumes and sends the order')
def _resumes(harness):
    harness.send(harness.in_flight)


@pytest_bdd.when(
    parsers.parse('an instance has {jobs:d} jobs on the upstream')
)
def _has_jobs(harness, jobs):
    harness.instance_jobs = jobs


@pytest_bdd.when(parsers.parse('the upstream itself reports {jobs:d} jobs'))
def _reports_jobs(harness, jobs):
    harness.status = jobs


@pytest_bdd.when('an instance does not confirm the hold')
def _unconfirmed(harness):
    harness.confirms_hold = False


@pytest_bdd.when(
    parsers.parse('the hold was confirmed {seconds:d} seconds ago')
)
def _old_hold(harness, seconds):
    harness.hold_age_s = seconds


@pytest_bdd.when('the upstream does not report its load')
def _no_load(harness):
    harness.status = None


@pytest_bdd.then(parsers.parse('instance "{name}" can\'t acquire the shard'))
def _cannot_acquire(harness, name):
    result = harness.acquire_or_renew(name)
    assert isinstance(result, orders.Waiting)
    harness.reason = result.reason


@pytest_bdd.then(parsers.parse('the reason contains "{text}"'))
def _reason_contains(harness, text):
    assert text in harness.reason


@pytest_bdd.then(parsers.parse('the order waits because {text}'))
def _waits(harness, text):
    harness.step('a')
    assert text in harness.reason


@pytest_bdd.then(parsers.parse('the upstream has role "{role}"'))
def _has_role(harness, role):
    assert harness.engine.role == role


@pytest_bdd.then(parsers.parse('the upstream accepted {count:d} orders'))
def _accepted(harness, count):
    assert harness.accepted_count == count
