"""Encodes and decodes the calls that copy a run to another engine."""

import http
import json
import re
import urllib.parse

from dandelionwinch import migration

MOVE_PATH = '/-/kv-move'
HANDLE_PATH = '/-/kv-handle/'
# A handle is sent on in a header.
MAX_HANDLE_CHARS = 512
# Characters that a segment of a path may have beside letters and digits.
SEGMENT_CHARS = "-._~!$&'()*+,;=:@"
_HANDLE = re.compile(r'[!-~]+')


def move_body(request_id, target, last):
    """Returns the body of a call for a copy."""
    body = {'id': request_id, 'target': target, 'last': last}
    return json.dumps(body).encode()


def free_path(handle):
    """Returns the path of a call to free a copy."""
    return HANDLE_PATH + urllib.parse.quote(handle, safe=SEGMENT_CHARS)


def parse_reply(status, body):
    """Returns the message for the Migration that asked for a copy.

    An answer that can't be read is as good as none.
    """
    fields = _fields(body)
    handle = _handle(fields)
    match status:
        case http.HTTPStatus.OK if handle:
            return migration.Copied(handle, _created(fields))
        case http.HTTPStatus.NOT_FOUND:
            return migration.NoSuchRun()
        case http.HTTPStatus.CONFLICT:
            return migration.InProgress()
        case http.HTTPStatus.SERVICE_UNAVAILABLE:
            return migration.Refused(handle)
    return migration.Unanswered()


def _fields(body):
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


def _handle(fields):
    handle = fields.get('kvHandle')
    if not isinstance(handle, str) or len(handle) > MAX_HANDLE_CHARS:
        return ''
    return handle if _HANDLE.fullmatch(handle) else ''


def _created(fields):
    created = fields.get('created')
    return created if type(created) is int and created >= 0 else 0
