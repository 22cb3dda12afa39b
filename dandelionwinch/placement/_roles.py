"""Plans the roles of the upstreams of a pool."""

import attrs

from dandelionwinch.placement import _load
from dandelionwinch import settings

# Part of the capacity that is planned to be used.
TARGET_USE_RATIO = 0.85
# A role change must gain this part of the demand, plus the second part times
# the change weight of the policy.
MIN_GAIN_RATIO = 0.02
GAIN_PER_CHANGE_WEIGHT = 0.25


@attrs.frozen
class Capacity:
    """Number of usable upstreams of a pool by role.

    Attributes:
        prefill: Upstreams that only prefill.
        decode: Upstreams that decode, and prefill in chunks.
    """

    prefill: int
    decode: int


@attrs.frozen
class RoleChange:
    """A role change whose gain exceeds its cost.

    Attributes:
        upstream: Name of the upstream.
        role: The role that it is to change to.
        gain: Expected part of the demand over the horizon that the change
            saves, after its costs.
        terms: Description of the decision, for operators.
    """

    upstream: str
    role: settings.Role
    gain: float
    terms: str


def served_share(capacity, prefill_load, decode_load):
    """Returns the part of the demand that a capacity can serve, 0 to 1.

    Args:
        capacity: Number of upstreams by role.
        prefill_load: Prefill work, as a number of fully used upstreams.
        decode_load: Decode work, as a number of fully used upstreams.
    """
    prefill = capacity.prefill * TARGET_USE_RATIO
    decode = capacity.decode * TARGET_USE_RATIO
    efficiency = _load.CHUNK_EFFICIENCY
    share = 1.0
    if decode_load > 0:
        share = min(share, decode / decode_load)
    # Decode upstreams prefill in the time that decodes leave, at a lower
    # rate: share * prefill_load <= prefill + efficiency * (decode - share *
    # decode_load), solved for the share.
    work = prefill_load + efficiency * decode_load
    if work > 0:
        share = min(share, (prefill + efficiency * decode) / work)
    if decode_load > 0 and decode <= 0:
        return 0.0
    return max(0.0, share)


def plan_roles(estimates, rates, policy, away, now):
    """Plans at most one role change of a pool.

    A change is planned if the part of the demand that it saves over the
    horizon exceeds what is lost during the change, plus a margin that grows
    with the change weight of the policy. It must do so for the demand of
    the short and of the long time span.

    Args:
        estimates: LoadEstimate of each upstream of the pool.
        rates: Pairs of prompt and output tokens per second, as
            Trend.rates returns them.
        policy: The policy of the pool.
        away: Number of upstreams that are changing their role. No change
            is planned if the policy allows no more at once.
        now: Time in seconds.

    Returns:
        A RoleChange, or None.
    """
    usable = [estimate for estimate in estimates if estimate.usable(now)]
    if not usable or not rates:
        return None
    allowed = max(1, int(policy.away_share * len(estimates)))
    if away >= allowed:
        return None
    best = None
    for wanted in (settings.Role.DECODE, settings.Role.PREFILL):
        change = _evaluate(usable, rates, policy, wanted, now)
        if change is not None and (best is None or change.gain > best.gain):
            best = change
    return best


def _evaluate(usable, rates, policy, wanted, now):
    """Returns the best RoleChange to a role, None if none has a gain."""
    movable = [e for e in usable if _is_prefill(e) != _prefills(wanted)]
    if not movable:
        return None
    present = _capacity(usable)
    step = 1 if _prefills(wanted) else -1
    after = Capacity(present.prefill + step, present.decode - step)
    during = Capacity(
        present.prefill - (step < 0), present.decode - (step > 0)
    )
    if after.decode < 1:
        return None
    gains = [
        _gain(pair, usable, present, after, during, policy) for pair in rates
    ]
    if min(gains) <= 0:
        return None
    upstream = min(movable, key=lambda e: (e.decoding(), e.kv_used(), e.name))
    terms = (
        f'prefill {present.prefill} to {after.prefill}, expected gain '
        f'{min(gains):.3f} of the demand over {policy.horizon_s:g} s'
    )
    return RoleChange(upstream.name, wanted, min(gains), terms)


def _prefills(role):
    return role is settings.Role.PREFILL


def _is_prefill(estimate):
    return estimate.role is settings.Role.PREFILL


def _capacity(usable):
    prefill = sum(1 for estimate in usable if _is_prefill(estimate))
    return Capacity(prefill, len(usable) - prefill)


def _gain(pair, usable, present, after, during, policy):
    """Returns the part of the demand saved by a change, after its costs.

    Args:
        pair: Prompt and output tokens per second.
        usable: LoadEstimates of the usable upstreams.
        present: The Capacity before the change.
        after: The Capacity after it.
        during: The Capacity while one upstream changes its role.
        policy: The policy of the pool.
    """
    count = len(usable)
    prefill_rate = sum(e.prefill_rate for e in usable) / count
    decode_rate = sum(e.decode_rate for e in usable) / count
    loads = (pair[0] / prefill_rate, pair[1] / decode_rate)
    present_share = served_share(present, *loads)
    after_share = served_share(after, *loads)
    during_share = served_share(during, *loads)
    away_s = 2 * policy.role_change_s
    saved = (after_share - present_share) * (policy.horizon_s - away_s)
    lost = (present_share - during_share) * away_s
    weight = policy.change_weight
    margin = (
        MIN_GAIN_RATIO + GAIN_PER_CHANGE_WEIGHT * weight
    ) * policy.horizon_s
    return (saved - lost - margin) / policy.horizon_s
