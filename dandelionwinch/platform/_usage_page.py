"""The operators' view of the usage of teams, by window."""

from dandelionwinch.platform import _page

_DECIMALS = 1


def _read(instance, _now):
    windows = instance.usage()
    if windows is None:
        return None
    return {'windows': [_row(window) for window in windows]}


def _row(window):
    return {
        'window': window.window,
        'ended_s': round(window.ended_s, _DECIMALS),
        'counted': window.counted,
        'reported': window.reported,
    }


PAGE = _page.Page('/-/usage', b'the settings name no reports of usage', _read)
