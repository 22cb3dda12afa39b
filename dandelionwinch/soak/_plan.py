"""What one run of the soak has besides the faults of all runs."""

import attrs

from dandelionwinch.soak import _duties
from dandelionwinch.soak import _limits
from dandelionwinch.soak import _poison
from dandelionwinch.soak import _teams


@attrs.frozen
class Plan:
    """The parts of one run, each drawn by itself from the seed.

    Attributes:
        parts: The poison Parts.
        limits: The Limits.
        teams: The plan of the teams, None without teams.
        duties: The faults of the API of duties, None without duties.
    """

    parts: tuple = ()
    limits: tuple = ()
    teams: object = None
    duties: object = None


NONE = Plan()


def plan(seed, for_s):
    """Returns the Plan of a run.

    Args:
        seed: Seed of the run.
        for_s: Seconds for which faults are injected.
    """
    teams = _teams.plan(seed, for_s)
    duties = _duties.plan(seed, for_s)
    if duties is not None and teams is None:
        teams = _teams.UNCHANGED
    return Plan(
        tuple(_poison.plan(seed, for_s)),
        tuple(_limits.plan(seed, for_s)),
        teams,
        duties,
    )
