"""An instance is killed just after the first runner of a newer version came.

Its streams began while all runners had one version, and all runners of that
version still serve. What is checked: of the streams that consumers take up
again at machines in touch, the share that goes on is at least half of the
share of new streams that begin.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common import client  # noqa: E402
from common import site as site_module  # noqa: E402

SERVICE = 'counter-llm'
INSTANCES = 7
STREAMS = 24
EVENTS = 100
# Within `targetGapMs`.
PAUSE_S = 0.11
DEADLINE_S = 15.0
# Time for which all run before the streams begin.
CALM_S = 36.0


def _config():
    route = site_module.route(
        'chat',
        'streaming',
        SERVICE,
        timeoutMs=int(DEADLINE_S * 1e3),
        targetLatencyMs=150,
        targetGapMs=150,
        maxAttempts=2,
        stickySessions=True,
        resumable=True,
    )
    return site_module.config(7, [route], {SERVICE: True})


def _runner(site, number, **more):
    fields = {
        'phase': 'decode',
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        **more,
    }
    options = ('--events', str(EVENTS), '--pause', str(PAUSE_S))
    zone = site_module.ZONES[number % 3]
    return site_module.Runner(
        site, f'i-{number}', SERVICE, zone, options, fields
    )


def _runners(site):
    return [_runner(site, number) for number in range(3)]


async def _ask(site, number, subject, deadline, began=None, after=0):
    """Asks for a stream, or for the rest of one; returns id and Answer."""
    request_id = client.new_id()
    more = [
        ('X-Dandelionwinch-Model', 'm'),
        ('X-Dandelionwinch-Token-Usage', f'200,{EVENTS}'),
        ('X-Dandelionwinch-Prompt-Prefix', f'a1:100,b{subject}:100'),
    ]
    if began is not None:
        more += [('Last-Event-Id', str(after)), ('Resumes', began)]
    left_s = deadline - time.monotonic()
    site.record.add(
        'sent', id=request_id, instance=number, resumes=began, after=after
    )
    answer = await client.ask(
        site.instances[number].ip,
        'POST',
        '/chat/1',
        request_id,
        body=b'{}',
        more=more,
        timeout_ms=int(left_s * 1e3),
    )
    site.record.add(
        'answered',
        id=request_id,
        status=answer.status,
        retry_after=answer.headers.get('retry-after'),
        events=answer.body.count(b'\n\n'),
        complete=answer.complete,
        text=answer.body[:60] if answer.status != 200 else b'',
    )
    return request_id, answer


async def _consume(site, number, subject):
    """Reads a stream; takes it up elsewhere if its channel breaks.

    Returns:
        None if it did not break, else whether it went on.
    """
    deadline = time.monotonic() + DEADLINE_S
    began, answer = await _ask(site, number, subject, deadline)
    if answer.complete:
        return None
    events = answer.body.count(b'\n\n')
    goes_on = False
    # A consumer tries a few times, and waits as it is told.
    for attempt in range(2):
        other = (subject + attempt) % (INSTANCES - 1)
        _id, rest = await _ask(site, other, subject, deadline, began, events)
        goes_on = rest.status == 200 and bool(rest.body)
        if goes_on or rest.status != 503:
            break
        wait_s = float(rest.headers.get('retry-after', 0))
        await asyncio.sleep(min(wait_s, (deadline - time.monotonic()) / 3))
    return goes_on


async def case(folder, trouble):
    """Returns whether the rule LOST held."""
    site = site_module.Site(folder, INSTANCES)
    try:
        await site.start(_config(), _runners)
        await asyncio.sleep(CALM_S)
        last = INSTANCES - 1
        asked = [
            asyncio.create_task(_consume(site, last, subject))
            for subject in range(STREAMS)
        ]
        await asyncio.sleep(1.0)
        if trouble:
            # A release: the new one starts first.
            newer = _runner(site, len(site.runners), version='v2')
            site.runners.append(newer)
            await newer.start()
            site.record.add('release', id=newer.id, version='v2')
            await asyncio.sleep(3.0)
            site.record.add('kill', instance=last)
            site.instances[last].kill()
        taken_up = [
            goes_on
            for goes_on in await asyncio.gather(*asked)
            if goes_on is not None
        ]
        new = [
            _ask(site, n % last, 100 + n, time.monotonic() + DEADLINE_S)
            for n in range(12)
        ]
        begun = [
            answer.status == 200 for _id, answer in await asyncio.gather(*new)
        ]
        share_new = sum(begun) / len(begun)
        share_up = sum(taken_up) / max(1, len(taken_up))
        site.record.add(
            'verdict',
            taken_up=len(taken_up),
            went_on=sum(taken_up),
            new=len(begun),
            began=sum(begun),
        )
        return len(taken_up) < 12 or share_up >= share_new / 2
    finally:
        await site.close()


if __name__ == '__main__':
    site_module.main(case, HERE)
