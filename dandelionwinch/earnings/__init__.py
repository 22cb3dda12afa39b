"""Accounting of finished work that was delivered to its client."""

from dandelionwinch.earnings._ledger import Ledger
from dandelionwinch.earnings._ledger import ledger_key
from dandelionwinch.earnings._ledger import Total
from dandelionwinch.earnings._ledger import write_interval_s

__all__ = ['Ledger', 'Total', 'ledger_key', 'write_interval_s']
