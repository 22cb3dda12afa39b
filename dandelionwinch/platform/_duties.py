"""The operators' view of the holder and its duties."""

import json
import math

DUTIES_PATH = '/-/duties'
MAX_CANDIDATES = 3
_JSON = (('Content-Type', 'application/json'),)
_DECIMALS = 1


def is_request(head):
    """Tells whether a request is for the duties."""
    return head.method == 'GET' and head.path == DUTIES_PATH


def respond(instance, now, caller):
    """Answers a request for the duties.

    Args:
        instance: The Instance.
        now: Loop time.
        caller: Connection that receives the response.
    """
    status = instance.duties()
    if status is None:
        caller.respond(404, (), b'the settings name no duty')
        return
    body = {
        'instance': status.instance,
        'holder': status.holder,
        'token': status.token,
        'holds': status.holds,
        'may_act': status.may_act,
        'next': status.candidates[:MAX_CANDIDATES],
        'view_age_s': _seconds(status.view_age_s),
        'duties': [_row(row, now) for row in status.rows],
    }
    caller.respond(200, _JSON, json.dumps(body).encode())


def _seconds(value):
    """Returns rounded seconds, None for infinite ones, unknown to JSON."""
    return round(value, _DECIMALS) if math.isfinite(value) else None


def _row(row, now):
    last = row.last
    return {
        'duty': row.duty,
        'in_flight': row.in_flight,
        'result': type(last.result).__name__ if last else '',
        'reason': getattr(last.result, 'reason', '') if last else '',
        'token': last.token if last else 0,
        'age_s': _seconds(now - last.at) if last else None,
    }
