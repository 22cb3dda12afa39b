"""Ages of what other instances told, with clocks that differ."""

import random

import pytest

from dandelionwinch import relay

# Clock of a sender that has run for long, and one after a reboot.
OLD_CLOCK_S = 100_000.0
NEW_CLOCK_S = 50.0


def hear(views, now, clock_s, times):
    """Hears a message each second; returns the time of the last one."""
    for _ in range(times):
        sent_at = views.heard('a', clock_s + now, now)
        views.known('a', sent_at, sent_at)
        now += 1.0
    return now - 1.0


@pytest.mark.parametrize('clocks', [(OLD_CLOCK_S, 50.0), (50.0, OLD_CLOCK_S)])
def test_a_sender_whose_clock_begins_anew_makes_no_view_younger(clocks):
    """It restarts on another machine; old times are of the old clock.

    Fails if the view stays young when it falls silent, as then no receiver
    watches for itself.
    """
    views = relay.SenderViews()
    now = 0.0
    for clock_s in clocks:
        now = hear(views, now + 1.0, clock_s, 40)
        assert views.known_at() <= now
    assert views.known_at() > now - 1.0


def test_one_forged_time_does_not_keep_a_view_young():
    views = relay.SenderViews()
    now = hear(views, 0.0, 7.0, 5)
    sent_at = views.heard('a', 1e10, now)
    views.known('a', sent_at, sent_at)
    assert views.known_at() <= now
    for _ in range(60):
        now = hear(views, now + 1.0, 7.0, 1)
        assert views.known_at() <= now
    assert views.known_at() > now - 1.0


@pytest.mark.parametrize('jumps', [0.0, 0.05])
def test_random_delays_and_clocks_make_no_view_younger(jumps):
    """Delays up to 5 s, and clocks that begin anew."""
    rng = random.Random(5)
    for _ in range(200):
        views, now, clock_s = relay.SenderViews(), 0.0, rng.uniform(0, 1e5)
        sent_at = float('-inf')
        for number in range(60):
            now += rng.uniform(0.1, 3.0)
            if rng.random() < jumps:
                clock_s = rng.uniform(0, 1e5)
            # Without a fast datagram a delay is a difference of the clocks.
            late = number % 4 and rng.random() < 0.5
            delay_s = rng.uniform(0.0, 5.0) if late else 0.0
            sent_at = max(sent_at, now - delay_s)
            told_at = views.heard('a', clock_s + now - delay_s, now)
            views.known('a', told_at, told_at)
            assert views.known_at() <= (now if jumps else sent_at + 1e-6)


def test_the_first_datagram_of_a_sender_says_nothing_of_its_age():
    """It may have been under way for seconds, with a clock that is unknown.

    Fails if strict revocation trusts it.
    """
    views = relay.SenderViews()
    for _copy in range(2):
        told_at = views.heard('a', 100.0, 7.0)
        views.known('a', told_at, told_at)
    assert (views.answered_at(), views.known_at()) == (7.0, float('-inf'))
    told_at = views.heard('a', 106.0, 8.0)
    views.known('a', told_at, told_at)
    assert views.known_at() == 8.0
