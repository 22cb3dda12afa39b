"""Decides when the holder of the order lease may send orders.

A lease in the store names the holder. Its key may be deleted before the
lease expires, and a process may be suspended. The holder therefore relies
on its last renewal for a short time only, and a new holder first waits
until the previous one can no longer send orders.
"""

import attrs

LEASE_S = 3.0
RENEWAL_VALID_S = 2.0
RENEW_INTERVAL_S = 0.9
# Covers the delay until the previous holder learns of the new one.
HANDOVER_MARGIN_S = 4.0


@attrs.define
class Leadership:
    """The local instance's view of the order lease.

    All times are in seconds of a clock that keeps running while the machine
    is suspended.

    Attributes:
        handover_s: Minimum time between orders of two consecutive holders
            to an upstream.
        token: Fencing token, 0 while this instance is not the holder.
    """

    handover_s: float
    token: int = 0
    _renewed_at: float = float('-inf')
    _acquired_at: float = float('-inf')

    @property
    def held(self):
        """Whether this instance holds the lease, as far as it can tell."""
        return self.token > 0

    def acquired(self, token, sent_at):
        """Records that this instance acquired the lease.

        Args:
            token: Revision of the change in the store; it only increases.
            sent_at: Time before the request was sent.
        """
        self.token = token
        self._acquired_at = sent_at
        self._renewed_at = sent_at

    def renewed(self, sent_at):
        """Records a renewal.

        Args:
            sent_at: Time before the request was sent.
        """
        self._renewed_at = max(self._renewed_at, sent_at)

    def lost(self):
        """Records that another instance may hold the lease."""
        self.token = 0

    def may_send_order(self, now):
        """Returns whether an order may be sent at this time."""
        if not self.held or now - self._renewed_at > RENEWAL_VALID_S:
            return False
        wait_s = RENEWAL_VALID_S + self.handover_s + HANDOVER_MARGIN_S
        return now - self._acquired_at >= wait_s
