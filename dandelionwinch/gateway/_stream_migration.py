"""Moves streams off engines that leave, beside the relay of their events.

The decisions are those of `migration.Migration`. Here its calls are made, and
the relay of a stream learns how to go on when its source has closed it.
"""

import asyncio
import traceback

from dandelionwinch import migration

# Time after the answer to the last copy in which the source sends the rest
# and closes the stream.
CLOSE_TIMEOUT_S = 0.1


class RunStopped(Exception):
    """The source has stopped a run that is being moved.

    Attributes:
        stream: The MovingStream.
        go_on: The GoOn, None if the answer to the last copy is not known.
    """

    def __init__(self, stream, go_on):
        super().__init__('the source has stopped the run')
        self.stream = stream
        self.go_on = go_on


class FixedStream:
    """A stream of a service whose streams are not moved."""

    __slots__ = ()

    def guard(self, may_leave):
        """Returns what tells whether a silent engine may be left."""
        return may_leave

    def record_event(self):
        """Does nothing."""

    async def settle(self):
        """Does nothing, as the run is not stopped."""

    def close(self, result):
        """Does nothing."""


class MovingStream:
    """A stream at one engine, which moves when the engine leaves.

    Args:
        owner: StreamMigrations.
        state: RequestState of the request.
        source: Upstream that runs it.
        conn: Connection from which the stream is read.
        moved: MovingStream that it was before, None for a run that begins.

    Attributes:
        source: Upstream that runs it.
        target: Upstream that was asked to take it last, or None.
        last_event_at: Loop time of the last event that was relayed.
    """

    __slots__ = (
        '_asked',
        '_began_at',
        '_conn',
        '_decided',
        '_loop',
        '_machine',
        '_owner',
        '_progress',
        '_state',
        '_stop_call',
        '_task',
        '_timer',
        'last_event_at',
        'source',
        'target',
    )

    def __init__(self, owner, state, source, conn, moved):
        self._owner = owner
        self._loop = owner.loop
        self._state = state
        self._conn = conn
        before = state.last_event_id or 0
        tokens = state.req.answer_tokens
        self._progress = migration.Progress(tokens, before)
        self._machine = None
        # Ids of the engines that were asked before it returned.
        self._asked = ()
        if moved is not None and moved.source is source:
            self._asked = moved.asked
        self._task = None
        self._timer = None
        # MoveCall for the last copy, whose connection is open already.
        self._stop_call = None
        # Future of the GoOn, or of the Stay, that ends the calls.
        self._decided = None
        self._began_at = 0.0
        self.source = source
        self.target = None
        self.last_event_at = 0.0

    @property
    def request_id(self):
        """Returns the id of its request."""
        return self._state.req.id

    @property
    def service(self):
        """Returns the name of its service."""
        return self._state.service

    @property
    def asked(self):
        """Returns the ids of the engines that a copy was asked for."""
        return self._machine.asked if self._machine else self._asked

    @property
    def excluded(self):
        """Returns the ids of the engines that failed its request."""
        return self._state.tried | self._state.unavailable

    @property
    def stopping(self):
        """Tells whether the source was asked to stop the run."""
        return self._machine is not None and self._machine.stopping

    def is_moving_to(self, engine_id):
        """Tells whether an engine was asked to take it, and may yet."""
        return (
            self.target is not None
            and self.target.entry.id == engine_id
            and self._machine.result is None
        )

    def guard(self, may_leave):
        """Returns what tells whether a silent engine may be left.

        One that was asked to stop is silent for a reason, and nothing is
        sent elsewhere before it has answered.
        """

        async def may_leave_unless_stopping(conn):
            if self.stopping:
                return False
            return await may_leave(conn) and not self.stopping

        return may_leave_unless_stopping

    def record_event(self):
        """Records that an event of the source was relayed."""
        self.last_event_at = self._loop.time()
        self._progress.record_event(self.last_event_at)
        self.consider()

    def consider(self):
        """Begins to move if the source leaves before the stream ends."""
        leaves_at = self._owner.leaves_at(self.source)
        # Without the id of an event, what follows it can't be asked for.
        if leaves_at is None or self._state.last_event_id is None:
            return
        if self._machine is not None:
            self._machine.leaves_at = leaves_at
            return
        now = self._loop.time()
        if migration.must_move(self._progress, leaves_at, now):
            self._began_at = now
            self._machine = migration.Migration(leaves_at, self._asked)
            self._decided = self._loop.create_future()
            self._task = self._owner.spawn(self._run())

    async def settle(self):
        """Decides how to go on when the source closed without an end.

        Raises:
            RunStopped: If the source stopped the run, or may have.
        """
        if self._decided is None:
            return
        if not (self.stopping or self._decided.done()):
            return
        decided = await asyncio.shield(self._decided)
        if isinstance(decided, migration.GoOn):
            raise RunStopped(self, decided)
        if decided.result is migration.Result.LOST:
            raise RunStopped(self, None)

    def continued(self, engine):
        """Records that an engine goes on with the run, once."""
        if self._machine.result is not None:
            return
        result = migration.Result.MOVED
        if engine is self.source:
            result = migration.Result.RETURNED
        self._machine.continued(result)
        self._end_relay()
        self._owner.count(result)
        self._owner.log.event(
            'stream.moved',
            request=self.request_id,
            source=self.source.entry.id,
            upstream=engine.entry.id,
            after=self._state.last_event_id,
            taken_ms=round((self._loop.time() - self._began_at) * 1e3, 1),
        )

    def close(self, result):
        """Ends a migration, as nothing of the stream is relayed any more.

        Args:
            result: migration.Result of one that is not decided yet.
        """
        self._end_relay()
        if self._machine is not None:
            message = migration.StreamEnded(result)
            for action in self._machine.step(message, self._loop.time()):
                self._perform_now(action)

    def _end_relay(self):
        self._owner.remove(self)
        if self._timer is not None:
            self._timer.cancel()

    async def _run(self):
        try:
            async with self._owner.turn(self.source):
                await self._drive(migration.Begin())
        except Exception:
            self._owner.log.event(
                'gateway.fault', trace=traceback.format_exc()
            )
        finally:
            if self._stop_call is not None:
                self._stop_call.close()
            if not self._decided.done():
                lost = migration.Stay(migration.Result.LOST)
                self._decided.set_result(lost)

    async def _drive(self, message):
        """Takes the steps of the Migration until it asks for no more."""
        while message is not None:
            actions = self._machine.step(message, self._loop.time())
            message = None
            for action in actions:
                if not self._perform_now(action):
                    message = await self._perform(action)

    def _perform_now(self, action):
        """Performs what needs no answer; tells whether it was that."""
        match action:
            case migration.Free():
                engines = [self.target]
                if not action.at_target:
                    engines.insert(0, self.source)
                self._owner.spawn(self._owner.free(engines, action.handle))
            case migration.GoOn():
                self._timer = self._loop.call_later(
                    CLOSE_TIMEOUT_S, self._conn.abort
                )
                self._decided.set_result(action)
            case migration.Stay():
                self._stay(action)
            case _:
                return False
        return True

    def _stay(self, action):
        if not self._decided.done():
            self._decided.set_result(action)
        self._owner.count(action.result)
        self._owner.log.event(
            'stream.move_failed',
            request=self.request_id,
            upstream=self.source.entry.id,
            target=self.target.entry.id if self.target else '',
            why=action.result.value,
        )

    async def _perform(self, action):
        """Performs what has an answer; returns the answer."""
        match action:
            case migration.Choose():
                self.target = self._owner.choose(self, action.exclude)
                return migration.Chosen(self.target and self.target.entry.id)
            case migration.Wait():
                await asyncio.sleep(action.pause_s)
                return migration.Waited()
            case migration.Confirm():
                return await self._confirm()
            case migration.Copy():
                return await self._copy(action)
        raise AssertionError(action)

    async def _confirm(self):
        """Opens the connection for the last copy, then spends the retry."""
        self._stop_call = await self._owner.calls.connect(self.source)
        if self._stop_call is None or self._machine.result is not None:
            return migration.NotSent()
        if not self._owner.takes(self.target):
            self._close_stop_call()
            return migration.TargetGone()
        if not self._owner.spend_retry(self.service):
            return migration.NoBudget()
        return migration.Ready()

    def _close_stop_call(self):
        call, self._stop_call = self._stop_call, None
        call.close()

    async def _copy(self, action):
        call, self._stop_call = self._stop_call, None
        if call is None:
            call = await self._owner.calls.connect(self.source)
        if call is None:
            return migration.NotSent()
        # The stream may have ended while the connection was opened.
        if self._machine.result is not None:
            call.close()
            return migration.NotSent()
        self._log_moving(action)
        return await call.copy(
            self.request_id,
            self.target,
            last=action.last,
            timeout_s=action.timeout_s,
        )

    def _log_moving(self, action):
        self._owner.log.event(
            'stream.moving',
            request=self.request_id,
            upstream=self.source.entry.id,
            target=self.target.entry.id,
            last=action.last,
            left_ms=round(
                (self._machine.leaves_at - self._loop.time()) * 1e3, 1
            ),
        )
