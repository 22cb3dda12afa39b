"""The table of docs/CAPACITY.md, worked out from fresh slopes."""

import time
import tracemalloc

from dandelionwinch import addresses
from dandelionwinch.bench import _claims
from dandelionwinch.bench import _control
from dandelionwinch.bench import _placement
from dandelionwinch.bench import _relay
from dandelionwinch import claims as claim_rules
from dandelionwinch import earnings
from dandelionwinch import membership
from dandelionwinch import orders
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement
from dandelionwinch import revisions
from dandelionwinch import settings

NODES = 390
UPSTREAMS = 1600
MODELS = 11
DATA_CENTRES = 11
TEAMS = 970
REQUESTS_PER_S = 2900.0
TOKENS_PER_S = 680_000.0
CHANGES_PER_DAY = 4900
DAY_S = 86400.0
ONCE_SHARE = 0.05
CORE_LIMIT_PERCENT = 3.2
BYTES_LIMIT_PER_S = 7000
DOCUMENT_BYTES = 300
ADDRESS_ANSWERS_PER_REQUEST = 0.2
RELAY_SECONDS = 3.0
READS_LIMIT_PER_S = 2000
WRITES_LIMIT_PER_S = 300
BUCKET_MB = 0.9
SHARD_BYTES = 4000
LEDGER_BYTES = 400
DOCUMENT_COPIES = 3


def measure(seed):
    """Returns one row for each role of an instance at design size."""
    bare = _control.gossip(NODES, 0, seed)
    loaded = _control.gossip(NODES, UPSTREAMS, seed)
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
        _claiming(claims[1], calls),
        _settings(calls),
        _earnings(calls),
        _answering(),
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
        'gossip of heartbeats in a data_centre, speakers between data_centres',
        row['messages_per_s'],
        amount,
        core,
        _memory_mb(_known_members),
        fits,
    )


def _loads(bare, loaded):
    amount = loaded['bytes_sent_per_s'] - bare['bytes_sent_per_s']
    core = loaded['core_share_percent'] - bare['core_share_percent']
    fits = amount <= BYTES_LIMIT_PER_S and core <= CORE_LIMIT_PERCENT
    return _line(
        'load reports',
        'each upstream polled once in its data_centre, reports ride on gossip',
        0,
        amount,
        round(max(0.0, core), 3),
        _memory_mb(_known_loads),
        fits,
    )


def _placing(row):
    core = round(100 * row['core_share_at_7.5_per_s'], 3)
    memory = _memory_mb(_estimates)
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
        round(calls['shard_calls_per_s'] / NODES * SHARD_BYTES),
        round(calls['shard_core_percent'] / NODES, 4),
        _memory_mb(_shard),
        calls['shard_writes_per_s'] <= 100,
    )


def _claiming(row, calls):
    writes = calls['claim_writes_busy_per_s']
    kept_mb = REQUESTS_PER_S * ONCE_SHARE * DAY_S * row['bytes_per_claim']
    kept_mb = kept_mb / 1e6
    room_mb = settings.ClaimSettings().buckets * BUCKET_MB
    return _line(
        'claims owner',
        f'group commit; {writes} store writes/s in all; a day of claims '
        f'is {kept_mb:.0f} MB, the buckets hold {room_mb:.0f} MB',
        round(2 * writes / NODES, 2),
        round(2 * writes / NODES * row['largest_bucket_bytes']),
        round(calls['claim_core_percent'] / NODES, 4),
        _memory_mb(_bucket),
        kept_mb <= room_mb and writes <= WRITES_LIMIT_PER_S,
    )


def _settings(calls):
    polls = calls['settings_calls_per_s']
    amount = CHANGES_PER_DAY / DAY_S * DOCUMENT_BYTES
    return _line(
        'configuration',
        f'speakers poll, documents pulled by gossip; {polls} store '
        'calls/s in all',
        round(polls / NODES, 3),
        round(amount * DOCUMENT_COPIES),
        round(calls['settings_core_percent'] / NODES, 4),
        _memory_mb(_documents),
        polls <= READS_LIMIT_PER_S / 10,
    )


def _earnings(calls):
    writes = calls['earning_writes_busy_per_s']
    return _line(
        'earnings',
        f'running totals, period grows with nodes; {writes} writes/s',
        round(2 * writes / NODES, 3),
        round(2 * writes / NODES * LEDGER_BYTES),
        round(calls['earning_core_percent'] / NODES, 4),
        _memory_mb(_ledger),
        writes <= 25,
    )


def _answering():
    core = round(_address_core(), 3)
    return _line(
        'address answers',
        'rendezvous hashing over the view, no call to others',
        0,
        0,
        core,
        0,
        core <= CORE_LIMIT_PERCENT,
    )


def _address_core():
    """Returns the percent of a core for address answers on a node."""
    known = _known_members()
    rounds = 200
    started = time.process_time()
    for number in range(rounds):
        addresses.assign(known, 'data_centre-1', f'team-{number}', 2.0)
    seconds = (time.process_time() - started) / rounds
    rate = REQUESTS_PER_S * ADDRESS_ANSWERS_PER_REQUEST / NODES
    return 100 * rate * seconds


def _memory_mb(build):
    """Returns the memory that the objects of a role take."""
    tracemalloc.start()
    held = build()
    used, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return round(used / 1e6, 2)


def _known_members():
    return [
        membership.PeerState(
            peer_pb2.Member(
                name=f'entry-{n}',
                data_centre=f'data_centre-{n % DATA_CENTRES}',
                client_address=f'10.0.0.{n % 250}:80',
                peer_address=f'10.0.0.{n % 250}:81',
                operator_address=f'10.0.0.{n % 250}:82',
                weight=1.0,
            )
        )
        for n in range(NODES)
    ]


def _known_loads():
    return [
        peer_pb2.UpstreamLoad(
            upstream=f'lm-{n}', role='decode', kv_tokens=9000
        )
        for n in range(UPSTREAMS)
    ]


def _estimates():
    return [
        placement.LoadEstimate(
            name=f'lm-{n}',
            data_centre=f'data_centre-{n % DATA_CENTRES}',
            role=settings.Role.DECODE,
            prefill_rate=20000.0,
            decode_rate=2500.0,
            kv_capacity=400_000,
            max_batch=64,
        )
        for n in range(UPSTREAMS)
    ]


def _documents():
    documents = revisions.Documents()
    values = [
        revisions.Document(
            f'upstream/lm-{n}',
            1,
            {
                'name': f'lm-{n}',
                'pool': f'pool-{n % 121}',
                'address': f'10.1.{n % 250}.1:8000',
                'role': 'decode',
            },
        )
        for n in range(UPSTREAMS + TEAMS)
    ]
    documents.adopt(1, values)
    return documents


def _shard():
    shard = orders.Shard(epoch=9, holder='entry-1', incarnation=1)
    for number in range(UPSTREAMS // (MODELS * DATA_CENTRES) + 1):
        name = f'lm-{number}'
        order = orders.Order(f'{name}-9', 9, name, 'decode')
        shard = shard.with_order(order)
    return shard


def _bucket():
    cfg = settings.ClaimSettings()
    bucket = claim_rules.Bucket(cfg)
    number = 0
    while True:
        opening = claim_rules.Open(f'deposits/{number}', 'a#1#1', 'request')
        result = bucket.apply(opening, 1e9)
        if isinstance(result, claim_rules.Full):
            return bucket
        number += 1


def _ledger():
    ledger = earnings.Ledger('entry-1', 1)
    for number in range(TEAMS):
        ledger.record_job(f'job-{number}', f'team-{number}', 10)
    return ledger
