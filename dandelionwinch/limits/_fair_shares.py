"""Fair shares of teams while capacity is short.

One instance sums up what all of them served and did not serve in time, and
finds the teams that want more than their share (max-min fairness). All
instances let the work of these teams wait or refuse it before that of others.
"""

import math

import attrs

# A team that wants much more than all others would get almost nothing from
# max-min fairness alone. Each gets at least this part of what a division in
# proportion to demand would give it; a quarter is the bound that must hold.
MIN_PROPORTION = 0.4
# Smallest capacity that is assumed, as a part of the demand. At zero the
# requests of all teams would give way alike.
MIN_CAPACITY_RATIO = 0.1
# Factor between the weights of a team of a more urgent priority and of one
# without, and of one without and one of a less urgent priority. More would
# break the bound above for teams that want a usual share.
PRIORITY_FACTOR = 2.0
# Smallest part of a team's demand that is reported as excess.
MIN_RATIO = 0.05
# Steps of the bisection for the level; each halves its range.
LEVEL_STEPS = 40
# Time for which what the other instance found is used.
VALID_S = 5.0
MAX_EXCESSES = 20


@attrs.frozen
class TeamLoad:
    """What one team asked for, in requests a second of all instances.

    Attributes:
        team: Name of the team.
        served: Requests that began to run.
        delayed: Those of them that were put in the background.
        refused: Requests that were refused as no engine had room.
        priority: Priority of the team, or None.
    """

    team: str
    served: float
    delayed: float = 0.0
    refused: float = 0.0
    priority: int | None = None

    @property
    def demand(self):
        """Returns the requests a second that it wants to be served."""
        return self.served + self.refused

    @property
    def in_time(self):
        """Returns the requests a second that did not have to wait."""
        return max(0.0, self.served - self.delayed)


@attrs.frozen
class Excess:
    """A team that wants more than its share.

    Attributes:
        team: Name of the team.
        ratio: Part of its requests that is beyond its share, 0 to 1.
        part: Its share as a part of the capacity, 0 to 1.
    """

    team: str
    ratio: float
    part: float = 0.0


@attrs.frozen
class Shares:
    """How the capacity of one service is divided between teams.

    Attributes:
        capacity: Requests a second that were served in time, or the least
            that is assumed.
        demand: Requests a second that were asked for.
        level: Share of a team of the usual priority that wants more,
            infinite while all work is served in time.
        excesses: At most MAX_EXCESSES Excesses, the largest demand beyond a
            share first; none while all work is served in time.
    """

    capacity: float = 0.0
    demand: float = 0.0
    level: float = math.inf
    excesses: tuple[Excess, ...] = ()


def find_excesses(loads):
    """Returns the excesses of `find_shares` as a list."""
    return list(find_shares(loads).excesses)


def find_shares(loads):
    """Returns the Shares of one service.

    Args:
        loads: TeamLoad of each team, with different names.
    """
    loads = [load for load in loads if load.demand > 0]
    capacity = sum(load.in_time for load in loads)
    demand = sum(load.demand for load in loads)
    if capacity >= demand:
        return Shares(capacity, demand)
    capacity = max(capacity, MIN_CAPACITY_RATIO * demand)
    floor_ratio = MIN_PROPORTION * capacity / demand
    usual = _usual_priority(loads)
    weighted = [
        (load, priority_weight(load.priority, usual)) for load in loads
    ]
    level = _find_level(weighted, floor_ratio, capacity)
    found = []
    for load, weight in weighted:
        share = _share(load, weight, floor_ratio, level)
        beyond = load.demand - share
        if beyond > MIN_RATIO * load.demand:
            part = min(1.0, share / capacity)
            excess = Excess(load.team, beyond / load.demand, part)
            found.append((beyond, excess))
    found.sort(key=lambda pair: (-pair[0], pair[1].team))
    excesses = tuple(excess for _beyond, excess in found[:MAX_EXCESSES])
    return Shares(capacity, demand, level, excesses)


def _usual_priority(loads):
    """Returns the median of the priorities, or None."""
    known = sorted(ld.priority for ld in loads if ld.priority is not None)
    return known[len(known) // 2] if known else None


def priority_weight(priority, usual):
    """Returns the weight of a team by its priority and the usual one."""
    if priority is None or priority == usual:
        return 1.0
    return PRIORITY_FACTOR if priority < usual else 1 / PRIORITY_FACTOR


def _share(load, weight, floor_ratio, level):
    """Returns what a team gets at a level, at most its demand."""
    least = floor_ratio * load.demand
    return min(load.demand, max(least, weight * level))


def _find_level(weighted, floor_ratio, capacity):
    """Returns the level at which the shares add up to the capacity."""
    low = 0.0
    high = max(load.demand / weight for load, weight in weighted)
    for _ in range(LEVEL_STEPS):
        level = (low + high) / 2
        total = sum(_share(*pair, floor_ratio, level) for pair in weighted)
        if total > capacity:
            high = level
        else:
            low = level
    return low


class YieldingTeams:
    """Which requests of this instance give way, by the excess of their teams.

    Of a team's requests the part that is its ratio gives way, spread evenly,
    so that each instance contributes in proportion to its own requests.
    """

    __slots__ = ('_debts', '_excesses', '_until')

    def __init__(self):
        self._excesses = {}
        # By team: part of a request that is still to give way.
        self._debts = {}
        self._until = float('-inf')

    def update(self, excesses, now):
        """Takes over what was found for all instances.

        Args:
            excesses: Excesses.
            now: Time in seconds.
        """
        self._excesses = {excess.team: excess for excess in excesses}
        self._debts = {
            team: self._debts.get(team, 0.0) for team in self._excesses
        }
        self._until = now + VALID_S

    def active(self, now):
        """Tells whether requests of any team are to give way."""
        return bool(self._excesses) and now < self._until

    def excesses(self, now):
        """Returns the Excesses in force."""
        return list(self._excesses.values()) if self.active(now) else []

    def excess(self, team, now):
        """Returns the Excess of a team, None if it has its share or less."""
        return self._excesses.get(team) if self.active(now) else None

    def yields(self, team, now):
        """Tells whether the next request of a team gives way.

        It is called once for each request.
        """
        excess = self.excess(team, now)
        if excess is None:
            return False
        debt = self._debts[team] + excess.ratio
        self._debts[team] = debt - (debt >= 1.0)
        return debt >= 1.0
