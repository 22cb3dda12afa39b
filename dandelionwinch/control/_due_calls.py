"""When an instance that is told what changed calls the store all the same."""

# Time over which the receivers call the store after the same message.
SPREAD_S = 0.3
# Time for the answer to a question, after which the store is called.
ANSWER_TIMEOUT_S = 0.3
# Interval at which a receiver calls the store all the same.
SAFEGUARD_S = 60.0
# Shortest time between calls to the store because of contradictions.
CHECK_INTERVAL_S = 1.0


class DueCalls:
    """Times at which calls to the store are due.

    Args named `now` are times in seconds.

    Args:
        rng: Random number generator.
    """

    __slots__ = (
        '_check_due_at',
        '_checked_at',
        '_gap_due_at',
        '_gap_number',
        '_rng',
        '_safeguard_at',
    )

    def __init__(self, rng):
        self._rng = rng
        self._check_due_at = float('inf')
        self._checked_at = float('-inf')
        self._gap_due_at = float('inf')
        self._gap_number = 0
        self._safeguard_at = float('inf')

    def called(self, now, safeguard):
        """Forgets what made a call due, as the store was called.

        Args:
            now: Time in seconds.
            safeguard: Whether another call is due after SAFEGUARD_S.
        """
        self._check_due_at = self._gap_due_at = float('inf')
        self._safeguard_at = float('inf')
        if safeguard:
            spread = 0.5 + self._rng.random()
            self._safeguard_at = now + SAFEGUARD_S * spread

    def check_soon(self, now):
        """Makes a call due, at another time than others'.

        Returns:
            Whether it is; not so soon after the last one.
        """
        if now - self._checked_at < CHECK_INTERVAL_S:
            return False
        self._checked_at = now
        due_at = now + SPREAD_S * self._rng.random()
        self._check_due_at = min(self._check_due_at, due_at)
        return True

    def gap_found(self, number, now):
        """Makes a call due unless the changes are told in time.

        Args:
            number: Number of the revision up to which changes are missing.
            now: Time in seconds.
        """
        self._gap_number = max(self._gap_number, number)
        self._gap_due_at = min(self._gap_due_at, now + ANSWER_TIMEOUT_S)

    def told(self, number):
        """Ends a gap if all changes up to a revision fill it."""
        if number >= self._gap_number:
            self._gap_due_at = float('inf')

    def next_at(self):
        """Returns the time of the next call that is due."""
        return min(self._check_due_at, self._gap_due_at, self._safeguard_at)
