"""How the instances agree on the speeds of engines, in virtual time."""

import asyncio
import random
import types

import attrs
import pytest

from dandelionwinch.bench import overload
from dandelionwinch import dispatch
from dandelionwinch.dispatch import _engine_speeds
from dandelionwinch.dispatch import _groups
from dandelionwinch.dispatch import _speed_window
from dandelionwinch.gateway import _fleet
from dandelionwinch.gateway import _peer_link
from dandelionwinch.gateway import _speed_sharing
from dandelionwinch.tests import datagrams
from dandelionwinch.tests import fixtures
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual
from dandelionwinch.tools import bench
from dandelionwinch import upstreams
from dandelionwinch import utils

PREFILL = upstreams.Role.PREFILL
READ = dispatch.Work.READ
DECODE = dispatch.Work.DECODE


def serve(speeds, entry, speed, busy, rng, seconds=20.0, spell=0.0):
    """Reports what an engine reads, one prompt after the other.

    Args:
        speeds: EngineSpeeds that judge the engine.
        entry: Entry of the engine.
        speed: Its speed.
        busy: Part of the time in which the engine of speed 1 reads.
        rng: Source of sizes and times.
        seconds: Time for which it serves.
        spell: Part of each 4 s in which its work takes 2.5 times as long.
    """
    now = free_at = 0.0
    while now < seconds:
        now += rng.expovariate(busy / 0.05)
        tokens = rng.randint(1000, 11_000)
        slow = 2.5 if now % 4.0 < 4.0 * spell else 1.0
        free_at = max(now, free_at) + slow * tokens / 120e3 / speed
        sample = dispatch.Sample(
            entry.id, READ, free_at, tokens, free_at - now
        )
        speeds.add_samples([sample], now)


def judge(speeds, entries, now):
    """Judges all engines twice, as the first ones had none to compare."""
    judged = {entry.id for entry in entries}
    for at in (now, now + 1.0):
        for verdict in speeds.judge(entries, judged, at):
            speeds.take_verdict(verdict, at)


@pytest.mark.parametrize('seed', range(4))
def test_slow_engines_are_told_from_busy_ones(seed):
    """A mean of the latencies took waits for slowness."""
    rng = random.Random(seed)
    entries = [e.entry for e in fixtures.make_engines(6, PREFILL)]
    speeds = dispatch.EngineSpeeds()
    for number, entry in enumerate(entries):
        speed = 0.46 if number == 0 else 1.0
        busy = (0.2, 0.2, 0.9, 0.4, 0.6, 0.8)[number]
        serve(speeds, entry, speed, busy, rng)
    judge(speeds, entries, 25.0)
    found = [speeds.read_speed(entry, 26.0) for entry in entries]
    assert found[0] == pytest.approx(0.46, rel=0.2)
    assert found[1:] == pytest.approx([1.0] * 5, abs=0.1)


@pytest.mark.parametrize('seed', range(4))
def test_short_spells_of_slowness_change_no_speed(seed):
    """A session whose engine is slow for 0.6 s stays there."""
    rng = random.Random(seed)
    entries = [e.entry for e in fixtures.make_engines(4, PREFILL)]
    speeds = dispatch.EngineSpeeds()
    for number, entry in enumerate(entries):
        spell = 0.15 if number == 0 else 0.0
        serve(speeds, entry, 1.0, 0.4, rng, spell=spell)
    judge(speeds, entries, 25.0)
    for entry in entries:
        assert speeds.read_speed(entry, 26.0) == pytest.approx(1.0, abs=0.1)


def test_one_of_two_engines_is_not_compared():
    """Of two with different prompts one was taken for a slow engine."""
    rng = random.Random(1)
    entries = [e.entry for e in fixtures.make_engines(2, PREFILL)]
    speeds = dispatch.EngineSpeeds()
    for entry, speed in zip(entries, (0.5, 1.0), strict=True):
        serve(speeds, entry, speed, 0.3, rng)
    judge(speeds, entries, 25.0)
    assert [speeds.read_speed(e, 26.0) for e in entries] == [1.0, 1.0]


def test_a_speed_that_is_no_longer_published_does_not_count():
    speeds = dispatch.EngineSpeeds()
    entry = fixtures.make_engines(1)[0].entry
    verdict = dispatch.Verdict(entry.id, DECODE, (0.0, 0.0, 0.0), 0.5)
    speeds.take_verdict(verdict, 0.0)
    assert speeds.decode_speed(entry, 1.0) == 0.5
    late = _engine_speeds.MAX_VERDICT_AGE_S + 1.0
    assert speeds.decode_speed(entry, late) == 1.0
    speeds.take_verdict(verdict, late)
    speeds.forget(entry.id)
    assert speeds.decode_speed(entry, late) == 1.0


def test_responses_reported_in_any_order_give_the_same_times():
    """Instances report with different delays."""
    ends = [(0.1 * n + 0.1, 5000, 0.15) for n in range(30)]
    orders = (ends, ends[::-1], random.Random(1).sample(ends, 30))
    found = []
    for order in orders:
        times = _speed_window.ReadTimes()
        for end in order:
            times.add(*end)
        found.append(times.take(10.0))
    assert found[0] == found[1] == found[2]
    assert found[0][-1][1:] == (5000, pytest.approx(0.1))


def test_sessions_of_a_slower_engine_move_and_others_stay():
    """Weighted rendezvous hashing moves only what the slow engine loses."""
    placer = fixtures.make_placer()
    engines = fixtures.make_engines(4, PREFILL) + fixtures.make_engines(
        4, first=4
    )

    groups = _groups.group_engines(engines)

    def homes():
        found = {}
        for session in range(400):
            prompt = fixtures.make_prompt(session)
            score = placer._session_score(prompt, groups, 0.0)
            found[session] = max(engines[:4], key=score).entry.id
        return found

    before = homes()
    quartiles = (0.0, 0.0, 0.0)
    placer.speeds.take_verdict(
        dispatch.Verdict('e0', READ, quartiles, 0.5), 0.0
    )
    after = homes()
    moved = {s for s in before if before[s] != after[s]}
    assert {before[s] for s in moved} == {'e0'}
    share = sum(home == 'e0' for home in after.values()) / 400
    assert share == pytest.approx(1 / 7, abs=0.05)


def test_a_decoder_whose_gaps_are_predicted_to_be_late_is_avoided():
    placer = fixtures.make_placer()
    engines = fixtures.make_engines(3)
    for _n in range(50):
        placer._token_gaps.observe('s', 0.5, 0.0, reading=False)
    quartiles = (0.0, 0.0, 0.0)
    placer.speeds.take_verdict(
        dispatch.Verdict('e0', DECODE, quartiles, 0.46), 0.0
    )
    prompt = dispatch.Prompt(100, 50, (('own', 100),))
    chosen = {
        fixtures.place(placer, prompt, engines).decode.entry.id
        for _n in range(50)
    }
    assert chosen == {'e1', 'e2'}


class Instances:
    """Instances that share the speeds of six engines, one of them slow."""

    def __init__(self, count, loss=0.0, seed=1):
        self._loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.network = datagrams.Network(self.rng, loss)
        self.log = recorder.Recorder()
        self.addresses = {f'i{n}': (f'10.0.0.{n}', 9) for n in range(count)}
        self.entries = [e.entry for e in fixtures.make_engines(6, PREFILL)]
        self.links, self.sharings, self.speeds = {}, {}, {}
        self.task = None
        for name, addr in self.addresses.items():
            link = _peer_link.PeerLink(self._loop, self.log, name)
            link.set_peers(self.addresses)
            self.network.add(link, addr)
            fleet = _fleet.Fleet(self._loop)
            for entry in self.entries:
                fleet.registry.apply(entry)
            speeds = dispatch.EngineSpeeds()
            sharing = _speed_sharing.SpeedSharing(
                self._loop, fleet, speeds, link, name, self.log
            )
            sharing.start()
            self.links[name], self.speeds[name] = link, speeds
            self.sharings[name] = sharing
        self.task = self._loop.create_task(self._serve())

    async def _serve(self):
        """Each engine reads 10 prompts a second for random instances."""
        while True:
            await asyncio.sleep(0.1)
            for number, entry in enumerate(self.entries):
                tokens = self.rng.randint(1000, 6000)
                taken_s = tokens / 120e3 / (0.5 if number == 0 else 1.0)
                speeds = self.speeds[self.rng.choice(list(self.speeds))]
                now = self._loop.time()
                speeds.observe_read(entry, tokens, taken_s, now)

    def found(self, number):
        """Returns the speeds of an engine that the instances use."""
        entry, now = self.entries[number], self._loop.time()
        return {s.read_speed(entry, now) for s in self.speeds.values()}

    def stop(self, name):
        self.sharings[name].close()
        self.network.cut_off.add(self.addresses.pop(name))
        del self.speeds[name]
        for link in self.links.values():
            link.set_peers(dict(self.addresses))

    def close(self):
        self.task.cancel()
        for sharing in self.sharings.values():
            sharing.close()


@pytest.mark.parametrize('count', [1, 5, 89])
def test_all_instances_use_one_speed(count):
    """Two that disagree would read the blocks of a session twice."""

    async def scenario():
        instances = Instances(count)
        await asyncio.sleep(40.0)
        assert len(instances.found(0)) == 1
        assert instances.found(0).pop() == pytest.approx(0.5, rel=0.2)
        assert all(instances.found(n) == {1.0} for n in range(1, 6))
        per_s = instances.network.sent_bytes / 40.0 / count
        assert per_s < 2000
        instances.close()

    virtual.run(scenario())


def test_speeds_survive_lost_datagrams_and_the_end_of_a_judge():
    async def scenario():
        instances = Instances(9, loss=0.2)
        await asyncio.sleep(60.0)
        judge_name = instances.sharings['i0']._judge('e0')
        instances.stop(judge_name)
        await asyncio.sleep(60.0)
        assert instances.found(0).pop() == pytest.approx(0.5, rel=0.2)
        instances.close()

    virtual.run(scenario())


@pytest.mark.parametrize(
    'message',
    [
        ['times', [['e0', 'read', 0.1, 5000, 0.1]]],
        ['speeds', [['e0', 'read', 1.0, 1.0, 1.0, 4.0, 1.0]]],
        ['speeds', [['e0', 'read', 1.0, 1.0, 1.0, 1.0, 1e9]]],
        ['speeds', [['e0', 'read', 1.0, 1.0, 1.0, float('nan'), 1.0]]],
        ['speeds', [['e0', 'sing', 1.0, 1.0, 1.0, 1.0, 1.0]]],
        ['speeds', [[['e0'], 'read', 1.0, 1.0, 1.0, 1.0, 1.0]]],
        ['speeds', [['e0', 'read', 1.0]]],
        ['speeds', 'e0'],
        ['times', [['e0', 'read', 0.1, True, 0.1]]],
        ['times', [['e0', 'read', 0.1, 5000, 0.1]] * 21],
    ],
)
@pytest.mark.parametrize('known', [True, False])
def test_forged_datagrams_change_no_speed(message, known):
    """Only the judge of an engine publishes its speed."""

    async def scenario():
        instances = Instances(3)
        instances.task.cancel()
        judge_name = instances.sharings['i0']._judge('e0')
        others = [n for n in instances.addresses if n != judge_name]
        sender = instances.links[others[0]]
        if not known:
            instances.network.add(sender, ('10.9.9.9', 9))
        sender.send_all(message, list(instances.addresses.values()))
        await asyncio.sleep(5.0)
        assert instances.found(0) == {1.0}
        instances.close()

    virtual.run(scenario())


@pytest.mark.parametrize('seed', [1, 2])
def test_engines_of_uneven_speed_earn_more_with_learnt_speeds(seed):
    load = overload.read_load(bench.LOADS / 'uneven-engines.yaml')
    load = attrs.evolve(load, duration_s=15.0)
    learnt, one = (
        overload.simulate(load, name, seed) for name in ('winch', 'one_speed')
    )
    assert learnt.credit > one.credit + 0.03


def watch_slowness(span_s, factor, seed=1):
    """Returns when an engine counted as slow, of three that serve 15 s.

    The first engine is slower by a factor from 10.0 s on.
    """
    rng = random.Random(seed)
    entries = [e.entry for e in fixtures.make_engines(3, PREFILL)]
    speeds = dispatch.EngineSpeeds()
    free_at = dict.fromkeys(entries, 0.0)
    ended = []
    slow_at = []
    for step in range(1, 1800):
        now = step / 120.0
        entry = rng.choice(entries)
        if step % 4 == 0:
            tokens = rng.randint(2000, 6000)
            slow = entry is entries[0] and 10.0 <= now < 10.0 + span_s
            taken_s = (factor if slow else 1.0) * tokens / 120e3
            free_at[entry] = max(now, free_at[entry]) + taken_s
            latency_s = free_at[entry] - now
            ended.append(
                dispatch.Sample(
                    entry.id, READ, free_at[entry], tokens, latency_s
                )
            )
        if step % 30 == 0:
            speeds.add_samples([s for s in ended if s.ended_at <= now], now)
            ended = [s for s in ended if s.ended_at > now]
            judged = {entry.id for entry in entries}
            for verdict in speeds.judge(entries, judged, now):
                speeds.take_verdict(verdict, now)
            if speeds.read_speed(entries[0], now) < 0.6:
                slow_at.append(now)
            for other in entries[1:]:
                assert speeds.read_speed(other, now) > 0.6
    return slow_at


@pytest.mark.parametrize('seed', range(4))
def test_slowness_of_seconds_is_known_soon_and_ends_soon(seed):
    """At 89 instances an engine that was slow for 6 s kept its sessions."""
    slow_at = watch_slowness(3.0, 4.0, seed)
    assert 10.0 < slow_at[0] <= 11.75
    # It works off what had queued before.
    assert 13.0 <= slow_at[-1] <= 14.75


@pytest.mark.parametrize('seed', range(4))
def test_slowness_of_a_moment_moves_nothing(seed):
    assert not watch_slowness(0.6, 2.5, seed)


def test_judges_follow_the_instances_without_scoring_all_anew(monkeypatch):
    """With 300 instances and 3,000 engines this took most of a core."""
    scored = []
    score = utils.rendezvous_score

    def counting(*args):
        scored.append(args)
        return score(*args)

    monkeypatch.setattr(utils, 'rendezvous_score', counting)
    link = types.SimpleNamespace(peers={}, register=lambda *_args: None)
    registry = {f'e{number}': object() for number in range(50)}
    fleet = types.SimpleNamespace(registry=registry)
    sharing = _speed_sharing.SpeedSharing(None, fleet, None, link, 'i0', None)
    rng = random.Random(1)
    for step in range(60):
        name = f'i{rng.randrange(1, 30)}'
        if link.peers.pop(name, None) is None:
            link.peers[name] = ('127.0.0.1', step)
        before = len(scored)
        sharing._update_names()
        # One score for each engine if an instance came.
        assert len(scored) - before <= len(registry)
        names = ['i0', *link.peers]
        for engine in registry:
            best = max(names, key=lambda name: score(1.0, engine, name))
            assert sharing._judge(engine) == best
