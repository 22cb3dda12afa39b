"""Tells an upstream that has stopped to read from one that reads slowly."""

import attrs

# Time without progress after which an upstream is stalled.
STALL_S = 2.0
# The system of a frozen upstream still accepts what fits into its buffers, so
# progress counts only on a connection whose bytes have waited this long.
MIN_WAIT_S = 0.5
# Longest time between two observations that counts. A process that was
# suspended has not seen what was read meanwhile.
MAX_STEP_S = 0.5
# Pause before a stalled upstream gets one request as a trial. It doubles with
# each trial that brings no response.
MIN_PAUSE_S = 2.0
MAX_PAUSE_S = 16.0


@attrs.frozen
class Sample:
    """The sending side of one connection at one time.

    Attributes:
        unread: Bytes that were written and the peer has not accepted.
        accepted: Bytes that it has accepted since the connection was opened.
    """

    unread: int
    accepted: int


@attrs.define
class _Waiting:
    """A connection with unread bytes.

    Attributes:
        accepted: Bytes accepted at the last observation.
        waited_s: Time for which some bytes have waited.
    """

    accepted: int
    waited_s: float = 0.0


class StallWatch:
    """Observes all connections to one upstream.

    The upstream is stalled when it has accepted no byte on any connection
    for STALL_S while some were waiting. A response shows that it reads.
    While it is stalled, one request at a time is admitted as a trial, as the
    connections with unread bytes are closed and show nothing any more.

    Attributes:
        stalled: Whether the upstream is stalled.
        unread_bytes: Bytes that it has not accepted, as last observed.
        silent_s: Time without progress.
    """

    __slots__ = (
        '_pause_s',
        '_seen_at',
        '_trial_at',
        '_waiting',
        'silent_s',
        'stalled',
        'unread_bytes',
    )

    def __init__(self):
        self._waiting = {}
        self._seen_at = None
        self._pause_s = MIN_PAUSE_S
        self._trial_at = 0.0
        self.stalled = False
        self.unread_bytes = 0
        self.silent_s = 0.0

    def observe(self, samples, now):
        """Takes in the state of the connections with a request in flight.

        Args:
            samples: For each connection, by any key, its Sample.
            now: Time in seconds.

        Returns:
            Whether `stalled` has changed.
        """
        step_s = 0.0
        if self._seen_at is not None:
            step_s = min(MAX_STEP_S, now - self._seen_at)
        self._seen_at = now
        progress = self._update(samples, step_s)
        self.unread_bytes = sum(item.unread for item in samples.values())
        if progress or not (self._waiting or self.stalled):
            self.silent_s = 0.0
        else:
            self.silent_s += step_s
        if progress:
            return self._end()
        if self.stalled or self.silent_s < STALL_S:
            return False
        self.stalled = True
        self._trial_at = now + self._pause_s
        return True

    def _update(self, samples, step_s):
        """Updates what waits; tells whether waiting bytes were accepted."""
        progress = False
        before, self._waiting = self._waiting, {}
        for key, sample in samples.items():
            waiting = before.get(key)
            if waiting is not None and sample.accepted > waiting.accepted:
                progress = progress or waiting.waited_s >= MIN_WAIT_S
                waiting.accepted = sample.accepted
            if not sample.unread:
                continue
            if waiting is None:
                waiting = _Waiting(sample.accepted)
            else:
                waiting.waited_s += step_s
            self._waiting[key] = waiting
        return progress

    def record_response(self):
        """Records the head of a response; returns whether a stall ended."""
        self.silent_s = 0.0
        return self._end()

    def _end(self):
        was_stalled, self.stalled = self.stalled, False
        self._pause_s = MIN_PAUSE_S
        return was_stalled

    def admits(self, trial_in_flight, now):
        """Tells whether a request may be sent to the upstream.

        Args:
            trial_in_flight: Whether an earlier trial has not ended.
            now: Time in seconds.
        """
        if not self.stalled:
            return True
        return not trial_in_flight and now >= self._trial_at

    def begin_trial(self, now):
        """Records that a request was admitted to a stalled upstream."""
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        self._trial_at = now + self._pause_s
