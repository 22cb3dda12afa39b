"""Which roles the upstreams of a pool should have."""

import attrs

from dandelionwinch.placement import _beliefs
from dandelionwinch import settings

TARGET_USE = 0.85
GOODPUT_WEIGHT = 0.02
CHANGE_WEIGHT = 0.25


@attrs.frozen
class Capacity:
    """Usable upstreams of a pool by role.

    Attributes:
        prefill: Upstreams that only prefill.
        decode: Upstreams that decode, and prefill in chunks.
    """

    prefill: int
    decode: int


@attrs.frozen
class RoleChange:
    """A change that pays for itself.

    Attributes:
        gain: Expected share of the demand that it saves over the
            horizon, after its costs.
    """

    upstream: str
    role: settings.Role
    gain: float
    terms: str


def served_share(capacity, prefill_load, decode_load):
    """Returns the share of a demand that some roles can serve.

    Args:
        capacity: Upstreams by role.
        prefill_load: Prompt work in busy upstreams.
        decode_load: Output work in busy upstreams.
    """
    prefill = capacity.prefill * TARGET_USE
    decode = capacity.decode * TARGET_USE
    efficiency = _beliefs.CHUNK_EFFICIENCY
    share = 1.0
    if decode_load > 0:
        share = min(share, decode / decode_load)
    work = prefill_load + efficiency * decode_load
    if work > 0:
        share = min(share, (prefill + efficiency * decode) / work)
    if decode_load > 0 and decode <= 0:
        return 0.0
    return max(0.0, share)


def plan_roles(beliefs, rates, policy, away, now):
    """Decides on at most one role change of a pool.

    A change is worth its price if the share of demand that it saves
    over the horizon exceeds what its absence loses, and a further part
    that grows with the policy's knob. The change must pay under the
    short and under the long view of the demand.

    Args:
        beliefs: Belief of each upstream of the pool.
        rates: Pairs of prompt and output tokens per second.
        policy: The pool's policy.
        away: Number of upstreams that are away by a change.
        now: Time in seconds.

    Returns:
        A RoleChange, or None.
    """
    usable = [belief for belief in beliefs if belief.usable(now)]
    if not usable or not rates:
        return None
    allowed = max(1, int(policy.away_share * len(beliefs)))
    if away >= allowed:
        return None
    best = None
    for wanted in (settings.Role.DECODE, settings.Role.PREFILL):
        change = _weigh(usable, rates, policy, wanted, now)
        if change is not None and (best is None or change.gain > best.gain):
            best = change
    return best


def _weigh(usable, rates, policy, wanted, now):
    movable = [b for b in usable if _is_prefill(b) != _takes(wanted)]
    if not movable:
        return None
    present = _capacity(usable)
    step = 1 if _takes(wanted) else -1
    after = Capacity(present.prefill + step, present.decode - step)
    without = Capacity(
        present.prefill - (step < 0), present.decode - (step > 0)
    )
    if after.decode < 1:
        return None
    gains = [
        _gain(pair, usable, present, after, without, policy) for pair in rates
    ]
    if min(gains) <= 0:
        return None
    upstream = min(movable, key=lambda b: (b.decoding(), b.kv_used(), b.name))
    terms = (
        f'prefill {present.prefill} to {after.prefill}, expected gain '
        f'{min(gains):.3f} of the demand over {policy.horizon_s:g} s'
    )
    return RoleChange(upstream.name, wanted, min(gains), terms)


def _takes(role):
    return role is settings.Role.PREFILL


def _is_prefill(belief):
    return belief.role is settings.Role.PREFILL


def _capacity(usable):
    prefill = sum(1 for belief in usable if _is_prefill(belief))
    return Capacity(prefill, len(usable) - prefill)


def _gain(pair, usable, present, after, without, policy):
    count = len(usable)
    prefill_rate = sum(b.prefill_rate for b in usable) / count
    decode_rate = sum(b.decode_rate for b in usable) / count
    loads = (pair[0] / prefill_rate, pair[1] / decode_rate)
    now_share = served_share(present, *loads)
    new_share = served_share(after, *loads)
    away_share = served_share(without, *loads)
    away_s = 2 * policy.role_change_s
    saved = (new_share - now_share) * (policy.horizon_s - away_s)
    lost = (now_share - away_share) * away_s
    knob = policy.change_weight
    price = (GOODPUT_WEIGHT + CHANGE_WEIGHT * knob) * policy.horizon_s
    return (saved - lost - price) / policy.horizon_s
