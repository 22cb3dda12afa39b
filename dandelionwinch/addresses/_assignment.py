"""Weighted rendezvous hashing of teams to instances with bounded load."""

import attrs

from dandelionwinch import utils

# Bound of an instance's jobs as a multiple of the mean of all instances.
LOAD_BOUND_RATIO = 1.5
MIN_LOAD_BOUND_JOBS = 4


@attrs.frozen
class Assignment:
    """The instance that a client of the entry daemon should use.

    Attributes:
        address: Address of the instance.
        instance: Name of the instance.
        fallback: Address of another instance, or an empty string.
        valid_s: Seconds for which the assignment is valid.
    """

    address: str
    instance: str
    fallback: str
    valid_s: float


def assign(usable, data_centre, team, valid_s):
    """Assigns an instance to a client of a team.

    A team keeps its instance while the membership does not change, so
    that its prompts are placed by the same estimates of cache contents.
    Instances of the client's data centre rank first; there and
    elsewhere, those above the load bound rank behind the others.

    Args:
        usable: PeerState of each instance that accepts new work.
        data_centre: Data centre of the client, or an empty string.
        team: Name of the team.
        valid_s: Seconds for which the assignment is valid.

    Returns:
        An Assignment, or None if there is no instance.
    """
    if not usable:
        return None
    local = [peer for peer in usable if peer.data_centre == data_centre]
    ranked = _ranked(local, team)
    remote = [peer for peer in usable if peer not in local]
    ranked += _ranked(remote, team)
    first = ranked[0]
    second = ranked[1].member.client_address if len(ranked) > 1 else ''
    return Assignment(first.member.client_address, first.name, second, valid_s)


def _ranked(candidates, team):
    if not candidates:
        return []
    mean = sum(peer.jobs for peer in candidates) / len(candidates)
    bound = max(MIN_LOAD_BOUND_JOBS, LOAD_BOUND_RATIO * mean)

    def rank(peer):
        weight = peer.member.weight or 1.0
        score = utils.rendezvous_score(weight, team, peer.name)
        return (peer.jobs > bound, -score)

    return sorted(candidates, key=rank)
