"""How old the knowledge is that others have told.

Clocks differ, and a datagram may be late. The difference of the clocks of a
sender and its receiver is that of the fastest of its datagrams, so a late
one makes no knowledge look younger than it is. The first datagram has none to
compare with; it ends a silence, and says nothing of the age of knowledge.
"""

import attrs

# The difference of clocks is that of the fastest datagram of this time or
# twice that: a clock that stopped, with its machine, is believed again then.
WINDOW_S = 15.0
# A clock that advanced by more than this at once is another one: its sender
# runs on another machine now, or the own machine was suspended.
JUMP_S = 5.0


@attrs.define
class _Sender:
    """Differences of the clocks, and the time of the told knowledge."""

    window_at: float
    current: float
    previous: float
    sent_s: float
    # Whether datagrams of two times of sending were heard.
    comparable: bool = False
    answered_at: float = float('-inf')
    known_at: float = float('-inf')

    @property
    def difference(self):
        return min(self.current, self.previous)

    def add(self, sent_s, now):
        """Records the difference of the clocks by a datagram."""
        self.comparable = self.comparable or sent_s != self.sent_s
        difference = now - sent_s
        before = self.difference
        if now - self.window_at > WINDOW_S:
            self.window_at = now
            self.previous, self.current = self.current, difference
        self.current = min(self.current, difference)
        # What was told is older than the slower datagrams made it look. If
        # the clock was set back, it is not younger for that.
        older_s = max(0.0, before - self.difference)
        self.answered_at -= older_s
        self.known_at -= older_s


class SenderViews:
    """Ages of what the other instances have told.

    All times are seconds of the own clock unless stated otherwise.
    """

    __slots__ = ('_senders',)

    def __init__(self):
        self._senders = {}

    def clear(self):
        """Forgets what was told, as the store was restored since."""
        for sender in self._senders.values():
            sender.answered_at = sender.known_at = float('-inf')

    def heard(self, name, sent_s, now):
        """Records a datagram and returns the time at which it was sent.

        Args:
            name: Name of the sender.
            sent_s: Time of sending, in seconds of the sender's clock.
            now: Time of arrival.
        """
        difference = now - sent_s
        sender = self._senders.get(name)
        if sender is None or difference < sender.difference - JUMP_S:
            sender = _Sender(now, difference, difference, sent_s)
            self._senders[name] = sender
        sender.add(sent_s, now)
        return min(now, sent_s + sender.difference)

    def known(self, name, answered_at, known_at):
        """Records that all that a sender knew at a time is known here.

        Args:
            name: Name of a sender that was heard.
            answered_at: Time at which the store answered the sender.
            known_at: Earliest time at which it can have made that answer.
        """
        sender = self._senders[name]
        sender.answered_at = max(sender.answered_at, answered_at)
        if sender.comparable:
            sender.known_at = max(sender.known_at, known_at)

    def answered_at(self):
        """Returns when the store last answered one that told all of it."""
        times = [sender.answered_at for sender in self._senders.values()]
        return max(times, default=float('-inf'))

    def known_at(self):
        """Returns the time up to which the changes of the store are known."""
        times = [sender.known_at for sender in self._senders.values()]
        return max(times, default=float('-inf'))

    def keep(self, names):
        """Forgets all senders but those of some names."""
        for name in self._senders.keys() - set(names):
            del self._senders[name]
