"""Evidence of crashes, and the holds that follow from it.

An upstream that begins to run a request on a poison subject crashes, whatever
else the request holds. Each instance sees only its own requests at that
upstream, most of which are innocent. So the suspects of all instances are put
together by crash, and a subject is held once it was suspect in several crashes
that nothing else explains and no answer on it has begun since.
"""

import collections

import attrs

from dandelionwinch.quarantine import _crashes
from dandelionwinch.quarantine import _subjects

# Crashes after which a subject is held. Those on which answers began shortly
# before are mostly shared by those that crash upstreams and are found first.
CRASHES_TO_HOLD = 3
CRASHES_TO_HOLD_ANSWERED = 5
ANSWERED_S = 30.0
# Crashes after which one that was answered is held whatever else could
# explain them, and crashes from which another one is likely to.
CRASHES_REGARDLESS = 12
LIKELY_CRASHES = 2
# A hold ends when no request for its subject came for QUIET_S, at the latest
# after MAX_HOLD_S. For RELAPSE_S after it one crash suffices.
QUIET_S = 30.0
# Retry time for a subject that is about to be held, or not.
PENDING_S = 0.2
MAX_HOLD_S = 600.0
RELAPSE_S = 600.0
MAX_HOLDS = 64
MAX_ANSWERED = 16384


@attrs.define
class Hold:
    """A subject whose requests are refused.

    Attributes:
        subject: Key of the subject.
        since: Time in seconds since which it is held.
        asked_at: Time of the last request with the subject.
        crashes: Crashes that led to it.
        refused: Requests that this instance refused.
        quiet_s: Seconds without such a request after which it ends.
    """

    subject: str
    since: float
    asked_at: float
    crashes: int
    refused: int = 0
    quiet_s: float = QUIET_S

    def ends_at(self):
        """Returns when it ends, if no other request with the subject comes."""
        return min(self.asked_at + self.quiet_s, self.since + MAX_HOLD_S)


class Quarantine:
    """Which subjects are held, by the crashes and answers that are known."""

    __slots__ = ('_answered', '_crashes', '_holds', '_lifted', '_relapses')

    def __init__(self):
        self._crashes = _crashes.Crashes()
        # Time of the last begin of an answer, by subject.
        self._answered = collections.OrderedDict()
        self._holds = {}
        # Time at which an operator lifted a hold, by subject.
        self._lifted = collections.OrderedDict()
        # Time up to which one crash suffices, by subject.
        self._relapses = collections.OrderedDict()

    def record_crash(self, crash_id, suspects, at):
        """Takes in the suspects that one instance reports of a crash.

        Args:
            crash_id: Text that tells this crash from any other.
            suspects: The Suspects.
            at: Time of the crash in seconds.

        Returns:
            Whether anything in it was not known.
        """
        return self._crashes.record(crash_id, suspects, at, self._holds.keys())

    def record_answer(self, subjects, now):
        """Records that an answer began, which clears its subjects.

        Args:
            subjects: Keys of the subjects of the request.
            now: Time in seconds.

        Returns:
            The subjects that were under suspicion, for the other instances.
        """
        cleared = [
            subject for subject in subjects if self.is_suspect(subject, now)
        ]
        for subject in subjects:
            self._answered[subject] = now
            self._answered.move_to_end(subject)
            self._trim(self._answered, MAX_ANSWERED)
            self._refute(subject)
            self._relapses.pop(subject, None)
        return cleared

    def record_answer_elsewhere(self, subject, at):
        """Records an answer that began at another instance."""
        if at <= self._answered.get(subject, float('-inf')):
            return
        self._answered[subject] = at
        self._answered.move_to_end(subject)
        self._trim(self._answered, MAX_ANSWERED)
        hold = self._holds.get(subject)
        if hold is not None and hold.since <= at:
            self._refute(subject)

    def is_suspect(self, subject, now):
        """Tells whether a subject is held, or suspect in several crashes."""
        if subject in self._holds:
            return True
        return bool(self._crashes) and len(self._evidence(subject, now)) > 1

    def is_nearly_held(self, subjects, now):
        """Tells whether one more crash would have a subject held."""
        if not self._crashes:
            return False
        return any(self._missing(subject, now) <= 1 for subject in subjects)

    def _missing(self, subject, now):
        """Returns how many more crashes would have a subject held."""
        evidence = self._evidence(subject, now)
        return self._needed(subject, evidence, now) - len(evidence)

    def was_answered(self, subject, now):
        """Tells whether an answer on a subject began here recently."""
        return now - self._answered.get(subject, float('-inf')) <= ANSWERED_S

    def _evidence(self, subject, now):
        """Returns the crashes that count against a subject."""
        after = max(
            self._answered.get(subject, float('-inf')),
            self._lifted.get(subject, float('-inf')),
            now - _crashes.EVIDENCE_S,
        )
        return self._crashes.against(subject, after)

    def decide(self, now):
        """Holds the subjects that the crashes speak against.

        Returns:
            The new Holds.
        """
        found = []
        while len(self._holds) < MAX_HOLDS:
            hold = self._next_hold(now)
            if hold is None:
                break
            found.append(hold)
        return found

    def _next_hold(self, now):
        ranked = []
        for subject in self._suspected_subjects():
            evidence = self._evidence(subject, now)
            if self._is_due(subject, evidence, now):
                depth = max(c.suspects[subject].depth for c in evidence)
                needed = self._needed(subject, evidence, now)
                ranked.append((-needed, len(evidence), depth, subject))
        if not ranked:
            return None
        _needed, count, _depth, subject = max(ranked)
        return self._hold(Hold(subject, now, now, count))

    def _is_due(self, subject, evidence, now):
        """Tells whether the crashes suffice to hold a subject.

        Several poison subjects together crash more upstreams under a sound
        one that all share than each of them. So the crashes of one that was
        answered count only if no other subject is likely to explain them.
        """
        needed = self._needed(subject, evidence, now)
        if len(evidence) < needed or _is_of_one_caller(subject, evidence):
            return False
        if needed < CRASHES_TO_HOLD_ANSWERED:
            return True
        if len(evidence) >= CRASHES_REGARDLESS:
            return True
        likely = self._likely_subjects(now)
        left = [c for c in evidence if likely.isdisjoint(c.suspects)]
        return len(left) >= needed

    def _likely_subjects(self, now):
        """Returns the subjects of several crashes that were not answered."""
        counts = self._crashes.unexplained_counts()
        return {
            subject
            for subject, count in counts.items()
            if count >= LIKELY_CRASHES and self._is_likely(subject, now)
        }

    def _is_likely(self, subject, now):
        evidence = self._evidence(subject, now)
        needed = self._needed(subject, evidence, now)
        enough = len(evidence) >= LIKELY_CRASHES
        return enough and needed < CRASHES_TO_HOLD_ANSWERED

    def _suspected_subjects(self):
        """Returns the few subjects that may be held, without their answers."""
        counts = self._crashes.counts()
        counts = {s: n for s, n in counts.items() if s not in self._holds}
        return sorted(
            subject
            for subject, count in counts.items()
            if count >= CRASHES_TO_HOLD or subject in self._relapses
        )

    def _needed(self, subject, evidence, now):
        """Returns the number of crashes after which a subject is held."""
        if self._relapses.get(subject, now) > now:
            return 1
        if not evidence:
            return CRASHES_TO_HOLD
        first_at = min(crash.at for crash in evidence)
        answered = any(crash.suspects[subject].answered for crash in evidence)
        if answered or self.was_answered(subject, first_at):
            return CRASHES_TO_HOLD_ANSWERED
        return CRASHES_TO_HOLD

    def _hold(self, hold):
        self._holds[hold.subject] = hold
        self._crashes.explain(hold.subject)
        return hold

    def _refute(self, subject):
        """Ends a hold that was wrong; its crashes are open again."""
        if self._holds.pop(subject, None) is None:
            return
        self._crashes.reopen(subject)

    def adopt(self, hold):
        """Takes over a hold of another instance.

        Returns:
            Whether it is new here.
        """
        known = self._holds.get(hold.subject)
        if known is not None:
            known.asked_at = max(known.asked_at, hold.asked_at)
            known.since = min(known.since, hold.since)
            return False
        refuted_at = max(
            self._answered.get(hold.subject, float('-inf')),
            self._lifted.get(hold.subject, float('-inf')),
        )
        if refuted_at >= hold.since or len(self._holds) >= MAX_HOLDS:
            return False
        self._hold(hold)
        return True

    def refuse(self, subjects, now):
        """Returns the Hold by which a request is refused, or None.

        Args:
            subjects: Keys of the subjects of the request.
            now: Time in seconds.
        """
        for subject in subjects:
            hold = self._holds.get(subject)
            if hold is not None and hold.ends_at() > now:
                hold.asked_at = now
                hold.refused += 1
                return hold
        return self._pending_hold(subjects, now)

    def _pending_hold(self, subjects, now):
        """Returns a short Hold for a subject that `decide` may hold, or None.

        Reports that speak for another subject may still be under way.
        """
        if not self._crashes:
            return None
        for subject in subjects:
            evidence = self._evidence(subject, now)
            if self._is_due(subject, evidence, now):
                return Hold(subject, now, now, len(evidence), 1, PENDING_S)
        return None

    def holds(self, now):
        """Returns the Holds that are in force."""
        return [hold for hold in self._holds.values() if hold.ends_at() > now]

    def recent_crashes(self, now, age_s):
        """Returns id, time and Suspects of the crashes up to an age."""
        return self._crashes.recent(now, age_s)

    def lift(self, subject, at):
        """Lifts a hold; the crashes up to then no longer count.

        Returns:
            Whether the subject was held.
        """
        self._lifted[subject] = max(at, self._lifted.get(subject, at))
        self._trim(self._lifted, MAX_HOLDS)
        self._relapses.pop(subject, None)
        hold = self._holds.get(subject)
        if hold is None or hold.since > at:
            return False
        self._refute(subject)
        return True

    def expire(self, now):
        """Drops what is over; returns the Holds that have ended."""
        ended = [h for h in self._holds.values() if h.ends_at() <= now]
        for hold in ended:
            del self._holds[hold.subject]
            self._relapses[hold.subject] = now + RELAPSE_S
            self._trim(self._relapses, MAX_HOLDS)
        self._crashes.expire(now)
        for subject, until in list(self._relapses.items()):
            if until <= now:
                del self._relapses[subject]
        return ended

    @staticmethod
    def _trim(table, limit):
        while len(table) > limit:
            table.popitem(last=False)


def _is_of_one_caller(call, crashes):
    """Tells whether one caller's request of a call explains all crashes."""
    callers = [_subjects.callers_of(call, c.suspects) for c in crashes]
    return bool(callers) and bool(set.intersection(*callers))
