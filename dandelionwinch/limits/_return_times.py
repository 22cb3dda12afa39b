"""When refused calls of teams above their share may return."""

from dandelionwinch import ratelimits

# Refused calls whose times are remembered.
MAX_CALLS = 4096


class ReturnTimes:
    """Tells refused calls when to return, one after the other.

    A call that returns before its time is told the same time again, so that
    callers that repeat at once do not put off the others of their team.
    """

    __slots__ = ('_return_at', '_schedule')

    def __init__(self):
        self._schedule = ratelimits.ReturnSchedule()
        # Time told, by the hash of the id, which a caller may choose as long
        # as it likes; the oldest first.
        self._return_at = {}

    def wait_s(self, call, first_s, rate_per_s, now):
        """Returns in how many seconds a call should return.

        Args:
            call: QueuedCall.
            first_s: Seconds until there is room for it.
            rate_per_s: Calls a second that are sent, above 0.
            now: Time in seconds.
        """
        key = hash(call.id)
        at = self._return_at.get(key, now)
        if at > now:
            return at - now
        self._return_at.pop(key, None)
        wait_s = self._schedule.wait_s(
            call.team, first_s, rate_per_s, True, now
        )
        if len(self._return_at) >= MAX_CALLS:
            del self._return_at[next(iter(self._return_at))]
        self._return_at[key] = now + wait_s
        return wait_s
