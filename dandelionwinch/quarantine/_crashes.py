"""The crashes of upstreams that are known, and what explains each of them."""

import collections

import attrs

from dandelionwinch.quarantine import _subjects

# Age up to which a crash counts.
EVIDENCE_S = 120.0
MAX_CRASHES = 64
MAX_SUSPECTS = 512


@attrs.define
class Crash:
    """A crash of an upstream.

    Attributes:
        at: Time in seconds.
        suspects: For each subject, its Suspect as all instances reported it.
        explained_by: Subjects that are, or were, held for it.
    """

    at: float
    suspects: dict = attrs.Factory(dict)
    explained_by: set = attrs.Factory(set)

    def add(self, suspect):
        """Adds a Suspect; returns whether anything in it was not known."""
        known = self.suspects.get(suspect.subject)
        if known is None and len(self.suspects) >= MAX_SUSPECTS:
            return False
        if known is not None and (known.answered or not suspect.answered):
            return False
        self.suspects[suspect.subject] = suspect
        return True

    def may_be_part(self, subject):
        """Tells whether only whole requests, if any, explain it."""
        if not self.explained_by:
            return True
        if self.suspects[subject].answered:
            return False
        return all(map(_subjects.is_call, self.explained_by))

    def is_open(self, subject):
        """Tells whether it may still be put down to a subject.

        Two calls in flight under the same crashes can't be told apart. Both
        are held, unless one was answered before: to hold a call that was not
        harms nobody but its callers. A call that is held for one caller may
        be what crashes upstreams whoever sends it.
        """
        explained_by = [
            other
            for other in self.explained_by
            if not _subjects.is_of_another_caller(subject, other)
        ]
        if not explained_by:
            return True
        if self.suspects[subject].answered:
            return False
        return all(
            _subjects.are_other_calls(subject, other) for other in explained_by
        )


class Crashes:
    """The crashes up to an age, by id."""

    __slots__ = ('_crashes',)

    def __init__(self):
        self._crashes = collections.OrderedDict()

    def __len__(self):
        return len(self._crashes)

    def __iter__(self):
        return iter(self._crashes.values())

    def record(self, crash_id, suspects, at, held):
        """Takes in the suspects that one instance reports of a crash.

        Args:
            crash_id: Text that tells this crash from any other.
            suspects: The Suspects.
            at: Time of the crash in seconds.
            held: Subjects that are held.

        Returns:
            Whether anything in it was not known.
        """
        crash = self._crashes.get(crash_id)
        if crash is None:
            crash = self._crashes[crash_id] = Crash(at)
            while len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        news = False
        for suspect in suspects:
            news = crash.add(suspect) or news
        crash.explained_by.update(crash.suspects.keys() & held)
        return news

    def against(self, subject, after):
        """Returns the crashes that count against a subject.

        Args:
            subject: Key of the subject.
            after: Time after which they count, in seconds.
        """
        crashes = [
            crash
            for crash in self
            if crash.at > after and subject in crash.suspects
        ]
        found = [crash for crash in crashes if crash.is_open(subject)]
        if not found or _subjects.is_call(subject):
            return found
        # A part that crashed an upstream under another request, too, is
        # the likelier explanation of those put down to a whole request.
        return [crash for crash in crashes if crash.may_be_part(subject)]

    def explain(self, subject):
        """Puts all crashes under which a subject was in flight down to it."""
        for crash in self:
            if subject in crash.suspects:
                crash.explained_by.add(subject)

    def reopen(self, subject):
        """Puts no crash down to a subject any more."""
        for crash in self:
            crash.explained_by.discard(subject)

    def counts(self):
        """Returns how many crashes may be put down to each subject."""
        counts = collections.Counter()
        for crash in self:
            counts.update(s for s in crash.suspects if crash.is_open(s))
        return counts

    def unexplained_counts(self):
        """Returns the number of unexplained crashes of each subject."""
        counts = collections.Counter()
        for crash in self:
            if not crash.explained_by:
                counts.update(crash.suspects.keys())
        return counts

    def recent(self, now, age_s):
        """Returns id, time and Suspects of the crashes up to an age."""
        return [
            (crash_id, crash.at, list(crash.suspects.values()))
            for crash_id, crash in self._crashes.items()
            if now - crash.at <= age_s
        ]

    def expire(self, now):
        """Drops the crashes that no longer count."""
        for crash_id, crash in list(self._crashes.items()):
            if now - crash.at > EVIDENCE_S:
                del self._crashes[crash_id]
