"""Decides when an upstream that asked for a pause gets requests again.

It gets none until its pause has ended. Then its part of the requests rises
from none to the usual one, at each instance and so over all of them.
"""

# An unlikely value must not withdraw a sound upstream for good; one that
# needs longer asks again.
MAX_HOLD_OFF_S = 600.0
# Part of the pause by which instances return later than asked, so that they
# do not return all at once, and its upper limit.
RETURN_SPREAD_RATIO = 0.5
MAX_RETURN_SPREAD_S = 2.0
# Part of the pause in which the requests rise to their usual number, and
# its upper limit.
RAMP_RATIO = 1.0
MAX_RAMP_S = 2.0


def hold_off_end(wait_s, now, share):
    """Returns the time from which an upstream gets requests again.

    Args:
        wait_s: Pause that the upstream asked for.
        now: Time of its response in seconds.
        share: Random number from 0 to 1 of this instance.
    """
    wait_s = _bounded(wait_s)
    spread_s = min(MAX_RETURN_SPREAD_S, RETURN_SPREAD_RATIO * wait_s)
    return now + wait_s + share * spread_s


def ramp_s(wait_s):
    """Returns the time in which requests rise to their usual number.

    Args:
        wait_s: Pause that the upstream asked for.
    """
    return min(MAX_RAMP_S, RAMP_RATIO * _bounded(wait_s))


def ramped(upstreams, now, rng):
    """Returns the upstreams from which one request may choose.

    Those that return from a pause are left out at times, unless no other
    has their role: the ramp refuses no request.

    Args:
        upstreams: Upstreams that are available.
        now: Time in seconds.
        rng: Source of random numbers.
    """
    back = [u for u in upstreams if _share(u, now) >= 1.0]
    if len(back) == len(upstreams):
        return upstreams
    active = sum(u.active for u in back) / max(1, len(back))
    pairs = [
        (u, _admits(_share(u, now), u.active, active, rng)) for u in upstreams
    ]
    roles = {u.entry.role for u, is_admitted in pairs if is_admitted}
    return [
        u
        for u, is_admitted in pairs
        if is_admitted or u.entry.role not in roles
    ]


def _share(upstream, now):
    """Returns the part of its usual requests that an upstream gets."""
    elapsed_s = now - upstream.held_off_until
    if elapsed_s >= upstream.ramp_s:
        return 1.0
    return elapsed_s / upstream.ramp_s


def _admits(share, active, usual_active, rng):
    """Tells whether an upstream takes one more request.

    Args:
        share: Part of its usual requests that it gets.
        active: Requests in flight at it.
        usual_active: Mean of those in flight at upstreams without a ramp.
        rng: Source of random numbers.
    """
    if share >= 1.0:
        return True
    # An idle one would be preferred to all others until it is as busy.
    return active < max(1.0, share * usual_active) and rng.random() < share


def _bounded(wait_s):
    return min(MAX_HOLD_OFF_S, max(0.0, wait_s))
