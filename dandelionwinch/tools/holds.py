"""Shows and lifts the holds of an instance, over its metrics server."""

import urllib.parse

import attrs

from dandelionwinch import errors
from dandelionwinch.tools import metrics_server

PATH = '/-/holds'


@attrs.frozen
class Hold:
    """A subject whose requests an instance refuses.

    Attributes:
        subject: Key of the subject.
        held_s: Seconds since it is held.
        ends_in_s: Seconds until it ends if no other request with it comes.
        crashes: Crashes of engines that led to it.
        refused: Requests that this instance refused.
    """

    subject: str
    held_s: float
    ends_in_s: float
    crashes: int
    refused: int


def fetch(address):
    """Returns the Holds in force at an instance.

    Args:
        address: Address of its metrics server, as host:port.

    Raises:
        Unready: If it gave no answer, or one that cannot be read.
    """
    holds = metrics_server.fetch(address, PATH, _parse, 'list of holds')
    if holds is None:
        raise errors.Unready(
            f'server "{address}" is not the metrics server of an instance'
        )
    return holds


def _parse(page):
    return [Hold(**row) for row in page['holds']]


def lift(address, subject):
    """Lifts a hold at an instance, which tells the others.

    Returns:
        Whether the subject was held there.

    Raises:
        Unready: If it gave no answer, or not that of an instance.
    """
    path = f'{PATH}/{urllib.parse.quote(subject, safe="")}'
    reply = metrics_server.request(address, 'DELETE', path)
    if reply.status not in (200, 404):
        raise errors.Unready(
            f'metrics server "{address}" answered {reply.status}'
        )
    return reply.status == 200


def format_hold(hold):
    """Returns a line that describes a Hold."""
    return (
        f'{hold.subject} held_s={hold.held_s} ends_in_s={hold.ends_in_s} '
        f'crashes={hold.crashes} refused={hold.refused}'
    )
