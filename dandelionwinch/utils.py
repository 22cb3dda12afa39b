"""Hashing, token estimates, percentiles and free ports."""

import hashlib
import math
import pathlib
import random
import re
import socket

MIN_PORT = 20000
# Start of the ephemeral range of Linux unless it is configured.
DEFAULT_EPHEMERAL_PORT = 32768
_DIGEST_BYTES = 8
_WORD_PATTERN = re.compile(r'\S+')
_PORT_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


def first_ephemeral_port():
    """Returns the first port that the system uses for connections.

    The result is at least MIN_PORT + 1000, so that free_ports always has
    1000 ports to choose from.
    """
    try:
        first = int(_PORT_RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        first = DEFAULT_EPHEMERAL_PORT
    return max(MIN_PORT + 1000, first)


def stable_hash(*parts):
    """Returns a 64-bit hash that is the same in every process.

    Args:
        *parts: Values, which are hashed as strings.

    Returns:
        An unsigned integer of 64 bits.
    """
    text = '\x1f'.join(str(part) for part in parts)
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def rendezvous_score(weight, *parts):
    """Returns the weighted rendezvous hashing score of one candidate.

    Uses the logarithmic method, by which each candidate wins a share of
    the keys in proportion to its weight.

    Args:
        weight: Relative share, above zero.
        *parts: The key and the candidate's name.

    Returns:
        A float; the candidate with the highest score wins.
    """
    unit = (stable_hash(*parts) + 1) / (2**64 + 1)
    return -weight / math.log(unit)


def digest_of(data):
    """Returns the BLAKE2b digest of bytes, 128 bits in hex."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def estimate_tokens(text):
    """Returns an estimate of the number of tokens of a text.

    It counts words: engines tokenize for themselves, and placement only
    needs the approximate size.
    """
    return len(_WORD_PATTERN.findall(text))


def percentile(values, share):
    """Returns a percentile by the nearest-rank method.

    Args:
        values: Numbers in any order; may be empty.
        share: The percentile as a ratio between 0 and 1.

    Returns:
        One of the values, or 0.0 if there are none.
    """
    if not values:
        return 0.0
    ranked = sorted(values)
    rank = max(0, math.ceil(share * len(ranked)) - 1)
    return ranked[rank]


def free_ports(count):
    """Returns free ports of the loopback address.

    They lie below the ephemeral ports that the system uses for outgoing
    connections, so that none is taken between this check and its use.

    Args:
        count: Number of ports.
    """
    rng = random.SystemRandom()
    sockets = []
    try:
        while len(sockets) < count:
            port = rng.randrange(MIN_PORT, first_ephemeral_port())
            sock = socket.socket()
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                sock.close()
                continue
            sockets.append(sock)
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
