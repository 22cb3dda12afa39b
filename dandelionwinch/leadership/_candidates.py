"""The order in which instances try to follow the last holder."""

import functools
import hashlib

# Time between the tries of two consecutive candidates.
RANK_INTERVAL_S = 0.25
_DIGEST_BYTES = 8
WEIGHT_CACHE_SIZE = 4096


def candidate_order(names, holder, token):
    """Returns the instances that may follow a holder, the first one first.

    It is a rendezvous hash, so all instances that know the same holder
    compute the same order, and an instance that is missing in one view
    changes the order of the others there by one rank at most.

    Args:
        names: Names of the registered instances.
        holder: Name of the last holder, or ''; it is left out.
        token: Its fencing token, or 0.
    """
    return sorted(
        (name for name in set(names) if name != holder),
        key=lambda name: (_weight(name, token), name),
    )


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(name, token):
    text = f'{token}/{name}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
