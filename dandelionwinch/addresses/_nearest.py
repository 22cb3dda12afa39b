"""Lists the instances that a caller should connect to.

Answers a fleet of unlike machines: a caller picks one of the addresses
that it is given at random, so an instance stands in as many answers as
its capacity is of the largest one's.
"""

import attrs

MAX_ADDRESSES = 64
ENOUGH = 2


@attrs.frozen
class InstanceEntry:
    """An instance that takes callers' requests.

    Attributes:
        capacity: Requests per second that it can carry.
    """

    name: str
    address: str
    data_centre: str
    region: str
    capacity: float = 1.0


def nearest(present, data_centre, region, rng):
    """Returns addresses for a caller.

    Those of the caller's data centre are enough if there are two of
    them; farther ones cost bytes and time on each request.

    Args:
        present: Presence of each instance that is ready.
        data_centre: The caller's data centre, or ''.
        region: The caller's region, or ''.
        rng: Source of randomness.

    Returns:
        A list of addresses, in a stable order.
    """
    present = list(present)
    same = [p for p in present if p.data_centre == data_centre]
    near = [p for p in present if p.region == region and p not in same]
    far = [p for p in present if p not in same and p not in near]
    chosen = []
    for group in (same, near, far):
        if len(chosen) >= ENOUGH:
            break
        chosen += _drawn(group, rng)
    ranked = sorted(chosen, key=lambda p: p.name)
    return [p.address for p in ranked[:MAX_ADDRESSES]]


def _drawn(group, rng):
    """Returns some of a group, each as often as its capacity asks for."""
    largest = max((p.capacity for p in group), default=0.0)
    drawn = [p for p in group if rng.random() * largest < p.capacity]
    ranked = sorted(group, key=lambda p: -p.capacity)
    missing = [p for p in ranked if p not in drawn]
    return drawn + missing[: max(0, ENOUGH - len(drawn))]
