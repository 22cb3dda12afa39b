"""What became of the calls of teams at one service and one instance."""

import collections

# Time over which the calls of a team are added up.
SPAN_S = 5.0
# Tolerance of the length of a period, as timers may be late.
TOLERANCE_S = 0.5
# Time for which the counts of an instance are used. They come once a second,
# so that an instance may be silent for 3 s.
VALID_S = 4.2
# Shortest time that counts are divided by, which bounds forged rates.
MIN_SPAN_S = 0.5
# Refused calls that are remembered, so that their repeats are known.
MAX_REFUSED = 4096


class CallCounts:
    """Counts calls by team, and each call once however often it is repeated.

    A team would otherwise get a larger share by repeating what was refused.

    Args:
        now: Time in seconds.
    """

    __slots__ = (
        '_asked',
        '_began_at',
        '_counts',
        '_past',
        '_refused',
        '_short',
    )

    def __init__(self, now):
        # By team since the last take: served, delayed and refused calls.
        self._counts = {}
        self._asked = collections.Counter()
        self._began_at = now
        # Calls by team in earlier periods, with the begin of each.
        self._past = collections.deque()
        # Begin and counts of the periods since a shortage began.
        self._short = collections.deque()
        # Time at which a call was refused, by the hash of its id, which a
        # caller may choose as long as it likes; the oldest first.
        self._refused = {}

    def ask(self, team, call_id, now):
        """Counts a call that arrives."""
        self._forget_refused(now)
        if hash(call_id) not in self._refused:
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
        if self._refused.pop(hash(call_id), None) is not None:
            counts[2] -= 1

    def record_refused(self, team, call_id, now):
        """Counts a call that was refused, unless it was before."""
        key = hash(call_id)
        if key in self._refused:
            return
        self._of(team)[2] += 1
        if len(self._refused) >= MAX_REFUSED:
            del self._refused[next(iter(self._refused))]
        self._refused[key] = now

    def _of(self, team):
        return self._counts.setdefault(team, [0, 0, 0])

    def _forget_refused(self, now):
        while self._refused:
            first = next(iter(self._refused))
            if now - self._refused[first] <= SPAN_S:
                return
            del self._refused[first]

    def end_period(self, now, short):
        """Ends a period of about a second.

        Args:
            now: Time in seconds.
            short: Whether requests of the service are not served in time.

        Returns:
            Rows of team, served, delayed and refused calls since the shortage
            began, SPAN_S at most, and the length of that time in seconds. No
            rows without a shortage.
        """
        self._past.append((self._began_at, self._asked))
        self._short.append((self._began_at, self._counts))
        self._asked, self._counts = collections.Counter(), {}
        self._began_at = now
        for periods in (self._past, self._short):
            while periods and now - periods[0][0] > SPAN_S + TOLERANCE_S:
                periods.popleft()
        if not short or not self._short:
            self._short.clear()
            return [], 0.0
        return self._short_rows(), now - self._short[0][0]

    def _short_rows(self):
        totals = {}
        for _at, counts in self._short:
            for team, numbers in counts.items():
                sums = totals.setdefault(team, [0, 0, 0])
                for index, number in enumerate(numbers):
                    sums[index] += number
        # A repeat that was served may have been refused before that time.
        rows = [
            (team, served, delayed, max(0, refused))
            for team, (served, delayed, refused) in totals.items()
            if served or refused > 0
        ]
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
    """What the instances counted in the last seconds, as the holder has it.

    The counts of an instance replace its earlier ones, so that datagrams may
    be lost or repeated.
    """

    __slots__ = ('_rates',)

    def __init__(self):
        # By instance and team: a time, and the served, delayed and refused
        # requests a second.
        self._rates = {}

    def add(self, sender, rows, span_s, now):
        """Takes over what an instance counted.

        Args:
            sender: Name of the instance.
            rows: Tuples of team, served, delayed and refused requests.
            span_s: Length of the time that they are of, in seconds.
            now: Time in seconds.
        """
        span_s = max(MIN_SPAN_S, span_s)
        known = self._rates.setdefault(sender, {})
        for team, *numbers in rows:
            known[team] = (now, [number / span_s for number in numbers])

    def clear(self, sender):
        """Drops what an instance counted, as its shortage has ended."""
        self._rates.pop(sender, None)

    def rates(self, now):
        """Returns the served, delayed and refused requests a second by team.

        Returns:
            Mapping of team to a list of three numbers; empty if no instance
            has counted anything in the last seconds.
        """
        found = {}
        for sender, known in list(self._rates.items()):
            for team, (at, rates) in list(known.items()):
                if now - at > VALID_S:
                    del known[team]
                    continue
                sums = found.setdefault(team, [0.0, 0.0, 0.0])
                for index, rate in enumerate(rates):
                    sums[index] += rate
            if not known:
                del self._rates[sender]
        return found
