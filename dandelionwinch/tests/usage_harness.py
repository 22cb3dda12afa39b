"""Instances that count, share and report usage, in virtual time."""

import asyncio
import random

from dandelionwinch import control
from dandelionwinch.control import _usage_duty
from dandelionwinch.gateway import _metrics
from dandelionwinch.gateway import _peer_link
from dandelionwinch.gateway import _usage_meter
from dandelionwinch.gateway import _usage_sharing
from dandelionwinch.standins import kvitems
from dandelionwinch.tests import datagrams
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual
from dandelionwinch import usage

WINDOW_S = 5.0
DUE_S = 10.0
# True time at which the virtual time is 0; a window begins there.
EPOCH_S = 1_800_000_000.0
# Time in which the watch of the store brings a change.
MAX_WATCH_S = 1.2
TAKE_OVER_S = 2.5
CALL_TIMEOUT_S = 1.5
RENEW_INTERVAL_S = 0.9


class DutyApi:
    """The duty API, with faults.

    Attributes:
        accepted: Reports that were accepted, in order.
        latency_s: Time that a call takes.
        down: Whether calls get no answer and have no effect.
        lost_answers: How many next calls are accepted without an answer.
    """

    def __init__(self):
        self.accepted = []
        self.latency_s = 0.02
        self.down = False
        self.lost_answers = 0

    def windows(self):
        """Returns the last counts that were accepted, by window."""
        return {report.window: report.counts for report in self.accepted}

    def check_unique(self):
        """Checks that no window has two different reports."""
        windows = self.windows()
        for report in self.accepted:
            assert report.counts == windows[report.window], report.window

    async def call(self, report):
        """Receives a report."""
        await asyncio.sleep(self.latency_s / 2)
        if self.down:
            return control.Unanswered('down')
        self.accepted.append(report)
        await asyncio.sleep(self.latency_s / 2)
        if self.lost_answers:
            self.lost_answers -= 1
            return control.Unanswered('lost')
        return control.Accepted()


class _Authority:
    def __init__(self, site, name, token):
        self._site = site
        self._act_at = site.now() + TAKE_OVER_S
        self.name = name
        self.token = token

    def may_act(self):
        site = self._site
        held = (site.holder, site.token) == (self.name, self.token)
        return held and site.now() >= self._act_at


class _Store(virtual.FaultyStore):
    """Kills its instance before or after a write, where that is asked.

    Attributes:
        late_s: Time after which writes take effect, without an answer.
    """

    def __init__(self, loop, items, node):
        super().__init__(loop, items)
        self._node = node
        self.late_s = 0.0

    async def put(self, key, value, lease=None, revision=None):
        await self._node.at('before write')
        if self.late_s:
            loop = asyncio.get_running_loop()
            conditions = [] if revision is None else [(key, revision)]
            puts = [(key, value, 0)]
            loop.call_later(
                self.late_s, self._items.commit, conditions, puts, []
            )
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise control.StoreFailed('no answer in time')
        written = await super().put(key, value, lease, revision)
        await self._node.at('during write')
        return written


class Node:
    """One process of an instance.

    Attributes:
        alive: Whether it runs.
        blind: Whether its watch of the store brings nothing.
        sharing: Its UsageSharing.
    """

    def __init__(self, site, name, wall_offset_s=0.0):
        loop = asyncio.get_running_loop()
        self._site = site
        self._loop = loop
        self.name = name
        self.alive = True
        self.blind = False
        self.log = recorder.Recorder()
        self.wall_offset_s = wall_offset_s
        self.link = _peer_link.PeerLink(loop, self.log, name)
        site.network.add(self.link, site.addresses[name])
        clock = usage.TrueClock(
            lambda: EPOCH_S + loop.time() + self.wall_offset_s, loop.time
        )
        counts = usage.WindowCounts(WINDOW_S)
        metrics = _metrics.Metrics()
        self.meter = _usage_meter.UsageMeter(
            loop, clock, counts, None, metrics
        )
        self.meter.enabled = True
        self.sharing = _usage_sharing.UsageSharing(
            loop,
            clock,
            counts,
            self.meter,
            self.link,
            name,
            self.log,
            random.Random(f'{name} {site.rng.random()}'),
            DUE_S,
        )
        self.sharing.receivers = site.receivers
        self.sharing.in_use = True
        self.store = _Store(loop, site.items, self)
        self.duty = _usage_duty.UsageDuty(
            self.store,
            self.sharing,
            self,
            lambda: sorted(site.registered),
            self.log,
            DUE_S,
        )
        self.sharing.start()
        self._watch_task = loop.create_task(self._watch())
        self._duty_task = None

    async def _watch(self):
        revision = 0
        while True:
            await asyncio.sleep(MAX_WATCH_S * self._site.rng.random())
            self.link.set_peers(
                {
                    n: self._site.addresses[n]
                    for n in sorted(self._site.registered)
                }
            )
            item = self._site.items.get(_usage_duty.REPORT_KEY)
            if self.blind or self.store.unavailable or item is None:
                continue
            if item.revision != revision:
                revision = item.revision
                self.duty.saw(control.Item(item.key, item.value, revision))

    def lead(self, token):
        """Performs the duty from now on, until another instance does."""
        authority = _Authority(self._site, self.name, token)
        self._duty_task = self._loop.create_task(self._perform(authority))

    async def _perform(self, authority):
        site = self._site
        while (site.holder, site.token) == (self.name, authority.token):
            await self.duty.perform(authority)
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def report_usage(self, _holder, _token, report, may_act):
        """Calls the duty API."""
        await self.at('before send')
        if not may_act():
            return control.NotSent('no authority')
        result = await self._site.api.call(report)
        await self.at('during send')
        return result

    async def at(self, point):
        """Kills this process, if that is asked at this point."""
        if self._site.kill_at == point:
            self._site.kill_at = ''
            self._site.kill(self.name)
            # The task that awaits this is cancelled.
            await asyncio.sleep(0)

    def kill(self):
        """Ends the process without notice."""
        self.alive = False
        self.sharing._timer.cancel()
        self.sharing._timer = None
        self._watch_task.cancel()
        if self._duty_task is not None:
            self._duty_task.cancel()

    def stop(self):
        """Ends the process gracefully."""
        self.sharing.close()
        self.kill_tasks()

    def kill_tasks(self):
        """Ends what runs beside the sharing."""
        self.alive = False
        self._watch_task.cancel()
        if self._duty_task is not None:
            self._duty_task.cancel()


class Site:
    """Instances, their store and the duty API.

    Args:
        count: Number of instances.
        seed: Seed of all randomness.
        loss: Share of the datagrams that are lost.

    Attributes:
        kill_at: Point at which the holder is killed next, or ''.
        truth: Requests by team that began to run, by window.
    """

    def __init__(self, count=6, seed=1, loss=0.0):
        self.rng = random.Random(seed)
        self.network = datagrams.Network(self.rng, loss)
        self.items = kvitems.KvItems()
        self.api = DutyApi()
        self.addresses = {
            f'i{number}': (f'10.0.{number // 250}.{number % 250}', 9)
            for number in range(count)
        }
        self.registered = set(self.addresses)
        self.holder = ''
        self.token = 0
        self.kill_at = ''
        self.truth = {}
        self.nodes = {name: Node(self, name) for name in self.addresses}
        self.elect()

    def now(self):
        """Returns virtual seconds."""
        return asyncio.get_running_loop().time()

    def window(self):
        """Returns the number of the current window."""
        return int((EPOCH_S + self.now()) // WINDOW_S)

    def receivers(self):
        """Returns the holder and the two instances that would follow it."""
        others = sorted(self.registered - {self.holder})
        return [self.holder, *others[:2]]

    def elect(self):
        """Makes another instance the holder, the next one of `receivers`."""
        self.holder = next(
            name
            for name in sorted(self.registered - {self.holder})
            if self.nodes[name].alive
        )
        self.token += 1
        self.nodes[self.holder].lead(self.token)

    def kill(self, name):
        """Kills a process; its entry expires after some time."""
        if not self.nodes[name].alive:
            return
        self.nodes[name].kill()
        self.network.cut_off.add(self.addresses[name])
        loop = asyncio.get_running_loop()
        loop.call_later(4.0, self._expire, name)
        if name == self.holder:
            loop.call_later(3.2, self._elect_after, self.token)

    def _elect_after(self, token):
        if self.token == token:
            self.elect()

    def _expire(self, name):
        if not self.nodes[name].alive:
            self.registered.discard(name)

    def restart(self, name, wall_offset_s=0.0):
        """Starts another process of an instance that was killed."""
        self.network.cut_off.discard(self.addresses[name])
        self.nodes[name] = Node(self, name, wall_offset_s)
        self.registered.add(name)

    def request(self, team, name, ago_s=0.0):
        """Has a request begin at an instance."""
        node = self.nodes[name]
        at = EPOCH_S + self.now() - ago_s
        window = int(at // WINDOW_S)
        counts = self.truth.setdefault(window, {})
        counts[team] = counts.get(team, 0) + 1
        node.meter.record(team, node.sharing.now() - ago_s)

    async def serve(self, duration_s, rate_per_s=12.0, teams=8, names=None):
        """Has requests begin at random, at instances that are alive."""
        until = self.now() + duration_s
        while True:
            pause_s = self.rng.expovariate(rate_per_s)
            if self.now() + pause_s >= until:
                await asyncio.sleep(until - self.now())
                return
            await asyncio.sleep(pause_s)
            alive = [
                name
                for name in names or sorted(self.nodes)
                if self.nodes[name].alive
            ]
            team = f'team-{int(teams * self.rng.random() ** 2):03}'
            ago_s = 0.012 * self.rng.random()
            self.request(team, self.rng.choice(alive), ago_s)

    def check(self, windows, missed=0):
        """Checks the reports of windows against what began to run.

        Args:
            windows: Numbers of the windows.
            missed: Requests that a report may lack.
        """
        self.api.check_unique()
        reported = self.api.windows()
        for window in windows:
            counts = reported.get(window, {})
            for team, count in self.truth.get(window, {}).items():
                least = count - missed
                assert least <= counts.get(team, 0) <= count, (window, team)
            assert set(counts) <= set(self.truth.get(window, {}))

    def close(self):
        """Stops all processes."""
        for node in self.nodes.values():
            if node.alive:
                node.kill()


def run(scenario, **options):
    """Runs a coroutine function of a Site in virtual time."""

    async def body():
        site = Site(**options)
        try:
            await scenario(site)
        finally:
            site.close()

    virtual.run(body())
