"""What one run of the soak has besides the faults of all runs."""

import attrs

from dandelionwinch.soak import _capacity
from dandelionwinch.soak import _duties
from dandelionwinch.soak import _limits
from dandelionwinch.soak import _poison
from dandelionwinch.soak import _teams


# Runs with lower seeds have no teams, duties or capacity: their seeds name
# regression cases from before there were these parts.
FIRST_SEED = 3000


@attrs.frozen
class Plan:
    """The parts of one run, each drawn by itself from the seed.

    Attributes:
        parts: The poison Parts.
        limits: The Limits.
        teams: The plan of the teams, None without teams.
        duties: The faults of the API of duties, None without reports of
            usage.
        capacity: The Takings, None without scaling.
    """

    parts: tuple = ()
    limits: tuple = ()
    teams: object = None
    duties: object = None
    capacity: object = None

    @property
    def duty_names(self):
        """Names of the duties of the instances, as in their settings."""
        names = []
        if self.duties is not None:
            names.append(_duties.USAGE)
        if self.capacity is not None:
            names.append(_duties.CAPACITY)
        return tuple(names)

    @property
    def service_fields(self):
        """Further fields of the service in the configuration."""
        if self.capacity is None:
            return {}
        return _capacity.service_fields()


NONE = Plan()


def plan(seed, for_s):
    """Returns the Plan of a run.

    Args:
        seed: Seed of the run.
        for_s: Seconds for which faults are injected.
    """
    parts = tuple(_poison.plan(seed, for_s))
    limits = tuple(_limits.plan(seed, for_s))
    if seed < FIRST_SEED:
        return Plan(parts, limits)
    teams = _teams.plan(seed, for_s)
    duties = _duties.plan(seed, for_s)
    if duties is not None and teams is None:
        teams = _teams.UNCHANGED
    return Plan(parts, limits, teams, duties, _capacity.plan(seed, for_s))
