"""The operators' view of the holder and its duties."""

from dandelionwinch.platform import _page

MAX_CANDIDATES = 3
_DECIMALS = 1


def _read(instance, now):
    status = instance.duties()
    if status is None:
        return None
    return {
        'instance': status.instance,
        'holder': status.holder,
        'token': status.token,
        'holds': status.holds,
        'may_act': status.may_act,
        'next': status.candidates[:MAX_CANDIDATES],
        'view_age_s': _seconds(status.view_age_s),
        'duties': [_row(row, now) for row in status.rows],
    }


def _row(row, now):
    last = row.last
    return {
        'duty': row.duty,
        'in_flight': row.in_flight,
        'result': type(last.result).__name__ if last else '',
        'reason': getattr(last.result, 'reason', '') if last else '',
        'token': last.token if last else 0,
        'age_s': _seconds(now - last.at) if last else None,
    }


def _seconds(value):
    return _page.rounded(value, _DECIMALS)


PAGE = _page.Page('/-/duties', b'the settings name no duty', _read)
