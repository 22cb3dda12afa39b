"""Lists the instances that a caller of the gateway should connect to.

A caller picks one of the returned addresses at random. So that unequal
instances get callers in proportion to their capacity, an instance is
listed with a probability of its capacity over that of the largest one.
"""

import attrs

MAX_ADDRESSES = 64
MIN_ADDRESSES = 2


@attrs.frozen
class InstanceEntry:
    """Entry of an instance that accepts callers' requests.

    Attributes:
        capacity: Requests per second that it can serve.
    """

    name: str
    address: str
    data_centre: str
    region: str
    capacity: float = 1.0


def nearest(entries, data_centre, region, rng):
    """Returns addresses for a caller.

    Instances of the caller's data centre suffice if there are
    MIN_ADDRESSES of them, as others cost traffic and latency on each
    request. If not, those of its region are added, then all others.

    Args:
        entries: InstanceEntry of each instance that is ready.
        data_centre: The caller's data centre, or ''.
        region: The caller's region, or ''.
        rng: Source of randomness.

    Returns:
        A list of addresses, in a stable order.
    """
    entries = list(entries)
    local = [e for e in entries if e.data_centre == data_centre]
    regional = [e for e in entries if e.region == region and e not in local]
    remote = [e for e in entries if e not in local and e not in regional]
    chosen = []
    for group in (local, regional, remote):
        if len(chosen) >= MIN_ADDRESSES:
            break
        chosen += _sample(group, rng)
    ranked = sorted(chosen, key=lambda e: e.name)
    return [e.address for e in ranked[:MAX_ADDRESSES]]


def _sample(group, rng):
    """Samples instances by capacity, at least MIN_ADDRESSES if possible."""
    largest = max((e.capacity for e in group), default=0.0)
    sampled = [e for e in group if rng.random() * largest < e.capacity]
    ranked = sorted(group, key=lambda e: -e.capacity)
    missing = [e for e in ranked if e not in sampled]
    return sampled + missing[: max(0, MIN_ADDRESSES - len(sampled))]
