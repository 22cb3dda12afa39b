"""The operators' view of the shares of teams, by service."""

from dandelionwinch.platform import _page

_DECIMALS = 3


def _read(instance, _now):
    report = instance.shares()
    if report is None:
        return None
    return {
        'instance': report.instance,
        'holder': report.holder,
        'token': report.token,
        'services': [_row(view, report.instance) for view in report.views],
    }


def _row(view, instance):
    shares = view.shares
    return {
        'service': view.service,
        'found': 'here' if view.source == instance else 'received',
        'source': view.source,
        'token': view.token,
        'age_s': _rounded(view.age_s),
        'in_force': view.in_force,
        'capacity_per_s': _rounded(shares.capacity),
        'demand_per_s': _rounded(shares.demand),
        'level_per_s': _rounded(shares.level),
        'teams': [
            {'team': excess.team, 'ratio': _rounded(excess.ratio)}
            for excess in shares.excesses
        ],
    }


def _rounded(value):
    return _page.rounded(value, _DECIMALS)


PAGE = _page.Page('/-/shares', b'the settings name no reports of usage', _read)
