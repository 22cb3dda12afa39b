"""Rate limits (`Server-Limit`) of the soak's upstreams, and their checks."""

import asyncio

import attrs

from dandelionwinch.soak import _selection

# Shares: of the runs with such limits, and of the limits after which the
# upstream states a second one.
LIMITED_RUNS = 0.5
CHANGED_LIMITS = 0.3
RATES_PER_S = (0.0, 0.5, 2.0, 5.0, 8.2)
MIN_SPAN_S = 5.0
MAX_SPAN_S = 9.0
# When a limit begins, as a share of the run's time.
BEGIN_SHARES = (0.1, 0.6)
# What all instances that were told may send in any WINDOW_S: FACTOR times
# what the limit allows, and SPARE more, from TOLD_S after they were told.
WINDOW_S = 4.0
FACTOR = 1.5
SPARE = 5
TOLD_S = 0.5
# Share of the responses that state a value that cannot be read.
MALFORMED_SHARE = 0.02
MALFORMED = ('', 'nan', '-3', '8, 8', '1e9', 'inf')


@attrs.define
class Limit:
    """A rate limit that one upstream states for some time.

    Attributes:
        begin_s: Time from the start of the traffic.
        span_s: Time for which it is stated.
        rate_per_s: Requests a second from all instances together.
        upstream_id: Upstream that states it, '' before.
        begin: Event loop time at which it was first stated.
        end: Event loop time at which it ended.
        stated: Ids of the requests whose responses stated it.
    """

    begin_s: float
    span_s: float
    rate_per_s: float
    upstream_id: str = ''
    begin: float = 0.0
    end: float = 0.0
    stated: set = attrs.Factory(set)

    def allowed(self):
        """Returns the requests that may arrive in WINDOW_S."""
        return FACTOR * WINDOW_S * self.rate_per_s + SPARE


def plan(seed, for_s):
    """Returns the Limits of a run, none in some of the runs.

    Args:
        seed: Seed of the run.
        for_s: Seconds for which faults are injected.
    """
    rng = _selection.draw(seed, 'limits', for_s, LIMITED_RUNS)
    if rng is None:
        return []
    limits = []
    for _number in range(rng.randint(1, 2)):
        begin_s = rng.uniform(*BEGIN_SHARES) * for_s
        span_s = rng.uniform(MIN_SPAN_S, MAX_SPAN_S)
        limits.append(Limit(begin_s, span_s, rng.choice(RATES_PER_S)))
        if rng.random() < CHANGED_LIMITS:
            begin_s += span_s
            limits.append(Limit(begin_s, span_s, rng.choice(RATES_PER_S)))
    return limits


class Limits:
    """The rate limits of one soak, and what came of them.

    Args:
        limits: The Limits.
        rng: Random generator that selects the upstreams.
    """

    def __init__(self, limits, rng):
        self.limits = limits
        self._rng = rng

    async def state(self, limit, upstreams):
        """Lets an upstream state a limit for its time.

        Args:
            limit: The Limit.
            upstreams: The upstreams that serve, as they are then.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(limit.begin_s)
        free = [u for u in upstreams if u.limit is None and not u.crashed]
        if not free:
            return
        upstream = self._rng.choice(free)
        limit.upstream_id = upstream.id
        limit.begin = limit.end = loop.time()
        upstream.limit = limit
        try:
            await asyncio.sleep(limit.span_s)
        finally:
            upstream.limit = None
            limit.end = loop.time()

    def line(self, limit, request_id):
        """Returns the header line of a response, also a malformed one."""
        if self._rng.random() < MALFORMED_SHARE:
            return self._rng.choice(MALFORMED)
        limit.stated.add(request_id)
        return str(limit.rate_per_s)

    def violations(self, arrivals, told_at, sent_to, interrupted):
        """Returns the descriptions of all violations.

        Args:
            arrivals: Upstream id, request id and time of each arrival.
            told_at: Event loop time at which a response was read, by
                request id, of those that stated a limit.
            sent_to: Frontend address by request id.
            interrupted: Function of names and two event loop times that
                tells whether one of them was interrupted between them.
        """
        broken = []
        for limit in self.limits:
            since = self._since(limit, told_at, sent_to)
            times = [
                at
                for upstream_id, request_id, at in arrivals
                if upstream_id == limit.upstream_id
                and at < limit.end
                and at >= since.get(sent_to.get(request_id), limit.end)
                and not interrupted(
                    (sent_to.get(request_id),), at - WINDOW_S, at
                )
            ]
            most = most_in_window(times)
            if most > limit.allowed():
                broken.append(
                    f'{limit.upstream_id}: {most} requests in {WINDOW_S:g} s '
                    f'at a limit of {limit.rate_per_s:g} a second, '
                    f'{limit.allowed():g} are allowed'
                )
        return broken

    @staticmethod
    def _since(limit, told_at, sent_to):
        """Returns from when on each instance is bound, by its frontend."""
        since = {}
        for request_id in limit.stated & told_at.keys():
            bound_at = told_at[request_id] + TOLD_S
            frontend = sent_to[request_id]
            since[frontend] = min(bound_at, since.get(frontend, bound_at))
        return since


def most_in_window(times):
    """Returns the most of some times that lie within WINDOW_S."""
    times = sorted(times)
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
