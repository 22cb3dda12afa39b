"""The operators' view of the capacity that is planned and ordered."""

from dandelionwinch.platform import _page


def _read(instance, _now):
    return instance.capacity()


PAGE = _page.Page('/-/capacity', b'this instance orders no capacity', _read)
