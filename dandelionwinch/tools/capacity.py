"""Shows the capacity that the holder plans, over its metrics server."""

import attrs

from dandelionwinch.tools import metrics_server

PATH = '/-/capacity'


@attrs.frozen
class PlaceRow:
    """The upstreams of a service of one kind in one data centre.

    Attributes:
        price: Price of a second of one of them.
        ordered: Number that is ordered, or that stood at the start.
        refused_for_s: Seconds for which no more are ordered, as none could
            be obtained.
    """

    data_centre: str
    kind: str
    price: float
    serving: int
    draining: int
    ordered: int
    planned: int
    refused_for_s: float


@attrs.frozen
class ServicePlan:
    """The plan of one service.

    Attributes:
        need: Numbers that led to the plan, by name.
        places: List of PlaceRow.
    """

    service: str
    need: dict
    places: list[PlaceRow]


def fetch(address):
    """Returns the holder's name, and the ServicePlans if it was asked.

    It returns None for an instance that orders no capacity.

    Args:
        address: Address of a metrics server, as host:port.

    Raises:
        Unready: If it gave no answer, or one that cannot be read.
    """
    return metrics_server.fetch(address, PATH, _parse, 'plan of capacity')


def _parse(page):
    return page['holder'], [_plan(row) for row in page['services']]


def _plan(row):
    places = [PlaceRow(**place) for place in row['places']]
    return ServicePlan(row['service'], row['need'], places)


def format_plan(plan):
    """Returns the lines that describe a ServicePlan."""
    need = ' '.join(f'{name}={value}' for name, value in plan.need.items())
    rows = [
        ' '.join(
            f'{name}={value}' for name, value in attrs.asdict(place).items()
        )
        for place in plan.places
    ]
    return [f'{plan.service} {need}', *(f'  {row}' for row in rows)]
