"""When a committed change may be called accepted."""

import attrs


@attrs.frozen
class Acceptance:
    """How far a committed revision has come.

    Attributes:
        accepted: Whether no instance serves under an older revision.
        missing: Instances that have not confirmed it.
        reason: Why it is not accepted yet, or empty.
    """

    accepted: bool
    missing: tuple[str, ...]
    reason: str


def judge(revision, members, places, waited_s, cut_off_s):
    """Judges a committed revision.

    It is accepted when every instance that may live holds it. Where
    some cannot be reached, it is accepted once a majority of places
    hold it as a whole and the others had the time to notice that they
    are cut off, upon which they refuse new work by themselves.

    Args:
        revision: The committed revision.
        members: Known instances that may live.
        places: Names of all places.
        waited_s: Seconds since the commit.
        cut_off_s: Seconds after which an instance without contact
            refuses new work.
    """
    missing = [k for k in members if k.revision < revision]
    names = tuple(known.name for known in missing)
    if not missing:
        return Acceptance(True, (), '')
    lacking = {known.place for known in missing}
    whole = [place for place in places if place not in lacking]
    if 2 * len(whole) <= len(places):
        return Acceptance(False, names, 'no majority of places holds it')
    if waited_s <= 2 * cut_off_s:
        return Acceptance(
            False, names, 'waiting for unreached instances to stop'
        )
    return Acceptance(True, names, '')
