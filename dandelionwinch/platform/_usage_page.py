"""The operators' view of the usage of teams, by window."""

import json

USAGE_PATH = '/-/usage'
_JSON = (('Content-Type', 'application/json'),)
_DECIMALS = 1


def is_request(head):
    """Tells whether a request is for the usage."""
    return head.method == 'GET' and head.path == USAGE_PATH


def respond(instance, caller):
    """Answers a request for the usage.

    Args:
        instance: The Instance.
        caller: Connection that receives the response.
    """
    windows = instance.usage()
    if windows is None:
        caller.respond(404, (), b'the settings name no reports of usage')
        return
    body = {'windows': [_row(window) for window in windows]}
    caller.respond(200, _JSON, json.dumps(body).encode())


def _row(window):
    return {
        'window': window.window,
        'ended_s': round(window.ended_s, _DECIMALS),
        'counted': window.counted,
        'reported': window.reported,
    }
