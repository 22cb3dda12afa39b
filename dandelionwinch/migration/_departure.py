"""When engines leave, and which of their streams end before."""

import attrs

# The time left is counted from the write of an entry, which is read up to
# a second later, and a stream that ends just in time may also end too late.
MARGIN_S = 1.0
# Events from which the mean gap of a stream is known.
MIN_EVENTS = 4
# Time for which the departure of an engine is remembered after it.
REMEMBERED_S = 60.0


class Departures:
    """The times at which engines leave, by incarnation."""

    __slots__ = ('_leaves_at', '_stated')

    def __init__(self):
        self._leaves_at = {}
        # Incarnations whose entries have stated it.
        self._stated = set()

    def record(self, incarnation, stated_s, usual_s, now):
        """Records that an engine leaves.

        Args:
            incarnation: Incarnation of the engine.
            stated_s: Time left that its entry states, None if it does not.
            usual_s: Time that it has otherwise, from the first notice on.
            now: Time in seconds.
        """
        self._leaves_at = {
            key: at
            for key, at in self._leaves_at.items()
            if now - at <= REMEMBERED_S
        }
        self._stated &= self._leaves_at.keys()
        if stated_s is None:
            # What another instance told before may have been wrong.
            if self._leaves_at.get(incarnation, now) <= now:
                self._leaves_at[incarnation] = now + usual_s
            return
        at = now + stated_s
        if incarnation in self._stated:
            # The same entry may be read again, later.
            at = min(at, self._leaves_at[incarnation])
        self._stated.add(incarnation)
        self._leaves_at[incarnation] = at

    def leaves_at(self, incarnation):
        """Returns the time at which an engine leaves, None if it stays."""
        return self._leaves_at.get(incarnation)


@attrs.define
class Progress:
    """How far a stream has come at its engine.

    Attributes:
        tokens: Maximum number of tokens of the answer, 0 if not known.
        before: Events of the answer that came before this engine's.
    """

    tokens: int
    before: int = 0
    _events: int = 0
    _first_at: float = 0.0
    _last_at: float = 0.0

    def record_event(self, now):
        """Records an event of the stream."""
        if not self._events:
            self._first_at = now
        self._events += 1
        self._last_at = now

    @property
    def begun(self):
        """Tells whether the engine has sent an event."""
        return self._events > 0

    def left_s(self):
        """Returns the time that the rest should take, None if not known."""
        if not self.tokens or self._events < MIN_EVENTS:
            return None
        gap_s = (self._last_at - self._first_at) / (self._events - 1)
        rest = max(0, self.tokens - self.before - self._events)
        return rest * gap_s


def must_move(progress, leaves_at, now):
    """Tells whether a stream should not end before its engine leaves.

    Args:
        progress: Progress of the stream.
        leaves_at: Time at which the engine leaves.
        now: Time in seconds.
    """
    if not progress.begun or now >= leaves_at:
        return False
    left_s = progress.left_s()
    return left_s is None or left_s > leaves_at - now - MARGIN_S
