"""How far a connection reads ahead of what is consumed."""

# Peers may give up a response of which nothing was read for this time.
UNREAD_CUT_S = 2.0


class ReadAhead:
    """Counts queued bytes, and tells when to pause and resume reading.

    Args:
        most: Bytes above which reading pauses.

    Attributes:
        paused: Whether reading is paused.
        resume_below: Queued bytes below which it resumes.
        stood_still: Whether a pause was so long that the peer may have given
            up the current response.
    """

    __slots__ = (
        '_most',
        '_paused_at',
        '_queued_bytes',
        'paused',
        'resume_below',
        'stood_still',
    )

    def __init__(self, most):
        self._most = most
        self._queued_bytes = 0
        self._paused_at = 0.0
        self.paused = False
        self.resume_below = most // 2
        self.stood_still = False

    def add(self, size, now):
        """Counts bytes that were queued; tells whether to pause."""
        self._queued_bytes += size
        if self._queued_bytes <= self._most or self.paused:
            return False
        self.paused = True
        self._paused_at = now
        return True

    def remove(self, size, now):
        """Counts bytes that were consumed; tells whether to resume."""
        self._queued_bytes -= size
        if not self.paused or self._queued_bytes >= self.resume_below:
            return False
        self.paused = False
        if now - self._paused_at >= UNREAD_CUT_S:
            self.stood_still = True
        return True
