"""Messages by which instances tell each other what changed in the store.

    ["changes", epoch, before, after, listed, sent, age, view, failed, part,
     parts, piece]
    ["changes?", epoch, number]

The epoch is null if the store states none. Before, after and listed are
revisions of the store. Sent is the time of the sender's clock, age that since
the store answered, view that for which the store may have changed since the
sender's view, failed that since a call of it to the store failed or null, all
in seconds. A piece is a part of compressed changes in base64, or null if they
are too large. The number of a question is the revision up to which its sender
knows all changes. Datagrams of unknown senders are dropped.
"""

import base64
import math

from dandelionwinch import relay

MAX_EPOCH = 1 << 13
MAX_REVISION = 1 << 53
MAX_TIME_S = 1e10
MAX_PIECE_CHARS = 1300


class ChangeLink:
    """Encodes, checks and decodes the messages of a ChangeRelay.

    Args:
        loop: The event loop.
        link: PeerLink.
        receiver: Object with `take_message(message, sender)` and
            `take_question(epoch, number, sender, addr)`.
    """

    __slots__ = ('_assembler', '_link', '_loop', '_receiver')

    def __init__(self, loop, link, receiver):
        self._loop = loop
        self._link = link
        self._receiver = receiver
        self._assembler = relay.Assembler()
        link.register('changes', self._take_changes)
        link.register('changes?', self._take_question)

    @property
    def bound(self):
        """Whether datagrams can be sent and received."""
        return self._link.bound

    @property
    def peers(self):
        """Returns the address of each other instance, by its name."""
        return self._link.peers

    def send_changes(self, message, addresses):
        """Sends a Message in as many datagrams as it needs."""
        pieces = None
        if message.changes is not None:
            pieces = relay.encode(message.changes)
        texts = [None]
        if pieces is not None:
            texts = [base64.b64encode(piece).decode() for piece in pieces]
        failed_s = message.failed_s
        head = [
            'changes',
            message.epoch,
            message.before,
            message.after,
            message.listed,
            round(message.sent_s, 3),
            round(message.age_s, 3),
            round(message.view_age_s, 3),
            None if failed_s is None else round(failed_s, 3),
        ]
        for part, text in enumerate(texts):
            self._link.send_all([*head, part, len(texts), text], addresses)

    def ask(self, epoch, number, addresses):
        """Asks instances for the changes after a revision."""
        self._link.send_all(['changes?', epoch, number], addresses)

    def _take_changes(self, items, addr):
        sender = self._link.name_of(addr)
        epoch, before, after, listed, *times, part, parts, text = items
        sent_s, age_s, view_age_s, failed_s = times
        _check_epoch(epoch)
        if not _checked(before) <= _checked(listed) <= _checked(after):
            raise ValueError('changes that lead backward')
        for time_s in (sent_s, age_s, view_age_s, failed_s or 0.0):
            _check_time(time_s)
        if not 0 <= _checked(part) < _checked(parts) <= relay.MAX_PIECES:
            raise ValueError(f'part {part!r} of {parts!r}')
        changes = None
        if text is not None:
            message_id = (epoch, before, after, sent_s, parts)
            packed = self._assembler.add(
                sender, message_id, part, parts, _read_piece(text)
            )
            if packed is None:
                return
            changes = relay.decode(packed, before, after)
        self._receiver.take_message(
            relay.Message(epoch, before, after, listed, *times, changes),
            sender,
        )

    def _take_question(self, items, addr):
        sender = self._link.name_of(addr)
        epoch, number = items
        _check_epoch(epoch)
        self._receiver.take_question(epoch, _checked(number), sender, addr)


def _read_piece(text):
    if not isinstance(text, str) or len(text) > MAX_PIECE_CHARS:
        raise ValueError('not a piece of changes')
    return base64.b64decode(text, validate=True)


def _check_epoch(epoch):
    if epoch is not None and not _checked(epoch) < MAX_EPOCH:
        raise ValueError('not an epoch')


def _checked(number):
    if type(number) is not int or not 0 <= number <= MAX_REVISION:
        raise ValueError('not a number of a revision or part')
    return number


def _check_time(time_s):
    if type(time_s) not in (int, float) or not math.isfinite(time_s):
        raise ValueError('not a time')
    if not 0 <= time_s <= MAX_TIME_S:
        raise ValueError('not a time')
