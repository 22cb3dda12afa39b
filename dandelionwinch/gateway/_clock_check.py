"""Compares the clock at the start with those of other instances.

    ["clock?", time]
    ["clock", time of the question, time]

Times are in ms since the start of 1970. A process may start while the wall
clock of its machine is wrong; most others did not. Datagrams of unknown
senders are dropped.
"""

from dandelionwinch import usage

# Instances that are asked, and the time for which answers are awaited.
ASKED_INSTANCES = 9
ANSWER_WAIT_S = 1.0
# Round trip up to which an answer tells the time: its error is half of it.
MAX_ROUND_TRIP_S = 0.2
# Time for which an instance that knows no other waits for one to ask.
ALONE_S = 3.0
MS = 1000.0
# Numbers up to which parsers with floating-point numbers are exact.
MAX_NUMBER = (1 << 53) - 1


class ClockCheck:
    """Finds the offset of the clock to most other instances.

    Args:
        loop: The event loop.
        clock: TrueClock.
        link: PeerLink.
        rng: Source of randomness.
    """

    __slots__ = (
        '_asked_at',
        '_clock',
        '_link',
        '_loop',
        '_offsets_s',
        '_rng',
        '_started_at',
    )

    def __init__(self, loop, clock, link, rng):
        self._loop = loop
        self._clock = clock
        self._link = link
        self._rng = rng
        self._started_at = None
        self._asked_at = None
        # Offsets of other instances' clocks in seconds, by name.
        self._offsets_s = {}
        link.register('clock?', self._take_question)
        link.register('clock', self._take_answer)

    @property
    def answers(self):
        """Returns how many instances answered in time."""
        return len(self._offsets_s)

    def find_offset_s(self):
        """Returns the seconds to add to the clock, None while not known.

        It is to be called until it returns a number.
        """
        now = self._loop.time()
        if self._started_at is None:
            self._started_at = now
        if self._asked_at is None:
            if self._link.peers:
                self._ask(now)
            alone = now - self._started_at > ALONE_S
            return 0.0 if alone and self._asked_at is None else None
        if now - self._asked_at < ANSWER_WAIT_S:
            return None
        return usage.median_offset(self._offsets_s.values())

    def _ask(self, now):
        self._asked_at = now
        peers = list(self._link.peers.values())
        chosen = self._rng.sample(peers, min(ASKED_INSTANCES, len(peers)))
        self._link.send_all(['clock?', self._now_ms()], chosen)

    def _now_ms(self):
        return round(self._clock.now() * MS)

    def _take_question(self, items, addr):
        self._link.name_of(addr)
        (asked_ms,) = items
        answer = ['clock', _checked_number(asked_ms), self._now_ms()]
        self._link.send(answer, addr)

    def _take_answer(self, items, addr):
        sender = self._link.name_of(addr)
        asked_ms, time_ms = map(_checked_number, items)
        answered_ms = self._clock.now() * MS
        if 0 <= answered_ms - asked_ms <= MAX_ROUND_TRIP_S * MS:
            middle_ms = (asked_ms + answered_ms) / 2
            self._offsets_s[sender] = (time_ms - middle_ms) / MS


def _checked_number(number):
    if type(number) is not int or not 0 <= number <= MAX_NUMBER:
        raise ValueError(f'number {str(number)[:20]!r}')
    return number
