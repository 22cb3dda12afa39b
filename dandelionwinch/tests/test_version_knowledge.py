"""What an instance believes of the software version of a broken stream."""

import asyncio
import functools
import json

import pytest

from dandelionwinch.gateway import _stream_versions
from dandelionwinch import streams
from dandelionwinch.tests import recorder
from dandelionwinch.tests import virtual

LONG_S = 20.0
SHORT_S = 2.0
WATCH_S = 1.0


class Link:
    """A PeerLink to other instances in the same process.

    Attributes:
        peers: Name of each other instance by its name, as its address.
    """

    def __init__(self, name, links):
        self._name = name
        self._links = links
        self._kinds = {}
        links[name] = self

    @property
    def name(self):
        """Name of the instance."""
        return self._name

    @property
    def peers(self):
        """The other instances."""
        return {name: name for name in self._links if name != self._name}

    def register(self, kind, function):
        """Has messages of a kind taken by a function."""
        self._kinds[kind] = function

    def send(self, message, addr):
        """Sends a message to one instance."""
        if addr in self._links:
            kind, *items = json.loads(json.dumps(message))
            self._links[addr]._kinds[kind](items, self._name)

    def send_all(self, message, addresses):
        """Sends a message to several instances."""
        for addr in addresses:
            self.send(message, addr)


class Site:
    """Instances that see the same versions of the service `s`.

    Attributes:
        versions: Versions that are registered.
        instances: StreamVersions by name.
    """

    def __init__(self, names, versions):
        self._loop = asyncio.get_running_loop()
        self._links = {}
        self.versions = set(versions)
        self.instances = {}
        for name in names:
            self.start(name)
        self._task = self._loop.create_task(self._watch())

    def start(self, name):
        """Starts an instance, which knows nothing of before."""
        if name in self.instances:
            self.instances[name].close()
        link = Link(name, self._links)
        self.instances[name] = _stream_versions.StreamVersions(
            self._loop, recorder.Recorder(), link
        )
        self.instances[name].observe({'s': self.versions})
        self.instances[name].confirm_view = functools.partial(
            self._confirm, name
        )

    async def _confirm(self, name):
        self.instances[name].observe({'s': self.versions})
        return True

    def stop(self, name):
        """Ends an instance as planned."""
        self.instances[name].hand_over()
        self.kill(name)

    def kill(self, name):
        """Kills an instance."""
        self.instances.pop(name).close()
        del self._links[name]

    async def _watch(self):
        while True:
            await asyncio.sleep(WATCH_S)
            for instance in self.instances.values():
                instance.observe({'s': self.versions})

    def close(self):
        """Ends all instances."""
        self._task.cancel()
        for instance in self.instances.values():
            instance.close()


def run(scenario, versions, names='abcd'):
    """Runs a coroutine function of a Site in virtual time."""

    async def whole():
        site = Site(names, versions)
        try:
            return await scenario(site)
        finally:
            site.close()

    return virtual.run(whole())


@pytest.mark.parametrize('again_s', [1.0, 10.0, 24.5, 29.5])
def test_a_stream_that_was_refused_once_stays_refused(again_s):
    """Second report: taken up again and again after a kill of all instances.

    With time the new version seems to have been the only one for long.
    """

    async def scenario(site):
        # The stream began at v1 before the kill, and v1 has just left.
        found = [await site.instances['a'].find('r1', 's', LONG_S)]
        for name in 'bc':
            await asyncio.sleep(again_s)
            found.append(await site.instances[name].find('r1', 's', LONG_S))
        return found

    assert run(scenario, {'v2'}) == [None] * 3


def test_a_route_whose_timeout_was_longer_joins_no_versions():
    """The stream began when its route had a longer timeout."""

    async def scenario(site):
        await asyncio.sleep(SHORT_S + streams.MAX_VIEW_AGE_S + 1.0)
        return await site.instances['a'].find('r1', 's', SHORT_S)

    assert run(scenario, {'v2'}) is None


def test_a_stream_that_is_taken_up_several_times_keeps_its_version():
    """Its record ended while it went on, counted from its first attempt."""

    async def scenario(site):
        site.instances['a'].record('r1', 'v1', LONG_S)
        found = []
        for name in 'bcbc':
            await asyncio.sleep(LONG_S - 1.0)
            found.append(await site.instances[name].find('r1', 's', LONG_S))
        return found

    assert run(scenario, {'v1', 'v2'}) == ['v1'] * 4


def test_a_record_goes_before_a_refusal():
    """An instance that heard none of the holders in time refused it."""

    async def scenario(site):
        site.instances['a'].record('r1', 'v1', LONG_S)
        site.start('e')
        unheard = _stream_versions.StreamVersions(
            asyncio.get_running_loop(), recorder.Recorder(), Link('e', {})
        )
        refused = await unheard.find('r1', 's', LONG_S)
        for instance in site.instances.values():
            instance.refused('r1')
        return refused, await site.instances['e'].find('r1', 's', LONG_S)

    assert run(scenario, {'v1', 'v2'}) == (None, 'v1')


def test_one_that_saw_a_single_version_for_long_ends_a_refusal():
    """A refusal by an instance that just started must not be final."""

    async def scenario(site):
        await asyncio.sleep(3 * _stream_versions.MIN_LIFE_S)
        for name in 'efg':
            site.start(name)
        young = [site.instances[name] for name in 'efg']
        for instance in young:
            instance.refused('r1')
        await asyncio.sleep(LONG_S)
        return [await i.find('r1', 's', LONG_S) for i in young]

    assert run(scenario, {'v1'}) == ['v1'] * 3


def test_after_a_long_time_with_one_version_streams_go_on():
    """No more is refused than must be: the streams that began since go on."""

    async def scenario(site):
        await asyncio.sleep(_stream_versions.MIN_LIFE_S)
        await asyncio.sleep(streams.MAX_VIEW_AGE_S + WATCH_S)
        return await site.instances['a'].find('r1', 's', LONG_S)

    assert run(scenario, {'v2'}) == 'v2'


DOWN_S = 0.5
CALM_S = _stream_versions.MIN_LIFE_S + streams.MAX_VIEW_AGE_S + WATCH_S


async def _restart_in_turn(site, names, gap_s, end):
    """Restarts instances one after the other.

    Args:
        site: Site.
        names: Their names.
        gap_s: Time from one restart to the next.
        end: Method of Site that ends one.
    """
    for name in names:
        end(site, name)
        await asyncio.sleep(DOWN_S)
        site.start(name)
        await asyncio.sleep(gap_s - DOWN_S)


@pytest.mark.parametrize('gap_s', [3.0, 4.0, 6.0, 9.0, 15.0])
@pytest.mark.parametrize('end', [Site.stop, Site.kill], ids=['stop', 'kill'])
@pytest.mark.parametrize('names', ['abc', 'abcd', 'abcdefg'])
def test_restarts_in_turn_lose_no_stream_of_a_sole_version(names, end, gap_s):
    """Review, case 4: all streams of the last one were refused.

    Only one version ever existed, but the instances that were asked had
    seen that for seconds only.
    """

    async def scenario(site):
        await asyncio.sleep(CALM_S)
        last = names[-1]
        await _restart_in_turn(site, names[:-1], gap_s, end)
        site.instances[last].record('r1', 'v1', LONG_S)
        end(site, last)
        others = list(site.instances.values())
        return [await other.find('r1', 's', LONG_S) for other in others]

    assert run(scenario, {'v1'}, names) == ['v1'] * (len(names) - 1)


@pytest.mark.parametrize('begins_s', [0.0, 1.0, 2.0, 4.0, 6.0, 8.0, 10.0])
@pytest.mark.parametrize('end', [Site.stop, Site.kill], ids=['stop', 'kill'])
def test_restarts_in_turn_lose_no_record(end, begins_s):
    """Beside two versions nothing but the record tells a stream's version.

    Both that hold it may have restarted since.
    """
    names = 'abcdef'
    requests = [f'r{number}' for number in range(24)]

    async def scenario(site):
        await asyncio.sleep(CALM_S)
        turn = asyncio.create_task(
            _restart_in_turn(site, names[:-1], 3.0, end)
        )
        await asyncio.sleep(begins_s)
        for request_id in requests:
            site.instances['f'].record(request_id, 'v1', LONG_S)
        await turn
        end(site, 'f')
        others = list(site.instances.values())
        return [
            await other.find(request_id, 's', LONG_S)
            for request_id in requests
            for other in others
        ]

    found = run(scenario, {'v1', 'v2'}, names)
    assert found == ['v1'] * len(requests) * (len(names) - 1)


def test_two_that_stop_at_once_hand_their_records_over():
    """Planned changes cut nothing: both holders may stop together."""
    names = 'abcdef'
    requests = [f'r{number}' for number in range(40)]

    async def scenario(site):
        await asyncio.sleep(CALM_S)
        for request_id in requests:
            site.instances['a'].record(request_id, 'v2', LONG_S)
        for name in 'abc':
            site.stop(name)
        return [
            await site.instances[name].find(request_id, 's', LONG_S)
            for request_id in requests
            for name in 'def'
        ]

    assert run(scenario, {'v1', 'v2'}, names) == ['v2'] * 3 * len(requests)


def test_what_others_saw_joins_no_versions():
    """One that starts learns nothing from before a change of the version."""

    async def scenario(site):
        await asyncio.sleep(CALM_S)
        site.versions = {'v2'}
        await asyncio.sleep(WATCH_S)
        for name in 'efg':
            site.start(name)
        await asyncio.sleep(LONG_S)
        for name in 'abcd':
            site.kill(name)
        return [
            await site.instances[name].find('r1', 's', LONG_S)
            for name in 'efg'
        ]

    assert run(scenario, {'v1'}) == [None] * 3


@pytest.mark.parametrize('joins_s', [-0.5, 0.0, 0.4, 0.9, 1.5, 2.9, 8.0])
@pytest.mark.parametrize('killed_s', [0.1, 0.5, 1.0, 1.1, 2.0, 4.0, 9.0])
def test_a_second_version_loses_no_stream_that_began_before(joins_s, killed_s):
    """Review, case 5: an instance is killed just after it came.

    Until then the streams had no record, and nobody had a sole version any
    more.
    """

    async def scenario(site):
        await asyncio.sleep(2 * CALM_S + min(0.0, joins_s))
        start = site.instances['g']._loop.time() - min(0.0, joins_s)
        steps = sorted([(joins_s, 'join'), (0.0, 'begin'), (killed_s, 'kill')])
        for at, step in steps:
            await asyncio.sleep(start + at - site.instances['a']._loop.time())
            match step:
                case 'join':
                    site.versions = {'v1', 'v2'}
                case 'begin':
                    site.instances['g'].record('r1', 'v1', LONG_S)
                case 'kill':
                    site.kill('g')
                    break
        others = list(site.instances.values())
        return [await other.find('r1', 's', LONG_S) for other in others]

    assert run(scenario, {'v1'}, 'abcdefg') == ['v1'] * 6
