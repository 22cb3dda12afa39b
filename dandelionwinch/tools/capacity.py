"""Shows the capacity that the holder plans, over its metrics server."""

import attrs
import urllib3

from dandelionwinch import errors

TIMEOUT_S = 5.0
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

    Args:
        address: Address of a metrics server, as host:port.

    Raises:
        Unready: If it gave no answer, or one that cannot be read.
    """
    try:
        reply = urllib3.request(
            'GET', f'http://{address}{PATH}', timeout=TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError as exc:
        raise errors.Unready(
            f'metrics server "{address}" gave no answer: {exc}'
        ) from exc
    try:
        data = reply.json()
        return data['holder'], [_plan(row) for row in data['services']]
    except (ValueError, TypeError, KeyError) as exc:
        raise errors.Unready(
            f'metrics server "{address}" gave no plan of capacity'
        ) from exc


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
