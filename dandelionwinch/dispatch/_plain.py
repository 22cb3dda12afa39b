"""Load balancing for plain services by distance and load.

Calls of a plain service are short and of similar size. So the nearest
upstream is preferred in spite of small differences in load, and a farther
one only while requests queue at the nearest.
"""

from dandelionwinch import upstreams

# Cost of each active request, which is also the range of the random
# tie-breaker, and cost of a failure rate of 1.
ACTIVE_REQUEST_COST_S = 0.004
FAILURE_COST_S = 0.2


def choose_plain(candidates, exclude, distances, rng, now):
    """Chooses an upstream of a plain service.

    Args:
        candidates: Upstreams that accept requests.
        exclude: Ids of upstreams already tried.
        distances: Distances from this instance.
        rng: Source of random numbers, to break ties.
        now: Time in seconds.

    Returns:
        An Upstream, or None if there is none left.
    """
    untried = [
        u
        for u in candidates
        if u.entry.id not in exclude and u.rate_limit.admits(now)
    ]
    usable = upstreams.available(untried, now)
    if not usable:
        return None
    usable = upstreams.ramped(usable, now, rng)

    def cost_s(upstream):
        return (
            distances.round_trip_s(upstream.entry.data_centre)
            + ACTIVE_REQUEST_COST_S * upstream.active
            + FAILURE_COST_S * upstream.failure_rate
            + upstream.recent_excess_s(now)
            + rng.random() * ACTIVE_REQUEST_COST_S
        )

    return min(usable, key=cost_s)
