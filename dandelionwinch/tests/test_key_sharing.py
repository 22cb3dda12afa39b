"""How instances learn of changed keys from each other, in virtual time."""

import asyncio
import json
import random

import attrs
import pytest

from dandelionwinch import errors
from dandelionwinch.gateway import _authenticator
from dandelionwinch.gateway import _fleet
from dandelionwinch.gateway import _key_link
from dandelionwinch.gateway import _key_sharing
from dandelionwinch.gateway import _peer_link
from dandelionwinch import routes
from dandelionwinch import teams
from dandelionwinch.tests import datagrams
from dandelionwinch.tests import gateway_harness
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual

# Time within which a removed key is refused everywhere.
APPLY_S = 4.0
REVOKE_S = 5.0
OPEN = gateway_harness.route('open', routes.RetryPolicy.ONCE, public=True)
CLOSED = gateway_harness.route('closed', routes.RetryPolicy.ONCE)


@attrs.define
class Settings:
    """The settings that an Authenticator uses."""

    strict_revoke: bool = True
    revoke_s: float = REVOKE_S


def table(version, **keys_by_team):
    """Returns a RouteTable whose teams have the given keys."""
    directory = teams.TeamDirectory(
        [
            (teams.Team(name), [teams.digest(key.encode()) for key in keys])
            for name, keys in keys_by_team.items()
        ]
    )
    return routes.RouteTable(version, [], [], routes.Limits(), directory)


class Instance:
    """The parts of an instance that judge keys.

    Attributes:
        in_contact: Whether it is in contact with the store.
    """

    def __init__(self, site, name, strict):
        self._loop = asyncio.get_running_loop()
        self._reached_at = self._loop.time()
        self.in_contact = True
        self.link = _peer_link.PeerLink(self._loop, site.log, name)
        self.fleet = _fleet.Fleet(self._loop)
        self.authenticator = _authenticator.Authenticator(
            self._loop, Settings(strict)
        )
        self.authenticator.view_age_s = self._view_age_s
        self.sharing = _key_sharing.KeySharing(
            self._loop,
            self.link,
            self.fleet,
            self.authenticator,
            site.log,
            random.Random(name),
        )

    def _view_age_s(self):
        if self.in_contact:
            self._reached_at = self._loop.time()
        return self._loop.time() - self._reached_at

    def cut_off(self):
        """Ends its contact with the store."""
        self._view_age_s()
        self.in_contact = False

    def apply(self, route_table):
        """Puts a version in force."""
        self.fleet.table = route_table
        self.sharing.apply(route_table)

    def judge(self, key, route=CLOSED):
        """Returns the name of the team of a key, or a status."""
        try:
            team = self.authenticator.authenticate(
                self.fleet.table, route, key.encode()
            )
        except errors.DandelionwinchError as exc:
            return exc.status
        return team.name if team else None

    def reported(self, key):
        """Returns the name of the team that others report of a key."""
        key_digest = teams.digest(key.encode())
        return self.authenticator.reports.find(key_digest).team.name


class Site:
    """Instances that exchange datagrams."""

    def __init__(self, count, loss=0.0, strict=False, seed=1):
        self.log = recorder.Recorder()
        self.network = datagrams.Network(random.Random(seed), loss)
        self.addresses = {
            f'i{number}': (f'10.0.{number // 250}.{number % 250}', 9)
            for number in range(count)
        }
        self.instances = []
        for name, addr in self.addresses.items():
            instance = Instance(self, name, strict)
            instance.link.set_peers(self.addresses)
            self.network.add(instance.link, addr)
            self.instances.append(instance)

    def start(self, route_table):
        """Puts a version in force everywhere, and starts the exchange."""
        for instance in self.instances:
            instance.apply(route_table)
            instance.sharing.start()

    def close(self):
        for instance in self.instances:
            instance.sharing.close()

    def deliver(self, number, message, sender='i1'):
        """Hands a datagram to an instance."""
        addr = self.addresses.get(sender, (sender, 9))
        data = json.dumps(message).encode()
        self.instances[number].link.datagram_received(data, addr)


def run_site(scenario, *args, **kwargs):
    """Runs a coroutine function of a Site."""

    async def run():
        site = Site(*args, **kwargs)
        try:
            return await scenario(site)
        finally:
            site.close()

    return virtual.run(run())


FIRST = table(1, blue=['a', 'b'], red=['c'])
SECOND = table(2, blue=['b'], red=['c', 'd'])


@pytest.mark.parametrize('loss', [0.0, 0.4])
@pytest.mark.parametrize('count', [2, 6, 58])
def test_an_instance_cut_off_from_the_store_learns_of_changed_keys(
    count, loss
):
    async def scenario(site):
        site.start(FIRST)
        await asyncio.sleep(5)
        cut = site.instances[0]
        cut.cut_off()
        assert cut.judge('a') == 'blue'
        for instance in site.instances[1:]:
            instance.apply(SECOND)
        await asyncio.sleep(APPLY_S + 8 * bool(loss))
        assert [cut.judge(key) for key in 'abcd'] == [
            401,
            'blue',
            'red',
            503,
        ]
        cut.apply(SECOND)
        assert [cut.judge(key) for key in 'abcd'] == [
            401,
            'blue',
            'red',
            'red',
        ]

    run_site(scenario, count, loss)


MOVED = table(2, blue=['a'], red=['b', 'c', 'd'])


@pytest.mark.parametrize(
    ('key', 'route', 'before', 'after'),
    [
        ('d', CLOSED, 503, 'red'),
        ('d', OPEN, None, 'red'),
        ('b', CLOSED, 'blue', 'red'),
        ('b', OPEN, 'blue', 'red'),
        ('x', CLOSED, 401, 401),
    ],
)
def test_a_reported_key_has_no_effect_before_its_version(
    key, route, before, after
):
    """Incident CONFIG: keys of a version came into force before its routes.

    A request with a new key ran, and the next one went an older route.
    """

    async def scenario(site):
        site.start(FIRST)
        await asyncio.sleep(5)
        cut = site.instances[0]
        cut.cut_off()
        site.instances[1].apply(MOVED)
        await asyncio.sleep(APPLY_S)
        assert cut.authenticator.reports.known_version() == 2
        assert cut.judge(key, route) == before
        cut.apply(MOVED)
        assert cut.judge(key, route) == after

    run_site(scenario, 2)


def test_one_instance_in_contact_suffices_for_all():
    """A store that rejects all but one instance must keep no key valid."""

    async def scenario(site):
        site.start(FIRST)
        await asyncio.sleep(1)
        for instance in site.instances[1:]:
            instance.cut_off()
        site.instances[0].apply(SECOND)
        await asyncio.sleep(APPLY_S)
        judged = {i.judge('a') for i in site.instances}
        assert judged == {401}
        assert site.instances[0].judge('d') == 'red'
        assert {i.judge('d') for i in site.instances[1:]} == {503}

    run_site(scenario, 58)


def test_changes_pass_on_through_instances_that_missed_the_version():
    """What is reported is not passed on, but is asked for by all."""

    async def scenario(site):
        site.start(FIRST)
        holder, other = site.instances
        site.network.cut_off.add(site.addresses['i1'])
        for version in range(2, 30):
            keys = [f'k{number}' for number in range(version, 30)]
            holder.apply(table(version, blue=keys, red=['c']))
        other.cut_off()
        site.network.cut_off.clear()
        await asyncio.sleep(APPLY_S)
        # Of 28 versions, the last 20 are remembered.
        assert other.reported('k29') == 'blue'
        assert [other.judge(f'k{n}') for n in (9, 20, 28)] == [401] * 3

    run_site(scenario, 2)


def test_few_instances_tell_all_of_a_version():
    """If each of 390 told all others, it would be 150,000 datagrams."""

    async def scenario(site):
        site.start(FIRST)
        await asyncio.sleep(5)
        site.network.sent = 0
        loop = asyncio.get_running_loop()
        for number, instance in enumerate(site.instances):
            loop.call_later(number / 390, instance.apply, SECOND)
        await asyncio.sleep(2)
        assert site.network.sent < 20 * 390

    run_site(scenario, 390)


def test_a_large_change_is_told_in_parts_over_time():
    """970 new teams must not hold up requests while they are told."""

    async def scenario(site):
        site.start(FIRST)
        many = {f't{number}': [f'k{number}'] for number in range(970)}
        site.instances[1].cut_off()
        site.instances[0].apply(table(2, blue=['b'], red=['c'], **many))
        sent = site.network.sent
        assert sent <= 2 * 1 + 2
        await asyncio.sleep(APPLY_S)
        assert site.instances[1].judge('a') == 401
        assert site.instances[1].reported('k969') == 't969'

    run_site(scenario, 2)


def test_the_version_itself_ends_what_was_reported():
    async def scenario(site):
        site.start(FIRST)
        site.instances[0].apply(SECOND)
        await asyncio.sleep(1)
        other = site.instances[1]
        assert other.judge('a') == 401
        other.apply(table(3, blue=['a', 'b'], red=['c']))
        assert other.judge('a') == 'blue'
        # A late report of a version that was passed.
        site.deliver(1, _report(2, [[teams.digest(b'a').hex(), None]]), 'i0')
        assert other.judge('a') == 'blue'

    run_site(scenario, 2)


def _report(version, rows, *, bases=(1,), part=0, parts=1, age_s=None):
    return ['keys', version, bases, part, parts, 0, age_s, rows]


REMOVED = [teams.digest(b'a').hex(), None]


def test_unknown_senders_are_ignored():
    async def scenario(site):
        site.start(FIRST)
        site.deliver(0, _report(2, [REMOVED]), '10.9.9.9')
        assert site.instances[0].judge('a') == 'blue'
        assert 'peer.invalid' in site.log.names()

    run_site(scenario, 2)


@pytest.mark.parametrize(
    'message',
    [
        ['keys'],
        ['keys', 2, [1], 0, 1, 0, None],
        _report(2, [['zz', None]]),
        _report(2, [['aa', None]]),
        _report(2, [[REMOVED[0]]]),
        _report(2, [[REMOVED[0], '']]),
        _report(2, [[REMOVED[0], 'x\r\nEvil: 1']]),
        _report(2, [[REMOVED[0], 'x' * 500]]),
        _report(2, [[REMOVED[0], 'x', 'high']]),
        _report(2, [REMOVED] * 21),
        _report(2, {}),
        _report(True, [REMOVED]),
        _report(-2, [REMOVED]),
        _report(2.5, [REMOVED]),
        _report(1 << 60, [REMOVED]),
        _report(2, [REMOVED], bases=[3]),
        _report(2, [REMOVED], bases=[2]),
        _report(2, [REMOVED], bases=['1']),
        _report(50, [REMOVED], bases=list(range(40))),
        _report(2, [REMOVED], bases=1),
        _report(2, [REMOVED], part=1),
        _report(2, [REMOVED], parts=1 << 20),
        _report(2, [REMOVED], age_s=-1),
        _report(2, [REMOVED], age_s=1e99),
        ['keys?'],
        ['keys?', 1],
        ['keys?', -1, 1],
        ['keys?', '1', 1],
        ['keys?', 1, 1, 1],
    ],
)
def test_malformed_datagrams_are_dropped(message):
    async def scenario(site):
        site.start(FIRST)
        site.deliver(0, message)
        assert site.instances[0].judge('a') == 'blue'
        assert 'peer.invalid' in site.log.names()

    run_site(scenario, 2)


def test_a_forged_version_holds_for_seconds_where_the_store_is_reached():
    """Nobody but the store may refuse a good key for long."""

    async def scenario(site):
        site.start(FIRST)
        site.deliver(0, _report(99, [REMOVED]))
        assert site.instances[0].judge('a') == 401
        await asyncio.sleep(teams._reports.VALID_S + 3)
        assert site.instances[0].judge('a') == 'blue'

    run_site(scenario, 2)


def test_forged_reports_take_bounded_memory():
    async def scenario(site):
        site.start(FIRST)
        for version in range(2, 500):
            rows = [
                [teams.digest(f'{version} {n}'.encode()).hex(), None]
                for n in range(20)
            ]
            site.deliver(0, _report(version, rows))
        reports = site.instances[0].authenticator.reports
        assert len(reports._rows) <= teams._reports.MAX_ROWS
        assert len(reports._changes) <= teams._reports.MAX_CHANGES

    run_site(scenario, 2)


def test_questions_are_answered_at_a_bounded_rate():
    """A forged question must not make an instance send more and more."""

    async def scenario(site):
        site.start(FIRST)
        await asyncio.sleep(2)
        site.network.sent = 0
        for _ in range(100):
            site.deliver(0, ['keys?', 0, 1])
        assert site.network.sent == 1

    run_site(scenario, 2)


def test_an_instance_asks_once_after_its_start():
    """What it listed may be older than what others have applied."""

    async def scenario(site):
        old, new = site.instances
        new.apply(FIRST)
        new.apply(SECOND)
        site.start(FIRST)
        new.apply(SECOND)
        site.network.cut_off.add(site.addresses['i1'])
        old.sharing._asked = False
        await asyncio.sleep(0.5)
        site.network.cut_off.clear()
        await asyncio.sleep(1)
        assert old.judge('a') == 401

    run_site(scenario, 2)


def test_strictly_no_key_is_accepted_without_any_contact():
    async def scenario(site):
        site.start(FIRST)
        await asyncio.sleep(1)
        for instance in site.instances:
            instance.cut_off()
        await asyncio.sleep(REVOKE_S - 0.5)
        assert {i.judge('a') for i in site.instances} == {'blue'}
        await asyncio.sleep(2.5)
        assert {i.judge('a') for i in site.instances} == {503}
        assert {i.judge('x') for i in site.instances} == {503}
        assert {i.judge('a', OPEN) for i in site.instances} == {'blue'}
        site.instances[0].in_contact = True
        await asyncio.sleep(2)
        assert site.instances[0].judge('a') == 'blue'

    run_site(scenario, 6, strict=True)


def test_strictly_another_instance_in_contact_suffices():
    async def scenario(site):
        site.start(FIRST)
        for instance in site.instances[1:]:
            instance.cut_off()
        for _ in range(20):
            await asyncio.sleep(1)
            assert site.instances[1].judge('a') == 'blue'

    run_site(scenario, 2, strict=True)


def test_strictly_a_change_of_which_a_part_is_lost_gives_no_contact():
    """Its lost part may be the removal of the key that is judged."""

    async def scenario(site):
        site.start(FIRST)
        holder, cut = site.instances
        cut.cut_off()
        # It skipped the only version that would complete the chain.
        holder.sharing._history._changes.clear()
        holder.fleet.table = SECOND
        holder.sharing._history.apply(2, SECOND.teams)
        holder.sharing._history._changes.clear()
        await asyncio.sleep(REVOKE_S + 2)
        assert cut.judge('b') == 503

    run_site(scenario, 2, strict=True)


def test_by_default_an_instance_goes_on_with_what_it_knows():
    """A good key must never be refused."""

    async def scenario(site):
        site.start(FIRST)
        for instance in site.instances:
            instance.cut_off()
        await asyncio.sleep(600)
        assert {i.judge('a') for i in site.instances} == {'blue'}
        assert {i.judge('x') for i in site.instances} == {401}

    run_site(scenario, 3)


def test_without_teams_nothing_is_sent():
    async def scenario(site):
        plain = routes.RouteTable(1, [], [], routes.Limits())
        site.start(plain)
        for instance in site.instances:
            instance.cut_off()
        await asyncio.sleep(10)
        site.instances[0].apply(routes.RouteTable(2, [], [], routes.Limits()))
        await asyncio.sleep(10)
        assert site.network.sent == 0

    run_site(scenario, 3)


def _random_versions(rng, count):
    """Returns the keys of each version, most of which change nothing."""
    keys = {}
    found = [{}]
    for _ in range(count):
        for _ in range(rng.choice((0, 0, 1, 2, 30))):
            key = f'k{rng.randrange(60)}'
            if rng.random() < 0.5:
                keys.pop(key, None)
            else:
                keys[key] = rng.choice('xyz')
        found.append(dict(keys))
    return found


def _directory_of(keys):
    return teams.TeamDirectory(
        [
            (
                teams.Team(name),
                [
                    teams.digest(k.encode())
                    for k, t in keys.items()
                    if t == name
                ],
            )
            for name in 'xyz'
        ]
    )


@pytest.mark.parametrize('seed', range(20))
def test_a_known_version_is_known_in_full(seed):
    """Skipped versions and lost datagrams must not leave keys in between."""
    rng = random.Random(seed)
    versions = _random_versions(rng, 25)
    directories = [_directory_of(keys) for keys in versions]
    parts = []
    for _ in range(3):
        history = teams.KeyHistory()
        for number in sorted(rng.sample(range(1, 26), 18)):
            found = history.apply(number, directories[number])
            if found is not None:
                parts += _key_link.parts_of(found)
            parts += _key_link.parts_of(history.state())
    parts = [part for part in parts if part.bases]
    rng.shuffle(parts)
    own = rng.randrange(1, 12)
    parts = parts[: int(len(parts) * rng.uniform(0.5, 1))]
    # Only what leads to one version, so that newer rows do not hide it.
    for last in range(own, 26):
        reports = teams.KeyReports()
        reports.apply(own)
        for part in parts:
            if part.version <= last:
                reports.take(part, 0.0)
        if reports.known_version() != last:
            continue
        for number in range(60):
            key_digest = teams.digest(f'k{number}'.encode())
            row = reports.find(key_digest)
            team = directories[own].find_digest(key_digest)
            team = team if row is None else row.team
            assert team == directories[last].find_digest(key_digest)
