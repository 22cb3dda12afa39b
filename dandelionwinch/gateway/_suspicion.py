"""What speaks against one request: crashes of the upstreams that got it."""

from dandelionwinch.gateway import _connection

# Crashes under a request up to which it is sent again.
MAX_CRASHES_TO_RETRY = 1


class Suspicion:
    """The subjects of one request, and the crashes under it.

    Args:
        guard: CrashGuard.
        parts: Keys of the parts that its prompt shares with others.
        whole: Keys of the request as a whole.

    Attributes:
        hold: The Hold by which it is refused, None without one.
    """

    __slots__ = ('_crashes', '_guard', '_parts', '_whole', 'hold')

    def __init__(self, guard, parts, whole):
        self._guard = guard
        self._parts = parts
        self._whole = whole
        # Attempts under which the upstream crashed.
        self._crashes = 0
        self.hold = None

    @property
    def subjects(self):
        """Returns the keys of all subjects."""
        return [*self._parts, *self._whole]

    def is_held(self):
        """Tells whether upstreams are known to crash on a subject."""
        self.hold = self._guard.refuse(self.subjects)
        return self.hold is not None

    def answer_begins(self):
        """Records that an upstream began to answer; it has read the parts."""
        self._guard.answer_begins(self._parts)

    def answer_ends(self):
        """Records that an upstream answered the whole request."""
        self._guard.answer_begins(self._whole)

    async def note_failure(self, exc, upstream, *, begun=False):
        """Reports an attempt that its upstream ended without a whole answer.

        Args:
            exc: The AttemptFailed.
            upstream: The Upstream.
            begun: Whether an answer had begun, for which the parts of the
                prompt are not suspect.
        """
        lost = exc.__cause__
        if not isinstance(lost, _connection.ConnectionLost):
            return
        if lost.cause is not _connection.LossCause.CLOSED:
            return
        subjects = self._whole if begun else self.subjects
        if await self._guard.connection_lost(upstream, subjects):
            self._crashes += 1

    def forbids_retry(self):
        """Tells whether it may not be sent again after its last attempt.

        A request under which upstreams crash is not sent on and on.
        """
        if self._crashes > MAX_CRASHES_TO_RETRY:
            return True
        return bool(self._crashes) and self._guard.is_nearly_held(
            self.subjects
        )
