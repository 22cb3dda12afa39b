"""What one instance may hold at an upstream whose bound is divided.

Without a share it may hold an even part of the part of the bound that is not
granted, so that small bodies cause no request for a share.
"""

from dandelionwinch.ratelimits import _bytes_granter

# Time for which the answer to a request for a share is awaited; it doubles
# with each that does not come, up to the second time.
ANSWER_TIMEOUT_S = 0.3
MAX_ANSWER_TIMEOUT_S = 4.8


class BytesAllowance:
    """One instance's share of the bound of one upstream.

    Attributes:
        total: Bytes that all instances hold, as the granting instance told.
        total_at: Time in seconds of the oldest report in it.
        next_at: Time of the next request for a share.
    """

    __slots__ = (
        '_asked_at',
        '_bound',
        '_number',
        '_reported',
        '_share',
        '_share_until',
        '_unanswered',
        '_waits',
        'next_at',
        'total',
        'total_at',
    )

    def __init__(self):
        # Number and time of the last request, and what this instance held
        # then, None unless it awaits its answer.
        self._number = 0
        self._asked_at = 0.0
        self._reported = None
        self._unanswered = 0
        self._share = 0.0
        self._share_until = 0.0
        # The bound of which the share was granted.
        self._bound = 0
        # Sizes of the bodies that wait for room.
        self._waits = []
        self.total = 0
        self.total_at = float('-inf')
        self.next_at = 0.0

    @property
    def asked(self):
        """Tells whether a request for a share awaits its answer."""
        return self._reported is not None

    @property
    def number(self):
        """Returns the number of the last request for a share."""
        return self._number

    def share(self, now):
        """Returns the share of the bound that this instance has, 0 to 1."""
        return self._share if self._share_until > now else 0.0

    def limit(self, bound, instances, now):
        """Returns the bytes that this instance may hold.

        Args:
            bound: The bound of all instances in bytes.
            instances: Number of instances.
            now: Time in seconds.
        """
        granted = int(self.share(now) * min(bound, self._bound))
        if self._reported is not None:
            # The answer may lower the share down to what was reported.
            granted = min(granted, self._reported)
        return max(granted, even_part(bound, instances))

    def begin_wait(self, size):
        """Records that a body waits for room."""
        self._waits.append(size)

    def end_wait(self, size):
        """Records that a body waits no more."""
        self._waits.remove(size)

    def is_wanted(self, held, even, now):
        """Tells whether there is anything to ask for, or to give up.

        Args:
            held: Bytes that this instance holds.
            even: Bytes of its even part.
            now: Time in seconds.
        """
        if held > even or self.share(now) or self._waits:
            return True
        # What it gives up is not known there before the answer.
        kept_until = self._share_until + _bytes_granter.KEPT_S
        return self.asked and now < kept_until

    def renew(self, now):
        """Has the next request sent at once, to another instance."""
        self._unanswered = 0
        self.next_at = now

    def is_due(self, now):
        """Tells whether a request for a share may be sent."""
        return now >= self.next_at

    def ask(self, instance, held, now):
        """Returns a BytesRequest, which is sent with `number`.

        Args:
            instance: Name of this instance.
            held: Bytes that it holds.
            now: Time in seconds.
        """
        # Numbers rise over a restart, too, as far as clocks do.
        self._number = max(self._number + 1, int(now * 1e3))
        self._asked_at = now
        self._reported = held
        timeout_s = ANSWER_TIMEOUT_S * 2.0**self._unanswered
        self.next_at = now + min(MAX_ANSWER_TIMEOUT_S, timeout_s)
        self._unanswered += 1
        return _bytes_granter.BytesRequest(
            instance,
            held + sum(self._waits),
            self.share(now),
            max(0.0, self._share_until - now),
            held=held,
            waits=max(self._waits, default=0),
        )

    def grant(self, number, grant, bound, now):
        """Uses a share from now on; its lease counts from the request.

        Args:
            number: Number of the request.
            grant: Grant.
            bound: The bound in bytes of which it is a share.
            now: Time in seconds.

        Returns:
            Whether it answers the last request.
        """
        if number != self._number or self._reported is None:
            return False
        self._reported = None
        self._unanswered = 0
        self._share = grant.share
        self._share_until = self._asked_at + grant.lease_s
        self._bound = bound
        self.next_at = now + grant.next_s
        return True

    def set_total(self, total, age_s, now):
        """Records what all instances hold.

        Args:
            total: Bytes.
            age_s: Seconds since the oldest report in it.
            now: Time in seconds.
        """
        self.total = total
        self.total_at = now - age_s


def even_part(bound, instances):
    """Returns the bytes that an instance may hold without a share."""
    return int(bound * _bytes_granter.EVEN_RATIO / instances)
