"""An instance in the search for calls of duties that break a rule."""

import asyncio
import random

import attrs
import prometheus_client

from dandelionwinch import addresses
from dandelionwinch import control
from dandelionwinch.control import _duty_calls
from dandelionwinch.control import _lease_holder
from dandelionwinch.control import _registration
from dandelionwinch.control import _workers
from dandelionwinch import gateway
from dandelionwinch import leadership
from dandelionwinch.platform import _boot
from dandelionwinch.platform import _store_codec
from dandelionwinch.platform import _wire_codec
from dandelionwinch.platform import samples
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import node_loop
from dandelionwinch.tests import recorder

STORE_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 0.6
API_TIMEOUT_S = 2.0
SUBJECTS = ('usage', 's/a', 's/b')
DUTIES = control.DutySettings('duties', frozenset(control.Duty))
CFG = _boot.read(samples.settings())
# Result of a watch that has nothing to report yet.
WAITS = object()


class NodeStore:
    """One instance's connection to the store, over a faulty network.

    Attributes:
        epochs: EpochTracker of all responses.
        lost_answers: How many next answers are lost.
        late_until: Time until which writes arrive late, after their caller
            gave up.
    """

    def __init__(self, world):
        self._world = world
        self._cut_until = 0.0
        self._cut_kind = ''
        self._watch_delays = []
        self._watch_cut_until = 0.0
        self.lost_answers = 0
        self.late_until = 0.0
        self.epochs = control.EpochTracker()

    def cut(self, kind, seconds):
        """Loses requests, answers or both for some time."""
        self._cut_kind = kind
        self._cut_until = self._world.loop.boot_time() + seconds

    def delay_watch(self, delay_s, cut_s):
        """Delays the answer to the next watch; later ones are lost.

        Args:
            delay_s: Delay of the answer.
            cut_s: Time until watches are answered again.
        """
        now = self._world.loop.boot_time()
        self._watch_delays = [delay_s]
        self._watch_cut_until = now + cut_s

    def end_faults(self):
        """Ends all faults."""
        self._cut_until = self.late_until = self._watch_cut_until = 0.0
        self.lost_answers = 0

    def _loses(self, kind):
        cut = self._world.loop.boot_time() < self._cut_until
        return cut and self._cut_kind in (kind, 'both')

    def _delay_s(self):
        return self._world.latency_s() * self._world.store_delay

    async def _call(
        self, function, timeout_s=STORE_TIMEOUT_S, *, late=False, watches=False
    ):
        """Returns the result of a function that runs at the store."""
        loop = asyncio.get_running_loop()
        answer = loop.create_future()
        at_send = self.epochs.current
        delay_s = self._delay_s()
        if late and loop.boot_time() < self.late_until:
            delay_s = self._world.rng.uniform(0.5, 8.0)
        if not self._loses('requests'):
            self._world.later(delay_s, self._serve, function, answer, watches)
        try:
            async with asyncio.timeout(timeout_s):
                epoch, result = await answer
        except TimeoutError:
            raise control.StoreFailed('no answer') from None
        if not self.epochs.observe(str(epoch), at_send):
            raise control.EpochChanged('of an older epoch')
        if isinstance(result, Exception):
            raise result
        return result

    def _serve(self, function, answer, watches=False):
        items = self._world.items
        items.expire(self._world.loop.boot_time())
        epoch = items.epoch
        result = function()
        if result is WAITS:
            self._world.watches.append((self._serve, function, answer))
            return
        if self.lost_answers:
            self.lost_answers -= 1
            return
        delay_s = self._delay_s()
        if watches and self._world.loop.boot_time() < self._watch_cut_until:
            if not self._watch_delays:
                return
            delay_s = self._watch_delays.pop()
        if not self._loses('answers'):
            self._world.later(delay_s, resolve, answer, (epoch, result))

    def _check(self, lease, epoch):
        if lease.epoch != epoch:
            raise control.LeaseEnded('of another epoch')

    async def list(self, prefix):
        """Returns a Listing of all items."""
        items = self._world.items

        def read():
            found, _more = items.page(prefix, '', 100_000)
            return listing(items, found)

        return await self._call(read)

    async def watch(self, prefix, after, wait_s):
        """Returns a Listing of changes, after `wait_s` at the latest."""
        if after.epoch != self.epochs.current:
            raise control.EpochChanged('before a watch')
        until = self._world.loop.boot_time() + wait_s
        return await self._call(
            lambda: self._world.changes(prefix, after, until),
            wait_s + WATCH_MARGIN_S,
            watches=True,
        )

    async def grant_lease(self, ttl_s):
        """Returns a new Lease."""
        items = self._world.items

        def grant():
            lease_id = items.grant(ttl_s, self._world.loop.boot_time())
            return control.Lease(lease_id, items.epoch)

        return await self._call(grant)

    async def renew_lease(self, lease):
        """Renews a lease."""
        self._check(lease, self.epochs.current)
        items = self._world.items

        def renew():
            if items.renew(lease.id, self._world.loop.boot_time()):
                return None
            return control.LeaseEnded('no such lease')

        await self._call(renew)
        self._check(lease, self.epochs.current)

    async def revoke_lease(self, lease):
        """Revokes a lease."""
        if lease.epoch == self.epochs.current:
            await self._call(lambda: self._world.items.revoke(lease.id))

    async def put(self, key, value, lease=None, revision=None):
        """Writes a key."""
        items = self._world.items
        conditions = [] if revision is None else [(key, revision)]
        lease_id = 0
        if lease is not None:
            self._check(lease, self.epochs.current)
            lease_id = lease.id

        def commit():
            made = items.commit(conditions, [(key, value, lease_id)], [])
            match made:
                case kvitems.Rejection.CONDITION:
                    return control.Conflict('the condition does not hold')
                case kvitems.Rejection.LEASE:
                    return control.LeaseEnded('no such lease')
            return control.Revision(items.epoch, made)

        result = await self._call(commit, late=True)
        if lease is not None:
            self._check(lease, result.epoch)
        return result


def resolve(answer, value):
    if not answer.done():
        answer.set_result(value)


def listing(items, found):
    return control.Listing(
        tuple(control.Item(i.key, i.value, i.revision) for i in found),
        control.Revision(items.epoch, items.revision),
    )


class NodeApi:
    """One instance's connection to the duty API."""

    def __init__(self, world, node):
        self._world = world
        self._node = node

    async def order_capacity(self, holder, token, order, may_act):
        """Makes a call about the subject `order`."""
        await asyncio.sleep(self._world.latency_s())
        if self._world.loop.boot_time() < self._node.api_cut_until:
            return control.NotSent('cut')
        if not may_act():
            return control.NotSent('the lease is not certain')
        # Bytes that are lost at first arrive later, or never.
        delay_s = self._world.latency_s()
        if self._world.rng.random() < 0.1:
            delay_s = self._world.rng.uniform(0, leadership.CALL_DELIVERY_S)
        answer = asyncio.get_running_loop().create_future()
        self._world.later(delay_s, self._arrive, order, token, answer)
        try:
            async with asyncio.timeout(API_TIMEOUT_S):
                await answer
        except TimeoutError:
            return control.Unanswered('silent')
        return control.Accepted()

    def _arrive(self, subject, token, answer):
        self._world.arrived(self._node, subject, token)
        if self._world.loop.boot_time() >= self._node.api_cut_until:
            self._world.later(self._world.latency_s(), resolve, answer, None)

    def close(self):
        """Does nothing, as there is no connection."""


class EagerDuty:
    """Calls as often as it may."""

    def __init__(self, world, calls, name):
        self._world = world
        self._calls = calls
        self.name = name

    async def perform(self, authority):
        """Calls for some time."""
        for _call in range(3):
            await self._calls.order_capacity(
                authority.name,
                authority.token,
                self._world.rng.choice(SUBJECTS),
                authority.may_act,
            )
            await asyncio.sleep(self._world.rng.uniform(0.02, 0.5))


class EagerOrders:
    """Sends role orders as often as it may, beside the renewals."""

    name = 'roles'

    def __init__(self, world, node):
        self._world = world
        self._node = node
        self._token = 0

    async def perform(self, authority):
        """Starts to send orders under a new authority."""
        if authority.held and self._token != authority.token:
            self._token = authority.token
            self._world.loop.create_task(self._send(authority))

    async def _send(self, authority):
        while authority.held:
            if authority.may_send_order():
                self._world.arrived(self._node, 'roles', authority.token)
            await asyncio.sleep(self._world.rng.uniform(0.05, 0.2))


class Node:
    """An instance, from its start to its end.

    Attributes:
        identity: Name that no other instance ever has.
        state: NodeState.
        store: NodeStore.
        api_cut_until: Time at which a cut from the duty API ends.
    """

    def __init__(self, world, name, identity):
        self._world = world
        self.name = name
        self.identity = identity
        self.state = node_loop.NodeState()
        self.store = NodeStore(world)
        self.api_cut_until = 0.0

    def start(self):
        """Starts all tasks."""
        world, loop = self._world, self._world.loop
        rng = random.Random(world.rng.random())
        log = recorder.Recorder()
        cfg = attrs.evolve(CFG, instance=self.name)
        if not world.orders:
            cfg = attrs.evolve(cfg, duty_settings=DUTIES)
        self._gateway = gateway.Gateway(
            loop, _wire_codec.WireCodec(), log, cfg, rng
        )
        self._sync = control.StoreSync(
            loop,
            self.store,
            _store_codec.StoreCodec(),
            self._gateway,
            cfg,
            log,
            rng,
            lambda _table: None,
            loop.boot_time,
        )
        entry = addresses.InstanceEntry(self.name, '10.0.0.1:1', 'a', 'north')
        self._registration = _registration.Registration(
            loop, self.store, log, entry, cfg.min_lease_s
        )
        self.holder = _lease_holder.LeaseHolder(
            loop,
            self.store,
            self._sync,
            self._create_worker(log),
            log,
            rng,
            cfg,
            loop.boot_time,
        )
        self.store.epochs.on_change = lambda *_change: (
            self._sync.epoch_changed()
        )
        self._sync.start()
        self._registration.start()
        self.holder.start()

    def _create_worker(self, log):
        world, loop = self._world, self._world.loop
        if world.orders:
            return _workers.InlineWorker(EagerOrders(world, self))
        calls = _duty_calls.DutyCalls(
            loop,
            NodeApi(world, self),
            log,
            prometheus_client.CollectorRegistry(),
        )
        duties = [EagerDuty(world, calls, name) for name in ('one', 'two')]
        return _workers.DutyRunner(loop, duties, calls, log)

    async def resign(self):
        """Stops gracefully."""
        await asyncio.gather(
            self._registration.withdraw(),
            self.holder.resign(),
            return_exceptions=True,
        )
        self._sync.close()

    def end_faults(self):
        """Ends all faults but a freeze."""
        self.store.end_faults()
        self.api_cut_until = 0.0
