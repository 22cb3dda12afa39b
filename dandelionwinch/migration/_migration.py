"""The migration of one stream, from the first copy to its end."""

import enum

from dandelionwinch.migration import _messages

MAX_TARGETS = 3
# Pause before a call is repeated that met another one in progress.
RETRY_PAUSE_S = 0.05
# Time after the source should have left in which an answer to the last copy
# is still awaited: the run has stopped, and the time left is an estimate.
LAST_EXTRA_S = 1.0


class _State(enum.Enum):
    """What is awaited."""

    IDLE = 'idle'
    CHOOSING = 'choosing'
    COPYING = 'copying'
    CONFIRMING = 'confirming'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    OVER = 'over'


class Migration:
    """State machine of one stream; messages and a time in, messages out.

    The run goes on at the source until the last copy is asked for, and the
    request is sent on only after the source has answered it with a handle.

    Args:
        leaves_at: Time at which the source leaves.
        asked: Ids of the engines that a copy of the run was asked for before
            it returned to this source.

    Attributes:
        asked: Ids of the engines that a copy was asked for.
        leaves_at: Time at which the source leaves.
        result: The Result, None while it is not decided.
    """

    __slots__ = (
        '_handle',
        '_in_call',
        '_state',
        '_target',
        'asked',
        'leaves_at',
        'result',
    )

    def __init__(self, leaves_at, asked=()):
        self.asked = tuple(asked)
        self.leaves_at = leaves_at
        self.result = None
        self._state = _State.IDLE
        self._target = None
        # Handle of the copy that is known and not used.
        self._handle = ''
        # Whether the answer to a call is awaited.
        self._in_call = False

    @property
    def stopping(self):
        """Tells whether the source was asked to stop the run."""
        return self._state in (_State.STOPPING, _State.STOPPED)

    def step(self, message, now):
        """Returns the messages that follow one; see `_messages`.

        Args:
            message: What has happened.
            now: Time in seconds.
        """
        match message:
            case _messages.StreamEnded():
                return self._end(message.result)
            case _messages.Copied() | _messages.Refused() if (
                self._state is _State.OVER
            ):
                return self._free(message.handle)
        if self._state is _State.OVER:
            return self._free('') if self._in_call else []
        match self._state:
            case _State.IDLE:
                return self._choose(now)
            case _State.CHOOSING:
                return self._begin_copy(message, now)
            case _State.COPYING:
                return self._first_copy_answered(message, now)
            case _State.CONFIRMING:
                return self._confirmed(message, now)
            case _State.STOPPING:
                return self._last_copy_answered(message, now)
        return []

    def continued(self, result):
        """Records that an engine goes on; the handle is used."""
        self._handle = ''
        self.result = result
        self._state = _State.OVER

    def _choose(self, now):
        if now >= self.leaves_at:
            return self._stay(_messages.Result.NO_TIME)
        if len(self.asked) >= MAX_TARGETS:
            return self._stay(_messages.Result.NO_TARGET)
        self._state = _State.CHOOSING
        return [_messages.Choose(frozenset(self.asked))]

    def _begin_copy(self, message, now):
        if message.target is None:
            return self._stay(_messages.Result.NO_TARGET)
        self._target = message.target
        self.asked += (message.target,)
        self._state = _State.COPYING
        return self._call(now)

    def _call(self, now):
        """Asks for the first or the last copy, unless time has run out."""
        last = self._state is _State.STOPPING
        left_s = self.leaves_at - now
        if left_s <= 0.0:
            return self._stay(_messages.Result.NO_TIME)
        self._in_call = True
        timeout_s = left_s + LAST_EXTRA_S if last else left_s
        return [_messages.Copy(self._target, last, timeout_s)]

    def _first_copy_answered(self, message, now):
        self._in_call = False
        match message:
            case _messages.Copied():
                self._handle = message.handle
                self._state = _State.CONFIRMING
                return [_messages.Confirm(self._target)]
            case _messages.Refused():
                return self._choose(now)
            case _messages.InProgress():
                return [_messages.Wait(RETRY_PAUSE_S)]
            case _messages.Waited():
                return self._call(now)
            case _messages.NoSuchRun():
                return self._stay(_messages.Result.ENDED)
        return self._stay(_messages.Result.FAILED)

    def _confirmed(self, message, now):
        match message:
            case _messages.Ready():
                self._state = _State.STOPPING
                return self._call(now)
            case _messages.TargetGone():
                return self._free('') + self._choose(now)
            case _messages.NoBudget():
                return self._stay(_messages.Result.NO_BUDGET)
        return self._stay(_messages.Result.FAILED)

    def _last_copy_answered(self, message, now):
        self._in_call = False
        match message:
            case _messages.Copied():
                return self._stop(self._target, message.handle)
            case _messages.Refused() if message.handle:
                return self._stop(None, message.handle)
            case _messages.InProgress():
                return [_messages.Wait(RETRY_PAUSE_S)]
            case _messages.Waited():
                return self._call(now)
            case _messages.NoSuchRun():
                return self._stay(_messages.Result.ENDED)
            case _messages.NotSent():
                return self._stay(_messages.Result.FAILED)
        return self._stay(_messages.Result.LOST)

    def _stop(self, target, handle):
        """The source has confirmed that it stopped the run."""
        freed = []
        if target is None and self._handle not in ('', handle):
            # To free it at the source might free what the source keeps.
            freed = [_messages.Free(self._handle, at_target=True)]
        self._handle = handle
        self._state = _State.STOPPED
        return [*freed, _messages.GoOn(target, handle)]

    def _free(self, handle):
        """Frees a copy, or the one that is known."""
        self._in_call = False
        known, self._handle = self._handle, ''
        handles = {h for h in (handle, known) if h}
        return [_messages.Free(h) for h in sorted(handles)]

    def _stay(self, result):
        self._state = _State.OVER
        self.result = result
        return [*self._free(''), _messages.Stay(result)]

    def _end(self, result):
        """Ends it with the stream; an answer that is awaited is cleared up.

        The answer may name the copy, so nothing is freed before it.
        """
        if self._state is _State.OVER:
            return []
        self._state = _State.OVER
        self.result = result
        freed = [] if self._in_call else self._free('')
        return [*freed, _messages.Stay(result)]
