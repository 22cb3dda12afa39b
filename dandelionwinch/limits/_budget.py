"""A retry budget: retries may be a share of successes only."""

BUDGET_CAP = 20.0
FIRST_CREDIT = 10.0


class RetryBudget:
    """Credits earned by successes and spent by retries."""

    __slots__ = ('_credit', '_share')

    def __init__(self, share):
        self._share = share
        self._credit = FIRST_CREDIT

    def record_success(self):
        """Notes a job that ended well."""
        self._credit = min(BUDGET_CAP, self._credit + self._share)

    def spend(self):
        """Takes one retry and tells whether there was credit for it."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
