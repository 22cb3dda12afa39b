"""Compares batched claims with one store write for each claim."""

from dandelionwinch import claims
from dandelionwinch import effects
from dandelionwinch import settings
from dandelionwinch.standins import store

CLAIMS = 1000
BATCHES = (1, 4, 16, 64)
STORE_WRITES_PER_S = 300.0
BUCKETS = 16


def measure(seed):
    """Returns a row for each batch size, with the store writes it needs.

    The claims per second are computed from the count of writes and the
    store's limit of writes per second; they are not timed.
    """
    return [_measure(size, seed) for size in BATCHES]


def _measure(size, seed):
    memory = store.MemoryStore()
    cfg = settings.ClaimSettings(buckets=BUCKETS)
    groups = {}
    for number in range(CLAIMS):
        key = f'deposits/{seed}-{number}'
        bucket = claims.bucket_of(key, BUCKETS)
        groups.setdefault(bucket, []).append(
            claims.Open(key, f'entry#1#{number}', 'request')
        )
    largest = 0
    for bucket, mutations in groups.items():
        name = claims.bucket_key(bucket)
        for start in range(0, len(mutations), size):
            batch = mutations[start : start + size]
            effects.drive(
                claims.commit_batch(name, batch, cfg),
                memory.execute,
                _read_clock,
            )
        record = memory.execute(effects.Read(name)).record
        largest = max(largest, len(record.value))
    per_claim = memory.writes / CLAIMS
    return {
        'batch': size,
        'claims': CLAIMS,
        'store_writes': memory.writes,
        'store_calls': memory.calls,
        'claims_per_s_at_300_writes': round(STORE_WRITES_PER_S / per_claim),
        'largest_bucket_bytes': largest,
        'bytes_per_claim': round(largest / (CLAIMS / BUCKETS)),
        'seed': seed,
    }


def _read_clock():
    return effects.Time(0.0, 1e9)
