"""Parts of prompts, and calls, that crash upstreams, and their checks."""

import enum
import math

import attrs

from dandelionwinch.soak import _selection

# Shares: of the runs that have such a part, of these that have a second one
# beside it, and of the parts whose requests stop and come again.
POISONED_RUNS = 0.5
SECOND_PARTS = 0.4
POISON_CALL_RUNS = 0.4
INTERRUPTED_PARTS = 0.4
# Share of the generations that have a poison part, and of the calls that are
# the poison one, while such requests come.
REQUEST_SHARE = 0.05
# When requests with a part begin, as a share of the run's time, and how long
# they come and then stay away if they are interrupted.
BEGIN_SHARES = (0.2, 0.35)
INTERRUPTED_AFTER_SHARE = 0.2
INTERRUPTION_SHARE = 0.2
# Time from a crash until the upstream is back, and until its entry lapses.
MIN_DOWN_S = 1.5
MAX_DOWN_S = 4.0
ENTRY_LAPSE_S = 3.6
# Crashes after which a part must be known, the time that the news may take,
# and how many requests may reach upstreams later.
KNOWN_AFTER_CRASHES = 5
KNOWN_AFTER_CALL_CRASHES = 3
NEWS_S = 4.0
MAX_LATE = 3
# Time after that crash from which sound requests are compared with those
# before the first one, and how many each side needs.
SERVED_AGAIN_S = 8.0
MIN_SOUND = 20
# Time for which a signal may keep an instance from its work; it then has
# NEWS_S to learn what the others know.
SIGNAL_EFFECT_S = {'kill': 1.5, 'term': 5.5, 'pause': 4.0}
SUCCESS_STATUS = 200
NOT_RUN_STATUSES = (408, 421, 429, 503)
SHARED_PART = 'a0'
CALL_ROUTES = ('once', 'safe')


class Kind(enum.Enum):
    """What crashes an upstream: a part of a prompt, or a whole call."""

    PROMPT = 'prompt'
    CALL = 'call'


@attrs.define
class Part:
    """A part of prompts, or a call, that crashes each upstream that runs it.

    Attributes:
        name: Its id in prompts, or the last part of its path.
        spans: Start and end of each time in which requests have it, in
            seconds from the start of the traffic.
        crashes: Event loop time of each crash.
        kind: Kind.
    """

    name: str
    spans: list
    crashes: list = attrs.Factory(list)
    kind: Kind = Kind.PROMPT

    @property
    def known_after(self):
        """Returns the crashes after which it must be known."""
        if self.kind is Kind.CALL:
            return KNOWN_AFTER_CALL_CRASHES
        return KNOWN_AFTER_CRASHES

    def known_at(self):
        """Returns when it was known, infinite if it never was."""
        if len(self.crashes) < self.known_after:
            return math.inf
        return self.crashes[self.known_after - 1]


@attrs.frozen
class Outcome:
    """The final response to a generation.

    Attributes:
        request_id: Id of the request.
        sent_at: Event loop time at which it was sent.
        status: Its status, 0 for none.
    """

    request_id: str
    sent_at: float
    status: int


@attrs.frozen
class Signal:
    """A signal to an instance.

    Attributes:
        frontend: Frontend address of the instance.
        at: Event loop time.
        kind: The fault that it is part of.
    """

    frontend: str
    at: float
    kind: str

    def excuses(self, at):
        """Tells whether the instance may not know at a time what others do."""
        span_s = SIGNAL_EFFECT_S[self.kind] + NEWS_S
        return self.at <= at <= self.at + span_s


def _plan_part(rng, name, begin, for_s):
    if rng.random() >= INTERRUPTED_PARTS:
        return Part(name, [(begin, math.inf)])
    end = begin + INTERRUPTED_AFTER_SHARE * for_s
    again = end + INTERRUPTION_SHARE * for_s
    return Part(name, [(begin, end), (again, math.inf)])


def call_name(route):
    """Returns the name of the poison call of a route.

    The calls of two routes are different calls, as their paths differ:
    crashes under one don't make the other one known.
    """
    return f'bad{route}'


def plan(seed, for_s):
    """Returns the Parts of a run, none in some of the runs.

    Args:
        seed: Seed of the run.
        for_s: Seconds for which faults are injected.
    """
    return _plan_parts(seed, for_s) + _plan_call(seed, for_s)


def _plan_call(seed, for_s):
    rng = _selection.draw(seed, 'poison call', for_s, POISON_CALL_RUNS)
    if rng is None:
        return []
    begin = rng.uniform(*BEGIN_SHARES) * for_s
    spans = _plan_part(rng, '', begin, for_s).spans
    return [
        Part(call_name(route), list(spans), kind=Kind.CALL)
        for route in CALL_ROUTES
    ]


def _plan_parts(seed, for_s):
    rng = _selection.draw(seed, 'parts', for_s, POISONED_RUNS)
    if rng is None:
        return []
    begin = rng.uniform(*BEGIN_SHARES) * for_s
    parts = [_plan_part(rng, 'bad1', begin, for_s)]
    if rng.random() < SECOND_PARTS:
        parts.append(_plan_part(rng, 'bad2', begin, for_s))
    return parts


class Poison:
    """The poison parts of one soak, and what came of them.

    Args:
        parts: The Parts.
        rng: Random generator that selects the requests which have one.

    Attributes:
        parts: The Parts.
        part_of: Name of the part, by id of each request that has one.
        outcomes: The Outcomes of all generations, and of poison calls.
        signals: The Signals to instances.
        started_at: Event loop time at which the traffic started.
    """

    def __init__(self, parts, rng):
        self.parts = parts
        self._rng = rng
        self.part_of = {}
        self.outcomes = []
        self.signals = []
        self.started_at = math.inf

    def choose(self, now):
        """Returns the name of the part of the next generation, or ''."""
        parts = [part for part in self.parts if part.kind is Kind.PROMPT]
        return self._choose(parts, now)

    def choose_call(self, route, request_id, now):
        """Returns the last part of the path of the next call of a route."""
        name = call_name(route)
        parts = [part for part in self.parts if part.name == name]
        name = self._choose(parts, now)
        if not name:
            return '1'
        self.part_of[request_id] = name
        return name

    def _choose(self, parts, now):
        at = now - self.started_at
        active = [
            part.name
            for part in parts
            if any(start <= at < end for start, end in part.spans)
        ]
        if not active or self._rng.random() >= REQUEST_SHARE:
            return ''
        return self._rng.choice(active)

    def down_s(self):
        """Returns for how long an upstream is away after a crash."""
        return self._rng.uniform(MIN_DOWN_S, MAX_DOWN_S)

    def prompt(self, caller, request_id, part):
        """Returns the parts of a generation's prompt.

        Sound and poisoned prompts share all parts but the poison one and
        the last one, which is the request's own.
        """
        own = request_id.encode().hex()
        if not part:
            return [SHARED_PART, f'c{caller}', own]
        self.part_of[request_id] = part
        return [SHARED_PART, f'c{caller}', part, own]

    def in_request(self, names):
        """Returns the Part that has one of some names, or None."""
        for part in self.parts:
            if part.name in names:
                return part
        return None

    def violations(self, arrivals, runs, sent_to):
        """Returns the descriptions of all violations.

        Args:
            arrivals: Upstream id, request id and time of each arrival.
            runs: Number of executions by request id.
            sent_to: Frontend address by request id.
        """
        broken = []
        for part in self.parts:
            late = self._late(part, arrivals, sent_to)
            if len(late) > MAX_LATE:
                broken.append(
                    f'{part.name}: {len(late)} requests reached upstreams '
                    f'after {part.known_after} crashes, first {late[0]}'
                )
        broken += [
            f'{outcome.request_id}: {outcome.status}, but it ran'
            for outcome in self.outcomes
            if outcome.status in NOT_RUN_STATUSES
            and outcome.request_id in self.part_of
            and outcome.request_id in runs
        ]
        return broken + self._unserved()

    def _late(self, part, arrivals, sent_to):
        after = part.known_at() + NEWS_S
        return [
            request_id
            for _upstream, request_id, at in arrivals
            if self.part_of.get(request_id) == part.name
            and at > after
            and not self._excused(sent_to[request_id], at)
        ]

    def _excused(self, frontend, at):
        return any(
            signal.frontend == frontend and signal.excuses(at)
            for signal in self.signals
        )

    def _unserved(self):
        """Checks that sound generations are served as before."""
        first, known = self._crash_times()
        before = self._sound(-math.inf, first)
        after = self._sound(known + SERVED_AGAIN_S, math.inf)
        if min(len(before), len(after)) < MIN_SOUND:
            return []
        if 2 * _share_served(after) >= _share_served(before):
            return []
        return [
            f'sound requests: {_share_served(after):.2f} were served beside '
            f'poison parts, {_share_served(before):.2f} before'
        ]

    def _crash_times(self):
        """Returns when the first crash was, and when all parts were known.

        A part with few crashes counts as known from its last one.
        """
        crashed = [part for part in self.parts if part.crashes]
        first = min((part.crashes[0] for part in crashed), default=math.inf)
        known = max(
            (min(part.known_at(), part.crashes[-1]) for part in crashed),
            default=math.inf,
        )
        return first, known

    def _sound(self, start, end):
        return [
            outcome
            for outcome in self.outcomes
            if start < outcome.sent_at < end
            and outcome.request_id not in self.part_of
        ]


def _share_served(outcomes):
    served = [out for out in outcomes if out.status == SUCCESS_STATUS]
    return len(served) / len(outcomes)
