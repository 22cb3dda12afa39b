"""The operators' view of the capacity that is planned and ordered."""

import json

CAPACITY_PATH = '/-/capacity'
_JSON = (('Content-Type', 'application/json'),)


def is_request(head):
    """Tells whether a request is for the capacity."""
    return head.method == 'GET' and head.path == CAPACITY_PATH


def respond(instance, caller):
    """Answers a request for the capacity.

    Args:
        instance: The Instance.
        caller: Connection that receives the response.
    """
    report = instance.capacity()
    if report is None:
        caller.respond(404, (), b'this instance orders no capacity')
        return
    caller.respond(200, _JSON, json.dumps(report).encode())
