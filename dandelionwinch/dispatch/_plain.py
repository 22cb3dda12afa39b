"""Placement on plain services: the nearest upstream that is not loaded.

Answers the load of many short calls of one size: the distance outweighs
small differences of load, and a queue outweighs the distance.
"""

from dandelionwinch import upstreams

QUEUE_S = 0.004
FAILURE_S = 0.2


def choose_plain(beliefs, exclude, distances, rng, now):
    """Chooses an upstream of a plain service.

    Args:
        beliefs: Upstreams that take requests.
        exclude: Ids of upstreams already tried.
        distances: Distances from here.
        rng: Source of randomness for ties.
        now: Time in seconds.

    Returns:
        A Belief, or None if there is none left.
    """
    fresh = [b for b in beliefs if b.entry.id not in exclude]
    usable = upstreams.available(fresh, now)
    if not usable:
        return None

    def cost_s(belief):
        return (
            distances.round_trip_s(belief.entry.data_centre)
            + QUEUE_S * belief.active
            + FAILURE_S * belief.failures
            + belief.late_by_s(now)
            + rng.random() * QUEUE_S
        )

    return min(usable, key=cost_s)
