"""Computes the table of docs/CAPACITY.md from fresh measurements."""

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

# Design size: instances, upstreams and load.
INSTANCES = 390
UPSTREAMS = 1600
MODELS = 11
DATA_CENTRES = 11
TEAMS = 970
REQUESTS_PER_S = 2900.0
TOKENS_PER_S = 680_000.0
CHANGES_PER_DAY = 4900
DAY_S = 86400.0
# Part of the requests that run at most once, and so need a claim.
ONCE_RATIO = 0.05
MAX_CORE_PERCENT = 3.2
MAX_BYTES_PER_S = 7000
DOCUMENT_BYTES = 300
ADDRESS_CALLS_PER_REQUEST = 0.2
RELAY_S = 3.0
MAX_READS_PER_S = 2000
MAX_WRITES_PER_S = 300
MAX_BUCKET_MB = 0.9
SHARD_BYTES = 4000
LEDGER_BYTES = 400
DOCUMENT_COPIES = 3


def measure(seed):
    """Returns a row for each task of an instance, at design size."""
    without_loads = _control.gossip(INSTANCES, 0, seed)
    with_loads = _control.gossip(INSTANCES, UPSTREAMS, seed)
    calls = _control.store_calls(INSTANCES, MODELS, seed)
    placement_cost = _placement.measure(seed)[-1]
    claims = {row['batch']: row for row in _claims.measure(seed)}
    relay = _relay.measure(RELAY_S, seed)[-1]
    return [
        _membership_row(without_loads),
        _load_reports_row(without_loads, with_loads),
        _placement_row(placement_cost),
        _relay_row(relay),
        _shard_row(calls),
        _claims_row(claims[1], calls),
        _settings_row(calls),
        _earnings_row(calls),
        _addresses_row(),
    ]


def _make_row(
    role, mechanism, messages_per_s, bytes_per_s, core, memory, fits
):
    return {
        'role': role,
        'mechanism': mechanism,
        'messages_per_node_s': messages_per_s,
        'bytes_per_node_s': bytes_per_s,
        'core_percent_per_node': core,
        'memory_mb_per_node': memory,
        'fits': fits,
    }


def _membership_row(row):
    bytes_per_s = row['bytes_sent_per_s']
    core = row['core_share_percent']
    fits = bytes_per_s <= MAX_BYTES_PER_S and core <= MAX_CORE_PERCENT
    return _make_row(
        'membership',
        'gossip of heartbeats in a data_centre, speakers between data_centres',
        row['messages_per_s'],
        bytes_per_s,
        core,
        _memory_mb(_make_peers),
        fits,
    )


def _load_reports_row(without_loads, with_loads):
    bytes_per_s = (
        with_loads['bytes_sent_per_s'] - without_loads['bytes_sent_per_s']
    )
    core = (
        with_loads['core_share_percent'] - without_loads['core_share_percent']
    )
    fits = bytes_per_s <= MAX_BYTES_PER_S and core <= MAX_CORE_PERCENT
    return _make_row(
        'load reports',
        'each upstream polled once in its data_centre, reports ride on gossip',
        0,
        bytes_per_s,
        round(max(0.0, core), 3),
        _memory_mb(_make_loads),
        fits,
    )


def _placement_row(row):
    core = round(100 * row['core_share_at_7.5_per_s'], 3)
    memory = _memory_mb(_make_estimates)
    return _make_row(
        'placement',
        'at most 16 candidates a site, nearest site first',
        0,
        0,
        core,
        memory,
        core <= MAX_CORE_PERCENT,
    )


def _relay_row(row):
    tokens = TOKENS_PER_S / INSTANCES
    core = round(tokens * row['us_per_token'] / 1e4, 1)
    return _make_row(
        'relaying streams (data, not control)',
        'a worker thread a stream',
        0,
        0,
        core,
        row['resident_mb'],
        core <= 80.0,
    )


def _shard_row(calls):
    return _make_row(
        'shard holder',
        f'one lease record a shard; {calls["shard_writes_per_s"]} store '
        f'writes/s and {calls["shard_calls_per_s"]} calls/s in all',
        round(calls['shard_calls_per_s'] / INSTANCES, 3),
        round(calls['shard_calls_per_s'] / INSTANCES * SHARD_BYTES),
        round(calls['shard_core_percent'] / INSTANCES, 4),
        _memory_mb(_make_shard),
        calls['shard_writes_per_s'] <= 100,
    )


def _claims_row(row, calls):
    writes = calls['claim_writes_busy_per_s']
    day_mb = REQUESTS_PER_S * ONCE_RATIO * DAY_S * row['bytes_per_claim']
    day_mb = day_mb / 1e6
    buckets_mb = settings.ClaimSettings().buckets * MAX_BUCKET_MB
    return _make_row(
        'claims owner',
        f'group commit; {writes} store writes/s in all; a day of claims '
        f'is {day_mb:.0f} MB, the buckets hold {buckets_mb:.0f} MB',
        round(2 * writes / INSTANCES, 2),
        round(2 * writes / INSTANCES * row['largest_bucket_bytes']),
        round(calls['claim_core_percent'] / INSTANCES, 4),
        _memory_mb(_make_bucket),
        day_mb <= buckets_mb and writes <= MAX_WRITES_PER_S,
    )


def _settings_row(calls):
    polls = calls['settings_calls_per_s']
    bytes_per_s = CHANGES_PER_DAY / DAY_S * DOCUMENT_BYTES
    return _make_row(
        'configuration',
        f'speakers poll, documents pulled by gossip; {polls} store '
        'calls/s in all',
        round(polls / INSTANCES, 3),
        round(bytes_per_s * DOCUMENT_COPIES),
        round(calls['settings_core_percent'] / INSTANCES, 4),
        _memory_mb(_make_documents),
        polls <= MAX_READS_PER_S / 10,
    )


def _earnings_row(calls):
    writes = calls['earning_writes_busy_per_s']
    return _make_row(
        'earnings',
        f'running totals, period grows with nodes; {writes} writes/s',
        round(2 * writes / INSTANCES, 3),
        round(2 * writes / INSTANCES * LEDGER_BYTES),
        round(calls['earning_core_percent'] / INSTANCES, 4),
        _memory_mb(_make_ledger),
        writes <= 25,
    )


def _addresses_row():
    core = round(_address_core_percent(), 3)
    return _make_row(
        'address answers',
        'rendezvous hashing over the view, no call to others',
        0,
        0,
        core,
        0,
        core <= MAX_CORE_PERCENT,
    )


def _address_core_percent():
    """Returns the percent of a core that an instance needs for addresses."""
    peers = _make_peers()
    rounds = 200
    started = time.process_time()
    for number in range(rounds):
        addresses.assign(peers, 'data_centre-1', f'team-{number}', 2.0)
    seconds = (time.process_time() - started) / rounds
    calls_per_s = REQUESTS_PER_S * ADDRESS_CALLS_PER_REQUEST / INSTANCES
    return 100 * calls_per_s * seconds


def _memory_mb(build):
    """Returns the memory of the objects that a function builds."""
    tracemalloc.start()
    objects = build()
    used, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del objects
    return round(used / 1e6, 2)


def _make_peers():
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
        for n in range(INSTANCES)
    ]


def _make_loads():
    return [
        peer_pb2.UpstreamLoad(
            upstream=f'lm-{n}', role='decode', kv_tokens=9000
        )
        for n in range(UPSTREAMS)
    ]


def _make_estimates():
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


def _make_documents():
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


def _make_shard():
    shard = orders.Shard(epoch=9, holder='entry-1', incarnation=1)
    for number in range(UPSTREAMS // (MODELS * DATA_CENTRES) + 1):
        name = f'lm-{number}'
        order = orders.Order(f'{name}-9', 9, name, 'decode')
        shard = shard.with_order(order)
    return shard


def _make_bucket():
    cfg = settings.ClaimSettings()
    bucket = claim_rules.Bucket(cfg)
    number = 0
    while True:
        opening = claim_rules.Open(f'deposits/{number}', 'a#1#1', 'request')
        result = bucket.apply(opening, 1e9)
        if isinstance(result, claim_rules.Full):
            return bucket
        number += 1


def _make_ledger():
    ledger = earnings.Ledger('entry-1', 1)
    for number in range(TEAMS):
        ledger.record_job(f'job-{number}', f'team-{number}', 10)
    return ledger
