"""A retry budget that bounds retries by a ratio of successes."""

MAX_BALANCE_RETRIES = 20.0
INITIAL_BALANCE_RETRIES = 10.0


class RetryBudget:
    """Retry budget of one instance for one model or service.

    Successful jobs earn retries. Instances do not share this budget; the
    one that instances share is `attempts.SharedRetryBudget`.

    Args:
        ratio: Retries that each success earns.
    """

    __slots__ = ('_balance', '_ratio')

    def __init__(self, ratio):
        self._ratio = ratio
        self._balance = INITIAL_BALANCE_RETRIES

    def record_success(self):
        """Records a successful job."""
        self._balance = min(MAX_BALANCE_RETRIES, self._balance + self._ratio)

    def spend(self):
        """Spends one retry if the budget allows it; tells whether it did."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
