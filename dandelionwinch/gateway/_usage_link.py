"""Messages by which instances tell the holder what their teams used.

    ["usage", name, incarnation, window, final, total, reported, rows]
    ["usage?", reported]
    ["reported", window, whether this is an answer]

The incarnation is the start of the process in ms since 1970. A "usage" has
the running total of one window or a part of it: rows of a team and its
requests, and the sum of all rows. The name is not the sender's if that sends
on what it holds of an instance that may have ended. Reported is the last
window of which the sender saw a report. A "reported" says that the report of
a window is about to be sent, and is answered in kind. Datagrams of unknown
senders are dropped.
"""

from dandelionwinch.gateway import _datagram_rows
from dandelionwinch import usage

# Numbers up to which parsers with floating-point numbers are exact.
MAX_NUMBER = (1 << 53) - 1


class UsageLink:
    """Encodes, checks and decodes the messages of a UsageSharing.

    Args:
        link: PeerLink.
        receiver: Object with `take_total(total, relayed)`,
            `take_reported(window)`, `take_question(addr)` and
            `take_announcement(window, is_answer, addr)`.
    """

    __slots__ = ('_link', '_receiver')

    def __init__(self, link, receiver):
        self._link = link
        self._receiver = receiver
        link.register('usage', self._take_total)
        link.register('usage?', self._take_question)
        link.register('reported', self._take_announcement)

    @property
    def peers(self):
        """Returns the address of each other instance, by its name."""
        return self._link.peers

    def send_total(self, total, reported, addresses):
        """Sends a RunningTotal, in as many datagrams as it takes.

        Args:
            total: RunningTotal.
            reported: Last window of which a report was seen, -1 without one.
            addresses: Addresses of the receivers.
        """
        rows = total.rows
        for first in range(0, max(1, len(rows)), _datagram_rows.MAX_ROWS):
            message = [
                'usage',
                total.name,
                total.incarnation,
                total.window,
                int(total.final),
                total.total,
                reported,
                rows[first : first + _datagram_rows.MAX_ROWS],
            ]
            self._link.send_all(message, addresses)

    def ask_totals(self, reported, addresses):
        """Asks instances for what they hold of windows without a report."""
        self._link.send_all(['usage?', reported], addresses)

    def announce(self, window, is_answer, addresses):
        """Tells instances that the report of a window is about to be sent."""
        message = ['reported', window, int(is_answer)]
        self._link.send_all(message, addresses)

    def _take_total(self, items, addr):
        sender = self._link.name_of(addr)
        name, incarnation, window, final, total, reported, rows = items
        if final not in (0, 1):
            raise ValueError('not a running total')
        taken = usage.RunningTotal(
            _datagram_rows.checked_text(name),
            _checked_number(incarnation),
            _checked_number(window),
            bool(final),
            _checked_number(total),
            tuple(
                _read_row(*row) for row in _datagram_rows.checked_rows(rows)
            ),
        )
        self._receiver.take_reported(_checked_window(reported))
        self._receiver.take_total(taken, relayed=name != sender)

    def _take_question(self, items, addr):
        self._link.name_of(addr)
        (reported,) = items
        self._receiver.take_reported(_checked_window(reported))
        self._receiver.take_question(addr)

    def _take_announcement(self, items, addr):
        self._link.name_of(addr)
        window, is_answer = items
        if is_answer not in (0, 1):
            raise ValueError('not an announcement')
        self._receiver.take_announcement(
            _checked_number(window), bool(is_answer), addr
        )


def _read_row(team, count):
    return _datagram_rows.checked_text(team), _checked_number(count)


def _checked_number(number):
    return _datagram_rows.checked_count(number, MAX_NUMBER)


def _checked_window(window):
    return -1 if window == -1 else _checked_number(window)
