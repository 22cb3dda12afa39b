"""Estimates when an upstream began to work on a call.

A caller of an upstream sees when a call was sent and when its answer came,
but not how long the call waited there. An answer that took no longer than
usual shows that it did not wait.
"""

# Part of the calls that are shorter than the usual working time. A low one,
# as under load most calls have waited.
WORK_TIME_QUANTILE = 0.3
# Relative change of the estimate with each answer.
WORK_TIME_GAIN = 0.05
# Time that an upstream needs to take in a call that has arrived.
MIN_START_S = 0.005


class WorkTimes:
    """Usual working time of each service, without waiting in a queue."""

    __slots__ = ('_by_service',)

    def __init__(self):
        self._by_service = {}

    def get(self, service, default_s):
        """Returns the usual working time of a service, or a default."""
        return self._by_service.get(service, default_s)

    def observe(self, service, taken_s):
        """Updates the estimate of a service and returns it.

        Args:
            service: Name of the service.
            taken_s: Time from a call's arrival at the upstream to its
                answer, in seconds.
        """
        usual_s = self._by_service.get(service, taken_s)
        rise = WORK_TIME_QUANTILE
        if taken_s < usual_s:
            rise = WORK_TIME_QUANTILE - 1
        elif taken_s == usual_s:
            rise = 0.0
        usual_s *= 1 + WORK_TIME_GAIN * rise
        self._by_service[service] = usual_s
        return usual_s


def begin_of_answered(arrived_at, answered_at, usual_s):
    """Returns when an upstream began to work on a call that it answered.

    Args:
        arrived_at: Time at which the call arrived at the upstream.
        answered_at: Time at which the upstream sent the answer.
        usual_s: Usual working time in seconds.
    """
    return max(arrived_at, answered_at - usual_s)


def begin_of_lost(arrived_at, lost_at, wait_s):
    """Returns when an upstream began a call whose answer was lost, or None.

    Args:
        arrived_at: Time at which the call arrived at the upstream.
        lost_at: Time up to which the upstream had the call.
        wait_s: Time for which calls waited there recently, in seconds.

    Returns:
        The time, or None if there was no time to begin.
    """
    begin_at = arrived_at + wait_s
    return begin_at if begin_at + MIN_START_S <= lost_at else None
