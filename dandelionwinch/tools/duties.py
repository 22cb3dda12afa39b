"""Shows the holder and its duties, as an instance's metrics server does."""

import attrs

from dandelionwinch.tools import metrics_server

PATH = '/-/duties'


@attrs.frozen
class Duty:
    """A duty at an instance.

    Attributes:
        duty: Its name.
        in_flight: Calls without a result.
        result: Result of the last call that ended, or ''.
        reason: Why that call had no answer or was not sent, or ''.
        token: Fencing token of that call, or 0.
        age_s: Seconds since its end, or None.
    """

    duty: str
    in_flight: int
    result: str
    reason: str
    token: int
    age_s: float | None


@attrs.frozen
class Duties:
    """What an instance knows of the holder, and its own duties.

    Attributes:
        instance: Name of the instance.
        holder: Name of the holder, or ''.
        token: Fencing token of the holder, or 0.
        holds: Whether the instance holds the lease.
        may_act: Whether it may send calls.
        next: Names of the first instances that would follow.
        view_age_s: Seconds since the store last answered it, or None.
        duties: Items of Duty.
    """

    instance: str
    holder: str
    token: int
    holds: bool
    may_act: bool
    next: list[str]
    view_age_s: float | None
    duties: list[Duty]


def fetch(address):
    """Returns the Duties of an instance, None if its settings name none.

    Args:
        address: Address of its metrics server, as host:port.

    Raises:
        Unready: If it gave no answer, or one that cannot be read.
    """
    return metrics_server.fetch(address, PATH, _parse, 'duties')


def _parse(page):
    rows = [Duty(**row) for row in page.pop('duties')]
    return Duties(**page, duties=rows)


def format_lines(duties):
    """Returns the lines that describe Duties."""
    state = 'holds, acts' if duties.may_act else 'holds, waits'
    lines = [
        f'holder={duties.holder or "none"} token={duties.token} '
        f'next={",".join(duties.next) or "none"}',
        f'instance={duties.instance} '
        f'state={state if duties.holds else "follows"} '
        f'view_age_s={duties.view_age_s}',
    ]
    for row in duties.duties:
        lines.append(
            f'{row.duty} result={row.result or "none"} token={row.token} '
            f'age_s={row.age_s} in_flight={row.in_flight}'
            + (f' reason={row.reason}' if row.reason else '')
        )
    return lines
