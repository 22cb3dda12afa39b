"""Tells callers when to retry while limits leave no room.

Callers that are refused together must not return together. Each is given the
next time at which the limits in force admit a request, one after the other.
Work that is late already leaves the earlier times to the rest.
"""

# Latest time to which a caller is put off: limits may end meanwhile.
MAX_WAIT_S = 5.0
# Places in the order of return that urgent work, and other work, takes.
URGENT_PLACES = 1.0
OTHER_PLACES = 2.0


class ReturnSchedule:
    """The times that one instance gave to callers, by service."""

    __slots__ = ('_next',)

    def __init__(self):
        self._next = {}

    def wait_s(self, service, first_s, rate_per_s, urgent, now):
        """Returns in how many seconds a caller should retry.

        Args:
            service: Name of the service.
            first_s: Seconds until the limits admit a request.
            rate_per_s: Requests a second that they admit, above 0.
            urgent: Whether the request can still be in time.
            now: Time in seconds.
        """
        places = URGENT_PLACES if urgent else OTHER_PLACES
        begin = max(now + first_s, self._next.get(service, 0.0))
        at = begin + (places - URGENT_PLACES) / rate_per_s
        self._next[service] = min(
            begin + places / rate_per_s, now + MAX_WAIT_S
        )
        return min(MAX_WAIT_S, at - now)
