"""The pages that operators read at the metrics server of an instance."""

from dandelionwinch.platform import _capacity_page
from dandelionwinch.platform import _duties_page
from dandelionwinch.platform import _shares_page
from dandelionwinch.platform import _usage_page

_PAGES = {
    module.PAGE.path: module.PAGE
    for module in (_capacity_page, _duties_page, _shares_page, _usage_page)
}


def find(head):
    """Returns the Page that a request with a Head asks for, or None."""
    return _PAGES.get(head.path) if head.method == 'GET' else None
