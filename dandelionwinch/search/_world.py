"""Virtual time, processes that fail, and a store that fails."""

import heapq
import itertools
import random

import attrs

from dandelionwinch import effects
from dandelionwinch.standins import store

LATENCY_S = 0.005
STORE_TIMEOUT_S = 1.0
LATE_WRITE_S = 8.0
LONGEST_PAUSE_S = 40.0
DRIFT_SHARE = 0.03
LOSS_SHARE = 0.05


class Broken(Exception):
    """A promise was broken; the text says which and when."""


@attrs.define
class Faults:
    """How many faults of each kind were injected."""

    pauses: int = 0
    kills: int = 0
    outages: int = 0
    lost_answers: int = 0
    late_writes: int = 0
    partitions: int = 0
    late_messages: int = 0

    def total(self):
        """Returns the number of all faults."""
        return sum(attrs.astuple(self))


class World:
    """An event loop in virtual time with one source of chance.

    Args:
        seed: Seed of all chance.
        faults_until_s: Time from which no more faults are injected.
    """

    def __init__(self, seed, faults_until_s):
        self._faults_until_s = faults_until_s
        self.rng = random.Random(seed)
        self.now = 0.0
        self.faults = Faults()
        self._events = []
        self._order = itertools.count()

    def after(self, delay_s, action, *args):
        """Runs an action after some virtual seconds."""
        event = (self.now + delay_s, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def run(self, until_s):
        """Runs events up to a virtual time."""
        while self._events and self._events[0][0] <= until_s:
            moment, _order, action, args = heapq.heappop(self._events)
            self.now = max(self.now, moment)
            action(*args)
        self.now = until_s

    def fault(self, share):
        """Returns True in a share of the cases, until faults end."""
        return self.now < self._faults_until_s and self.chance(share)

    def chance(self, share):
        """Returns True in a share of the cases."""
        return self.rng.random() < share


class FaultyStore:
    """The platform's store behind a network that fails.

    Attributes:
        down_until: End of the present outage.
    """

    def __init__(self, world, loss_share=LOSS_SHARE):
        self._world = world
        self._memory = store.MemoryStore()
        self._loss_share = loss_share
        self.down_until = 0.0

    def outage(self, seconds):
        """Takes the store down for a while."""
        self._world.faults.outages += 1
        self.down_until = max(self.down_until, self._world.now + seconds)

    def look(self, key):
        """Returns the value of a key, for checks."""
        return self._memory.execute(effects.Read(key)).record.value

    def execute(self, request):
        """Runs a request at once and without faults."""
        return self._memory.execute(request)

    def submit(self, request, reply):
        """Runs a request; calls ``reply`` with what comes of it."""
        world = self._world
        delay_s = LATENCY_S * (0.5 + world.rng.random())
        if world.now < self.down_until:
            world.after(delay_s, reply, effects.Unavailable())
        elif world.fault(self._loss_share):
            self._lose(request, reply)
        else:
            world.after(delay_s, self._execute, request, reply)

    def _execute(self, request, reply):
        answer = self._memory.execute(request)
        self._world.after(LATENCY_S, reply, answer)

    def _lose(self, request, reply):
        world = self._world
        is_write = isinstance(request, effects.Commit)
        outcome = effects.Uncertain() if is_write else effects.Unavailable()
        if is_write and world.chance(0.7):
            world.faults.lost_answers += 1
            delay_s = LATENCY_S
            if world.chance(0.5):
                world.faults.late_writes += 1
                delay_s = LATE_WRITE_S * world.rng.random()
            world.after(delay_s, self._memory.execute, request)
        world.after(STORE_TIMEOUT_S, reply, outcome)


class Process:
    """One process: runs programs, and can be paused or killed.

    Args:
        world: The World.
        name: Name of the process.
        store: The FaultyStore.
        handle: Function of a request that is not for the store and a
            reply function.
    """

    def __init__(self, world, name, shared_store, handle):
        self.world = world
        self.name = name
        self.incarnation = 1
        self.alive = True
        self._store = shared_store
        self._handle = handle
        self._paused_until = 0.0
        self._rate = 1 + DRIFT_SHARE * (2 * world.rng.random() - 1)
        self._offset = 1000 * world.rng.random()

    def now(self):
        """Returns the monotonic clock of this process."""
        return self._offset + self.world.now * self._rate

    def clock(self):
        """Returns the process's clocks."""
        return effects.Time(self.now(), 1e9 + self.world.now)

    def pause(self, seconds):
        """Stops the process for a while."""
        self.world.faults.pauses += 1
        end = self.world.now + seconds
        self._paused_until = max(self._paused_until, end)

    def paused(self):
        """Tells whether the process stands still at this moment."""
        return self.world.now < self._paused_until

    def kill(self):
        """Ends the process for good."""
        self.world.faults.kills += 1
        self.alive = False

    def soon(self, delay_s, action, *args):
        """Runs an action of this process, after any pause."""
        self.world.after(delay_s, self._wake, action, args)

    def _wake(self, action, args):
        if not self.alive:
            return
        left_s = self._paused_until - self.world.now
        if left_s > 0:
            self.world.after(left_s, self._wake, action, args)
            return
        action(*args)

    def run(self, program, done=lambda result: None):
        """Runs a program; calls ``done`` with its result."""
        self._step(program, done, None)

    def _step(self, program, done, reply):
        while True:
            if self.world.fault(0.002):
                self.pause(LONGEST_PAUSE_S * self.world.rng.random())
                self.soon(0, self._step, program, done, reply)
                return
            try:
                request = program.send(reply)
            except StopIteration as stop:
                done(stop.value)
                return
            if isinstance(request, effects.Clock):
                reply = self.clock()
                continue
            resume = _Resume(self, program, done)
            if isinstance(
                request, effects.Read | effects.Scan | effects.Commit
            ):
                self._store.submit(request, resume)
            else:
                self._handle(self, request, resume)
            return


class _Resume:
    """Continues a program when its reply arrives."""

    def __init__(self, process, program, done):
        self._process = process
        self._program = program
        self._done = done

    def __call__(self, reply):
        self._process.soon(
            0, self._process._step, self._program, self._done, reply
        )


class PlatformList:
    """The platform's list of processes, which lags."""

    def __init__(self, world, lag_s):
        self._world = world
        self._lag_s = lag_s
        self._names = set()

    def add(self, name):
        """Lists a process at once."""
        self._names.add(name)

    def ended(self, name):
        """Takes a process that ended off the list, late."""
        self._world.after(self._lag_s, self._names.discard, name)

    def read(self):
        """Returns the names on the list."""
        return frozenset(self._names)


class Scene:
    """A store, the platform's list, and instances that come and go.

    Args:
        seed: Seed of all chance.
        faults_until_s: Time from which no more faults are injected.
        list_lag_s: How long the list names a process that ended.
        loss_share: Share of store calls without an answer.
    """

    def __init__(
        self, seed, faults_until_s, list_lag_s, loss_share=LOSS_SHARE
    ):
        self.world = World(seed, faults_until_s)
        self.store = FaultyStore(self.world, loss_share)
        self.platform = PlatformList(self.world, list_lag_s)
        self.instances = []
        self._started = 0

    def start_instance(self, make):
        """Starts one more instance.

        Args:
            make: Function of this scene and a Process; what it returns
                has ``start`` and ``handle``.
        """
        self._started += 1
        name = f'entry-{self._started}'
        holder = []

        def handle(process, request, reply):
            holder[0].handle(process, request, reply)

        process = Process(self.world, name, self.store, handle)
        instance = make(self, process)
        holder.append(instance)
        self.platform.add(name)
        self.instances.append(instance)
        instance.start()

    def replace(self, instance, make):
        """Ends an instance, if it still runs, and starts another."""
        if instance not in self.instances:
            return
        self.instances.remove(instance)
        instance.process.kill()
        self.platform.ended(instance.process.name)
        self.start_instance(make)
