"""What became of the calls of teams at one service and one instance."""

import collections

# Time over which the calls of a team are added up.
SPAN_S = 5.0
# Counts of instances that arrive within this time are added up.
PERIOD_S = 0.5
# Refused calls that are remembered, so that their repeats are known.
MAX_REFUSED = 4096


class CallCounts:
    """Counts calls by team, and each call once however often it is repeated.

    A team would otherwise get a larger share by repeating what was refused.

    Args:
        now: Time in seconds.
    """

    __slots__ = ('_asked', '_began_at', '_counts', '_past', '_refused')

    def __init__(self, now):
        # By team since the last take: served, delayed and refused calls.
        self._counts = {}
        self._asked = collections.Counter()
        self._began_at = now
        # Calls by team in earlier periods, with the begin of each.
        self._past = collections.deque()
        # Time at which a call was refused, by its id; the oldest first.
        self._refused = {}

    def ask(self, team, call_id, now):
        """Counts a call that arrives."""
        self._forget_refused(now)
        if call_id not in self._refused:
            self._asked[team] += 1

    def record_served(self, team, call_id, delayed, now):
        """Counts a call that was served.

        Args:
            team: Name of its team.
            call_id: Its id.
            delayed: Whether it was late as it had to wait.
            now: Time in seconds.
        """
        counts = self._of(team)
        counts[0] += 1
        counts[1] += delayed
        if self._refused.pop(call_id, None) is not None:
            counts[2] -= 1

    def record_refused(self, team, call_id, now):
        """Counts a call that was refused, unless it was before."""
        if call_id in self._refused:
            return
        self._of(team)[2] += 1
        if len(self._refused) >= MAX_REFUSED:
            del self._refused[next(iter(self._refused))]
        self._refused[call_id] = now

    def _of(self, team):
        return self._counts.setdefault(team, [0, 0, 0])

    def _forget_refused(self, now):
        while self._refused:
            first = next(iter(self._refused))
            if now - self._refused[first] <= SPAN_S:
                return
            del self._refused[first]

    def take(self, now):
        """Returns and clears the rows of team, served, delayed, refused.

        Repeats that were served reduce the refused calls; what is below zero
        is kept for the next period.
        """
        rows, rest = [], {}
        for team, (served, delayed, refused) in self._counts.items():
            if refused < 0:
                rest[team] = [0, 0, refused]
            if served or refused > 0:
                rows.append((team, served, delayed, max(0, refused)))
        self._counts = rest
        self._past.append((self._began_at, self._asked))
        self._asked, self._began_at = collections.Counter(), now
        while self._past and now - self._past[0][0] > SPAN_S + PERIOD_S:
            self._past.popleft()
        rows.sort(key=lambda row: (-row[2] - row[3], -row[1], row[0]))
        return rows

    def asked_per_s(self, team, now):
        """Returns the calls a second that a team asks for.

        It is the average of the last seconds, or that of the last period if
        it is more, as a burst would otherwise be known too late.
        """
        if not self._past:
            return self._asked[team] / max(1.0, now - self._began_at)
        total = recent = self._asked[team] + self._past[-1][1][team]
        total += sum(asked[team] for _at, asked in list(self._past)[:-1])
        return max(
            total / max(1.0, now - self._past[0][0]),
            recent / max(1.0, now - self._past[-1][0]),
        )


class CallTotals:
    """What the instances counted in the last seconds, as the holder has it."""

    __slots__ = ('_periods',)

    def __init__(self):
        # Begin and end of a period, and the counts by team in it: served,
        # delayed and refused requests.
        self._periods = collections.deque()

    def add(self, rows, period_s, now):
        """Adds what an instance counted.

        Args:
            rows: Tuples of team, served, delayed and refused requests.
            period_s: Length of their period in seconds.
            now: Time in seconds.
        """
        self._forget(now)
        last = self._periods[-1] if self._periods else None
        if last is None or now - last[1] >= PERIOD_S:
            last = (now - min(period_s, SPAN_S), now, {})
            self._periods.append(last)
        for team, *numbers in rows:
            counts = last[2].setdefault(team, [0, 0, 0])
            for index, number in enumerate(numbers):
                counts[index] += number

    def _forget(self, now):
        while self._periods and now - self._periods[0][0] > SPAN_S + PERIOD_S:
            self._periods.popleft()

    def rates(self, now):
        """Returns the served, delayed and refused requests a second by team.

        Returns:
            Mapping of team to a list of three numbers; empty if no instance
            has counted anything in the last seconds.
        """
        self._forget(now)
        found = {}
        if not self._periods:
            return found
        span_s = max(1.0, now - self._periods[0][0])
        for _begin, _end, period in self._periods:
            for team, numbers in period.items():
                rates = found.setdefault(team, [0.0, 0.0, 0.0])
                for index, number in enumerate(numbers):
                    rates[index] += number / span_s
        return found
