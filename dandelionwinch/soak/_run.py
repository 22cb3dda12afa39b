"""One soak: starts the processes, injects faults and checks the results."""

import asyncio
import contextlib
import pathlib
import random
import signal
import tempfile
import time

import attrs

from dandelionwinch.platform import samples
from dandelionwinch.soak import _caller
from dandelionwinch.soak import _capacity
from dandelionwinch.soak import _checks
from dandelionwinch.soak import _configuration
from dandelionwinch.soak import _duties
from dandelionwinch.soak import _fleet
from dandelionwinch.soak import _limits
from dandelionwinch.soak import _links
from dandelionwinch.soak import _plan
from dandelionwinch.soak import _poison
from dandelionwinch.soak import _process
from dandelionwinch.soak import _restores
from dandelionwinch.soak import _signals
from dandelionwinch.soak import _stream_moves
from dandelionwinch.soak import _tasks
from dandelionwinch.soak import _teams
from dandelionwinch.soak import _upstream
from dandelionwinch.standins import kvstore
from dandelionwinch.standins import settings_text
from dandelionwinch import utils

# Time without faults before responses are counted, and then the time for
# which they are, to check that most requests are served again.
RECOVERY_S = 6.0
# Time out of contact after which an instance refuses keys, if it must.
REVOKE_S = 4.0
START_UPSTREAMS = 4
# Callers of long streams, in runs in which upstreams are taken away.
LONG_CALLERS = 6
# Retries allowed beside the retry ratio, over all instances.
RETRY_SLACK = 200
FAULTS = (
    'kill',
    'pause',
    'term',
    'hup',
    'store',
    'upstream',
    'caller',
    'leave',
    'config',
    'copy',
)
START_TIMEOUT_S = 120.0
INSTANCE_PREFIX = 'dandelionwinch/instances/'
THREADS_PER_INSTANCE = 2
BASE_THREADS = 64


@attrs.frozen
class Result:
    """The result of a soak.

    Attributes:
        statuses: Number of final responses by status, 0 for none.
        taken_up: Number of responses by status to requests that took a
            broken stream up again.
        long_streams: Number of long streams by status.
        faults: Number of injected faults by kind.
        timeline: Time in seconds, kind and target of each fault.
        broken: Violated guarantees; empty if all held.
    """

    seed: int
    instances: int
    requests: int
    statuses: dict
    taken_up: dict
    long_streams: dict
    faults: dict
    timeline: list
    broken: list


def _now():
    return asyncio.get_running_loop().time()


class _Soak:
    """The processes, links and records of one soak."""

    def __init__(self, seed, instances, callers, folder, plan=_plan.NONE):
        self._rng = random.Random(seed)
        self._plan = plan
        # Its draws leave those of the other faults as they are.
        poison_rng = random.Random(f'poison requests {seed}')
        self._poison = _poison.Poison(list(plan.parts), poison_rng)
        limits_rng = random.Random(f'limited upstreams {seed}')
        self._limits = _limits.Limits(list(plan.limits), limits_rng)
        self._teams = None
        if plan.teams is not None:
            self._teams = _teams.Teams(random.Random(f'keys {seed}'))
        self._duties = None
        if plan.duty_names:
            self._duties = _duties.Duties(
                plan.duties or (),
                plan.duty_names,
                _now,
                lambda: self._checks.unix_offset_s,
            )
        self._seed = seed
        self._instance_count = instances
        self._caller_count = callers
        self._folder = pathlib.Path(folder)
        threads = BASE_THREADS + THREADS_PER_INSTANCE * instances
        self._store = kvstore.KvStore(expire_leases=True, threads=threads)
        self._executions = _upstream.ExecutionLog()
        self._observations = _caller.Observations()
        self._faults = {}
        self._timeline = []
        self._started_at = 0.0
        self._lock, self._block = _process.reserve_address_block()
        self._tasks = _tasks.Tasks()
        self._configuration = _configuration.Configuration(
            self._store, self._teams, _now, plan.service_fields
        )
        self._instances = []
        self._checks = _checks.Checks(
            self._observations,
            self._executions,
            self._poison,
            self._limits,
            self._teams,
            self._duties,
            self._folder,
            self._instances,
        )
        self._links = _links.Links(self._rng, self._checks, self._record_fault)
        self._fleet = _fleet.Fleet(
            self._store,
            self._rng,
            self._executions,
            self._poison,
            self._limits,
            self._links.add,
            self._tasks.spawn,
            self._record_fault,
        )
        self._capacity = None
        if plan.capacity is not None:
            self._capacity = _capacity.Capacity(
                random.Random(f'capacity {seed}'),
                self._fleet,
                {_fleet.START_PLACE: START_UPSTREAMS},
                self._tasks.spawn,
                self._record_fault,
            )
            self._duties.api.on_order = self._capacity.take_order
            self._checks.capacity = self._capacity
        self._signals = _signals.Signals(
            self._rng,
            self._checks,
            self._poison,
            self._tasks.spawn,
            self._tasks.spawn_restart,
        )
        self._store_changed = asyncio.Event()
        self._restores = _restores.Restores(
            self._store,
            self._rng,
            self._checks,
            self._links.frontends,
            self._configuration,
        )

    async def run(self, for_s):
        """Runs the soak and returns its Result."""
        self._store.start()
        if self._duties is not None:
            self._duties.api.start()
        try:
            await self._run_phases(for_s)
        finally:
            await self._stop()
        return self._result()

    async def _run_phases(self, for_s):
        if self._capacity is not None:
            self._capacity.start()
        for _n in range(START_UPSTREAMS):
            await self._fleet.add()
        self._configuration.write_first()
        directories = await self._start_instances()
        await self._wait_until_registered()
        self._tasks.spawn(self._restores.copy())
        for number in range(self._caller_count):
            rng = random.Random(self._rng.random())
            self._start_caller(number, directories, rng, _caller.KINDS)
        if self._capacity is not None:
            for number in range(LONG_CALLERS):
                name = f'{_stream_moves.ROUTE}{number}'
                rng = random.Random(f'{name} {self._seed}')
                self._start_caller(name, directories, rng, _caller.LONG_KINDS)
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        self._checks.unix_offset_s = time.time() - loop.time()
        self._poison.started_at = self._started_at
        self._begin_poison()
        self._begin_limits()
        self._begin_planned()
        until = self._started_at + for_s
        while loop.time() < until:
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
            await self._inject_fault(self._rng.choice(FAULTS))
        ended_at = loop.time()
        await self._check_recovery()
        if self._duties is not None:
            await self._duties.await_reports(ended_at)

    def _start_caller(self, name, directories, rng, kinds):
        caller = _caller.Caller(
            name,
            directories,
            self._links.frontends,
            self._observations,
            rng,
            self._poison,
            self._teams,
            kinds,
        )
        self._tasks.spawn(caller.run())

    def _begin_poison(self):
        for part in self._poison.parts:
            self._count_fault('poison', f'{part.name} {part.spans}')

    def _begin_limits(self):
        for limit in self._limits.limits:
            self._count_fault('limit', f'{limit.rate_per_s:g} a second')
            self._tasks.spawn(self._limits.state(limit, self._fleet.upstreams))

    def _begin_planned(self):
        if self._teams is not None:
            self._tasks.spawn(
                self._teams.run(
                    self._plan.teams.revoke_at_s,
                    self._configuration.write_next,
                    self._count_fault,
                )
            )
        if self._duties is not None:
            self._tasks.spawn(self._duties.run(self._count_fault))
        if self._capacity is not None:
            self._tasks.spawn(
                self._capacity.run(self._plan.capacity, self._count_fault)
            )

    async def _wait_until_registered(self):
        """Waits until all instances are registered in the store.

        Raises:
            _process.StartFailed: If an instance exits or time is up.
        """
        loop = asyncio.get_running_loop()
        self._store.on_change = lambda: loop.call_soon_threadsafe(
            self._store_changed.set
        )
        exits = [
            loop.create_task(instance.process.wait())
            for instance in self._instances
        ]
        registered = loop.create_task(self._see_registrations())
        waits = [registered, *exits]
        await asyncio.wait(
            waits,
            timeout=START_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._store.on_change = lambda: None
        is_registered = registered.done()
        for wait in waits:
            wait.cancel()
        if not is_registered:
            states = [one.describe_state() for one in self._instances]
            raise _process.StartFailed('\n'.join(states))

    async def _see_registrations(self):
        while len(self._registered()) < self._instance_count:
            self._store_changed.clear()
            await self._store_changed.wait()

    def _registered(self):
        entries, _more = self._store.items.page(
            INSTANCE_PREFIX, '', self._instance_count + 1
        )
        return entries

    async def _start_instances(self):
        ports = utils.free_ports(3)
        directories = []
        for number in range(self._instance_count):
            ip = f'127.{self._block}.{number // 200}.{10 + number % 200}'
            proxy = await self._links.add('store', self._store.address)
            frontend = f'{ip}:{ports[0]}'
            # Cut-offs of this link are matched by the frontend address.
            proxy.name = frontend
            frontend_proxy = await self._links.add('caller', frontend)
            self._links.frontends[frontend] = frontend_proxy.address
            name = f'i-{number}'
            path = self._folder / f'{name}.toml'
            text = samples.settings(
                name=name,
                ip=ip,
                callers_port=ports[0],
                readiness_port=ports[1],
                directory_port=ports[2],
                grace_s=_signals.GRACE_S,
                retry_slack=RETRY_SLACK,
                store=proxy.address,
            )
            path.write_text(self._add_settings(text))
            log_path = self._folder / f'{name}.log'
            instance = _process.Instance(
                name, frontend, path, log_path, self._lock
            )
            await instance.start()
            self._instances.append(instance)
            directories.append(f'{ip}:{ports[2]}')
        return directories

    def _add_settings(self, text):
        """Returns a settings file with what the plan of the run needs."""
        if self._teams is not None and self._plan.teams.strict:
            text = settings_text.strict_revocation(text, REVOKE_S)
        if self._duties is not None:
            return self._duties.add_settings(text)
        return text

    def _record_fault(self, fault, target):
        at = asyncio.get_running_loop().time() - self._started_at
        self._timeline.append(f'{at:.2f} {fault} {target}')

    def _count_fault(self, fault, target):
        self._faults[fault] = self._faults.get(fault, 0) + 1
        self._record_fault(fault, target)

    async def _inject_fault(self, fault):
        instance = self._rng.choice(self._instances)
        self._count_fault(fault, instance.name)
        match fault:
            case 'kill' | 'term' | 'hup' | 'pause':
                self._signals.send(fault, instance)
            case 'store' | 'upstream' | 'caller':
                proxy = self._links.choose(fault)
                self._tasks.spawn(self._links.disturb(proxy))
            case 'leave':
                await self._fleet.replace()
            case 'config':
                self._configuration.write_next(self._rng.randint(1, 3))
            case 'copy':
                self._tasks.spawn(self._restores.restore())

    async def _check_recovery(self):
        """Checks that most requests are served some time after all faults."""
        self._links.restore()
        await asyncio.sleep(RECOVERY_S)
        before = dict(self._observations.statuses)
        await asyncio.sleep(RECOVERY_S)
        served = self._observations.statuses.get(200, 0) - before.get(200, 0)
        total = sum(self._observations.statuses.values()) - sum(
            before.values()
        )
        if served * 2 < total or not served:
            self._observations.violations.append(
                f'not recovered: {served} of {total} requests were served'
            )

    async def _stop(self):
        await self._tasks.cancel()
        self._kill_all()
        await self._tasks.finish()
        self._kill_all()
        for instance in self._instances:
            await instance.process.wait()
        await self._links.close()
        self._fleet.close()
        self._store.close()
        if self._duties is not None:
            self._duties.api.close()
        self._lock.close()

    def _kill_all(self):
        for instance in self._instances:
            instance.stopped = True
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)

    def _result(self):
        return Result(
            self._seed,
            self._instance_count,
            sum(self._observations.statuses.values()),
            dict(sorted(self._observations.statuses.items())),
            dict(sorted(self._observations.taken_up.items())),
            dict(sorted(self._observations.long_streams.items())),
            self._faults,
            self._timeline,
            self._checks.broken() + self._tasks.failures,
        )


def run(seed, for_s, instances=6, callers=12, folder=None):
    """Runs one soak.

    Args:
        seed: Seed of all random choices; the timing of the processes is not
            reproducible.
        for_s: Seconds for which faults are injected.
        instances: Number of instance processes.
        callers: Number of concurrent callers.
        folder: Folder for settings and logs, None for a temporary one.

    Returns:
        A Result.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
        plan = _plan.plan(seed, for_s)
        soak = _Soak(seed, instances, callers, folder, plan)
        return asyncio.run(soak.run(for_s))
