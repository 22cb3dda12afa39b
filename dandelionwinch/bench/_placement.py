"""Measures the cost of a placement by the number of upstreams."""

import random
import time

from dandelionwinch import placement
from dandelionwinch import settings

UPSTREAMS = (13, 130, 1600)
TEAMS = 970
DECISIONS = 2000
MODELS = 11
DATA_CENTRES = 11
REQUESTS_PER_INSTANCE_S = 7.5


def measure(seed):
    """Returns a row with the cost for each number of upstreams.

    The upstreams are spread over 11 data centres. As in the daemons, a job
    is placed on an upstream of its model, in a near data centre first.
    """
    return [_measure(count, seed) for count in UPSTREAMS]


def _measure(count, seed):
    rng = random.Random(seed)
    estimates = placement.LoadEstimates()
    names = [f'lm-{number}' for number in range(count)]
    estimates.set_upstreams(_estimate(name, i) for i, name in enumerate(names))
    for name in names:
        report = placement.Report(
            0.0, rng.randrange(30), 0.0, 1000.0, settings.Role.MIXED
        )
        estimates.record_report(name, report)
    placer = placement.Placer(estimates, rng)
    pools = _candidate_pools(names)
    started = time.process_time()
    for number in range(DECISIONS):
        demand = placement.Demand(
            data_centre='data_centre-0',
            prompt_tokens=1500,
            output_tokens=20,
            prefix=rng.randrange(TEAMS),
            prefix_tokens=700,
            max_wait_s=5.0,
            gap_s=0.041,
        )
        now = number * 0.05
        placer.place(demand, pools, now)
        if number % 20 == 0:
            _report_all(estimates, names, now)
    seconds = time.process_time() - started
    return {
        'upstreams': count,
        'candidate_sites': len(pools),
        'us_per_decision': round(1e6 * seconds / DECISIONS, 1),
        'decisions_per_s': round(DECISIONS / seconds),
        'core_share_at_7.5_per_s': round(
            REQUESTS_PER_INSTANCE_S * seconds / DECISIONS, 6
        ),
        'seed': seed,
    }


def _estimate(name, number):
    return placement.LoadEstimate(
        name=name,
        data_centre=f'data_centre-{number % DATA_CENTRES}',
        role=settings.Role.MIXED,
        prefill_rate=20000.0,
        decode_rate=2500.0,
        kv_capacity=400_000,
        max_batch=64,
    )


def _candidate_pools(names):
    """Returns a pool for each data centre, of the upstreams of one model."""
    models = MODELS if len(names) > 2 * MODELS * DATA_CENTRES else 1
    pools = []
    for data_centre in range(DATA_CENTRES):
        members = names[data_centre::DATA_CENTRES]
        of_model = tuple(members[:: max(1, models)])
        if of_model:
            pools.append(
                placement.CandidatePool(
                    f'data_centre-{data_centre}',
                    of_model,
                    0.02 * bool(data_centre),
                )
            )
    return pools


def _report_all(estimates, names, now):
    for name in names[:50]:
        report = placement.Report(now, 10, 0.0, 1000.0, settings.Role.MIXED)
        estimates.record_report(name, report)
