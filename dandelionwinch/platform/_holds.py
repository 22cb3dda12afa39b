"""The operators' view of holds, and its lifting."""

import json
import urllib.parse

HOLDS_PATH = '/-/holds'
_JSON = (('Content-Type', 'application/json'),)
_DECIMALS = 1


def is_request(head):
    """Tells whether a request is for the holds."""
    path = head.path
    if head.method == 'DELETE':
        return path.startswith(HOLDS_PATH + '/')
    return head.method == 'GET' and path == HOLDS_PATH


def respond(instance, now, head, caller):
    """Answers a request for the holds.

    Args:
        instance: The Instance.
        now: Loop time.
        head: Head of the request.
        caller: Connection that receives the response.
    """
    if head.method == 'GET':
        rows = [_row(hold, now) for hold in instance.holds()]
        caller.respond(200, _JSON, json.dumps({'holds': rows}).encode())
        return
    subject = urllib.parse.unquote(head.path.removeprefix(HOLDS_PATH + '/'))
    if instance.lift_hold(subject):
        caller.respond(200, (), b'lifted')
        return
    caller.respond(404, (), b'not held')


def _row(hold, now):
    return {
        'subject': hold.subject,
        'held_s': round(now - hold.since, _DECIMALS),
        'ends_in_s': round(hold.ends_at() - now, _DECIMALS),
        'crashes': hold.crashes,
        'refused': hold.refused,
    }
