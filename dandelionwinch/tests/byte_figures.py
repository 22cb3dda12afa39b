"""Measures the bytes held at an upstream that crashes under too many.

    python -m dandelionwinch.tests.byte_figures INSTANCES BODIES_PER_S SEED

In virtual time, with a tenth of the datagrams lost. All instances together
send so many bodies a second of each size.
"""

import asyncio
import sys

from dandelionwinch.tests import byte_site
from dandelionwinch.tests import virtual

MIB = byte_site.MIB
MEMORY = 40 * MIB
STEP_S = 0.01
DURATION_S = 30.0
SETTLED_S = 4


async def _measure(count, per_s, seed):
    loop = asyncio.get_running_loop()
    site = byte_site.Site(count, per_s / count, MEMORY, seed=seed)
    while None in site.bounds() and loop.time() < DURATION_S:
        await asyncio.sleep(STEP_S)
    known_at = loop.time()
    await asyncio.sleep(SETTLED_S)
    bounds = {bound and round(bound / MIB, 1) for bound in site.bounds()}
    site.served.clear(), site.refused.clear()
    sent = dict(site.network.bytes_by_sender)
    received = dict(site.network.bytes_by_receiver)
    began = loop.time()
    await asyncio.sleep(20.0)
    span_s = loop.time() - began
    await site.close()
    sends = _rates(site.network.bytes_by_sender, sent, span_s)
    receives = _rates(site.network.bytes_by_receiver, received, span_s)
    first_at = site.crashes[0][0] if site.crashes else 0.0
    before = sum(at <= known_at for at, _held in site.crashes)
    print(
        f'instances={count} crashes={before}+{len(site.crashes) - before}'
        f' all_know_s={known_at - first_at:.2f} bounds_mib={bounds}'
        f' held_mib={site.peak(known_at + 1.0) / MIB:.1f}'
        f' bytes/s={sum(sends) / count:.0f} most={max(sends):.0f}'
        f' received={max(receives):.0f}'
        f' mib/s={sum(site.served) / MIB / span_s:.1f} served='
        + ','.join(f'{_ratio(site, size):.2f}' for size in byte_site.SIZES)
    )


def _rates(after, before, span_s):
    return [(after[a] - before.get(a, 0)) / span_s for a in after] or [0.0]


def _ratio(site, size):
    served, refused = site.served.count(size), site.refused.count(size)
    return served / max(1, served + refused)


if __name__ == '__main__':
    virtual.run(
        _measure(int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3]))
    )
