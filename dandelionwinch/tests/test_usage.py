"""Reports of usage under faults, in virtual time."""

import asyncio
import random

import pytest

from dandelionwinch.tests import usage_harness

FIRST = int(usage_harness.EPOCH_S // usage_harness.WINDOW_S)


def full_windows(site):
    """Returns the windows whose reports are due, from the first full one."""
    return range(FIRST + 1, site.window() - 1)


async def settle(site, duration_s=12.0):
    """Waits without requests until all reports are made."""
    await asyncio.sleep(duration_s)


def test_each_window_is_reported_exactly_and_soon():
    async def scenario(site):
        await site.serve(60)
        await settle(site)
        site.check(full_windows(site))
        reported = [
            fields
            for name, fields in site.nodes[site.holder].log.events
            if name == 'usage.reported'
        ]
        assert len(reported) == 11
        assert max(fields['late_s'] for fields in reported) < 2.0

    usage_harness.run(scenario)


def test_the_window_of_the_start_is_not_reported():
    async def scenario(site):
        await site.serve(20)
        assert min(site.api.windows()) == FIRST + 1

    usage_harness.run(scenario)


@pytest.mark.parametrize(
    'point', ['before write', 'during write', 'before send', 'during send']
)
def test_a_holder_killed_while_it_reports(point):
    # A report that is written must be the one that is sent, by whom ever.
    async def scenario(site):
        await site.serve(18)
        site.kill_at = point
        await site.serve(6)
        assert site.kill_at == ''
        await site.serve(16)
        await settle(site)
        # The dead instance's last second is lost.
        site.check(full_windows(site), missed=4)
        ends = [window for window in full_windows(site)]
        assert set(ends[:-3]) <= set(site.api.windows())

    usage_harness.run(scenario)


def test_a_holder_killed_after_its_report_was_accepted():
    async def scenario(site):
        await site.serve(16.9)
        reports = len(site.api.accepted)
        assert reports == 2
        site.kill(site.holder)
        await site.serve(20)
        await settle(site)
        # The next holder sends the last report once more, as it was.
        assert site.api.accepted[2] == site.api.accepted[1]
        site.check(full_windows(site), missed=4)

    usage_harness.run(scenario)


def test_a_lost_answer_has_the_same_report_repeated():
    async def scenario(site):
        await site.serve(9)
        site.api.lost_answers = 3
        await site.serve(20)
        await settle(site)
        windows = [report.window for report in site.api.accepted]
        assert windows.count(FIRST + 1) == 4
        site.check(full_windows(site))

    usage_harness.run(scenario)


def test_an_unknown_write_is_read_back():
    async def scenario(site):
        await site.serve(9)
        site.nodes[site.holder].store.lost_responses = 1
        await site.serve(20)
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


def test_windows_wait_while_the_store_is_down():
    async def scenario(site):
        await site.serve(14)
        for node in site.nodes.values():
            node.store.unavailable = True
        await site.serve(2.2 * usage_harness.WINDOW_S)
        for node in site.nodes.values():
            node.store.unavailable = False
        reports = len(site.api.accepted)
        await site.serve(4)
        # All windows that had ended are reported, in their order.
        windows = [report.window for report in site.api.accepted[reports:]]
        assert windows[:3] == sorted(windows)[:3]
        assert len(windows) >= 2
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


def test_reports_wait_while_the_api_is_down():
    async def scenario(site):
        await site.serve(14)
        site.api.down = True
        await site.serve(5)
        site.api.down = False
        await site.serve(10)
        # Due 10 s after its end: the report of the window that ended at 15 s.
        assert FIRST + 2 in site.api.windows()
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


def test_reports_of_a_slow_api_follow_each_other():
    async def scenario(site):
        await site.serve(14)
        site.api.latency_s *= 50
        await site.serve(30)
        await settle(site)
        site.check(full_windows(site))
        last = max(site.api.windows())
        assert last >= site.window() - 3

    usage_harness.run(scenario)


def test_an_instance_that_dies_loses_its_last_second_at_most():
    async def scenario(site):
        await site.serve(12.5)
        site.kill('i4')
        await site.serve(10)
        await settle(site)
        windows = [w for w in full_windows(site) if w != FIRST + 2]
        site.check(windows)
        missed = 1.3 * 12.0 / 6
        site.check([FIRST + 2], missed=missed + 2)
        # Most of what it counted in the window is in the report.
        reported = sum(site.api.windows()[FIRST + 2].values())
        assert reported >= sum(site.truth[FIRST + 2].values()) - 6

    usage_harness.run(scenario)


def test_an_instance_that_stops_loses_nothing():
    async def scenario(site):
        await site.serve(11)
        # It is no longer registered while its last requests begin.
        site.registered.discard('i4')
        await site.serve(2.8)
        site.nodes['i4'].stop()
        await site.serve(10)
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


def test_late_and_doubled_datagrams_change_nothing():
    async def scenario(site):
        carry = site.network.carry
        loop = asyncio.get_running_loop()

        def carry_twice(data, sender, addr):
            for _ in range(2):
                loop.call_later(
                    2.5 * site.rng.random(), carry, data, sender, addr
                )

        site.network.carry = carry_twice
        await site.serve(40)
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


def test_a_third_of_the_datagrams_is_lost():
    async def scenario(site):
        await site.serve(60, teams=40)
        await settle(site)
        site.api.check_unique()
        windows = range(FIRST + 1, FIRST + 12)
        total = sum(sum(site.truth[w].values()) for w in windows)
        found = sum(sum(site.api.windows()[w].values()) for w in windows)
        assert 0.99 * total < found <= total

    usage_harness.run(scenario, loss=0.3)


def test_a_restarted_instance_adds_to_what_its_former_process_counted():
    async def scenario(site):
        await site.serve(11)
        for _ in range(5):
            site.request('t0', 'i4')
        await asyncio.sleep(1.3)
        site.kill('i4')
        site.restart('i4')
        for _ in range(3):
            site.request('t0', 'i4')
        await site.serve(12)
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


@pytest.mark.parametrize('jump_s', [-3600.0, -3.0, 3.0, 3600.0])
def test_a_jump_of_the_wall_clock_changes_nothing(jump_s):
    async def scenario(site):
        await site.serve(12)
        site.nodes[site.holder].wall_offset_s = jump_s
        site.nodes['i5'].wall_offset_s = -jump_s
        await site.serve(20)
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


@pytest.mark.parametrize('jump_s', [-3600.0, -3.0, 3.0, 3600.0])
def test_a_process_that_starts_with_a_wrong_clock_corrects_it(jump_s):
    async def scenario(site):
        await site.serve(12)
        site.kill('i5')
        site.restart('i5', wall_offset_s=jump_s)
        for _ in range(3):
            site.request('t1', 'i5')
        await site.serve(20)
        await settle(site)
        site.check([w for w in full_windows(site) if w != FIRST + 2])
        site.check([FIRST + 2], missed=4)

    usage_harness.run(scenario)


def restore_losing_last_report(site):
    """Restores the store from a copy without the last report."""
    site.items.restore(site.snapshot)


@pytest.mark.parametrize('new_holder', [False, True])
def test_a_restored_store_has_lost_the_last_report(new_holder):
    # The window was sent, and must not be reported with other counts.
    async def scenario(site):
        await site.serve(14)
        site.snapshot = site.items.snapshot()
        await site.serve(3.5)
        assert max(site.api.windows()) == FIRST + 2
        site.items.restore(site.snapshot)
        # An own late count would change the report, if it were made anew.
        site.request('t9', 'i3', ago_s=3.0)
        del site.truth[FIRST + 2]['t9']
        if new_holder:
            site.elect()
        await site.serve(20)
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


def test_a_holder_that_did_not_see_a_lost_report_skips_its_window():
    async def scenario(site):
        await site.serve(14)
        site.snapshot = site.items.snapshot()
        # The next holder's watch brings nothing.
        site.nodes['i1'].store.unavailable = True
        await site.serve(3.5)
        site.items.restore(site.snapshot)
        site.nodes['i1'].store.unavailable = False
        site.request('t9', 'i3', ago_s=3.0)
        del site.truth[FIRST + 2]['t9']
        site.elect()
        assert site.holder == 'i1'
        await site.serve(20)
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


def test_a_holder_dies_as_the_store_loses_its_report():
    # The report was accepted, and no other instance had read it yet.
    async def scenario(site):
        await site.serve(14)
        site.snapshot = site.items.snapshot()
        for node in site.nodes.values():
            node.blind = True
        site.kill_at = 'during send'
        await site.serve(2.5)
        assert site.kill_at == ''
        assert max(site.api.windows()) == FIRST + 2
        site.items.restore(site.snapshot)
        site.request('t9', 'i3', ago_s=3.0)
        await site.serve(20)
        await settle(site)
        site.api.check_unique()
        assert max(site.api.windows()) >= site.window() - 3

    usage_harness.run(scenario)


def test_a_write_that_takes_effect_late_replaces_no_report():
    # The first holder's write arrives after the second one has reported the
    # window with more requests.
    async def scenario(site):
        await site.serve(14)
        for node in site.nodes.values():
            node.blind = True
        first = site.nodes[site.holder]
        first.store.late_s = 4.5
        await site.serve(3.0)
        site.elect()
        site.request('t9', 'i3', ago_s=2.5)
        await site.serve(4.5)
        first.store.late_s = 0.0
        site.elect()
        assert site.holder == first.name
        await site.serve(12)
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


def test_without_a_holder_windows_wait():
    async def scenario(site):
        await site.serve(11)
        site.holder = ''
        await site.serve(12)
        reports = len(site.api.accepted)
        site.elect()
        await site.serve(8)
        assert len(site.api.accepted) >= reports + 2
        await settle(site)
        site.check(full_windows(site))

    usage_harness.run(scenario)


async def disturb(site, rng):
    """Causes one random fault."""
    match rng.randrange(10):
        case 0:
            points = 'before write', 'during write', 'before send'
            site.kill_at = rng.choice([*points, 'during send'])
        case 1:
            site.kill(site.holder)
        case 2:
            site.api.lost_answers = rng.randrange(1, 4)
        case 3:
            for node in site.nodes.values():
                node.store.lost_responses = 1
        case 4:
            site.api.down = True
            await site.serve(rng.uniform(1, 8))
            site.api.down = False
        case 5:
            for node in site.nodes.values():
                node.store.unavailable = True
            await site.serve(rng.uniform(1, 11))
            for node in site.nodes.values():
                node.store.unavailable = False
        case 9:
            for node in site.nodes.values():
                node.blind = rng.random() < 0.7
                node.store.late_s = rng.uniform(0.1, 7)
            await site.serve(rng.uniform(1, 6))
            site.elect()
            for node in site.nodes.values():
                node.store.late_s = 0.0
        case 6:
            # Deposed although it lives: its calls may still be under way.
            site.elect()
        case 7:
            site.api.latency_s = rng.choice([0.02, 1.0, 4.0])
        case 8:
            snapshot = site.items.snapshot()
            await site.serve(rng.uniform(0.1, 6))
            site.items.restore(snapshot)
            if rng.random() < 0.5:
                site.elect()


@pytest.mark.parametrize('first_seed', range(0, 200, 25))
def test_no_window_ever_has_two_reports(first_seed):
    def make(seed):
        rng = random.Random(seed)

        async def scenario(site):
            for _ in range(4):
                await site.serve(rng.uniform(1, 7), rate_per_s=8.0)
                # Seen late, so that holders know different counts.
                for _ in range(3):
                    name = rng.choice(sorted(site.nodes))
                    if site.nodes[name].alive:
                        site.request('late', name, rng.uniform(0, 6))
                if sum(node.alive for node in site.nodes.values()) > 2:
                    await disturb(site, rng)
                for name in sorted(site.nodes):
                    if not site.nodes[name].alive and rng.random() < 0.5:
                        site.restart(name)
            site.api.latency_s = 0.02
            await site.serve(20)
            site.api.check_unique()
            windows = [report.window for report in site.api.accepted]
            assert max(windows) >= site.window() - 4, seed

        return scenario

    for seed in range(first_seed, first_seed + 25):
        usage_harness.run(make(seed), count=5, seed=seed, loss=0.2)
