"""Changes as compressed bytes, and pieces of them in datagrams."""

import json
import zlib

from dandelionwinch.relay import _message

# A piece in base64 and its header fit into an Ethernet frame.
PIECE_BYTES = 960
MAX_PIECES = 48
# Bounds what a forged message makes this instance decompress.
MAX_BYTES = 1 << 20
# A larger value is fetched from the store by each receiver.
MAX_VALUE_BYTES = 16384


def encode(changes):
    """Returns the pieces of changes, None if they are too large.

    Args:
        changes: Change items in their order.

    Returns:
        List of bytes, a single empty item without changes.
    """
    if not changes:
        return [b'']
    rows = [_encode_row(change) for change in changes]
    data = json.dumps(rows, separators=(',', ':')).encode()
    if len(data) > MAX_BYTES:
        return None
    packed = zlib.compress(data)
    pieces = [
        packed[start : start + PIECE_BYTES]
        for start in range(0, len(packed), PIECE_BYTES)
    ]
    return pieces if len(pieces) <= MAX_PIECES else None


def _encode_row(change):
    if change.withheld or len(change.value or b'') > MAX_VALUE_BYTES:
        return [change.key, change.revision]
    value = change.value
    # Latin-1 has a character for each byte, and values are mostly ASCII.
    text = None if value is None else value.decode('latin-1')
    return [change.key, change.revision, text]


def decode(packed, before, after):
    """Returns the Change items of encoded bytes.

    Args:
        packed: The joined pieces.
        before: Number of the revision after which the changes begin.
        after: Number of the revision that they lead to.

    Raises:
        ValueError: If they are malformed.
    """
    if not packed:
        return ()
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_BYTES)
    except zlib.error as exc:
        raise ValueError('not compressed changes') from exc
    if not unpacker.eof:
        raise ValueError('changes of more than the largest size')
    changes = tuple(_read_row(*row) for row in json.loads(data))
    if not all(before < change.revision <= after for change in changes):
        raise ValueError('a change of another revision')
    return changes


def _read_row(key, revision, *values):
    if not isinstance(key, str) or type(revision) is not int:
        raise ValueError('not a key and its revision')
    if not values:
        return _message.Change(key, None, revision, withheld=True)
    (text,) = values
    value = None if text is None else text.encode('latin-1')
    return _message.Change(key, value, revision)


class Assembler:
    """Joins the pieces of the last message of each sender."""

    __slots__ = ('_partial',)

    def __init__(self):
        self._partial = {}

    def add(self, sender, message_id, part, parts, piece):
        """Adds a piece.

        Args:
            sender: Name of the sender.
            message_id: Value that differs between messages of a sender.
            part: Number of the piece, from 0.
            parts: Number of pieces.
            piece: Bytes.

        Returns:
            The joined bytes if the message is complete, else None.
        """
        if parts == 1:
            return piece
        known_id, pieces = self._partial.get(sender, (None, {}))
        if known_id != message_id:
            pieces = {}
        pieces[part] = piece
        self._partial[sender] = (message_id, pieces)
        if len(pieces) < parts:
            return None
        del self._partial[sender]
        return b''.join(pieces[number] for number in sorted(pieces))
