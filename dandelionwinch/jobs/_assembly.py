"""Puts one whole answer together from the pieces of attempts."""


class StreamGap(Exception):
    """A piece arrived after one that is missing."""


class AnswerAssembly:
    """The answer of one job, whatever attempt its pieces come from.

    Each attempt has a number. Pieces of a superseded attempt are
    dropped, as are pieces that arrive twice. An attempt either resumes
    the generation of the one before it, with the same offsets, or
    continues the text on another upstream with offsets from zero.

    Attributes:
        tokens: Pieces with text; the last piece often has none.
    """

    __slots__ = (
        '_base',
        'attempt',
        'ended',
        'next_offset',
        'parts',
        'tokens',
    )

    def __init__(self):
        self.attempt = 0
        self.next_offset = 0
        self.parts = []
        self.ended = False
        self.tokens = 0
        self._base = 0

    @property
    def text(self):
        """Text of the answer so far."""
        return ''.join(self.parts)

    def resume(self):
        """Starts an attempt that goes on with the same generation.

        Returns:
            The attempt's number.
        """
        self.attempt += 1
        return self.attempt

    def start_continuation(self):
        """Starts an attempt that continues the text elsewhere."""
        self.attempt += 1
        self._base = self.next_offset
        return self.attempt

    def resume_after(self):
        """Returns the last offset seen of the generation, or -1."""
        return self.next_offset - self._base - 1

    def accept(self, attempt, offset, text):
        """Takes in a piece.

        Args:
            attempt: Number of the attempt that it belongs to.
            offset: Its index within the generation; below 0 if the
                upstream gives none.
            text: Its text.

        Returns:
            Whether the piece is new and is to be passed on.

        Raises:
            StreamGap: If a piece before it is missing.
        """
        if attempt != self.attempt or self.ended:
            return False
        place = self.next_offset if offset < 0 else self._base + offset
        if place < self.next_offset:
            return False
        if place > self.next_offset:
            raise StreamGap(
                f'piece {place} arrived while piece {self.next_offset} '
                'is missing'
            )
        self.next_offset += 1
        self.tokens += bool(text)
        self.parts.append(text)
        return True

    def end(self, attempt):
        """Takes in the explicit end of an attempt's stream."""
        if attempt == self.attempt:
            self.ended = True
        return self.ended
