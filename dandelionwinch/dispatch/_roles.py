"""Which engine changes its role next, if any.

Answers a fleet whose roles do not fit its mix, as after crashes, when
engines come back in the role that they began with. In a data centre each
engine that only reads prompts needs one beside it that makes answers;
half of the engines of each data centre read, if answers leave room.
"""

import attrs

from dandelionwinch import upstreams

ANSWER_SLOT_SHARE = 0.8


@attrs.frozen
class RoleOrder:
    """An engine and the role that it is to take."""

    upstream_id: str
    role: upstreams.Role


def plan_role(engines, answers):
    """Plans the next change of a role.

    Args:
        engines: Beliefs of a service's engines that take requests.
        answers: Long answers that are made at once, at the peak.

    Returns:
        A RoleOrder, or None if the roles fit.
    """
    centres = {}
    for belief in engines:
        centres.setdefault(belief.entry.data_centre, []).append(belief)
    for group in sorted(centres.values(), key=len, reverse=True):
        readers = [b for b in group if _reads(b)]
        spare = len(group) - len(readers)
        if readers and (not spare or len(readers) > spare + 1):
            return RoleOrder(_first(readers), upstreams.Role.DECODE)
    decoders = [b for b in engines if not _reads(b)]
    if not _answers_fit(decoders, answers):
        return None
    for group in sorted(centres.values(), key=len, reverse=True):
        readers = [b for b in group if _reads(b)]
        if len(readers) < len(group) // 2:
            spare = [b for b in group if not _reads(b)]
            return RoleOrder(_first(spare), upstreams.Role.PREFILL)
    return None


def _answers_fit(decoders, answers):
    slots = sum(b.entry.slots for b in decoders)
    least = min((b.entry.slots for b in decoders), default=0)
    return answers <= ANSWER_SLOT_SHARE * (slots - least)


def _reads(belief):
    return belief.entry.role is upstreams.Role.PREFILL


def _first(group):
    """Returns the id of the least busy engine; ties go by id."""
    return min(group, key=lambda b: (b.active, b.entry.id)).entry.id
