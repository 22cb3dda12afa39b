"""Measures the reads of the store, the datagrams and the delay of changes.

    python -m dandelionwinch.tests.relay_figures INSTANCES DATA_CENTRES LOSS \
        [SEED]

In virtual time. A LOSS below 0 is that of no port for datagrams, with which
each instance watches for itself.
"""

import asyncio
import collections
import random
import sys

from dandelionwinch.platform import samples
from dandelionwinch.tests import relay_harness

UPSTREAMS = 29
START_S = 8.0
DURATION_S = 20.0
# Each step changes the observed key and the entry of an upstream.
STEPS_PER_S = 0.75


async def _measure(world):
    loop = asyncio.get_running_loop()
    rng = random.Random(world.seed + 4)
    for number in range(UPSTREAMS):
        world.items.put(samples.entry_key(f'u-{number}'), samples.entry())
    await asyncio.sleep(START_S)
    sent = collections.Counter()
    carry = world.network.carry

    def counting(data, sender, addr):
        sent[sender] += len(data)
        carry(data, sender, addr)

    world.network.carry = counting
    reads, began, written = world.reads(), loop.time(), []
    while loop.time() < began + DURATION_S:
        await asyncio.sleep(rng.expovariate(STEPS_PER_S))
        written.append((loop.time(), world.write()))
        key = samples.entry_key(f'u-{rng.randrange(UPSTREAMS)}')
        world.items.put(key, samples.entry(sequence=4 + len(written)))
    lasted_s = loop.time() - began
    reads_per_s = (world.reads() - reads) / lasted_s
    total, most = sum(sent.values()), max(sent.values(), default=0)
    await asyncio.sleep(3.0)
    nodes = list(world.nodes.values())
    took = [
        [node.knew_at(change) - at for node in nodes] for at, change in written
    ]
    lasts = [max(times) for times in took]
    print(
        f'reads/s={reads_per_s:.1f} bytes/s={total / lasted_s:.0f}'
        f' most_of_one={most / lasted_s:.0f}'
        f' mean_s={sum(map(sum, took)) / len(nodes) / len(took):.3f}'
        f' mean_of_last_s={sum(lasts) / len(lasts):.3f}'
        f' longest_s={max(lasts):.3f} changes={2 * len(written)}'
        f' faults={world.faults()}'
    )


def main():
    """Measures one size."""
    instances, data_centres = map(int, sys.argv[1:3])
    loss = float(sys.argv[3])
    seed = int(sys.argv[4]) if len(sys.argv) > 4 else 1
    relay_harness.run(
        _measure,
        instances,
        data_centres,
        seed=seed,
        loss=max(0.0, loss),
        relayed=loss >= 0,
    )


if __name__ == '__main__':
    main()
