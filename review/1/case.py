"""Runners that have drained exit while their long streams still run.

Answers have neither a length nor chunks and end with their channel, as the
pages allow. What is checked: a stream that ends as complete has its last
piece.
"""

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common import client  # noqa: E402
from common import runner as runner_module  # noqa: E402
from common import site as site_module  # noqa: E402

SERVICE = 'counter-llm'
STREAMS = 18
EVENTS = 80
PAUSE_S = 0.1
DRAIN_S = 2.5
# "And a little longer".
LINGER_S = 1.5


def _config():
    routes = [
        site_module.route(
            name,
            'streaming',
            SERVICE,
            timeoutMs=15000,
            targetLatencyMs=150,
            targetGapMs=150,
            maxAttempts=2 if resumable else 1,
            stickySessions=True,
            resumable=resumable,
        )
        for name, resumable in (('chat', True), ('verdict', False))
    ]
    return site_module.config(7, routes, {SERVICE: True})


def _runner(site, number):
    fields = {
        'phase': 'decode',
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    }
    options = ('--unframed', '--events', str(EVENTS), '--pause', str(PAUSE_S))
    zone = site_module.ZONES[number % 3]
    return site_module.Runner(
        site, f'i-{number}', SERVICE, zone, options, fields
    )


def _runners(site):
    return [_runner(site, number) for number in range(3)]


async def _stream(site, ip, route, number):
    """Asks for a stream; returns whether it ended as complete too early."""
    request_id = client.new_id()
    site.record.add('sent', id=request_id, route=route)
    answer = await client.ask(
        ip,
        'POST',
        f'/{route}/1',
        request_id,
        body=b'{}',
        more=[
            ('X-Dandelionwinch-Model', 'm'),
            ('X-Dandelionwinch-Token-Usage', f'200,{EVENTS}'),
            ('X-Dandelionwinch-Prompt-Prefix', f'a1:100,b{number}:100'),
        ],
        timeout_ms=15000,
    )
    whole = b''.join(
        runner_module.event(n, request_id) for n in range(1, EVENTS + 1)
    )
    site.record.add(
        'answered',
        id=request_id,
        status=answer.status,
        events=answer.body.count(b'\n\n'),
        complete=answer.complete,
        whole=answer.body == whole,
    )
    return answer.status == 200 and answer.complete and answer.body != whole


def _busiest(site):
    """Returns the runner that runs most streams."""
    counts = collections.Counter(
        run['runner'] for run in site.runs if 'run' in run
    )
    return max(site.runners, key=lambda runner: counts[runner.id])


async def case(folder, trouble):
    """Returns whether the rule ORDER held."""
    site = site_module.Site(folder)
    try:
        await site.start(_config(), _runners)
        asked = [
            asyncio.create_task(
                _stream(
                    site,
                    site.instances[number % 3].ip,
                    ('chat', 'verdict')[number // 3 % 2],
                    number,
                )
            )
            for number in range(STREAMS)
        ]
        await asyncio.sleep(1.0)
        if trouble:
            # The new one starts first.
            new = _runner(site, len(site.runners))
            leaving = _busiest(site)
            site.runners.append(new)
            await new.start()
            await leaving.drain()
            await asyncio.sleep(DRAIN_S + LINGER_S)
            await leaving.leave()
        early = sum(await asyncio.gather(*asked))
        site.record.add('verdict', complete_before_the_last_piece=early)
        return not early
    finally:
        await site.close()


if __name__ == '__main__':
    site_module.main(case, HERE)
