"""Discrete-event simulation of processes and a store that fail."""

import heapq
import itertools
import random

import attrs

from dandelionwinch import effects
from dandelionwinch.standins import store

LATENCY_S = 0.005
STORE_TIMEOUT_S = 1.0
# Longer than the default lease_s (6 s): a late write can take effect after
# the lease of its writer has expired.
MAX_WRITE_DELAY_S = 8.0
# Longer than the default lease_s and cut_off_s (4 s): a process can resume
# after its leases have expired and its configuration has become stale.
MAX_PAUSE_S = 40.0
# Two clocks differ by at most 0.36 s during the default lease_s, which is
# less than the default drift_s (0.5 s).
MAX_DRIFT_RATIO = 0.03
LOSS_PROBABILITY = 0.05


class InvariantViolated(Exception):
    """An invariant does not hold; the text says which one and when."""


@attrs.define
class Faults:
    """Number of injected faults of each kind."""

    pauses: int = 0
    kills: int = 0
    outages: int = 0
    lost_answers: int = 0
    late_writes: int = 0
    partitions: int = 0
    late_messages: int = 0

    def total(self):
        """Returns the number of faults of all kinds."""
        return sum(attrs.astuple(self))


class Simulation:
    """An event loop in virtual time with a seeded random generator.

    Args:
        seed: Seed of the random generator.
        faults_until_s: Virtual time from which no fault is injected.

    Attributes:
        rng: The random generator of the whole run.
        now: Virtual time in seconds.
        faults: The Faults injected so far.
    """

    def __init__(self, seed, faults_until_s):
        self._faults_until_s = faults_until_s
        self.rng = random.Random(seed)
        self.now = 0.0
        self.faults = Faults()
        self._queue = []
        self._order = itertools.count()

    def call_later(self, delay_s, action, *args):
        """Schedules an action after a delay in virtual time."""
        event = (self.now + delay_s, next(self._order), action, args)
        heapq.heappush(self._queue, event)

    def run(self, until_s):
        """Runs the scheduled actions up to a virtual time."""
        while self._queue and self._queue[0][0] <= until_s:
            due_at, _order, action, args = heapq.heappop(self._queue)
            self.now = max(self.now, due_at)
            action(*args)
        self.now = until_s

    def should_fail(self, probability):
        """Returns True with a probability while faults are injected."""
        return self.now < self._faults_until_s and self.chance(probability)

    def chance(self, probability):
        """Returns True with a probability."""
        return self.rng.random() < probability


class FaultyStore:
    """The platform's store behind an unreliable network.

    Args:
        sim: The Simulation.
        loss_probability: Probability that a call gets no reply.

    Attributes:
        down_until: Virtual time at which the current outage ends.
    """

    def __init__(self, sim, loss_probability=LOSS_PROBABILITY):
        self._sim = sim
        self._memory = store.MemoryStore()
        self._loss_probability = loss_probability
        self.down_until = 0.0

    def outage(self, seconds):
        """Makes the store unavailable for some seconds."""
        self._sim.faults.outages += 1
        self.down_until = max(self.down_until, self._sim.now + seconds)

    def peek(self, key):
        """Returns the value of a key without faults, for checks."""
        return self._memory.execute(effects.Read(key)).record.value

    def execute(self, request):
        """Executes a request immediately and without faults."""
        return self._memory.execute(request)

    def submit(self, request, reply):
        """Executes a request under faults and passes ``reply`` the result."""
        sim = self._sim
        delay_s = LATENCY_S * (0.5 + sim.rng.random())
        if sim.now < self.down_until:
            sim.call_later(delay_s, reply, effects.Unavailable())
        elif sim.should_fail(self._loss_probability):
            self._lose(request, reply)
        else:
            sim.call_later(delay_s, self._execute, request, reply)

    def _execute(self, request, reply):
        answer = self._memory.execute(request)
        self._sim.call_later(LATENCY_S, reply, answer)

    def _lose(self, request, reply):
        sim = self._sim
        is_write = isinstance(request, effects.Commit)
        outcome = effects.Uncertain() if is_write else effects.Unavailable()
        if is_write and sim.chance(0.7):
            sim.faults.lost_answers += 1
            delay_s = LATENCY_S
            if sim.chance(0.5):
                sim.faults.late_writes += 1
                delay_s = MAX_WRITE_DELAY_S * sim.rng.random()
            sim.call_later(delay_s, self._memory.execute, request)
        sim.call_later(STORE_TIMEOUT_S, reply, outcome)


class Process:
    """A process that runs programs and can be paused or killed.

    A program is sans-I/O: a generator that yields requests, is sent their
    replies, and returns its result. The monotonic clock of the process has
    an offset and a drift of its own.

    Args:
        sim: The Simulation.
        name: Name of the process.
        shared_store: The FaultyStore.
        handle: Called with this process, a request that is not for the
            store, and a function that takes the reply.
    """

    def __init__(self, sim, name, shared_store, handle):
        self.sim = sim
        self.name = name
        self.incarnation = 1
        self.alive = True
        self._store = shared_store
        self._handle = handle
        self._paused_until = 0.0
        self._clock_rate = 1 + MAX_DRIFT_RATIO * (2 * sim.rng.random() - 1)
        self._clock_offset = 1000 * sim.rng.random()

    def now(self):
        """Returns the time of this process's monotonic clock."""
        return self._clock_offset + self.sim.now * self._clock_rate

    def clock(self):
        """Returns the monotonic and the wall clock time."""
        return effects.Time(self.now(), 1e9 + self.sim.now)

    def pause(self, seconds):
        """Suspends the process for some seconds."""
        self.sim.faults.pauses += 1
        end = self.sim.now + seconds
        self._paused_until = max(self._paused_until, end)

    def is_paused(self):
        """Returns whether the process is suspended now."""
        return self.sim.now < self._paused_until

    def kill(self):
        """Ends the process; it is not restarted."""
        self.sim.faults.kills += 1
        self.alive = False

    def call_later(self, delay_s, action, *args):
        """Schedules an action; a pause delays it, a kill drops it."""
        self.sim.call_later(delay_s, self._wake, action, args)

    def _wake(self, action, args):
        if not self.alive:
            return
        left_s = self._paused_until - self.sim.now
        if left_s > 0:
            self.sim.call_later(left_s, self._wake, action, args)
            return
        action(*args)

    def run(self, program, done=lambda result: None):
        """Runs a program and passes its result to ``done``."""
        self._step(program, done, None)

    def _step(self, program, done, reply):
        while True:
            if self.sim.should_fail(0.002):
                self.pause(MAX_PAUSE_S * self.sim.rng.random())
                self.call_later(0, self._step, program, done, reply)
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
        self._process.call_later(
            0, self._process._step, self._program, self._done, reply
        )


class LiveList:
    """The platform's list of live processes, which lags behind exits."""

    def __init__(self, sim, lag_s):
        self._sim = sim
        self._lag_s = lag_s
        self._names = set()

    def add(self, name):
        """Lists a process immediately."""
        self._names.add(name)

    def remove_after_lag(self, name):
        """Removes a process that ended after the lag of the list."""
        self._sim.call_later(self._lag_s, self._names.discard, name)

    def read(self):
        """Returns the names on the list."""
        return frozenset(self._names)


class Scenario:
    """A store, the platform's live list, and instances that are replaced.

    Args:
        seed: Seed of the random generator.
        faults_until_s: Virtual time from which no fault is injected.
        list_lag_s: Seconds for which the list still names an ended process.
        loss_probability: Probability that a store call gets no reply.
    """

    def __init__(
        self,
        seed,
        faults_until_s,
        list_lag_s,
        loss_probability=LOSS_PROBABILITY,
    ):
        self.sim = Simulation(seed, faults_until_s)
        self.store = FaultyStore(self.sim, loss_probability)
        self.live_list = LiveList(self.sim, list_lag_s)
        self.instances = []
        self._started = 0

    def start_instance(self, make):
        """Starts another instance in a new process.

        Args:
            make: Takes this scenario and a Process, and returns an object
                with the methods ``start`` and ``handle``.
        """
        self._started += 1
        name = f'entry-{self._started}'
        # Filled after the instance is made, which needs the process.
        handlers = []

        def handle(process, request, reply):
            handlers[0].handle(process, request, reply)

        process = Process(self.sim, name, self.store, handle)
        instance = make(self, process)
        handlers.append(instance)
        self.live_list.add(name)
        self.instances.append(instance)
        instance.start()

    def replace(self, instance, make):
        """Kills an instance, unless it was replaced, and starts another."""
        if instance not in self.instances:
            return
        self.instances.remove(instance)
        instance.process.kill()
        self.live_list.remove_after_lag(instance.process.name)
        self.start_instance(make)
