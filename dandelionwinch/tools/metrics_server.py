"""Requests to the metrics server of an instance."""

import urllib3

from dandelionwinch import errors

TIMEOUT_S = 5.0
NOT_FOUND_STATUS = 404


def request(address, method, path):
    """Returns the response of a metrics server.

    Args:
        address: Its address, as host:port.
        method: Method of the request.
        path: Path of the request.

    Raises:
        Unready: If it gave no answer.
    """
    try:
        return urllib3.request(
            method, f'http://{address}{path}', timeout=TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError as exc:
        raise errors.Unready(
            f'metrics server "{address}" gave no answer: {exc}'
        ) from exc


def fetch(address, path, parse, name):
    """Returns a page of a metrics server as an object.

    Args:
        address: Its address, as host:port.
        path: Path of the page.
        parse: Function that returns the object for the JSON of the page; it
            may raise errors.SHAPE_ERRORS.
        name: What the page tells, for errors.

    Returns:
        The object, None if the settings of the instance name no such page.

    Raises:
        Unready: If it gave no answer, or one that cannot be read.
    """
    reply = request(address, 'GET', path)
    if reply.status == NOT_FOUND_STATUS:
        return None
    try:
        return parse(reply.json())
    except errors.SHAPE_ERRORS as exc:
        raise errors.Unready(
            f'metrics server "{address}" gave no {name}'
        ) from exc
