"""Shows the shares of teams by service, as an instance knows them."""

import attrs

from dandelionwinch.tools import metrics_server

PATH = '/-/shares'


@attrs.frozen
class TeamRow:
    """A team above its share.

    Attributes:
        team: Its name.
        ratio: Part of its requests that is beyond its share.
    """

    team: str
    ratio: float


@attrs.frozen
class ServiceRow:
    """The shares of one service.

    Attributes:
        service: Its name.
        found: `here` at the holder, else `received`.
        source: Name of the holder that found them.
        token: Fencing token of that holder.
        age_s: Seconds since they were found or received.
        in_force: Whether teams are treated as above their share.
        capacity_per_s: Requests a second that were served in time.
        demand_per_s: Requests a second that were asked for.
        level_per_s: Share of a team that wants more, None without a shortage.
        teams: Items of TeamRow.
    """

    service: str
    found: str
    source: str
    token: int
    age_s: float
    in_force: bool
    capacity_per_s: float
    demand_per_s: float
    level_per_s: float | None
    teams: list[TeamRow]


@attrs.frozen
class Shares:
    """What an instance knows of the shares of teams.

    Attributes:
        instance: Name of the instance.
        holder: Name of the holder of the duties, or ''.
        token: Fencing token of the holder, or 0.
        services: Items of ServiceRow.
    """

    instance: str
    holder: str
    token: int
    services: list[ServiceRow]


def fetch(address):
    """Returns the Shares of an instance, None if its settings name none.

    Args:
        address: Address of its metrics server, as host:port.

    Raises:
        Unready: If it gave no answer, or one that cannot be read.
    """
    return metrics_server.fetch(address, PATH, _parse, 'shares')


def _parse(page):
    rows = [_service(row) for row in page.pop('services')]
    return Shares(**page, services=rows)


def _service(row):
    teams = [TeamRow(**team) for team in row.pop('teams')]
    return ServiceRow(**row, teams=teams)


def format_lines(shares):
    """Returns the lines that describe Shares."""
    lines = [
        f'holder={shares.holder or "none"} token={shares.token} '
        f'instance={shares.instance}'
    ]
    for row in shares.services:
        lines.append(
            f'{row.service} capacity_per_s={row.capacity_per_s} '
            f'demand_per_s={row.demand_per_s} level_per_s={row.level_per_s} '
            f'{row.found} from={row.source} token={row.token} '
            f'age_s={row.age_s} '
            + ('in_force' if row.in_force else 'not_in_force')
        )
        lines += [
            f'  team={team.team} ratio={team.ratio}' for team in row.teams
        ]
    return lines
