"""Shows the usage of teams by window, as an instance's metrics server does."""

import attrs

from dandelionwinch.tools import metrics_server

PATH = '/-/usage'


@attrs.frozen
class Window:
    """The usage in one window, as one instance knows it.

    Attributes:
        window: Number of the window.
        ended_s: Seconds since its end, negative before.
        counted: Requests by team that this instance counted.
        reported: Requests by team of all instances, as they are reported;
            None if no report of the window is known here.
    """

    window: int
    ended_s: float
    counted: dict[str, int]
    reported: dict[str, int] | None


def fetch(address):
    """Returns the Windows of an instance, None if its settings name none.

    Args:
        address: Address of its metrics server, as host:port.

    Raises:
        Unready: If it gave no answer, or one that cannot be read.
    """
    return metrics_server.fetch(address, PATH, _parse, 'usage')


def _parse(page):
    return [Window(**row) for row in page['windows']]


def format_lines(window):
    """Returns the lines that describe a Window, one for each team."""
    state = 'not reported' if window.reported is None else 'reported'
    lines = [f'window={window.window} ended_s={window.ended_s} {state}']
    reported = window.reported or {}
    for team in sorted({*window.counted, *reported}):
        line = f'  team={team} counted={window.counted.get(team, 0)}'
        if window.reported is not None:
            line += f' reported={reported.get(team, 0)}'
        lines.append(line)
    return lines
