"""Measures whether many placing instances herd onto one upstream."""

import attrs

from dandelionwinch.bench import _simulation
from dandelionwinch.bench import _trace

INSTANCES = (1, 9, 60)
_PHASE = _trace.Phase(
    start_s=0,
    requests_per_s=40,
    prompt_tokens=2500,
    output_tokens=120,
    shared_prefix=0.3,
)
TRACE = _trace.Trace(
    duration_s=120.0,
    pools=[
        _trace.PoolSize(data_centre='Nanyuki', prefill=3, decode=3),
        _trace.PoolSize(data_centre='Naromoru', prefill=3, decode=3),
    ],
    phases=[_PHASE],
)


def measure(seed):
    """Returns a row for each number of instances.

    The ratio compares the longest queue of the busiest upstream with that
    under a single instance, which has the record of all jobs sent.
    """
    rows = []
    for count in INSTANCES:
        trace = attrs.evolve(TRACE, instances=count)
        for policy in ('hire', 'least_reported'):
            result = _simulation.simulate(trace, 'herding', policy, seed)
            rows.append(
                {
                    'instances': count,
                    'policy': policy,
                    'busiest_queue': result.busiest_queue,
                    'first_token_p95_s': result.first_token_p95_s,
                    'seed': seed,
                }
            )
    for row in rows:
        single = next(r for r in rows if r['policy'] == row['policy'])
        ratio = row['busiest_queue'] / single['busiest_queue']
        row['ratio_to_one'] = round(ratio, 2)
    return rows
