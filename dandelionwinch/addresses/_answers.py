"""Answers clients by weighted rendezvous hashing with bounded load."""

import attrs

from dandelionwinch import utils

LOAD_BOUND = 1.5
LEAST_BOUND_JOBS = 4


@attrs.frozen
class Assignment:
    """An address answer.

    Attributes:
        address: Instance to use.
        fallback: Another instance, or an empty string.
        valid_s: How long the answer holds.
    """

    address: str
    instance: str
    fallback: str
    valid_s: float


def assign(usable, data_centre, team, valid_s):
    """Chooses an instance for a team's client.

    A team keeps its instance while the membership stays, so that its
    prompts meet the same beliefs about caches. An instance with more
    than its bounded share of jobs is passed over.

    Args:
        usable: Known instances that take new work.
        data_centre: Data centre of the client, or an empty string.
        team: Name of the team.
        valid_s: How long the answer may hold.

    Returns:
        An Answer, or None if there is no instance.
    """
    if not usable:
        return None
    near = [known for known in usable if known.data_centre == data_centre]
    ranked = _ranked(near, team)
    far = [known for known in usable if known not in near]
    ranked += _ranked(far, team)
    first = ranked[0]
    second = ranked[1].member.client_address if len(ranked) > 1 else ''
    return Assignment(first.member.client_address, first.name, second, valid_s)


def _ranked(candidates, team):
    if not candidates:
        return []
    mean = sum(known.jobs for known in candidates) / len(candidates)
    bound = max(LEAST_BOUND_JOBS, LOAD_BOUND * mean)

    def rank(known):
        weight = known.member.weight or 1.0
        score = utils.rendezvous_score(weight, team, known.name)
        return (known.jobs > bound, -score)

    return sorted(candidates, key=rank)
