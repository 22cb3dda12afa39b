"""The operators' view of the shares of teams, by service."""

import json
import math

SHARES_PATH = '/-/shares'
_JSON = (('Content-Type', 'application/json'),)
_DECIMALS = 3


def is_request(head):
    """Tells whether a request is for the shares."""
    return head.method == 'GET' and head.path == SHARES_PATH


def respond(instance, caller):
    """Answers a request for the shares.

    Args:
        instance: The Instance.
        caller: Connection that receives the response.
    """
    report = instance.shares()
    if report is None:
        caller.respond(404, (), b'the settings name no reports of usage')
        return
    body = {
        'instance': report.instance,
        'holder': report.holder,
        'token': report.token,
        'services': [_row(view, report.instance) for view in report.views],
    }
    caller.respond(200, _JSON, json.dumps(body).encode())


def _row(view, instance):
    shares = view.shares
    return {
        'service': view.service,
        'found': 'here' if view.source == instance else 'received',
        'source': view.source,
        'token': view.token,
        'age_s': _rounded(view.age_s),
        'in_force': view.in_force,
        'capacity_per_s': _rounded(shares.capacity),
        'demand_per_s': _rounded(shares.demand),
        'level_per_s': _rounded(shares.level),
        'teams': [
            {'team': excess.team, 'ratio': _rounded(excess.ratio)}
            for excess in shares.excesses
        ],
    }


def _rounded(value):
    """Returns a rounded number, None for an infinite one, unknown to JSON."""
    return round(value, _DECIMALS) if math.isfinite(value) else None
