"""Checks which holders call for a subject, and in which order."""

import collections

import attrs

# Violations that are kept.
MAX_VIOLATIONS = 100


@attrs.frozen
class Call:
    """A call that arrived.

    Attributes:
        at: Time in seconds.
        subject: What the call is about, such as a service and data centre.
        holder: Who sent it; two instances are two holders.
        token: Fencing token.
    """

    at: float
    subject: str
    holder: str
    token: int


class DutyLedger:
    """Checks the order of holders and tokens, for each subject.

    Args:
        turn_s: Time within which no holder may call, then another one, and
            then the first one again.

    Attributes:
        calls: Number of calls.
        holders: Number of changes of the holder, of all subjects.
        violations: Texts that say which rule was broken, and how.
    """

    __slots__ = (
        '_handover_s',
        '_holder_of',
        '_last_of',
        '_recent',
        '_turn_s',
        'calls',
        'holders',
        'violations',
    )

    def __init__(self, turn_s, handover_s=0.0):
        self._turn_s = turn_s
        self._handover_s = handover_s
        self._holder_of = {}
        self._last_of = {}
        self._recent = collections.defaultdict(collections.deque)
        self.calls = 0
        self.holders = 0
        self.violations = []

    def record(self, call):
        """Takes a call into account; returns whether it keeps all rules."""
        found = [
            *self._check_tokens(call),
            *self._check_turns(call),
        ]
        room = MAX_VIOLATIONS - len(self.violations)
        self.violations += found[:room]
        self.calls += 1
        return not found

    def _check_tokens(self, call):
        key = (call.subject, call.token)
        holder = self._holder_of.setdefault(key, call.holder)
        if holder != call.holder:
            yield f'{call}: token {call.token} is also used by {holder}'
        last = self._last_of.get(call.subject)
        if last is not None and call.token < last.token:
            yield f'{call}: follows the higher token of {last}'
        if last is None or call.token >= last.token:
            self._last_of[call.subject] = call

    def _check_turns(self, call):
        recent = self._recent[call.subject]
        if recent and recent[-1].holder != call.holder:
            self.holders += 1
            if call.at - recent[-1].at < self._handover_s:
                yield f'{call}: soon after {recent[-1]}'
        while recent and call.at - recent[0].at > self._turn_s:
            recent.popleft()
        other = False
        for earlier in reversed(recent):
            other = other or earlier.holder != call.holder
            if other and earlier.holder == call.holder:
                yield f'{call}: another holder called since {earlier}'
                break
        recent.append(call)
