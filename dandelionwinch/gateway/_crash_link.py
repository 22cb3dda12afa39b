"""Messages by which instances share crashes, answers and holds.

    ["crash", crash id, age, [[subject, depth, answered], ...]]
    ["answered", [subject, ...], age]
    ["holds", [[subject, held for, last asked, crashes], ...]]
    ["holds?"]
    ["lift", subject, age]

Times are seconds before the datagram was sent, as clocks differ. Datagrams
of unknown senders are dropped.
"""

from dandelionwinch.gateway import _datagram_rows
from dandelionwinch import quarantine

MAX_TEXT_CHARS = 64
MAX_AGE_S = 3600.0


class CrashLink:
    """Encodes, checks and decodes the messages of a CrashGuard.

    Args:
        loop: The event loop.
        link: PeerLink.
        receiver: Object with `take_crash(crash_id, suspects, at)`,
            `take_answers(subjects, at)`, `take_hold(hold, sender)`,
            `take_lift(subject, at)` and `tell_holds(addr)`.
    """

    __slots__ = ('_link', '_loop', '_receiver')

    def __init__(self, loop, link, receiver):
        self._loop = loop
        self._link = link
        self._receiver = receiver
        link.register('crash', self._take_crash)
        link.register('answered', self._take_answers)
        link.register('holds', self._take_holds)
        link.register('holds?', self._take_question)
        link.register('lift', self._take_lift)

    @property
    def peers(self):
        """Returns the addresses of the other instances, as a list."""
        return list(self._link.peers.values())

    def send_crash(self, crash_id, suspects, at, addresses):
        """Tells instances what an engine had when it crashed."""
        rows = [[s.subject, s.depth, int(s.answered)] for s in suspects]
        for piece in _datagram_rows.pieces(rows):
            message = ['crash', crash_id, self._age_s(at), piece]
            self._link.send_all(message, addresses)

    def send_answered(self, subjects, addresses):
        """Tells instances that an answer on subjects has begun."""
        self._link.send_all(['answered', list(subjects), 0.0], addresses)

    def send_holds(self, holds, addresses):
        """Tells instances which subjects are held."""
        rows = [
            [
                hold.subject,
                self._age_s(hold.since),
                self._age_s(hold.asked_at),
                hold.crashes,
            ]
            for hold in holds
        ]
        for piece in _datagram_rows.pieces(rows):
            self._link.send_all(['holds', piece], addresses)

    def ask_holds(self, addresses):
        """Asks instances for what they know."""
        self._link.send_all(['holds?'], addresses)

    def send_lift(self, subject, addresses):
        """Tells instances that an operator lifted a hold."""
        self._link.send_all(['lift', subject, 0.0], addresses)

    def _age_s(self, at):
        return round(max(0.0, self._loop.time() - at), 3)

    def _at(self, age_s):
        return self._loop.time() - _datagram_rows.checked_number(
            age_s, most=MAX_AGE_S
        )

    def _check_sender(self, addr):
        _datagram_rows.registered_sender(self._link, addr)

    def _take_crash(self, items, addr):
        self._check_sender(addr)
        crash_id, age_s, rows = items
        suspects = [
            _read_suspect(*row) for row in _datagram_rows.checked_rows(rows)
        ]
        at = self._at(age_s)
        self._receiver.take_crash(_checked_text(crash_id), suspects, at)

    def _take_answers(self, items, addr):
        self._check_sender(addr)
        subjects, age_s = items
        subjects = [
            _checked_text(subject)
            for subject in _datagram_rows.checked_rows(subjects)
        ]
        self._receiver.take_answers(subjects, self._at(age_s))

    def _take_holds(self, items, addr):
        self._check_sender(addr)
        (rows,) = items
        holds = [
            self._read_hold(*row) for row in _datagram_rows.checked_rows(rows)
        ]
        for hold in holds:
            self._receiver.take_hold(hold, addr[0])

    def _read_hold(self, subject, held_s, asked_s, crashes):
        if type(crashes) is not int or crashes < 1:
            raise ValueError(f'{crashes!r} crashes')
        since, asked_at = self._at(held_s), self._at(asked_s)
        return quarantine.Hold(
            _checked_text(subject), since, asked_at, crashes
        )

    def _take_question(self, items, addr):
        self._check_sender(addr)
        self._receiver.tell_holds(addr)

    def _take_lift(self, items, addr):
        self._check_sender(addr)
        subject, age_s = items
        self._receiver.take_lift(_checked_text(subject), self._at(age_s))


def _read_suspect(subject, depth, answered):
    if type(depth) is not int or answered not in (0, 1):
        raise ValueError(f'suspect {subject!r}')
    return quarantine.Suspect(_checked_text(subject), depth, bool(answered))


def _checked_text(text):
    return _datagram_rows.checked_text(text, MAX_TEXT_CHARS)
