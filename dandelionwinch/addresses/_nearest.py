"""Lists the instances that a caller should connect to, by distance."""

import attrs

MAX_ADDRESSES = 64
ENOUGH = 2


@attrs.frozen
class Presence:
    """An instance that takes callers' requests."""

    name: str
    address: str
    data_centre: str
    region: str


def nearest(present, data_centre, region):
    """Returns addresses for a caller.

    Those of the caller's data centre are enough if there are two of
    them; farther ones cost bytes and time on each request.

    Args:
        present: Presence of each instance that is ready.
        data_centre: The caller's data centre, or ''.
        region: The caller's region, or ''.

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
        chosen += group
    ranked = sorted(chosen, key=lambda p: p.name)
    return [p.address for p in ranked[:MAX_ADDRESSES]]
