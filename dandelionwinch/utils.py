"""Small helpers shared by several modules."""

import hashlib
import math
import pathlib
import random
import re
import socket

LOWEST_PORT = 20000
DEFAULT_EPHEMERAL_PORT = 32768
_DIGEST_BYTES = 8
_WORDS = re.compile(r'\S+')
_PORT_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


def first_ephemeral_port():
    """Returns the lowest port that the system gives to connections."""
    try:
        first = int(_PORT_RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        first = DEFAULT_EPHEMERAL_PORT
    return max(LOWEST_PORT + 1000, first)


def stable_hash(*parts):
    """Hashes strings to 64 bits, alike in every process.

    Args:
        *parts: Values that are turned to text.

    Returns:
        A whole number of 64 bits.
    """
    text = '\x1f'.join(str(part) for part in parts)
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def rendezvous_score(weight, *parts):
    """Gives the weighted rendezvous score of one candidate.

    Highest random weight hashing with the logarithmic method, so that
    a candidate wins a share of keys in line with its weight.

    Args:
        weight: Relative share, above zero.
        *parts: The key and the candidate's name.

    Returns:
        A float; the candidate with the largest score wins.
    """
    unit = (stable_hash(*parts) + 1) / (2**64 + 1)
    return -weight / math.log(unit)


def digest_of(data):
    """Returns the hex digest of bytes."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def estimate_tokens(text):
    """Estimates the number of tokens of a text.

    Engines tokenize for themselves; placement only needs the size.
    """
    return len(_WORDS.findall(text))


def percentile(values, share):
    """Returns the value below which a share of the values lies.

    Args:
        values: Numbers in any order; may be empty.
        share: Between 0 and 1.

    Returns:
        A value of the list by the nearest rank, or 0.0 for none.
    """
    if not values:
        return 0.0
    ranked = sorted(values)
    rank = max(0, math.ceil(share * len(ranked)) - 1)
    return ranked[rank]


def free_ports(count):
    """Returns ports of the loopback address that nobody uses now.

    They lie below those that the system gives to outgoing connections,
    so that none is taken between this check and its use.
    """
    rng = random.SystemRandom()
    sockets = []
    try:
        while len(sockets) < count:
            port = rng.randrange(LOWEST_PORT, first_ephemeral_port())
            item = socket.socket()
            try:
                item.bind(('127.0.0.1', port))
            except OSError:
                item.close()
                continue
            sockets.append(item)
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
