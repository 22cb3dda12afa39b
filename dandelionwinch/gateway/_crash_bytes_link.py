"""Messages by which instances tell what upstreams held when they crashed.

    ["crash_held", service, [[crash id, upstream, age, held, total]]]
    ["crash_bytes", service, [[crash id, upstream, age, held, total], ...]]
    ["crash_bytes?"]

"crash_held" goes to the instance that adds up what all held, "crash_bytes" to
all with the sum, and to one that asked. Held are the bytes of the sender's
bodies, total what it believes that the upstream held of all instances. An age
is in seconds before the datagram was sent, as clocks differ. Datagrams of
unknown senders are dropped.
"""

from dandelionwinch import errors
from dandelionwinch.gateway import _datagram_rows
from dandelionwinch import limits

MAX_AGE_S = 3600.0
MAX_BYTES = 1 << 40
MAX_ID_CHARS = 64


class CrashBytesLink:
    """Encodes, checks and decodes the messages of LearntBounds.

    Args:
        loop: The event loop.
        link: PeerLink.
        receiver: Object with `take_held(service, reports, sender)`,
            `take_sums(service, reports, sender)`, `take_question(addr)` and
            `count_invalid()`.
    """

    __slots__ = ('_link', '_loop', '_receiver')

    def __init__(self, loop, link, receiver):
        self._loop = loop
        self._link = link
        self._receiver = receiver
        link.register('crash_held', self._take_held)
        link.register('crash_bytes', self._take_sums)
        link.register('crash_bytes?', self._take_question)

    @property
    def peers(self):
        """Returns the address of each other instance, by its name."""
        return self._link.peers

    def send_held(self, service, report, addr):
        """Tells one instance what this one had at a crash."""
        self._link.send(['crash_held', service, [self._row(report)]], addr)

    def send_sums(self, service, reports, addresses):
        """Tells instances what all had at crashes."""
        rows = [self._row(report) for report in reports]
        for piece in _datagram_rows.pieces(rows):
            message = ['crash_bytes', service, piece]
            self._link.send_all(message, addresses)

    def ask(self, addresses):
        """Asks instances for the crashes that they know."""
        self._link.send_all(['crash_bytes?'], addresses)

    def _row(self, report):
        age_s = max(0.0, self._loop.time() - report.at)
        return [
            report.crash_id,
            report.upstream_id,
            round(min(MAX_AGE_S, age_s), 3),
            report.held,
            report.total,
        ]

    def _take_held(self, items, addr):
        self._receiver.take_held(*self._read(items, addr))

    def _take_sums(self, items, addr):
        self._receiver.take_sums(*self._read(items, addr))

    def _read(self, items, addr):
        try:
            sender = _datagram_rows.registered_sender(self._link, addr)
            service, rows = items
            reports = [
                self._read_report(*row)
                for row in _datagram_rows.checked_rows(rows)
            ]
            return _datagram_rows.checked_text(service), reports, sender
        except errors.SHAPE_ERRORS:
            self._receiver.count_invalid()
            raise

    def _read_report(self, crash_id, upstream_id, age_s, held, total):
        age_s = _datagram_rows.checked_number(age_s, most=MAX_AGE_S)
        return limits.CrashReport(
            _datagram_rows.checked_text(crash_id, MAX_ID_CHARS),
            _datagram_rows.checked_text(upstream_id),
            self._loop.time() - age_s,
            _datagram_rows.checked_count(held, MAX_BYTES),
            _datagram_rows.checked_count(total, MAX_BYTES),
        )

    def _take_question(self, items, addr):
        _datagram_rows.registered_sender(self._link, addr)
        if items:
            raise ValueError('a question with more items')
        self._receiver.take_question(addr)
