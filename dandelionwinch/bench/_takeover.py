"""Measures how long a shard has no holder, in virtual time."""

import random

from dandelionwinch import effects
from dandelionwinch import membership
from dandelionwinch import orders
from dandelionwinch import settings
from dandelionwinch.standins import store

ROUNDS = 200
# Time until the platform's list lacks an instance that was killed.
LIST_LAG_S = 5.0
_TIMING = settings.TimingSettings()


def measure(seed):
    """Returns the times from the end of a holder to its successor.

    One row is for a killed holder and upstreams that check fencing tokens,
    one for a killed holder and upstreams that ignore them, and one for a
    holder that released its lease, which a successor acquires at its next
    renewal step.
    """
    rng = random.Random(seed)
    rows = []
    for kind, fenced, released in (
        ('killed, upstreams check fencing', True, False),
        ('killed, upstreams ignore fencing', False, False),
        ('released', False, True),
    ):
        durations_s = sorted(
            _takeover_s(fenced, released, rng) for _round in range(ROUNDS)
        )
        rows.append(
            {
                'holder': kind,
                'median_s': round(durations_s[ROUNDS // 2], 2),
                'longest_s': round(durations_s[-1], 2),
                'seed': seed,
            }
        )
    return rows


def _takeover_s(fenced, released, rng):
    memory = store.MemoryStore()
    now = [0.0]

    def run(program):
        return effects.drive(
            program, memory.execute, lambda: effects.Time(now[0], now[0])
        )

    def make_lease(name):
        return orders.ShardLease('shard', name, 1, _TIMING)

    first, second = make_lease('a'), make_lease('b')
    departures = membership.Departures(_TIMING.gone_margin_s)
    run(first.acquire_or_renew(fenced, departures.is_gone))
    if released:
        run(first.release())
    died_at = 0.0
    step_s = _TIMING.lease_s / orders.RENEWALS_PER_LEASE
    now[0] = step_s * rng.random()
    while True:
        listed = ['b'] if now[0] > died_at + LIST_LAG_S else ['a', 'b']
        departures.list_read(listed)
        result = run(second.acquire_or_renew(fenced, departures.is_gone))
        if isinstance(result, orders.Owned):
            return now[0] - died_at
        now[0] += step_s
