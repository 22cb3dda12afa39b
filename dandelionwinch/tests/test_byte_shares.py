"""How instances divide what an upstream may hold, in virtual time.

The loads are bodies of 100 bytes to 4 MiB to one upstream, which crashes when
all instances together send it more than it has memory for.
"""

import asyncio
import itertools
import pathlib
import random

import pytest

from dandelionwinch import limits
from dandelionwinch import ratelimits
from dandelionwinch.ratelimits import _bytes_granter
from dandelionwinch.tests import byte_site
from dandelionwinch.tests import virtual

MIB = 1 << 20
LARGEST = byte_site.LARGEST
MEMORY = 40 * MIB
# Bodies of each size a second from all instances: 2.5 times what the memory
# of the upstream admits.
TOTAL_PER_S = 50.0
# Bytes in bodies that need no share.
FREE = 1 << 16
# Time after the first crash at which no body of before is in flight.
SETTLED_S = 4


async def _overload(count, memory=MEMORY, **changes):
    """Returns a Site, some seconds after its upstream has crashed."""
    site = byte_site.Site(count, TOTAL_PER_S / count, memory, **changes)
    await asyncio.sleep(SETTLED_S)
    return site


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('count', [6, 58, 390])
def test_all_instances_together_keep_the_bound_of_one_crash(count, seed):
    """Each learnt from crashes of its own, and kept the bound alone."""

    async def scenario():
        site = await _overload(count, seed=seed)
        site.network.doubled = site.network.late = 0.1 * (seed - 1)
        early = len(site.crashes)
        await asyncio.sleep(10.0)
        await site.close()
        return site, early

    site, early = virtual.run(scenario())
    (bound,) = set(site.bounds())
    # The others of the first second were not under the bound yet.
    assert 1 <= early <= 3
    assert site.crashes[early:] == []
    assert MEMORY // 4 <= bound <= MEMORY
    assert site.peak(SETTLED_S) <= bound + FREE
    assert LARGEST in site.served[-1000:]
    sent = site.network.bytes_by_sender
    assert max(sent.values()) / 14.0 <= 7000
    assert sum(sent.values()) / count / 14.0 <= 700


def test_nothing_is_sent_without_a_crash():
    async def scenario():
        site = byte_site.Site(58, 0.1, 1 << 40)
        await asyncio.sleep(10.0)
        await site.close()
        return site.network

    network = virtual.run(scenario())
    # At the start each asks three others for what they know, twice.
    assert network.sent == 58 * 3 * 2


@pytest.mark.parametrize('count', [6, 58])
def test_a_single_body_may_go_to_an_upstream_that_holds_nothing(count):
    """Else no large body would ever get a part that is large enough."""

    async def scenario():
        site = await _overload(count, memory=8 * MIB)
        site.rest()
        await asyncio.sleep(12.0)
        bound = site.bounds()[0]
        answered = [await site.send('i1', bound - MIB // 2)]
        await asyncio.sleep(2.0)
        answered.append(await site.send('i2', bound + 1))
        await site.close()
        return answered, site.crashes[-1][0]

    answered, crashed_at = virtual.run(scenario())
    assert answered == [True, False]
    assert crashed_at < SETTLED_S


@pytest.mark.parametrize('count', [6, 58])
def test_the_death_of_the_granting_instance_breaks_no_bound(count):
    async def scenario():
        site = await _overload(count)
        owner = site.owner()
        site.stop(owner)
        await asyncio.sleep(5.0)
        dead = len(site.served)
        site.deregister(owner)
        await asyncio.sleep(10.0)
        await site.close()
        return site, site.served[dead:]

    site, after = virtual.run(scenario())
    assert site.peak(SETTLED_S) <= site.bounds()[0] + FREE
    assert LARGEST in after


def test_a_granting_instance_that_is_cut_off_grants_itself_nothing():
    """The others have another one by then, and it does not know."""

    async def scenario():
        site = await _overload(6)
        owner = site.owner()
        site.network.cut_off.add(site.addresses[owner])
        await asyncio.sleep(4.0)
        for name, link in site.links.items():
            if name != owner:
                others = {**site.addresses}
                del others[owner]
                link.set_peers(others)
        most = 0
        for _step in range(100):
            await asyncio.sleep(0.1)
            most = max(most, site.guard(owner).held)
        await site.close()
        return site, most

    site, most = virtual.run(scenario())
    assert most <= site.bounds()[0] / 6
    assert site.peak(SETTLED_S) <= site.bounds()[0] + FREE


def test_an_instance_that_is_cut_off_uses_an_even_part_at_most():
    async def scenario():
        site = await _overload(6)
        owner = site.owner()
        name = next(n for n in site.addresses if n != owner)
        site.network.cut_off.add(site.addresses[name])
        most = 0
        await asyncio.sleep(3.0)
        for _step in range(100):
            await asyncio.sleep(0.1)
            most = max(most, site.guard(name).held)
        await site.close()
        return site, most

    site, most = virtual.run(scenario())
    assert most <= site.bounds()[0] / 6
    assert site.peak(SETTLED_S) <= site.bounds()[0] + FREE


def test_an_instance_that_starts_learns_the_bound():
    async def scenario():
        site = await _overload(58)
        site.stop('i0')
        site.network.cut_off.clear()
        site.start('i0')
        await asyncio.sleep(1.5)
        known = site.bounds()[0]
        await site.close()
        return known, site.bounds()[1]

    known, expected = virtual.run(scenario())
    assert known == expected


@pytest.mark.parametrize('count', [6, 58])
def test_a_report_that_comes_twice_or_late_counts_once(count):
    async def scenario():
        site = byte_site.Site(count, 0.0, MEMORY)
        site.network.doubled, site.network.late = 0.5, 0.3
        names = list(site.addresses)[:6] * 2
        sends = [asyncio.ensure_future(site.send(n, LARGEST)) for n in names]
        await asyncio.sleep(30.0)
        await site.close()
        return sends, site.crashes, site.bounds()

    _sends, ((_at, held),), bounds = virtual.run(scenario())
    assert len(set(bounds)) == 1
    assert held / 4 <= bounds[0] <= held / 2


def test_a_new_incarnation_starts_with_the_bound_of_the_service():
    async def scenario():
        site = await _overload(6)
        site.restart()
        fits = site.guard('i1').fits(LARGEST)
        await asyncio.sleep(4.0)
        await site.close()
        return site, fits

    site, fits = virtual.run(scenario())
    assert not fits
    assert site.peak(SETTLED_S) <= site.bounds()[0] + FREE


@pytest.mark.parametrize('seed', range(5))
def test_the_order_of_reports_changes_no_bound(seed):
    """Instances hear of several crashes in different orders."""
    rng = random.Random(seed)
    reports = [
        limits.CrashReport(f'c{n}', 'u', rng.uniform(0, 300), 0, size * MIB)
        for n, size in enumerate([0, 2, 30, 200, 7])
    ]
    found = set()
    for order in itertools.permutations(reports):
        log = limits.CrashLog()
        for report in (*order, *order[:2]):
            log.record(report, None, 310.0)
        found.add(log.bound(16 * MIB, 310.0).learnt)
    assert len(found) == 1


def test_a_crash_under_more_than_the_bound_does_not_halve_it_again():
    """A second upstream crashes before all know of the first crash."""
    log = limits.CrashLog()
    for at, crash_id in enumerate('ab'):
        report = limits.CrashReport(crash_id, 'u', at, 0, 40 * MIB)
        log.record(report, None, 2.0)
    assert log.bound(16 * MIB, 2.0).learnt == 20 * MIB


def test_each_crash_of_an_upstream_without_a_start_time_counts():
    """Its incarnations can't be told apart, and nor can their crashes."""
    log = limits.CrashLog()
    for now in (0.0, 0.3, 20.0, 40.0):
        crash_id = log.id_at('c', now)
        log.record(
            limits.CrashReport(crash_id, 'u', now, 0, MIB * 2), 'a', now
        )
    assert log.bound(16 * MIB, 40.0).learnt == 2 * MIB


@pytest.mark.parametrize('seed', range(10))
def test_granted_and_held_bytes_stay_below_the_bound(seed):
    """Load: 20 instances that ask for up to 4 MiB of 8 MiB."""
    rng = random.Random(seed)
    granter = ratelimits.BytesGranter(-60.0, 0.0)
    held, granted, now = {}, {}, 0.0
    for _step in range(2000):
        now += rng.expovariate(30.0)
        name = rng.randrange(20)
        share, until = granted.get(name, (0.0, 0.0))
        if now < until and rng.random() < 0.7:
            held[name] = int(share * 8 * MIB * rng.random())
        waits = rng.choice([0, 70_000, MIB, LARGEST])
        has = held.get(name, 0)
        req = ratelimits.BytesRequest(
            name, has + waits, 0.0, 0.0, held=has, waits=waits
        )
        grant = granter.grant(req, 8 * MIB, 20, now)
        granted[name] = grant.share, now + grant.lease_s
        in_force = [s for s, until in granted.values() if until > now]
        most = 1.0 - _bytes_granter.EVEN_RATIO
        assert sum(in_force) <= max(most, max(in_force, default=0)) + 1e-9


def _asks(name, held=0, waits=0):
    return ratelimits.BytesRequest(
        name, held + waits, 0.0, 0.0, held=held, waits=waits
    )


def test_a_share_stays_taken_after_its_instance_has_fallen_silent():
    """It may have sent so much just before it was cut off."""
    granter = ratelimits.BytesGranter(-60.0, 0.0)
    lost = granter.grant(_asks('a', waits=LARGEST), 8 * MIB, 6, 0.0)
    early = granter.grant(_asks('b', waits=LARGEST), 8 * MIB, 6, 5.0)
    late = granter.grant(_asks('b', waits=LARGEST), 8 * MIB, 6, 11.0)
    assert lost.lease_s < 5.0
    assert (lost.share >= 0.5, early.share, late.share >= 0.5) == (1, 0, 1)


def test_an_instance_that_takes_over_grants_only_what_is_held():
    """Shares of the one before may be in force, and are not known."""
    granter = ratelimits.BytesGranter(0.0, 1.5)
    early = granter.grant(_asks('a', MIB, MIB), 8 * MIB, 6, 1.0)
    late = granter.grant(_asks('a', MIB, MIB), 8 * MIB, 6, 2.0)
    assert (early.share, late.share >= 0.25) == (0.125, True)


def test_an_instance_sends_no_more_than_it_reported_until_it_is_answered():
    """The answer, or a lost one, may lower its share down to that."""
    allowance = ratelimits.BytesAllowance()
    allowance.ask('a', 0, 1.0)
    grant = ratelimits.Grant(0.5, 3.0, 1.0)
    assert allowance.grant(allowance.number, grant, 8 * MIB, 1.0)
    assert allowance.limit(8 * MIB, 6, 1.5) == LARGEST
    allowance.ask('a', MIB, 2.0)
    assert allowance.limit(8 * MIB, 6, 2.5) == MIB
    assert not allowance.grant(allowance.number - 1, grant, 8 * MIB, 2.5)


@pytest.mark.parametrize(
    'data',
    [
        b'["room?", "u", "d", 1, -5, 0, 0, 0, 0]',
        b'["room?", "u", "d", 1, NaN, 0, 0, 0, 0]',
        b'["room?", "u", "d", 1, 5, 2, 0, 0, 0]',
        b'["room?", "u", "d", 1, 5, 0, 0, 9999999999999999, 0]',
        b'["room", "u", "d", 1, 0.5, 1, 1, -1, 0, 0]',
        b'["room", "u", "d", true, 0.5, 1, 1, 1, 0, 0]',
        b'["crash_held", "s", [["c", "u", 0, 5, NaN]]]',
        b'["crash_held", "s", [["c", "u", -1, 5, 5]]]',
        b'["crash_bytes", "s", [["c", "u", 0, 5, 9999999999999999]]]',
        b'["crash_bytes", "s", 7]',
        b'["crash_bytes", "unknown", [["c", "u", 0, 5000000, 5000000]]]',
        b'["room?", "unknown", "d", 1, 5, 0, 0, 0, 0]',
    ],
)
def test_what_cannot_be_read_is_dropped_logged_once_and_counted(data):
    async def scenario():
        site = byte_site.Site(2, 0.0, MEMORY)
        for _copy in range(3):
            site.links['i0'].datagram_received(data, site.addresses['i1'])
        await site.close()
        dropped = site.dropped('i0')
        return dropped, site.log.names(), site.bounds()

    dropped, names, bounds = virtual.run(scenario())
    assert dropped == 3
    assert names in (['peer.invalid'], ['upstream.bytes_unknown'])
    assert bounds == [None, None]


def test_the_metrics_are_on_their_page():
    async def scenario():
        site = byte_site.Site(2, 0.0, MEMORY)
        await site.close()
        return [family.name for family in site.metrics('i0')]

    page = pathlib.Path(__file__).parents[2] / 'docs' / 'metrics.md'
    text = page.read_text()
    for name in virtual.run(scenario()):
        assert f'| {name.removeprefix("dandelionwinch_")}' in text
