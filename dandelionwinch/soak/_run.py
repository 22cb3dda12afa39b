"""One soak: starts everything, injects faults by seed, and judges."""

import asyncio
import math
import pathlib
import random
import signal
import tempfile

import attrs

from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.soak import _caller
from dandelionwinch.soak import _process
from dandelionwinch.soak import _proxy
from dandelionwinch.soak import _upstream
from dandelionwinch.standins import kvstore
from dandelionwinch import utils

QUIET_S = 6.0
GRACE_S = 4
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
)
START_TIMEOUT_S = 120.0
INSTANCE_PREFIX = 'dandelionwinch/instances/'
# An instance knows the store's state again this long after a cut.
CONTACT_S = 4.0
THREADS_PER_INSTANCE = 2
MORE_THREADS = 64


@attrs.frozen
class Result:
    """What a soak found.

    Attributes:
        statuses: Final answers by status, 0 for a closed connection.
        faults: Faults that were injected, by kind.
        timeline: Each fault with its time in seconds.
        broken: Broken promises; empty if all held.
    """

    seed: int
    instances: int
    requests: int
    statuses: dict
    faults: dict
    timeline: list
    broken: list


@attrs.define
class _Cut:
    """A time in which an instance could not follow the store.

    Attributes:
        front: The instance's address for callers, '' for other links.
    """

    front: str
    start: float
    end: float = math.inf


class _Soak:
    def __init__(self, seed, instances, callers, folder):
        self._rng = random.Random(seed)
        self._seed = seed
        self._count = instances
        self._callers = callers
        self._folder = pathlib.Path(folder)
        threads = MORE_THREADS + THREADS_PER_INSTANCE * instances
        self._store = kvstore.KvStore(expire_leases=True, threads=threads)
        self._record = _upstream.Record()
        self._seen = _caller.Seen()
        self._faults = {}
        self._timeline = []
        self._began = 0.0
        self._cuts = []
        self._lock, self._block = _process.own_block()
        self._tasks = set()
        self._restarts = set()
        self._version = 1
        self._next_upstream = 0
        self._upstreams = []
        self._instances = []
        self._proxies = {'store': [], 'upstream': [], 'caller': []}
        self._fronts = {}
        self._changed = asyncio.Event()

    async def run(self, for_s):
        """Plays the soak and returns its Result."""
        self._store.start()
        try:
            await self._play(for_s)
        finally:
            await self._stop()
        return self._judge()

    async def _play(self, for_s):
        for _n in range(4):
            await self._add_upstream()
        self._write_config()
        directories = await self._start_instances()
        await self._await_started()
        for number in range(self._callers):
            rng = random.Random(self._rng.random())
            caller = _caller.Caller(
                number, directories, self._fronts, self._seen, rng
            )
            self._spawn(caller.run())
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        until = self._began + for_s
        while loop.time() < until:
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
            await self._inject(self._rng.choice(FAULTS))
        await self._check_recovery()

    async def _await_started(self):
        """Waits until all instances have an entry in the store."""
        loop = asyncio.get_running_loop()
        self._store.on_change = lambda: loop.call_soon_threadsafe(
            self._changed.set
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(self._present()) < self._count:
                self._changed.clear()
                await self._changed.wait()
        self._store.on_change = lambda: None

    def _present(self):
        found, _more = self._store.items.page(
            INSTANCE_PREFIX, '', self._count + 1
        )
        return found

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _spawn_restart(self, coroutine):
        """Starts a task that is never cancelled: it may start a process."""
        task = asyncio.create_task(coroutine)
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _start_instances(self):
        ports = utils.free_ports(3)
        directories = []
        for number in range(self._count):
            ip = f'127.{self._block}.{number // 200}.{10 + number % 200}'
            proxy = await self._add_proxy('store', self._store.address)
            front = f'{ip}:{ports[0]}'
            proxy.name = front
            front_proxy = await self._add_proxy('caller', front)
            self._fronts[front] = front_proxy.address
            name = f'i-{number}'
            path = self._folder / f'{name}.toml'
            text = samples.settings(
                name=name,
                ip=ip,
                callers_port=ports[0],
                readiness_port=ports[1],
                directory_port=ports[2],
                grace_s=GRACE_S,
                retry_slack=RETRY_SLACK,
                store=proxy.address,
            )
            path.write_text(text)
            log_path = self._folder / f'{name}.log'
            instance = _process.Instance(name, front, path, log_path)
            await instance.start()
            self._instances.append(instance)
            directories.append(f'{ip}:{ports[2]}')
        return directories

    async def _add_proxy(self, link, address):
        proxy = _proxy.Proxy(address)
        await proxy.start()
        self._proxies[link].append(proxy)
        return proxy

    async def _add_upstream(self):
        self._next_upstream += 1
        rng = random.Random(self._rng.random())
        made = _upstream.SoakUpstream(
            f'u-{self._next_upstream}', self._record, rng
        )
        await made.start()
        made.proxy = await self._add_proxy('upstream', made.address)
        self._upstreams.append(made)
        self._write_entry(made, 'ready')

    def _write_entry(self, upstream, state):
        entry = samples.entry(address=upstream.proxy.address, state=state)
        self._store.write(samples.entry_key(upstream.id), entry)

    def _write_config(self):
        rows = [
            samples.route_of('once', routes.RetryPolicy.ONCE),
            samples.route_of(
                'safe', routes.RetryPolicy.IDEMPOTENT, attempts=2
            ),
            samples.route_of(
                'resume',
                routes.RetryPolicy.RESUMABLE,
                streaming=True,
                attempts=2,
            ),
        ]
        value = samples.config(self._version, rows, [samples.service()])
        self._store.write(samples.CONFIG_KEY, value)

    def _note(self, fault, target):
        at = asyncio.get_running_loop().time() - self._began
        self._timeline.append(f'{at:.2f} {fault} {target}')

    async def _inject(self, fault):
        self._faults[fault] = self._faults.get(fault, 0) + 1
        instance = self._rng.choice(self._instances)
        self._note(fault, instance.name)
        match fault:
            case 'kill':
                instance.send(signal.SIGKILL)
                self._spawn_restart(instance.restart())
            case 'term':
                instance.send(signal.SIGTERM)
                self._spawn_restart(self._end_stop(instance))
            case 'hup':
                instance.send(signal.SIGHUP)
            case 'pause':
                instance.send(signal.SIGSTOP)
                self._spawn(self._resume(instance))
            case 'store' | 'upstream' | 'caller':
                proxy = self._rng.choice(self._proxies[fault])
                self._spawn(self._disturb(proxy))
            case 'leave':
                await self._replace_upstream()
            case 'config':
                self._version += self._rng.randint(1, 3)
                self._write_config()

    async def _end_stop(self, instance):
        process = instance.process
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            instance.send(signal.SIGKILL)
        await instance.restart()

    async def _resume(self, instance):
        process = instance.process
        cut = self._begin_cut(instance.front)
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        cut.end = asyncio.get_running_loop().time()
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    def _begin_cut(self, front):
        cut = _Cut(front, asyncio.get_running_loop().time())
        self._cuts.append(cut)
        return cut

    async def _disturb(self, proxy):
        modes = [m for m in _proxy.Mode if m is not _proxy.Mode.PASS]
        mode = self._rng.choice(modes)
        cut = self._begin_cut(proxy.name)
        self._note(mode.value, proxy.name)
        proxy.set_mode(mode)
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        proxy.set_mode(_proxy.Mode.PASS)
        cut.end = asyncio.get_running_loop().time()

    async def _replace_upstream(self):
        await self._add_upstream()
        leaving = self._upstreams.pop(0)
        if self._rng.random() < 0.5:
            self._write_entry(leaving, 'draining')
        else:
            self._store.remove(samples.entry_key(leaving.id))
        self._spawn(self._end_upstream(leaving))

    async def _end_upstream(self, leaving):
        loop = asyncio.get_running_loop()
        left_at = loop.time()
        await asyncio.sleep(_upstream.DRAIN_S / 2)
        self._store.remove(samples.entry_key(leaving.id))
        leaving.left_at = left_at
        await asyncio.sleep(_upstream.DRAIN_S)
        leaving.close()

    async def _check_recovery(self):
        """After a quiet time, most requests must be served again."""
        for proxy in self._all_proxies():
            proxy.set_mode(_proxy.Mode.PASS)
        await asyncio.sleep(QUIET_S)
        before = dict(self._seen.statuses)
        await asyncio.sleep(QUIET_S)
        good = self._seen.statuses.get(200, 0) - before.get(200, 0)
        total = sum(self._seen.statuses.values()) - sum(before.values())
        if good * 2 < total or not good:
            self._seen.wrong.append(
                f'not recovered: {good} of {total} requests are served'
            )

    async def _stop(self):
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._kill_all()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        self._kill_all()
        for instance in self._instances:
            await instance.process.wait()
        for proxy in self._all_proxies():
            await proxy.close()
        for upstream in self._upstreams:
            upstream.close()
        self._store.close()
        self._lock.close()

    def _all_proxies(self):
        return [proxy for group in self._proxies.values() for proxy in group]

    def _kill_all(self):
        for instance in self._instances:
            instance.stopped = True
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)

    def _was_cut_off(self, request_id, at):
        """Tells whether the instance could not know of a leaving upstream."""
        front = self._seen.sent_to.get(request_id)
        return any(
            cut.front == front and cut.start <= at <= cut.end + CONTACT_S
            for cut in self._cuts
        )

    def _judge(self):
        runs = self._record.runs
        broken = list(self._seen.wrong)
        broken += [
            f'{request_id}: ran {count} times'
            for request_id, count in runs.items()
            if request_id.startswith('once-') and count > 1
        ]
        broken += [
            f'{request_id}: said not to have run, but ran'
            for request_id in self._seen.not_run
            if request_id in runs and request_id.startswith('once-')
        ]
        broken += [
            f'{request_id}: sent to an upstream long after it had left'
            for request_id, at in self._record.late
            if not self._was_cut_off(request_id, at)
        ]
        for path in sorted(self._folder.glob('*.log')):
            if 'gateway.fault' in path.read_text(errors='replace'):
                broken.append(f'{path.name}: an error of our own')
        return Result(
            self._seed,
            self._count,
            sum(self._seen.statuses.values()),
            dict(sorted(self._seen.statuses.items())),
            self._faults,
            self._timeline,
            broken,
        )


def run(seed, for_s, instances=6, callers=12, folder=None):
    """Plays one soak.

    Args:
        seed: Seed of all choices; the timing of processes is their own.
        for_s: Seconds with faults.
        instances: Number of real processes.
        callers: Number of callers.
        folder: Folder for settings and logs, None for a temporary one.

    Returns:
        A Result.
    """
    if folder is not None:
        soak = _Soak(seed, instances, callers, folder)
        return asyncio.run(soak.run(for_s))
    with tempfile.TemporaryDirectory() as made:
        soak = _Soak(seed, instances, callers, made)
        return asyncio.run(soak.run(for_s))
