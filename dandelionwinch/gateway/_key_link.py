"""Messages by which instances tell each other which keys have changed.

    ["keys", version, [version, ...], part, parts, question, age, rows]
    ["keys?", version, question]

A row is [digest, null] for a key that was removed and [digest, team,
priority] for one that was added. The changes lead from each version of the
list to the one before the list. The version of a question is the one up to
which its sender knows all changes; its answers repeat its number, other
messages have 0. The age is that of the sender's view of the store in seconds,
null if it has none or if the message does not lead to its own version.
Datagrams of unknown senders are dropped.
"""

import math

from dandelionwinch.gateway import _datagram_rows
from dandelionwinch import teams

MAX_NAME_CHARS = 128
MAX_PARTS = 256
MAX_NUMBER = 1 << 53
MAX_AGE_S = 3600.0


class KeyLink:
    """Encodes, checks and decodes the messages of a KeySharing.

    Args:
        link: PeerLink.
        receiver: Object with `take_report(report, question, age_s, sender)`,
            where `age_s` may be None, and
            `take_question(version, question, sender, addr)`.
    """

    __slots__ = ('_link', '_receiver')

    def __init__(self, link, receiver):
        self._link = link
        self._receiver = receiver
        link.register('keys', self._take_report)
        link.register('keys?', self._take_question)

    @property
    def peers(self):
        """Returns the address of each other instance, by its name."""
        return self._link.peers

    def send_report(self, report, question, age_s, addresses):
        """Sends one part of a change.

        Args:
            report: KeyReport.
            question: Number of the question that it answers, or 0.
            age_s: Age of the view of the store, or None.
            addresses: Addresses of instances.
        """
        if age_s is not None:
            age_s = round(min(MAX_AGE_S, age_s), 3)
        message = [
            'keys',
            report.version,
            report.bases,
            report.part,
            report.parts,
            question,
            age_s,
            [_encode_row(*row) for row in report.rows],
        ]
        self._link.send_all(message, addresses)

    def ask(self, version, question, addr):
        """Asks an instance for what changed after a version."""
        self._link.send(['keys?', version, question], addr)

    def _take_report(self, items, addr):
        sender = self._link.name_of(addr)
        version, bases, part, parts, question, age_s, rows = items
        if not 0 <= _checked(part) < _checked(parts) <= MAX_PARTS:
            raise ValueError(f'part {part!r} of {parts!r}')
        if not all(
            _checked(base) < _checked(version)
            for base in _datagram_rows.checked_rows(bases)
        ):
            raise ValueError(f'version {version!r} after a newer one')
        report = teams.KeyReport(
            tuple(bases),
            version,
            part,
            parts,
            tuple(
                _read_row(*row) for row in _datagram_rows.checked_rows(rows)
            ),
        )
        self._receiver.take_report(
            report, _checked(question), _checked_age(age_s), sender
        )

    def _take_question(self, items, addr):
        sender = self._link.name_of(addr)
        version, question = items
        self._receiver.take_question(
            _checked(version), _checked(question), sender, addr
        )


def parts_of(found):
    """Yields the KeyReports of a VersionChanges, removed keys first.

    What is beyond MAX_PARTS parts is left out; the receivers then wait for
    the version itself.
    """
    removed = [(key_digest, None) for key_digest in found.changes.removed]
    rows = removed + list(found.changes.added.items())
    parts = max(1, math.ceil(len(rows) / _datagram_rows.MAX_ROWS))
    for part in range(min(parts, MAX_PARTS)):
        first = part * _datagram_rows.MAX_ROWS
        yield teams.KeyReport(
            found.bases,
            found.version,
            part,
            parts,
            tuple(rows[first : first + _datagram_rows.MAX_ROWS]),
        )


def _encode_row(key_digest, team):
    if team is None:
        return [key_digest.hex(), None]
    return [key_digest.hex(), team.name, team.priority]


def _read_row(text, name, priority=None):
    key_digest = bytes.fromhex(text)
    if len(key_digest) != teams.DIGEST_BYTES:
        raise ValueError('a digest of another size')
    if name is None:
        return key_digest, None
    if not _datagram_rows.checked_text(name, MAX_NAME_CHARS).isprintable():
        raise ValueError('not the name of a team')
    if priority is not None and type(priority) is not int:
        raise ValueError('not the priority of a team')
    return key_digest, teams.Team(name, priority)


def _checked(number):
    return _datagram_rows.checked_count(number, MAX_NUMBER)


def _checked_age(age_s):
    if age_s is None:
        return None
    return float(_datagram_rows.checked_number(age_s, most=MAX_AGE_S))
