"""Usage accounting: jobs and output tokens delivered, by team.

The totals count work, not money. They are stored under ``earnings/``.
"""

from dandelionwinch.earnings._ledger import Ledger
from dandelionwinch.earnings._ledger import ledger_key
from dandelionwinch.earnings._ledger import Total
from dandelionwinch.earnings._ledger import write_interval_s

__all__ = ['Ledger', 'Total', 'ledger_key', 'write_interval_s']
