"""Bounds the bytes of all answers that are held until they are whole."""

# What a single answer may always have. It exceeds the usual ones, so that
# faulty upstreams that fill the rest break off no other answer.
MIN_ANSWER_BYTES = 1 << 14


class TooManyBytes(Exception):
    """An answer is too large beside all others that are held."""


class HeldAnswer:
    """The bytes of one answer that are held.

    Args:
        owner: AnswerBytes.
    """

    __slots__ = ('_owner', 'size')

    def __init__(self, owner):
        self._owner = owner
        self.size = 0

    def resize(self, size):
        """Sets the bytes that are held of it.

        Raises:
            TooManyBytes: If it may not have so many.
        """
        self._owner.held += size - self.size
        grows = size > self.size
        self.size = size
        if grows and size > self._owner.allowed:
            raise TooManyBytes(f'an answer of over {size} bytes')

    def close(self):
        """Records that nothing is held any more."""
        self.resize(0)


class AnswerBytes:
    """The bytes of all answers that one instance holds.

    Each answer may have as many bytes as are left, so the largest ones are
    given up first, and all together stay below the bound.

    Args:
        most: Maximum number of bytes, beside MIN_ANSWER_BYTES of each.

    Attributes:
        held: Bytes that are held.
    """

    __slots__ = ('_most', 'held')

    def __init__(self, most):
        self._most = most
        self.held = 0

    @property
    def allowed(self):
        """Returns the bytes that a single answer may have at this moment."""
        return max(MIN_ANSWER_BYTES, self._most - self.held)

    def open(self):
        """Returns a new HeldAnswer."""
        return HeldAnswer(self)
