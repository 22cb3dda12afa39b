"""Orders in which limited calls wait: that of the product, and baselines."""

from dandelionwinch import limits


class ArrivalOrder:
    """First come, first served: a baseline."""

    def __init__(self):
        self._calls = []

    def __len__(self):
        return len(self._calls)

    def __iter__(self):
        return iter(self._calls)

    def add(self, call):
        self._calls.append(call)

    def remove(self, call):
        self._calls.remove(call)

    def pop(self):
        return self._calls.pop(0)

    def record_sent(self, _call):
        pass

    def calls_before(self, _call):
        return len(self._calls)


class DeadlineOrder(ArrivalOrder):
    """Earliest deadline first: a baseline."""

    def pop(self):
        call = min(self._calls, key=lambda c: c.deadline)
        self._calls.remove(call)
        return call

    def calls_before(self, call):
        return sum(c.deadline <= call.deadline for c in self._calls)


POLICIES = {
    'without': None,
    'first-come': ArrivalOrder,
    'deadline': DeadlineOrder,
    'fair': limits.FairOrder,
}
