"""When one instance alone may give orders, and from when on.

The store's lease names the holder. As its keys may vanish before the
lease's end, and a process may be suspended, the holder relies on its own
last renewal for a short time only, and a new holder waits until the one
before it can no longer rely on its own.
"""

import attrs

LEASE_S = 3.0
RENEWAL_VALID_S = 2.0
RENEW_INTERVAL_S = 0.9
HANDOVER_MARGIN_S = 4.0


@attrs.define
class Leadership:
    """The right to give orders, as one instance believes it.

    Times are seconds of a clock that also counts suspension.

    Attributes:
        turn_s: Least time between orders of two holders to an upstream.
        token: Fencing token, 0 while this instance is not the holder.
    """

    handover_s: float
    token: int = 0
    _renewed_at: float = float('-inf')
    _taken_at: float = float('-inf')

    @property
    def held(self):
        """Tells whether this instance holds the lease, as far as known."""
        return self.token > 0

    def acquired(self, token, asked_at):
        """Notes that the store has made this instance the holder.

        Args:
            token: Revision of the change in the store; only rises.
            asked_at: Time before the call was sent.
        """
        self.token = token
        self._taken_at = asked_at
        self._renewed_at = asked_at

    def renewed(self, asked_at):
        """Notes a renewal, by the time before the call was sent."""
        self._renewed_at = max(self._renewed_at, asked_at)

    def lost(self):
        """Notes that another may hold the lease."""
        self.token = 0

    def may_order(self, now):
        """Tells whether an order may be sent at this moment."""
        if not self.held or now - self._renewed_at > RENEWAL_VALID_S:
            return False
        quiet_s = RENEWAL_VALID_S + self.handover_s + HANDOVER_MARGIN_S
        return now - self._taken_at >= quiet_s
