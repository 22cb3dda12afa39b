"""Checks the logs of a soak's instances: versions and fencing tokens."""

import itertools
import math

from dandelionwinch.soak import _process

# Time from the store's execution of a call until the caller logs its result,
# if the process is paused and the response is late.
MAX_LOG_DELAY_S = 6.0


def config_regressions(events):
    """Returns the violations in the log of one instance.

    No process of it may apply an older configuration after a newer one.

    Args:
        events: Each LogEvent, in the order of the log.
    """
    found = []
    current = 0
    for event in events:
        if event.name == _process.PROCESS_STARTED:
            current = 0
        if event.name != 'config.applied':
            continue
        version = event.fields['version']
        if version < current:
            found.append(
                f'{event.instance}: version {version} after {current}'
            )
        current = max(current, version)
    return found


def token_regressions(events):
    """Returns the violations in the logs of all instances.

    Each holder of the order lease must have a fencing token of its own that
    is above the earlier ones.

    Args:
        events: Each LogEvent of all instances.
    """
    held = sorted(
        (event for event in events if event.name == 'orders.held'),
        key=lambda event: event.fields['token'],
    )
    found = []
    for event, following in itertools.pairwise(held):
        if following.fields['token'] == event.fields['token']:
            found.append(f'{event.instance}: its token was given out twice')
        if following.time < event.time - MAX_LOG_DELAY_S:
            found.append(f'{event.instance}: its token was below an earlier')
    return found


def knew_withdrawal(events, upstream_id, request_id, at):
    """Tells whether the sender of a request knew that an upstream left.

    What it knew holds until its process starts anew, also while it does not
    reach the store. A process that started later did not know.

    Args:
        events: Each LogEvent of the instance, in the order of its log.
        upstream_id: Id of the upstream.
        request_id: Id of the request.
        at: Unix time in seconds.
    """
    if _sender_started_at(events, request_id) > at:
        return False
    announced = known = False
    for event in events:
        if event.time > at:
            break
        if event.name == _process.PROCESS_STARTED:
            announced = known = False
        if event.fields.get('upstream') != upstream_id:
            continue
        match event.name:
            case 'upstream.leaving':
                announced = True
            case 'upstream.gone':
                known = True
            case 'upstream.changed':
                known = not event.fields['ready']
    return announced or known


def _sender_started_at(events, request_id):
    """Returns when the process started that logged a request."""
    started_at = -math.inf
    for event in events:
        if event.name == _process.PROCESS_STARTED:
            started_at = event.time
        if event.fields.get('request') == request_id:
            return started_at
    return -math.inf
