"""Decides when the holder of the lease may send orders and perform duties.

A lease in the store names the holder. Its key may be deleted before the
lease expires, and a process may be suspended. The holder therefore relies
on its last renewal for a short time only, and a new holder first waits
until the previous one can no longer send anything.

For role orders, the holder learns from its view of the store that another
one holds the lease. For duties, it reads the key of the lease at each
renewal, which makes a shorter wait sufficient.
"""

import attrs

# Lease time in the store, after which an unrenewed lease expires.
LEASE_S = 3.0
# How long the holder may send orders after a renewal. Shorter than the lease,
# so that a holder that can't renew stops before the lease expires.
RENEWAL_VALID_S = 2.0
# Leaves time for a second renewal while the last one is valid.
RENEW_INTERVAL_S = 0.9
# A renewal counts only if the holder heard from the store this recently, as
# another holder is known from the store's responses only. Two responses are up
# to MAX_COALESCE_S + WATCH_TIMEOUT_S of control._call_timing apart.
MAX_VIEW_AGE_S = 4.5
# Longest time from the check of a call to its arrival: the duty API's client
# drops bytes that are not acknowledged within it.
CALL_DELIVERY_S = 0.4


@attrs.define
class Leadership:
    """The local instance's view of the lease.

    All times are in seconds of a clock that keeps running while the machine
    is suspended.

    Attributes:
        handover_s: Minimum time between orders of two consecutive holders
            to an upstream, and between duty calls of one holder before and
            after those of another.
        token: Fencing token of what this instance sends; 0 while it is not
            the holder.
    """

    handover_s: float
    token: int = 0
    _renewed_at: float = float('-inf')
    _acquired_at: float = float('-inf')
    _verified_at: float = float('-inf')

    @property
    def held(self):
        """Whether this instance acquired the lease and saw no loss since."""
        return self.token > 0

    @property
    def duty_wait_s(self):
        """Seconds from the answer to an acquisition to the first duty call.

        The previous holder verified its key before the acquisition, relies
        on that for RENEWAL_VALID_S, and its last call is then delivered.
        The second term keeps calls of holders A, B and A apart by
        `handover_s`: two such waits lie between the two times of A, less
        RENEWAL_VALID_S and the delivery of A's last call.
        """
        reliance_s = RENEWAL_VALID_S + CALL_DELIVERY_S
        return max(reliance_s, (self.handover_s + reliance_s) / 2)

    def acquired(self, token, sent_at, answered_at=None):
        """Records that this instance acquired the lease.

        Args:
            token: Fencing token: the epoch and the revision of the store at
                which the key of the lease was written, as one number that
                is higher for each holder.
            sent_at: Time before the request was sent.
            answered_at: Time at which the answer to the write of the key
                was read, or None for `sent_at`.
        """
        self.token = token
        self._acquired_at = sent_at if answered_at is None else answered_at
        self._renewed_at = sent_at
        self._verified_at = float('-inf')

    def renewed(self, sent_at, view_age_s):
        """Records a renewal.

        Args:
            sent_at: Time before the request was sent.
            view_age_s: Seconds since the store last responded, which then
                named no other holder.
        """
        if view_age_s <= MAX_VIEW_AGE_S:
            self._renewed_at = max(self._renewed_at, sent_at)

    def verified(self, sent_at):
        """Records a renewal after which the key was still the own write.

        No other instance had acquired the lease at `sent_at`, so that the
        age of the view of the store does not matter.

        Args:
            sent_at: Time before the key was read.
        """
        self._verified_at = max(self._verified_at, sent_at)
        self._renewed_at = max(self._renewed_at, sent_at)

    def lost(self):
        """Records that another instance may hold the lease."""
        self.token = 0

    def may_send_order(self, now):
        """Returns whether this instance may send an order now.

        The last renewal must be recent, and the previous holder must be
        unable to send orders any more.
        """
        if not self.held or now - self._renewed_at > RENEWAL_VALID_S:
            return False
        # If its key was deleted early, the previous holder renews until its
        # view from before this acquisition is too old, and sends for
        # RENEWAL_VALID_S after that.
        wait_s = MAX_VIEW_AGE_S + RENEWAL_VALID_S + self.handover_s
        return now - self._acquired_at >= wait_s

    @property
    def waited(self):
        """Whether the key was verified after the wait before the first duty.

        If the key could be verified before the end of the wait only, it might
        have been deleted since, and the next holder's wait might have begun
        that much earlier.
        """
        return self._verified_at - self._acquired_at >= self.duty_wait_s

    def until_duties_s(self, now):
        """Returns the seconds until the wait before the first duty ends.

        They are negative once it has ended. A verification is then due.
        """
        return self._acquired_at + self.duty_wait_s - now

    def may_act(self, now):
        """Returns whether this instance may send a duty call now.

        The key must have been verified recently, and after the wait.
        """
        return (
            self.held
            and now - self._verified_at <= RENEWAL_VALID_S
            and self.waited
        )
