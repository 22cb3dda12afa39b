"""The order in which instances try to follow the last holder."""

import hashlib

# Time between the tries of two consecutive candidates.
RANK_INTERVAL_S = 0.25
_DIGEST_BYTES = 8


def candidate_order(names, holder, revision):
    """Returns the instances that may follow a holder, the first one first.

    It is a rendezvous hash, so all instances that know the same holder
    compute the same order, and an instance that is missing in one view
    changes the order of the others there by one rank at most.

    Args:
        names: Names of the registered instances.
        holder: Name of the last holder, or ''; it is left out.
        revision: Number of the revision of its key.
    """
    return sorted(
        (name for name in set(names) if name != holder),
        key=lambda name: (_weight(name, revision), name),
    )


def _weight(name, revision):
    text = f'{revision}/{name}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
