"""Plans the next role change of an engine.

The roles may not fit the load, as after a crash, when engines restart in
their initial role. Each data centre needs a decode engine, and may have one
prefill engine more than decode engines. Half of its engines prefill if the
other half has slots for the decodes.

Reclaimable engines may be taken away at short notice, all of a data centre at
once. Of the ordinary ones, which remain, one decodes.
"""

import attrs

from dandelionwinch import upstreams

# Part of the slots of decode engines that decodes may use, once one of these
# engines prefills.
MAX_SLOT_USE_RATIO = 0.8


@attrs.frozen
class RoleChange:
    """An engine and the role that it is to change to."""

    upstream_id: str
    role: upstreams.Role


def plan_role(engines, decodes):
    """Plans the next role change.

    Args:
        engines: Upstreams of a service that accept requests.
        decodes: Peak number of concurrent decodes, that is of short prompts
            in flight at all instances.

    Returns:
        A RoleChange, or None if no change is needed.
    """
    data_centres = {}
    for engine in engines:
        data_centres.setdefault(engine.entry.data_centre, []).append(engine)
    for group in sorted(data_centres.values(), key=len, reverse=True):
        prefill = [e for e in group if _is_prefill(e)]
        decode_count = len(group) - len(prefill)
        if prefill and (not decode_count or len(prefill) > decode_count + 1):
            return RoleChange(_first_to_decode(prefill), upstreams.Role.DECODE)
    decode = [e for e in engines if not _is_prefill(e)]
    if not _has_spare_slots(decode, decodes):
        return None
    for group in sorted(data_centres.values(), key=len, reverse=True):
        prefill = [e for e in group if _is_prefill(e)]
        if len(prefill) < len(group) // 2:
            candidates = [e for e in group if not _is_prefill(e)]
            return RoleChange(
                _first_to_prefill(candidates), upstreams.Role.PREFILL
            )
    return _plan_lasting_decoder(data_centres.values())


def _plan_lasting_decoder(groups):
    """Plans that an ordinary engine decodes where none does.

    A reclaimable one then prefills in its place.
    """
    for group in sorted(groups, key=len, reverse=True):
        lasting = [e for e in group if not e.entry.reclaimable]
        mixed = lasting and len(lasting) < len(group)
        if mixed and all(_is_prefill(e) for e in lasting):
            return RoleChange(_least_busy(lasting), upstreams.Role.DECODE)
    return None


def _has_spare_slots(engines, decodes):
    """Tells whether the decodes fit if the smallest engine prefills."""
    slots = sum(e.entry.slots for e in engines)
    least = min((e.entry.slots for e in engines), default=0)
    return decodes <= MAX_SLOT_USE_RATIO * (slots - least)


def _is_prefill(engine):
    return engine.entry.role is upstreams.Role.PREFILL


def _first_to_prefill(group):
    reclaimable = [e for e in group if e.entry.reclaimable]
    return _least_busy(reclaimable or group)


def _first_to_decode(group):
    lasting = [e for e in group if not e.entry.reclaimable]
    return _least_busy(lasting or group)


def _least_busy(group):
    """Returns the id of the least busy engine; ties are broken by id."""
    return min(group, key=lambda e: (e.active, e.entry.id)).entry.id
