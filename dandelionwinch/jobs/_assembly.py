"""Assembles one answer from the streamed chunks of several attempts."""


class StreamGap(Exception):
    """A chunk arrived although one before it is missing."""


class AnswerAssembly:
    """The answer of one job over all its attempts.

    A generation is one run of the job on one upstream; an attempt is one
    request for its stream. An attempt either resumes the generation of
    the attempt before it, with the same offsets, or continues the text
    as a new generation on another upstream, with offsets from zero.

    Attempts are numbered. Chunks of a superseded attempt and duplicate
    chunks are dropped.

    Attributes:
        attempt: Number of the newest attempt.
        next_offset: Index in the answer of the next chunk.
        ended: Whether the answer is complete.
        tokens: Number of chunks with text, each of which counts as one
            token; the last chunk often has no text.
    """

    __slots__ = (
        '_generation_start',
        '_texts',
        'attempt',
        'ended',
        'next_offset',
        'tokens',
    )

    def __init__(self):
        self.attempt = 0
        self.next_offset = 0
        self._texts = []
        self.ended = False
        self.tokens = 0
        self._generation_start = 0

    @property
    def text(self):
        """Text of the answer so far."""
        return ''.join(self._texts)

    def resume(self):
        """Starts an attempt that resumes the same generation.

        Returns:
            The attempt's number.
        """
        self.attempt += 1
        return self.attempt

    def start_continuation(self):
        """Starts an attempt that continues the text as a new generation.

        Returns:
            The attempt's number.
        """
        self.attempt += 1
        self._generation_start = self.next_offset
        return self.attempt

    def last_offset(self):
        """Returns the offset of the last chunk of the generation, or -1."""
        return self.next_offset - self._generation_start - 1

    def accept(self, attempt, offset, text):
        """Adds a chunk unless it is stale or a duplicate.

        Args:
            attempt: Number of the attempt that it belongs to.
            offset: Its index within the generation; below 0 if the
                upstream gives none, which makes it the next one.
            text: Its text.

        Returns:
            Whether the chunk is new and has to be passed on.

        Raises:
            StreamGap: If a chunk before it is missing.
        """
        if attempt != self.attempt or self.ended:
            return False
        index = (
            self.next_offset if offset < 0 else self._generation_start + offset
        )
        if index < self.next_offset:
            return False
        if index > self.next_offset:
            raise StreamGap(
                f'piece {index} arrived while piece {self.next_offset} '
                'is missing'
            )
        self.next_offset += 1
        self.tokens += bool(text)
        self._texts.append(text)
        return True

    def end(self, attempt):
        """Records the explicit end of an attempt's stream.

        Returns:
            Whether the answer is complete.
        """
        if attempt == self.attempt:
            self.ended = True
        return self.ended
