"""What one instance may hold at an upstream whose bound is divided.

Without a share it may hold an even part of the part of the bound that is not
granted, so that small bodies cause no request for a share.
"""

import collections

from dandelionwinch.ratelimits import _bytes_granter

# Time for which the answer to a request for a share is awaited.
ANSWER_TIMEOUT_S = 0.3
# Time for which a body that had no room counts as demand: its caller may send
# it again.
WAITS_S = 2.0
# Bodies without room that are kept as demand.
MAX_WAITS = 64


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
        self._share = 0.0
        self._share_until = 0.0
        # The bound of which the share was granted.
        self._bound = 0
        # Time and size of bodies that had no room.
        self._waits = collections.deque(maxlen=MAX_WAITS)
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

    def record_wait(self, size, now):
        """Records a body that has no room."""
        self._waits.append((now, size))

    def record_sent(self, size):
        """Records that a body has room now."""
        for wait in self._waits:
            if wait[1] == size:
                self._waits.remove(wait)
                return

    def waits(self, now):
        """Returns the sizes of the bodies that had no room a while ago."""
        while self._waits and now - self._waits[0][0] > WAITS_S:
            self._waits.popleft()
        return [size for _at, size in self._waits]

    def is_wanted(self, held, even, now):
        """Tells whether there is anything to ask for, or to give up.

        Args:
            held: Bytes that this instance holds.
            even: Bytes of its even part.
            now: Time in seconds.
        """
        return held > even or bool(self.share(now) or self.waits(now))

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
        waits = self.waits(now)
        # Numbers rise over a restart, too, as far as clocks do.
        self._number = max(self._number + 1, int(now * 1e3))
        self._asked_at = now
        self._reported = held
        self.next_at = now + ANSWER_TIMEOUT_S
        return _bytes_granter.BytesRequest(
            instance,
            held + sum(waits),
            self.share(now),
            max(0.0, self._share_until - now),
            held=held,
            waits=max(waits, default=0),
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
