"""Checks of the items of datagrams, and their division into pieces.

A check returns what it is given, or raises ValueError for a malformed item,
which a PeerLink drops with its datagram.
"""

import math

# Rows in one datagram; more of them take several.
MAX_ROWS = 20
MAX_TEXT_CHARS = 128


def pieces(rows):
    """Yields rows in lists for one datagram each."""
    for first in range(0, len(rows), MAX_ROWS):
        yield rows[first : first + MAX_ROWS]


def registered_sender(link, addr):
    """Returns the name of the registered instance at an address.

    Args:
        link: PeerLink.
        addr: Address of the sender.

    Raises:
        ValueError: If no instance is registered with it.
    """
    for name, known in link.peers.items():
        if tuple(known) == tuple(addr[:2]):
            return name
    raise ValueError(f'{addr[0]} is no instance')


def checked_rows(rows):
    """Checks a list of rows for one datagram."""
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise ValueError('not a list of bounded length')
    return rows


def checked_text(text, most_chars=MAX_TEXT_CHARS):
    """Checks a text that is not empty."""
    if not isinstance(text, str) or not 0 < len(text) <= most_chars:
        raise ValueError(f'text {str(text)[:most_chars]!r}')
    return text


def checked_number(number, least=0.0, most=math.inf):
    """Checks a finite number, integer or not, within bounds."""
    if type(number) not in (int, float) or not math.isfinite(number):
        raise ValueError(f'number {str(number)[:MAX_TEXT_CHARS]!r}')
    if not least <= number <= most:
        raise ValueError(f'number {number!r}')
    return number


def checked_count(number, most):
    """Checks an integer from 0 to a maximum."""
    if type(number) is not int or not 0 <= number <= most:
        raise ValueError(f'number {str(number)[:MAX_TEXT_CHARS]!r}')
    return number
