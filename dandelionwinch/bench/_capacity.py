"""The table of docs/CAPACITY.md, worked out from fresh slopes."""

import sys

from dandelionwinch.bench import _claims
from dandelionwinch.bench import _control
from dandelionwinch.bench import _placement
from dandelionwinch.bench import _relay

NODES = 390
RUNNERS = 1600
MODELS = 11
PLACES = 11
TEAMS = 970
REQUESTS_PER_S = 2900.0
TOKENS_PER_S = 680_000.0
CHANGES_PER_DAY = 4900
DAY_S = 86400.0
ONCE_SHARE = 0.05
CORE_LIMIT_PERCENT = 3.2
MEMORY_LIMIT_MB = 256
BYTES_LIMIT_PER_S = 7000
DOCUMENT_BYTES = 300
ADDRESS_ANSWERS_PER_REQUEST = 0.2
RELAY_SECONDS = 3.0


def measure(seed):
    """Returns one row for each role of an instance at design size."""
    bare = _control.gossip(NODES, 0, seed)
    loaded = _control.gossip(NODES, RUNNERS, seed)
    calls = _control.store_calls(NODES, MODELS, seed)
    placing = _placement.measure(seed)[-1]
    claims = {row['batch']: row for row in _claims.measure(seed)}
    relay = _relay.measure(RELAY_SECONDS, seed)[-1]
    return [
        _membership(bare),
        _loads(bare, loaded),
        _placing(placing),
        _relaying(relay),
        _shards(calls),
        _claiming(claims[4]),
        _settings(calls),
        _earnings(calls),
        _tables(),
    ]


def _line(role, mechanism, per_s, amount, core, memory, fits):
    return {
        'role': role,
        'mechanism': mechanism,
        'messages_per_node_s': per_s,
        'bytes_per_node_s': amount,
        'core_percent_per_node': core,
        'memory_mb_per_node': memory,
        'fits': fits,
    }


def _membership(row):
    amount = row['bytes_sent_per_s']
    core = row['core_share_percent']
    fits = amount <= BYTES_LIMIT_PER_S and core <= CORE_LIMIT_PERCENT
    return _line(
        'membership',
        'gossip of heartbeats in a place, speakers between places',
        row['messages_per_s'],
        amount,
        core,
        0.2,
        fits,
    )


def _loads(bare, loaded):
    amount = loaded['bytes_sent_per_s'] - bare['bytes_sent_per_s']
    core = loaded['core_share_percent'] - bare['core_share_percent']
    fits = amount <= BYTES_LIMIT_PER_S and core <= CORE_LIMIT_PERCENT
    return _line(
        'load reports',
        'each runner polled once in its place, reports ride on gossip',
        0,
        amount,
        round(core, 3),
        0.2,
        fits,
    )


def _placing(row):
    core = round(100 * row['core_share_at_7.5_per_s'], 3)
    memory = _deep_mb(RUNNERS, 600)
    return _line(
        'placement',
        'at most 16 candidates a site, nearest site first',
        0,
        0,
        core,
        memory,
        core <= CORE_LIMIT_PERCENT,
    )


def _relaying(row):
    tokens = TOKENS_PER_S / NODES
    core = round(tokens * row['us_per_token'] / 1e4, 1)
    return _line(
        'relaying streams (data, not control)',
        'a worker thread a stream',
        0,
        0,
        core,
        row['resident_mb'],
        core <= 80.0,
    )


def _shards(calls):
    return _line(
        'shard holder',
        f'one lease record a shard; {calls["shard_writes_per_s"]} store '
        f'writes/s and {calls["shard_calls_per_s"]} calls/s in all',
        round(calls['shard_calls_per_s'] / NODES, 3),
        round(calls['shard_calls_per_s'] / NODES * 4000),
        0.02,
        0.1,
        calls['shard_writes_per_s'] <= 100,
    )


def _claiming(row):
    once = REQUESTS_PER_S * ONCE_SHARE
    writes = round(2 * once * row['store_writes'] / row['claims'], 1)
    kept_mb = once * DAY_S * row['bytes_per_claim'] / 1e6
    return _line(
        'claims owner',
        f'group commit of 4; {writes} store writes/s in all; a day of '
        f'claims is {kept_mb:.0f} MB',
        round(2 * writes / NODES, 2),
        0,
        0.05,
        1.0,
        kept_mb <= 16 * 0.9,
    )


def _settings(calls):
    polls = calls['settings_calls_per_s']
    amount = CHANGES_PER_DAY / DAY_S * DOCUMENT_BYTES
    return _line(
        'configuration',
        f'speakers poll, documents pulled by gossip; {polls} store '
        'calls/s in all',
        round(polls / NODES, 3),
        round(amount * 3),
        0.02,
        _deep_mb(RUNNERS + TEAMS, 2000),
        True,
    )


def _earnings(calls):
    writes = calls['earning_writes_busy_per_s']
    return _line(
        'earnings',
        f'running totals, period grows with nodes; {writes} writes/s',
        round(2 * writes / NODES, 3),
        round(2 * writes / NODES * 400),
        0.01,
        0.1,
        writes <= 25,
    )


def _tables():
    return _line(
        'address answers',
        'rendezvous hashing over the view, no call to others',
        0,
        0,
        round(_address_core(), 3),
        0,
        True,
    )


def _address_core():
    """Returns the percent of a core for address answers on a node."""
    import time

    from dandelionwinch import addresses
    from dandelionwinch import membership
    from dandelionwinch.peers import peer_pb2

    known = [
        membership.Known(
            peer_pb2.Member(
                name=f'entry-{n}',
                place=f'place-{n % PLACES}',
                clerk_address=f'10.0.0.{n % 250}:80',
                weight=1.0,
            )
        )
        for n in range(NODES)
    ]
    rounds = 200
    started = time.process_time()
    for number in range(rounds):
        addresses.answer(known, 'place-1', f'team-{number}', 2.0)
    seconds = (time.process_time() - started) / rounds
    rate = REQUESTS_PER_S * ADDRESS_ANSWERS_PER_REQUEST / NODES
    return 100 * rate * seconds


def _deep_mb(count, each_bytes):
    return round(count * (each_bytes + sys.getsizeof({})) / 1e6, 2)
