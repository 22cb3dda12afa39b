"""How old the knowledge is that others have told.

Clocks differ, and a datagram may be late. The difference of the clocks of a
sender and its receiver is that of the fastest of its datagrams, so a late
one makes no knowledge look younger than it is.
"""

import attrs

# The difference of clocks is that of the fastest datagram of this time or
# twice that: a clock that stopped, with its machine, is believed again then.
WINDOW_S = 15.0


@attrs.define
class _Sender:
    """Differences of the clocks, and the time of the told knowledge."""

    window_at: float
    current: float
    previous: float
    # In seconds of the sender's clock.
    known_s: float = float('-inf')

    @property
    def difference(self):
        return min(self.current, self.previous)


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
            sender.known_s = float('-inf')

    def heard(self, name, sent_s, now):
        """Records a datagram and returns the time at which it was sent.

        Args:
            name: Name of the sender.
            sent_s: Time of sending, in seconds of the sender's clock.
            now: Time of arrival.
        """
        difference = now - sent_s
        sender = self._senders.get(name)
        if sender is None:
            sender = _Sender(now, difference, difference)
            self._senders[name] = sender
        if now - sender.window_at > WINDOW_S:
            sender.window_at = now
            sender.previous, sender.current = sender.current, difference
        sender.current = min(sender.current, difference)
        return sent_s + sender.difference

    def known(self, name, known_s):
        """Records that all that a sender knew at a time is known here.

        Args:
            name: Name of a sender that was heard.
            known_s: Time in seconds of the sender's clock.
        """
        sender = self._senders[name]
        sender.known_s = max(sender.known_s, known_s)

    def known_at(self):
        """Returns the time up to which the changes of the store are known."""
        times = [s.known_s + s.difference for s in self._senders.values()]
        return max(times, default=float('-inf'))

    def keep(self, names):
        """Forgets all senders but those of some names."""
        for name in self._senders.keys() - set(names):
            del self._senders[name]
