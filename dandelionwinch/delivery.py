"""The way of an answer to its client, with exactly one ending."""

from dandelionwinch import errors


class ResponseStream:
    """Chunks on their way to a client, with exactly one ending.

    Iterating to the end means that every chunk was written to the
    client's connection; closing before means that the client went away.

    Args:
        chunks: Generator of bytes.
        finish: Function of a state, a code and a number of tokens.
        tokens: Function that returns the tokens delivered.
    """

    __slots__ = ('_chunks', '_finish', '_tokens')

    def __init__(self, chunks, finish, tokens):
        self._chunks = chunks
        self._finish = finish
        self._tokens = tokens

    def __iter__(self):
        return self

    def __next__(self):
        try:
            return next(self._chunks)
        except StopIteration:
            self._end('done', '', self._tokens())
            raise
        except errors.DandelionwinchError as exc:
            self._end(final_state(exc), exc.code, 0)
            raise StopIteration from None

    def close(self):
        """Ends the delivery; the client may be gone."""
        self._chunks.close()
        self._end('abandoned', 'client_left', 0)

    def _end(self, state, code, tokens):
        if self._finish is not None:
            finish, self._finish = self._finish, None
            finish(state, code, tokens)


def final_state(exc):
    """Returns the state of a job that ended with an error."""
    unknown = exc.execution is errors.ExecutionStatus.UNKNOWN
    return 'unknown' if unknown else 'refused'
